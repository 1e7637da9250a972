//! The command line: the roles, and the commands `check`, `status` and `export`.

pub mod export;
#[cfg(test)]
mod export_tests;
#[cfg(test)]
mod stored_data_tests;

use crate::configuration;
use crate::runtime::{self, Role};
use crate::settings::Settings;
use std::process::ExitCode;
use std::time::Duration;

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

/// Runs the program with the arguments of this process.
pub fn run() -> ExitCode {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this");
    options.optflag("V", "version", "print the version");
    options.optopt("", "settings", "check: a settings file", "FILE");
    options.optopt("", "config", "check: a configuration call's body, as JSON", "FILE");
    options.optopt("", "at", "status: the control address of a core machine", "ADDRESS");
    options.optopt("", "data", "export: the folder of the disk (data_path)", "DIR");
    options.optopt("", "out", "export: written here instead of printed", "FILE");
    let told = match options.parse(std::env::args().skip(1)) {
        Ok(told) => told,
        Err(error) => {
            eprintln!("whinstall-gateway: {error}\n\n{}", options.usage(USAGE));
            return ExitCode::from(2);
        }
    };
    if told.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    if told.opt_present("version") {
        println!("whinstall-gateway {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let role = match &told.free[..] {
        [role] => role.as_str(),
        _ => {
            eprintln!("{}", options.usage(USAGE));
            return ExitCode::from(2);
        }
    };
    match role {
        "check" => check(told.opt_str("settings"), told.opt_str("config")),
        "status" => status(told.opt_str("at")),
        "export" => export(told.opt_str("data"), told.opt_str("out")),
        name => run_role(name).unwrap_or_else(|| {
            eprintln!("whinstall-gateway: no role {name}\n\n{}", options.usage(USAGE));
            ExitCode::from(2)
        }),
    }
}

/// Runs the role of this name, if there is one.
pub fn run_role(name: &str) -> Option<ExitCode> {
    Role::from_name(name).map(runtime::run)
}

/// Tells what a settings file or a configuration call would put in force, or what is wrong with it.
fn check(settings: Option<String>, config: Option<String>) -> ExitCode {
    if let Some(path) = config {
        let body = match std::fs::read(&path) {
            Ok(body) => body,
            Err(error) => {
                eprintln!("{path}: {error}");
                return ExitCode::FAILURE;
            }
        };
        let judged = configuration::parse_change(&body)
            .and_then(|items| configuration::change::validate_change(&Default::default(), &items));
        return match judged {
            Ok(items) => {
                println!("{path}: {} items, valid on their own", items.len());
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("{path}: {error}");
                ExitCode::FAILURE
            }
        };
    }
    let read = settings.map_or_else(Settings::load, |path| Settings::load_from(path.as_ref()));
    match read {
        Ok(settings) => {
            println!("{settings:#?}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints, or writes to a file, the call that takes over the items of a disk.
fn export(data: Option<String>, out: Option<String>) -> ExitCode {
    let Some(data) = data else {
        eprintln!("whinstall-gateway: export needs --data DIR");
        return ExitCode::from(2);
    };
    let call = match export::export(data.as_ref()) {
        Ok(export) => {
            eprintln!("{}", export.origin);
            export.to_string()
        }
        Err(error) => {
            eprintln!("{data}: {error}");
            return ExitCode::FAILURE;
        }
    };
    let Some(out) = out else {
        println!("{call}");
        return ExitCode::SUCCESS;
    };
    match std::fs::write(&out, call) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{out}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Asks a core machine how the core stands, and prints it.
fn status(at: Option<String>) -> ExitCode {
    let Some(address) = at.as_deref().and_then(|at| at.parse().ok()) else {
        eprintln!("whinstall-gateway: status needs --at ADDRESS, such as 10.0.0.4:8080");
        return ExitCode::from(2);
    };
    match ask(address) {
        Ok(told) => {
            println!("{told}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{address}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The answer of a core machine at `address` to how the core stands: JSON, indented.
fn ask(address: std::net::SocketAddr) -> std::io::Result<String> {
    use std::io::{Error, Read, Write};
    const WITHIN: Duration = Duration::from_secs(2);
    let mut stream = std::net::TcpStream::connect_timeout(&address, WITHIN)?;
    stream.set_read_timeout(Some(WITHIN))?;
    let request = format!("GET /whinstall/core HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let (head, body) = answer.split_once("\r\n\r\n").ok_or_else(|| Error::other("no answer"))?;
    if !head.starts_with("HTTP/1.1 200") {
        return Err(Error::other(head.lines().next().unwrap_or_default().to_owned()));
    }
    let value: serde_json::Value = serde_json::from_str(body).map_err(Error::other)?;
    serde_json::to_string_pretty(&value).map_err(Error::other)
}
