//! Loader of the operators' settings files.
//!
//! A file goes through three steps: [`grammar`] parses the CUE-like text into a tree of values with positions,
//! [`resolve()`] replaces references between fields, and a [`Reader`] per record checks types and ranges. Each
//! subsystem reads its own record this way, so that all files share one syntax and one kind of error: line,
//! column, field, message. Nothing here does I/O or knows a field; the caller reads the file.

mod error;
pub mod grammar;
mod reader;
mod resolve;

pub use error::{ConfigError, ErrorList};
pub use grammar::{Node, Pos, Value};
pub use reader::{Range, Reader};
pub use resolve::resolve;

/// Parses a text and passes its top record to `read`. Returns what `read` made of it.
///
/// # Errors
/// The syntax error, or else every bad reference, or else every error that a reader reported, ordered by position.
/// A field that `read` did not ask for is an error, too.
pub fn load<T>(text: &str, read: impl FnOnce(&Reader<'_>) -> T) -> Result<T, Vec<ConfigError>> {
    let tree = grammar::parse(text).map_err(|e| vec![e.into()])?;
    let tree = resolve(&tree)?;
    let errors = ErrorList::default();
    let out = {
        let reader = Reader::new(&tree, "", &errors).expect("the parser returns a record");
        let out = read(&reader);
        reader.finish();
        out
    };
    if errors.is_empty() {
        Ok(out)
    } else {
        Err(errors.into_sorted())
    }
}
