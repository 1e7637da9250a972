//! `check`: validates a settings file, whose effective values it prints, or the body of a configuration call.

use super::CommandError;
use crate::configuration::{self, change};
use crate::settings::Settings;

/// Checks the configuration call in the file `config`. Without `config`, checks the settings file `settings`, which
/// defaults to the one that `WHINSTALL_NODE_FILE` names.
pub(super) fn run(settings: Option<String>, config: Option<String>) -> Result<(), CommandError> {
    match config {
        Some(path) => check_configuration(path),
        None => check_settings(settings),
    }
}

/// Checks a configuration call without a running system, so conflicts with its present configuration are not detected.
fn check_configuration(path: String) -> Result<(), CommandError> {
    let body = match std::fs::read(&path) {
        Ok(body) => body,
        Err(error) => return Err(CommandError::File(path, error)),
    };
    let checked = configuration::parse_change(&body)
        .and_then(|items| change::validate_change(&Default::default(), &items));
    match checked {
        Ok(items) => {
            println!("{path}: {} items, valid; conflicts with a running system are not checked", items.len());
            Ok(())
        }
        Err(error) => Err(CommandError::Configuration(path, error)),
    }
}

fn check_settings(path: Option<String>) -> Result<(), CommandError> {
    let settings = path.map_or_else(Settings::load, |path| Settings::load_from(path.as_ref()));
    println!("{:#?}", settings.map_err(CommandError::Settings)?);
    Ok(())
}
