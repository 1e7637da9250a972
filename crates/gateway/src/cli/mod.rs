//! The command line: runs a role, or one of the commands `check`, `status` and `export`. Results are written to standard
//! output, everything else to standard error. Exit codes: 0 success, 1 failure, 2 invalid command line.

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

const USAGE: &str = "whinstall-gateway ROLE|COMMAND [OPTIONS]

Roles:
    edge     serves clients according to the configuration, which it receives from the core with the list of workers
    core     replicates the configuration on disk, and keeps the list of workers and the quota counters

Commands:
    check    validates a settings file or, with --config, the body of a configuration call, and reports the first error
    status   queries a core machine at its control address (--at) and prints the state of the core as JSON: its members,
             the leader and the term, the replication progress of each member, and which members are out and why
    export   reads the disk of a stopped core machine and prints all items on it, including removed ones, as the body of
             one configuration call for a new core; a description of the disk goes to standard error. Use it if a
             majority of the core is permanently lost, and for disks of releases before the replicated log. The recovery
             procedure is in docs/system-operators.md

WHINSTALL_NODE_FILE names the settings file. RUST_LOG sets the log filter (default: info).";

/// The exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// Failure of a command. The text is printed to standard error as it stands.
#[derive(Debug, displaydoc::Display)]
pub enum CommandError {
    /// whinstall-gateway: status requires --at with an IP address and a port, such as 10.0.0.4:8080
    MissingAddress,
    /// whinstall-gateway: export requires --data with the data folder of a core machine
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
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optopt(
        "",
        "settings",
        "check: the settings file to validate instead of the one in WHINSTALL_NODE_FILE",
        "FILE",
    );
    options.optopt("", "config", "check: the JSON body of a configuration call to validate", "FILE");
    options.optopt("", "at", "status: the control address of a core machine", "ADDRESS");
    options.optopt("", "data", "export: the data folder of the core machine (data_path)", "DIR");
    options.optopt("", "out", "export: write to this file instead of standard output", "FILE");
    options
}

/// Runs the program with the command-line arguments of this process.
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
        None => run_role(name).unwrap_or_else(|| usage_error(&format!("unknown role or command: {name}"))),
    }
}

/// Runs the command with this name; `None` if there is no such command.
fn run_command(name: &str, arguments: &Matches) -> Option<Result<(), CommandError>> {
    let option = |name| arguments.opt_str(name);
    match name {
        "check" => Some(check::run(option("settings"), option("config"))),
        "status" => Some(status::run(option("at"))),
        "export" => Some(export::run(option("data"), option("out"))),
        _ => None,
    }
}

/// Runs the role with this name until the process receives a signal to end; `None` if there is no such role.
pub fn run_role(name: &str) -> Option<ExitCode> {
    Role::from_name(name).map(runtime::run)
}
