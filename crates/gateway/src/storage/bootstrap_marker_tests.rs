//! Interruptions at each step of the system's first start: an interrupted seed resumes the bootstrap with identity 0,
//! and no other node gets that identity.

use crate::storage::bootstrap_marker::MARKER_FILE;
use crate::storage::tests::Folder;
use crate::storage::{LoadedState, ReplicaStore, DATABASE_FILE, LEGACY_DATABASE_FILE, WAL_FILE};
use googletest::prelude::*;

fn open(folder: &Folder, is_cold_start: bool) -> LoadedState {
    ReplicaStore::open(&folder.0, is_cold_start).expect("opens").1
}

fn write_file(folder: &Folder, name: &str, bytes: &[u8]) {
    std::fs::write(folder.0.join(name), bytes).expect("a file");
}

fn copy_file(from: &Folder, to: &Folder, name: &str) {
    std::fs::copy(from.0.join(name), to.0.join(name)).expect("a copy");
}

fn file_names(folder: &Folder) -> Vec<String> {
    let files = std::fs::read_dir(&folder.0).expect("a folder");
    let mut names: Vec<_> =
        files.map(|f| f.expect("a file").file_name().into_string().expect("a name")).collect();
    names.sort();
    names
}

/// A seed keeps identity 0 if a kill or a loss of power interrupts it anywhere between the creation of the marker and
/// the renaming of the database, whatever bytes the marker contains.
#[gtest]
fn interrupted_bootstrap_resumes_with_identity_zero() {
    let complete = Folder::new("marked-complete");
    open(&complete, false);
    let base = std::fs::read(complete.0.join(DATABASE_FILE)).expect("a file");
    for marker in [&b""[..], b"\0\0\0\0", b"\xff\x07"] {
        for (step, wal) in [(None, false), (Some(0), false), (Some(4096), false), (Some(base.len()), true)] {
            let folder = Folder::new("has_marker");
            write_file(&folder, MARKER_FILE, marker);
            if let Some(step) = step {
                write_file(&folder, "replica.making", &base[..step]);
                write_file(&folder, "replica.making-journal", &base[..step.min(512)]);
            }
            if wal {
                write_file(&folder, WAL_FILE, b"");
            }
            let loaded = open(&folder, false);
            expect_that!((loaded.disk_id, loaded.is_new), eq((0, true)), "{marker:?} {step:?}");
            expect_that!(file_names(&folder), elements_are![eq(DATABASE_FILE), eq(WAL_FILE)]);
            let loaded = open(&folder, false);
            expect_that!((loaded.disk_id, loaded.is_new), eq((0, false)), "{marker:?} {step:?}");
        }
    }
}

/// The marker is created before any file of the database, and is kept if creating the database fails.
#[gtest]
fn marker_is_created_before_the_database() {
    let folder = Folder::new("marker-first");
    // A folder with the name of the temporary database makes the creation fail.
    let obstacle = folder.0.join("replica.making");
    std::fs::create_dir(&obstacle).expect("a folder");
    expect_that!(ReplicaStore::open(&folder.0, false).is_err(), eq(true));
    expect_that!(file_names(&folder), elements_are![eq("replica.making")]);
    expect_that!(ReplicaStore::open(&folder.0, true).is_err(), eq(true));
    expect_that!(file_names(&folder), elements_are![eq(MARKER_FILE), eq("replica.making")]);
    expect_that!(ReplicaStore::open(&folder.0, false).is_err(), eq(true));
    expect_that!(file_names(&folder), elements_are![eq(MARKER_FILE), eq("replica.making")]);
    std::fs::remove_dir(&obstacle).expect("removed");
    expect_that!(open(&folder, false).disk_id, eq(0));
}

/// Identity 0 is given only to a seed's disk at the first start of the system.
#[gtest]
fn identity_zero_needs_a_marker_and_no_database() {
    // Power was lost before the marker was synced, or the disk was lost later: the folder is empty.
    let folder = Folder::new("lost-later");
    expect_that!(open(&folder, true).disk_id, eq(0));
    for name in file_names(&folder) {
        std::fs::remove_file(folder.0.join(name)).expect("removed");
    }
    let drawn = open(&folder, false).disk_id;
    expect_that!(drawn, not(eq(0)));
    // A marker beside a database (the removal was not durable) has no effect and is removed.
    write_file(&folder, MARKER_FILE, b"");
    let loaded = open(&folder, false);
    expect_that!((loaded.disk_id, loaded.is_new), eq((drawn, false)));
    expect_that!(file_names(&folder), elements_are![eq(DATABASE_FILE), eq(WAL_FILE)]);
    let loaded = open(&folder, true);
    expect_that!((loaded.disk_id, loaded.is_new), eq((drawn, false)));
    expect_that!(file_names(&folder), elements_are![eq(DATABASE_FILE), eq(WAL_FILE)]);
}

/// A refused disk keeps its files: the marker is neither created nor removed.
#[gtest]
fn refused_disk_leaves_the_marker_unchanged() {
    let complete = Folder::new("refused-complete");
    open(&complete, true);
    for has_marker in [false, true] {
        for broken in [LEGACY_DATABASE_FILE, DATABASE_FILE, WAL_FILE] {
            let folder = Folder::new("refused-has_marker");
            match broken {
                DATABASE_FILE => copy_file(&complete, &folder, DATABASE_FILE),
                name => write_file(&folder, name, b"something"),
            }
            if has_marker {
                write_file(&folder, MARKER_FILE, b"");
            }
            let before = file_names(&folder);
            for is_cold_start in [false, true] {
                expect_that!(
                    ReplicaStore::open(&folder.0, is_cold_start).is_err(),
                    eq(true),
                    "{broken} {has_marker}"
                );
                expect_that!(file_names(&folder), eq(&before), "{broken} {has_marker}");
            }
        }
    }
}
