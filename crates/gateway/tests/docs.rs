//! docs/GLOSSARY.md names only what the code has.

use googletest::prelude::*;
use std::path::{Path, PathBuf};

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path()) {
        match entry.is_dir() {
            true if entry.ends_with("target") => {}
            true => sources(&entry, found),
            false => found.push(entry),
        }
    }
}

/// Whether some source defines a type of this name, or is a module or a crate of this name.
fn is_defined(name: &str, files: &[(PathBuf, String)]) -> bool {
    let definitions = ["struct", "enum", "type", "trait"].map(|kind| format!("{kind} {name}"));
    let ends = |text: &str, definition: &str| {
        let mut found = text.match_indices(definition);
        found.any(|(at, _)| {
            !text[at + definition.len()..].starts_with(|c: char| c.is_alphanumeric() || c == '_')
        })
    };
    let file = format!("{name}.rs");
    let package = format!("name = \"{name}\"");
    files.iter().any(|(path, text)| {
        definitions.iter().any(|definition| ends(text, definition))
            || path.file_name().is_some_and(|n| *n == *file)
            || path.parent().is_some_and(|folder| folder.ends_with(name))
            || path.ends_with("Cargo.toml") && text.contains(&package)
    })
}

#[gtest]
fn every_type_in_the_glossary_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/GLOSSARY.md")).expect("the page");
    let mut paths = Vec::new();
    sources(&root.join("src"), &mut paths);
    sources(&root.join("crates"), &mut paths);
    let text = |path: PathBuf| std::fs::read_to_string(&path).ok().map(|text| (path, text));
    let files: Vec<(PathBuf, String)> = paths.into_iter().filter_map(text).collect();
    let mut checked = 0;
    for row in page.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| ---")) {
        let last = row.trim_end_matches('|').rsplit('|').next().unwrap_or_default();
        for name in last.split('`').skip(1).step_by(2) {
            checked += 1;
            expect_that!(is_defined(name, &files), eq(true), "{name} in {row}");
        }
    }
    expect_that!(checked, gt(50));
}
