//! The command line: runs a role, or one of the commands `check`, `status` and `export`. Results go to standard output,
//! everything else to standard error. Exit codes: 0 done, 1 failed, 2 called wrongly.

mod check;
pub mod export;
#[cfg(test)]
mod export_tests;
mod status;
#[cfg(test)]
mod stored_data_tests;

use crate::configuration::change::ChangeError;
use crate::runtime::{self, Role};
use crate::settings::SettingsError;
use export::ExportError;
use getopts::{Matches, Options};
use status::StatusError;
use std::net::SocketAddr;
use std::process::ExitCode;

const USAGE: &str = "whinstall-gateway ROLE

Roles:
    edge     serves clients by the configuration, and finds workers and configuration at the core
    core     keeps the configuration on its disk, the list of workers and the counter of quotas
    check    reads a settings file or, with --config, the body of a configuration call, and tells what is wrong
    status   asks a core machine at its control address (--at) who is of the core, who leads, in which term, how far each
             is, and who is out and why; prints it as JSON
    export   prints the items on the disk of a core machine that does not run, those that were dropped too, as the body
             of one configuration call for a new core, and on standard error what the disk is. For a core of which
             most is lost for good, and for disks of the program before the replicated log; how to go on is in
             docs/system-operators.md

The settings file is named by WHINSTALL_NODE_FILE. RUST_LOG sets how much is logged (info).";

/// The exit code of a command line that can't be understood.
const EXIT_USAGE: u8 = 2;

/// Why a command failed. The text goes to standard error as it is.
#[derive(Debug, displaydoc::Display)]
pub enum CommandError {
    /// whinstall-gateway: status needs --at ADDRESS, such as 10.0.0.4:8080
    MissingAddress,
    /// whinstall-gateway: export needs --data DIR
    MissingDataFolder,
    /// {0}
    Settings(SettingsError),
    /// {0}: {1}
    File(String, std::io::Error),
    /// {0}: {1}
    Configuration(String, ChangeError),
    /// {0}: {1}
    Export(String, ExportError),
    /// {0}: {1}
    Status(SocketAddr, StatusError),
}

impl std::error::Error for CommandError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            CommandError::MissingAddress | CommandError::MissingDataFolder => None,
            CommandError::Settings(error) => Some(error),
            CommandError::File(_, error) => Some(error),
            CommandError::Configuration(_, error) => Some(error),
            CommandError::Export(_, error) => Some(error),
            CommandError::Status(_, error) => Some(error),
        }
    }
}

impl CommandError {
    fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::MissingAddress | CommandError::MissingDataFolder => ExitCode::from(EXIT_USAGE),
            _ => ExitCode::FAILURE,
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this");
    options.optflag("V", "version", "print the version");
    options.optopt("", "settings", "check: a settings file", "FILE");
    options.optopt("", "config", "check: a configuration call's body, as JSON", "FILE");
    options.optopt("", "at", "status: the control address of a core machine", "ADDRESS");
    options.optopt("", "data", "export: the folder of the disk (data_path)", "DIR");
    options.optopt("", "out", "export: written here instead of printed", "FILE");
    options
}

/// Runs the program with the arguments of this process.
pub fn run() -> ExitCode {
    let options = options();
    let usage_error = |error: &str| {
        eprintln!("whinstall-gateway: {error}\n\n{}", options.usage(USAGE));
        ExitCode::from(EXIT_USAGE)
    };
    let arguments = match options.parse(std::env::args().skip(1)) {
        Ok(arguments) => arguments,
        Err(error) => return usage_error(&error.to_string()),
    };
    if arguments.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    if arguments.opt_present("version") {
        println!("whinstall-gateway {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let [name] = &arguments.free[..] else {
        eprintln!("{}", options.usage(USAGE));
        return ExitCode::from(EXIT_USAGE);
    };
    match run_command(name, &arguments) {
        Some(Ok(())) => ExitCode::SUCCESS,
        Some(Err(error)) => {
            eprintln!("{error}");
            error.exit_code()
        }
        None => run_role(name).unwrap_or_else(|| usage_error(&format!("no role {name}"))),
    }
}

/// Runs the command of this name, if there is one.
fn run_command(name: &str, arguments: &Matches) -> Option<Result<(), CommandError>> {
    let option = |name| arguments.opt_str(name);
    match name {
        "check" => Some(check::run(option("settings"), option("config"))),
        "status" => Some(status::run(option("at"))),
        "export" => Some(export::run(option("data"), option("out"))),
        _ => None,
    }
}

/// Runs the role of this name, if there is one, until the process is asked to end.
pub fn run_role(name: &str) -> Option<ExitCode> {
    Role::from_name(name).map(runtime::run)
}
