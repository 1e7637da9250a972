//! Errors in settings files.

use super::grammar::{Pos, SyntaxError};
use std::cell::RefCell;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    /// Position in the file.
    pub at: Pos,
    /// The field, by its path from the top; empty for a syntax error.
    pub field: String,
    /// Description of the error.
    pub message: String,
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.field.is_empty() {
            write!(f, "{}: {}", self.at, self.message)
        } else {
            write!(f, "{}: {}: {}", self.at, self.field, self.message)
        }
    }
}

impl std::error::Error for ConfigError {}

impl From<SyntaxError> for ConfigError {
    fn from(e: SyntaxError) -> Self {
        ConfigError { at: e.at, field: String::new(), message: e.message }
    }
}

/// Errors that all readers of a file report to. Readers share it, hence the interior mutability.
#[derive(Default, Debug)]
pub struct ErrorList(RefCell<Vec<ConfigError>>);

impl ErrorList {
    /// Adds an error.
    pub fn push(&self, at: Pos, field: &str, message: impl Into<String>) {
        self.0.borrow_mut().push(ConfigError { at, field: field.to_string(), message: message.into() });
    }

    /// All errors by position; those at one position in the order in which they were reported.
    pub fn into_sorted(self) -> Vec<ConfigError> {
        let mut all = self.0.into_inner();
        all.sort_by_key(|e| (e.at.line, e.at.column));
        all
    }

    /// Whether no error was reported.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }
}
