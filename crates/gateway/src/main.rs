//! The program of the gateway; see [`whinstall_gateway::cli`].

use std::process::ExitCode;

fn main() -> ExitCode {
    whinstall_gateway::cli::run()
}
