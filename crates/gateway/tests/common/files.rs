//! The files of a folder, for tests that read the sources.

use std::path::{Path, PathBuf};

/// All files below a folder, in the folders in it too.
pub fn files_below(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    collect(folder, &mut found);
    found
}

fn collect(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path()) {
        match entry.is_dir() {
            true => collect(&entry, found),
            false => found.push(entry),
        }
    }
}
