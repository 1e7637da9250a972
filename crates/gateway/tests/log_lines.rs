//! Every message that the programs can log has its row in docs/system-operators.md.

#[path = "common/files.rs"]
mod files;

use files::files_below;
use googletest::prelude::*;
use std::path::Path;

/// The arguments of a macro call, from behind its bracket.
fn arguments(text: &str) -> Vec<&str> {
    let (mut depth, mut quoted, mut from, mut found) = (0, false, 0, Vec::new());
    let mut before = ' ';
    for (at, c) in text.char_indices() {
        match c {
            '"' if before != '\\' => quoted = !quoted,
            _ if quoted => {}
            ')' | ']' | '}' if depth == 0 => {
                found.push(text[from..at].trim());
                return found;
            }
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' => depth -= 1,
            ',' if depth == 0 => {
                found.push(text[from..at].trim());
                from = at + 1;
            }
            _ => {}
        }
        before = c;
    }
    found
}

#[gtest]
fn every_log_message_is_documented() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("../../docs/system-operators.md")).expect("the page");
    let mut messages = 0;
    for file in files_below(&root.join("src")) {
        let text = std::fs::read_to_string(&file).expect("a source");
        for level in ["error", "warn", "info", "debug"] {
            let call = format!("tracing::{level}!(");
            for (at, _) in text.match_indices(&call) {
                let all = arguments(&text[at + call.len()..]);
                let message = all.iter().find_map(|a| a.strip_prefix('"')?.strip_suffix('"'));
                let place = file.display();
                let Some(message) = message else { panic!("{place}: no message in {all:?}") };
                messages += 1;
                expect_that!(page, contains_substring(format!("`{message}`")), "{place}: {message}");
            }
        }
    }
    expect_that!(messages, gt(40));
}
