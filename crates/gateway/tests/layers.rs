//! The layers of docs/ARCHITECTURE.md: a module uses only what its row in the table of modules names.

#[path = "common/files.rs"]
mod files;

use files::files_below;
use googletest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

type Uses = BTreeMap<String, BTreeSet<String>>;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The modules named in backquotes in a cell of the table.
fn names(cell: &str) -> BTreeSet<String> {
    cell.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

/// Allowed uses by module, from the table under this heading: the first cell names the module, the last what it may use.
fn allowed(page: &str, heading: &str) -> Uses {
    let section = page.split(heading).nth(1).unwrap_or_else(|| panic!("no section {heading:?}"));
    let section = section.split("\n## ").next().unwrap_or_default();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let cells = |row: &str| row.trim_matches('|').split('|').map(str::to_owned).collect::<Vec<_>>();
    let module = |row: &str| {
        let cells = cells(row);
        let name = names(&cells[0]).pop_first().expect("a module");
        (name, names(cells.last().expect("a cell")))
    };
    rows.map(module).collect()
}

fn is_test(path: &Path) -> bool {
    let name = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default();
    let in_model = path.components().any(|part| part.as_os_str() == "model");
    name == "tests" || name.ends_with("_tests") || name.ends_with("_measure") || in_model
}

/// The top-level modules of a crate that its modules use by `crate::`, but for tests.
fn used(source_root: &Path, modules: &BTreeSet<String>) -> Uses {
    let files = files_below(source_root);
    let mut used = Uses::new();
    for file in files.iter().filter(|file| !is_test(file)) {
        let relative = file.strip_prefix(source_root).expect("below the root");
        let first = relative.components().next().and_then(|part| part.as_os_str().to_str());
        let module = first.unwrap_or_default().trim_end_matches(".rs").to_owned();
        if !modules.contains(&module) {
            continue;
        }
        let text = std::fs::read_to_string(file).expect("a source");
        let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
        let code = code.collect::<Vec<_>>().join("\n").replace("crate::{\n", "crate::{");
        for after in code.split("crate::").skip(1) {
            let names: Vec<&str> = match after.strip_prefix('{') {
                Some(list) => list.split('}').next().unwrap_or_default().split(',').collect(),
                None => vec![after],
            };
            for name in names {
                let name = name.trim().split(|c: char| !c.is_alphanumeric() && c != '_').next();
                let name = name.unwrap_or_default().to_owned();
                if name != module && modules.contains(&name) {
                    used.entry(module.clone()).or_default().insert(name);
                }
            }
        }
    }
    used
}

/// A module that can be reached from itself over what modules may use.
fn circle(allowed: &Uses) -> Option<String> {
    allowed
        .keys()
        .find(|start| {
            let (mut seen, mut next) = (BTreeSet::new(), vec![start.as_str()]);
            while let Some(module) = next.pop() {
                for used in allowed.get(module).into_iter().flatten() {
                    if used == *start {
                        return true;
                    }
                    if seen.insert(used.as_str()) {
                        next.push(used);
                    }
                }
            }
            false
        })
        .cloned()
}

fn check(source_root: &str, heading: &str) {
    let page = std::fs::read_to_string(repository().join("docs/ARCHITECTURE.md")).expect("the page");
    let allowed = allowed(&page, heading);
    expect_that!(allowed.len(), gt(3), "{heading}");
    expect_that!(circle(&allowed), none(), "{heading}: a module that may use itself over others");
    let modules: BTreeSet<String> = allowed.keys().cloned().collect();
    let used = used(&repository().join(source_root), &modules);
    expect_that!(used.len(), gt(3), "{source_root}: uses were found");
    for (module, uses) in used {
        let against: Vec<_> = uses.difference(&allowed[&module]).collect();
        expect_that!(
            against,
            is_empty(),
            "{source_root}: `{module}` uses what ARCHITECTURE.md does not allow"
        );
    }
}

/// A folder or file of the crate that the table leaves out would not be checked.
fn every_module_has_a_row(source_root: &str, heading: &str, roots: &[&str]) {
    let page = std::fs::read_to_string(repository().join("docs/ARCHITECTURE.md")).expect("the page");
    let allowed = allowed(&page, heading);
    for entry in std::fs::read_dir(repository().join(source_root)).expect("a folder") {
        let name = entry.expect("an entry").file_name().to_string_lossy().trim_end_matches(".rs").to_owned();
        let is_tests = name.ends_with("_tests");
        if !is_tests && !roots.contains(&name.as_str()) {
            expect_that!(
                allowed.contains_key(&name),
                eq(true),
                "{source_root}: {name} has no row in ARCHITECTURE.md"
            );
        }
    }
}

#[gtest]
fn modules_of_the_gateway_keep_their_layers() {
    let heading = "## Modules of `whinstall-gateway`";
    check("crates/gateway/src", heading);
    every_module_has_a_row("crates/gateway/src", heading, &["lib", "main"]);
}

#[gtest]
fn modules_of_the_gatekeeper_in_service_keep_their_layers() {
    let heading = "## Modules of `whinstall`";
    check("src", heading);
    every_module_has_a_row("src", heading, &["lib", "main", "bin"]);
}
