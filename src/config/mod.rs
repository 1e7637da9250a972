//! The one loader of operators' settings files: a CUE-like text ([`grammar`]) becomes checked, typed
//! records ([`check`]). Every subsystem with settings of its own reads them through it, so that all files
//! share one syntax and one kind of error: line, column, field. It is pure: the caller reads the file. It must
//! never hold settings of its own or decide anything with them.

pub mod check;
pub mod grammar;

pub use check::{ConfigError, Errors, Reader};
pub use grammar::{Node, Pos, Value};

/// Reads a text and hands its top record to `read`; returns what `read` made, or every error found.
pub fn load<T>(text: &str, read: impl FnOnce(&Reader<'_>) -> T) -> Result<T, Vec<ConfigError>> {
    let tree = grammar::parse(text)
        .map_err(|e| vec![ConfigError { at: e.at, field: String::new(), message: e.message }])?;
    let tree = check::resolve(&tree)?;
    let errors = Errors::default();
    let out = {
        let reader = Reader::new(&tree, "", &errors).expect("the top is a record");
        let out = read(&reader);
        reader.finish();
        out
    };
    if errors.is_empty() {
        Ok(out)
    } else {
        Err(errors.take())
    }
}
