//! The first start cut at each of its steps: a seed of the whole system's first start comes back as one, and nobody else
//! does.

use crate::storage::bootstrap_marker::MARKER_FILE as MARK;
use crate::storage::tests::Folder;
use crate::storage::{LoadedState, ReplicaStore, DATABASE_FILE, LEGACY_DATABASE_FILE, WAL_FILE};
use googletest::prelude::*;

fn open(folder: &Folder, first: bool) -> LoadedState {
    ReplicaStore::open(&folder.0, first).expect("opens").1
}

fn put(folder: &Folder, name: &str, bytes: &[u8]) {
    std::fs::write(folder.0.join(name), bytes).expect("a file");
}

fn copy(from: &Folder, to: &Folder, name: &str) {
    std::fs::copy(from.0.join(name), to.0.join(name)).expect("a copy");
}

fn names(folder: &Folder) -> Vec<String> {
    let files = std::fs::read_dir(&folder.0).expect("a folder");
    let mut names: Vec<_> =
        files.map(|f| f.expect("a file").file_name().into_string().expect("a name")).collect();
    names.sort();
    names
}

/// Guards the identity of a seed that was stopped anywhere between its mark and the database's name, killed or without
/// power, with the mark whole, empty or torn.
#[gtest]
fn a_seed_stopped_after_its_mark_begins_as_at_the_first_start() {
    let whole = Folder::new("marked-whole");
    open(&whole, false);
    let base = std::fs::read(whole.0.join(DATABASE_FILE)).expect("a file");
    for mark in [&b""[..], b"\0\0\0\0", b"\xff\x07"] {
        for (step, wal) in [(None, false), (Some(0), false), (Some(4096), false), (Some(base.len()), true)] {
            let folder = Folder::new("marked");
            put(&folder, MARK, mark);
            if let Some(step) = step {
                put(&folder, "replica.making", &base[..step]);
                put(&folder, "replica.making-journal", &base[..step.min(512)]);
            }
            if wal {
                put(&folder, WAL_FILE, b"");
            }
            let held = open(&folder, false);
            expect_that!((held.disk_id, held.is_new), eq((0, true)), "{mark:?} {step:?}");
            expect_that!(names(&folder), elements_are![eq(DATABASE_FILE), eq(WAL_FILE)]);
            let held = open(&folder, false);
            expect_that!((held.disk_id, held.is_new), eq((0, false)), "{mark:?} {step:?}");
        }
    }
}

/// Guards the order: the mark is there before anything of the database, and stays while that can't be made.
#[gtest]
fn the_mark_comes_before_the_database() {
    let folder = Folder::new("mark-first");
    // Nothing can be made in this place.
    let obstacle = folder.0.join("replica.making");
    std::fs::create_dir(&obstacle).expect("a folder");
    expect_that!(ReplicaStore::open(&folder.0, false).is_err(), eq(true));
    expect_that!(names(&folder), elements_are![eq("replica.making")]);
    expect_that!(ReplicaStore::open(&folder.0, true).is_err(), eq(true));
    expect_that!(names(&folder), elements_are![eq(MARK), eq("replica.making")]);
    expect_that!(ReplicaStore::open(&folder.0, false).is_err(), eq(true));
    expect_that!(names(&folder), elements_are![eq(MARK), eq("replica.making")]);
    std::fs::remove_dir(&obstacle).expect("removed");
    expect_that!(open(&folder, false).disk_id, eq(0));
}

/// Guards against a disk that takes the first identity though it isn't a disk of the first start.
#[gtest]
fn a_disk_without_the_mark_or_with_a_database_is_never_one_of_the_first_start() {
    // Power went before the mark was synced, or the disk was lost later: nothing is there.
    let folder = Folder::new("lost-later");
    expect_that!(open(&folder, true).disk_id, eq(0));
    for name in names(&folder) {
        std::fs::remove_file(folder.0.join(name)).expect("removed");
    }
    let drawn = open(&folder, false).disk_id;
    expect_that!(drawn, not(eq(0)));
    // A mark whose removal did not last, or any other beside a database: the database counts, the mark goes.
    put(&folder, MARK, b"");
    let held = open(&folder, false);
    expect_that!((held.disk_id, held.is_new), eq((drawn, false)));
    expect_that!(names(&folder), elements_are![eq(DATABASE_FILE), eq(WAL_FILE)]);
    let held = open(&folder, true);
    expect_that!((held.disk_id, held.is_new), eq((drawn, false)));
    expect_that!(names(&folder), elements_are![eq(DATABASE_FILE), eq(WAL_FILE)]);
}

/// Guards a disk that holds something which can't be used against the mark: none is made, and none goes.
#[gtest]
fn a_refused_disk_keeps_or_lacks_its_mark() {
    let whole = Folder::new("refused-whole");
    open(&whole, true);
    for marked in [false, true] {
        for broken in [LEGACY_DATABASE_FILE, DATABASE_FILE, WAL_FILE] {
            let folder = Folder::new("refused-marked");
            match broken {
                DATABASE_FILE => copy(&whole, &folder, DATABASE_FILE),
                name => put(&folder, name, b"something"),
            }
            if marked {
                put(&folder, MARK, b"");
            }
            let was = names(&folder);
            for first in [false, true] {
                expect_that!(ReplicaStore::open(&folder.0, first).is_err(), eq(true), "{broken} {marked}");
                expect_that!(names(&folder), eq(&was), "{broken} {marked}");
            }
        }
    }
}
