//! docs/GLOSSARY.md names only what the code has.

#[path = "common/files.rs"]
mod files;

use files::files_below;
use googletest::prelude::*;
use std::path::{Path, PathBuf};

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
    let is_built = |path: &Path| {
        let relative = path.strip_prefix(&root).expect("below the root");
        relative.components().any(|part| part.as_os_str() == "target")
    };
    let folders = ["src", "crates"].map(|folder| root.join(folder));
    let paths = folders.iter().flat_map(|folder| files_below(folder)).filter(|path| !is_built(path));
    let text = |path: PathBuf| std::fs::read_to_string(&path).ok().map(|text| (path, text));
    let files: Vec<(PathBuf, String)> = paths.filter_map(text).collect();
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
