//! `check`: tells what a settings file or a configuration call would put in force, or what is wrong with it.

use super::CommandError;
use crate::configuration::{self, change};
use crate::settings::Settings;

/// Checks the configuration call in the file `config`, or else the settings in the file `settings`, or else those that
/// `WHINSTALL_NODE_FILE` names.
pub(super) fn run(settings: Option<String>, config: Option<String>) -> Result<(), CommandError> {
    match config {
        Some(path) => check_configuration(path),
        None => check_settings(settings),
    }
}

/// Checks a call on its own: what it may contradict in a running system can't be known here.
fn check_configuration(path: String) -> Result<(), CommandError> {
    let body = match std::fs::read(&path) {
        Ok(body) => body,
        Err(error) => return Err(CommandError::File(path, error)),
    };
    let checked = configuration::parse_change(&body)
        .and_then(|items| change::validate_change(&Default::default(), &items));
    match checked {
        Ok(items) => {
            println!("{path}: {} items, valid on their own", items.len());
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
