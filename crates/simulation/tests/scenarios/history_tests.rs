//! Histories that the linearizability check must accept or reject.

use googletest::prelude::*;
use whinstall_simulation::history::{check, Held, Read, Write};

fn wrote(from: f64, to: f64, labels: &[usize], number: u64, content: u64) -> Write {
    Write { from, to, labels: labels.to_vec(), number, content }
}

fn saw(from: f64, to: f64, held: &[Held]) -> Read {
    Read { from, to, held: held.to_vec() }
}

const NEVER: f64 = f64::INFINITY;

#[gtest]
fn concurrent_read_may_or_may_not_observe_a_write() {
    for held in [None, Some((1, 10))] {
        expect_that!(check(&[wrote(1.0, 2.0, &[0], 1, 10)], &[saw(1.2, 1.4, &[held])]), ok(anything()));
    }
}

#[gtest]
fn unanswered_write_may_take_effect_late_or_never() {
    let writes = [wrote(1.0, NEVER, &[0], 1, 10)];
    expect_that!(check(&writes, &[saw(5.0, 6.0, &[None]), saw(8.0, 9.0, &[Some((1, 10))])]), ok(anything()));
    expect_that!(check(&writes, &[saw(5.0, 6.0, &[None])]), ok(anything()));
    // A write that took effect must not be undone.
    let back = [saw(5.0, 6.0, &[Some((1, 10))]), saw(8.0, 9.0, &[None])];
    expect_that!(check(&writes, &back), err(anything()));
}

#[gtest]
fn late_write_with_a_lower_version_has_no_effect() {
    let writes = [wrote(1.0, 2.0, &[0], 2, 20), wrote(3.0, 4.0, &[0], 1, 10)];
    expect_that!(check(&writes, &[saw(5.0, 6.0, &[Some((2, 20))])]), ok(anything()));
    expect_that!(check(&writes, &[saw(5.0, 6.0, &[Some((1, 10))])]), err(anything()));
}

#[gtest]
fn stale_read_is_rejected() {
    let writes = [wrote(1.0, 2.0, &[0], 1, 10)];
    expect_that!(check(&writes, &[saw(2.1, 2.2, &[None])]), err(anything()));
}

#[gtest]
fn sequential_reads_that_go_backwards_are_rejected() {
    let writes = [wrote(1.0, 9.0, &[0], 1, 10)];
    let reads = [saw(2.0, 3.0, &[Some((1, 10))]), saw(4.0, 5.0, &[None])];
    expect_that!(check(&writes, &reads), err(anything()));
    // Overlapping reads may differ.
    let reads = [saw(2.0, 4.5, &[Some((1, 10))]), saw(4.0, 5.0, &[None])];
    expect_that!(check(&writes, &reads), ok(anything()));
}

#[gtest]
fn read_of_a_value_not_yet_written_is_rejected() {
    expect_that!(check(&[], &[saw(1.0, 2.0, &[Some((1, 10))])]), err(anything()));
    let later = [wrote(3.0, 4.0, &[0], 1, 10)];
    expect_that!(check(&later, &[saw(1.0, 2.0, &[Some((1, 10))])]), err(anything()));
    // The version is right, but the content belongs to another change.
    let writes = [wrote(1.0, 2.0, &[0], 1, 10)];
    expect_that!(check(&writes, &[saw(3.0, 4.0, &[Some((1, 11))])]), err(anything()));
}

#[gtest]
fn partially_observed_write_is_rejected() {
    let writes = [wrote(1.0, 9.0, &[0, 1], 1, 10)];
    expect_that!(check(&writes, &[saw(2.0, 3.0, &[Some((1, 10)), None])]), err(anything()));
    expect_that!(check(&writes, &[saw(2.0, 3.0, &[Some((1, 10)), Some((1, 10))])]), ok(anything()));
}

#[gtest]
fn reads_that_observe_two_writes_in_different_orders_are_rejected() {
    let writes = [wrote(1.0, 9.0, &[0], 1, 10), wrote(1.0, 9.0, &[1], 2, 20)];
    let reads = [saw(2.0, 8.0, &[Some((1, 10)), None]), saw(2.0, 8.0, &[None, Some((2, 20))])];
    expect_that!(check(&writes, &reads), err(anything()));
}

#[gtest]
fn later_write_observed_without_the_earlier_one_is_rejected() {
    // The first was confirmed before the second was sent; the read overlaps both.
    let writes = [wrote(1.0, 2.0, &[0], 1, 10), wrote(3.0, 4.0, &[1], 2, 20)];
    expect_that!(check(&writes, &[saw(0.0, 9.0, &[None, Some((2, 20))])]), err(anything()));
    expect_that!(check(&writes, &[saw(0.0, 9.0, &[Some((1, 10)), None])]), ok(anything()));
    expect_that!(check(&writes, &[saw(0.0, 9.0, &[None, None])]), ok(anything()));
}

#[gtest]
fn two_contents_read_under_one_version_are_rejected() {
    let writes = [wrote(1.0, 2.0, &[0], 1, 10), wrote(1.0, 2.0, &[0], 1, 11)];
    let reads = [saw(3.0, 4.0, &[Some((1, 10))]), saw(5.0, 6.0, &[Some((1, 11))])];
    expect_that!(check(&writes, &reads), err(anything()));
}
