//! Reading of operators' settings files.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use whinstall::config::ConfigError;
use whinstall::operators::OperatorSettings;

/// Why a record of an operators' settings file is not usable.
#[derive(Debug)]
pub enum SettingsFileError {
    /// The file cannot be read.
    Read {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is invalid.
    Invalid {
        /// The file.
        file: PathBuf,
        /// The first error in it.
        first: ConfigError,
        /// Number of further errors.
        more: usize,
    },
    /// The file does not have the record.
    MissingRecord {
        /// The file.
        file: PathBuf,
        /// Name of the record.
        record: &'static str,
    },
}

impl fmt::Display for SettingsFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsFileError::Read { file, source } => write!(f, "{}: {source}", file.display()),
            SettingsFileError::Invalid { file, first, more: 0 } => write!(f, "{}:{first}", file.display()),
            SettingsFileError::Invalid { file, first, more } => {
                write!(f, "{}:{first} (and {more} more errors, listed by `whinstall check`)", file.display())
            }
            SettingsFileError::MissingRecord { file, record } => {
                write!(f, "{}: no `{record}` record", file.display())
            }
        }
    }
}

impl std::error::Error for SettingsFileError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SettingsFileError::Read { source, .. } => Some(source),
            SettingsFileError::Invalid { .. } | SettingsFileError::MissingRecord { .. } => None,
        }
    }
}

/// Reads one record of an operators' settings file.
///
/// # Errors
/// The file cannot be read, anything in it is invalid, or it does not have the record.
pub fn read_record<T>(
    file: &Path,
    record: &'static str,
    select: impl Fn(OperatorSettings) -> Option<T>,
) -> Result<T, SettingsFileError> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| SettingsFileError::Read { file: file.to_owned(), source })?;
    let operators = OperatorSettings::load(&text).map_err(|errors| {
        let more = errors.len() - 1;
        let mut errors = errors.into_iter();
        let first = errors.next().expect("an invalid file has an error");
        SettingsFileError::Invalid { file: file.to_owned(), first, more }
    })?;
    select(operators).ok_or_else(|| SettingsFileError::MissingRecord { file: file.to_owned(), record })
}
