//! The gatekeeper's program. Everything is in [`net`]; the decisions are the library's.

mod net;

use std::process::ExitCode;

fn main() -> ExitCode {
    net::process::run()
}
