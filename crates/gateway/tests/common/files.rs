//! Lists the files of a directory, for tests that read source files and pages.

use std::path::{Path, PathBuf};

/// Returns all files below a directory, including those in its subdirectories.
pub fn files_below(directory: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    collect_files(directory, &mut files);
    files
}

fn collect_files(directory: &Path, files: &mut Vec<PathBuf>) {
    let entries = std::fs::read_dir(directory).expect("the directory can be read");
    for path in entries.map(|entry| entry.expect("the entry can be read").path()) {
        match path.is_dir() {
            true => collect_files(&path, files),
            false => files.push(path),
        }
    }
}
