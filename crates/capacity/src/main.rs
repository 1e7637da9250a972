//! Measures how the resource use of each role grows with the size of the system (docs/CAPACITY.md).
//!
//! Starts a real core, simulated edges, simulated workers and an operator client on loopback, at several sizes, and
//! writes the figures (JSON), a summary (Markdown) and plots (SVG). Child processes end with their standard input.

mod arrays;
mod bench;
mod children;
mod cluster;
mod fault_recovery;
mod files;
mod fit;
mod machine;
mod operator;
mod plan;
mod plot;
mod report;
mod simulated_edges;
mod workers;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Why a measurement failed.
#[derive(Debug, displaydoc::Display)]
pub enum CapacityError {
    /// {0}: {1}
    File(String, std::io::Error),
    /// a socket: {0}
    Socket(std::io::Error),
    /// a process: {0}
    Child(String),
    /// the core refused a configuration: {0} {1}
    Refused(u16, String),
    /// no acknowledgement within {0} s; last heard: {1}
    Unanswered(f64, String),
    /// {0} takes more than {1} bytes of memory
    Memory(String, u64),
    /// {0}: can't be drawn: {1}
    Drawing(String, String),
}

impl CapacityError {
    /// Maps an I/O error at a path.
    fn file(path: &Path) -> impl FnOnce(std::io::Error) -> Self + '_ {
        move |error| CapacityError::File(path.display().to_string(), error)
    }
}

impl std::error::Error for CapacityError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            CapacityError::File(_, error) | CapacityError::Socket(error) => Some(error),
            CapacityError::Child(_)
            | CapacityError::Refused(..)
            | CapacityError::Unanswered(..)
            | CapacityError::Memory(..)
            | CapacityError::Drawing(..) => None,
        }
    }
}

const USAGE: &str = "whinstall-capacity --out DIR

Measures on this machine how the gateway's roles grow, with real processes on loopback, and ends by itself.";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        ["role", role] => {
            children::end_with_input();
            whinstall_gateway::cli::run_role(role).unwrap_or(ExitCode::FAILURE)
        }
        ["edges", job] => child(job, simulated_edges::run),
        ["workers", job] => child(job, workers::run),
        ["clients", job] => child(job, bench::run),
        _ => measure(&arguments),
    }
}

/// Runs a child process with the job in a file.
fn child<J, F>(path: &str, run: impl FnOnce(J) -> F) -> ExitCode
where
    J: serde::de::DeserializeOwned,
    F: std::future::Future<Output = Result<(), CapacityError>>,
{
    let job = std::fs::read_to_string(path).ok().and_then(|text| serde_json::from_str(&text).ok());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let (Some(job), Ok(runtime)) = (job, runtime) else {
        eprintln!("{path}: not a job");
        return ExitCode::FAILURE;
    };
    match tokio::task::LocalSet::new().block_on(&runtime, run(job)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(arguments: &[String]) -> ExitCode {
    let mut options = getopts::Options::new();
    options.optopt("", "out", "where figures, summary and plots go", "DIR");
    options.optopt("", "only", "only what has this in its line of the list, parted by commas", "PART,...");
    options.optflag("", "small", "a few gatekeepers for a few seconds: does the tool work?");
    options.optflag("", "list", "print what would be measured");
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("whinstall-capacity: {error}\n\n{}", options.usage(USAGE));
            return ExitCode::from(2);
        }
    };
    let only: Vec<String> = matches
        .opt_str("only")
        .unwrap_or_default()
        .split(',')
        .filter(|p| !p.is_empty())
        .map(Into::into)
        .collect();
    let plan = plan::Plan::new(matches.opt_present("small"), &only);
    if matches.opt_present("list") {
        plan.list();
        return ExitCode::SUCCESS;
    }
    let Some(out) = matches.opt_str("out").map(PathBuf::from) else {
        eprintln!("{}", options.usage(USAGE));
        return ExitCode::from(2);
    };
    match run(&plan, &out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("whinstall-capacity: {error}");
            ExitCode::FAILURE
        }
    }
}

/// A temporary folder that is removed on drop.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Result<Self, CapacityError> {
        let path = std::env::temp_dir().join(format!("whinstall-capacity-{}-{name}", std::process::id()));
        let created = std::fs::remove_dir_all(&path).or(Ok(())).and_then(|()| std::fs::create_dir_all(&path));
        created.map_err(CapacityError::file(&path))?;
        Ok(Scratch(path))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run(plan: &plan::Plan, out: &Path) -> Result<(), CapacityError> {
    std::fs::create_dir_all(out).map_err(CapacityError::file(out))?;
    let mut results = report::Results::default();
    for (number, case) in plan.cases.iter().enumerate() {
        eprintln!("{}/{}: {} at {} {}", number + 1, plan.cases.len(), case.group, case.size, case.by);
        let scratch = Scratch::new(&number.to_string())?;
        match cluster::measure(&scratch.0, case) {
            Ok(measured) => results.measured.push(measured),
            Err(error) => {
                eprintln!("  not measured: {error}");
                results.failed.push((case.clone(), error.to_string()));
            }
        }
        // What is known so far outlives a measurement that is ended from outside.
        results.write(out)?;
    }
    for (number, case) in plan.fault_recovery.iter().enumerate() {
        eprintln!("loss {}/{}: at {} {}", number + 1, plan.fault_recovery.len(), case.size, case.by);
        let scratch = Scratch::new(&format!("loss-{number}"))?;
        match fault_recovery::measure(&scratch.0, case) {
            Ok(lost) => results.lost.push(lost),
            Err(error) => {
                eprintln!("  not measured: {error}");
                results.failed.push((case.clone(), error.to_string()));
            }
        }
        results.write(out)?;
    }
    for (number, comparison) in plan.comparisons.iter().enumerate() {
        eprintln!("comparison {}/{}", number + 1, plan.comparisons.len());
        let scratch = Scratch::new(&format!("bench-{number}"))?;
        match bench::compare(&scratch.0, comparison) {
            Ok(compared) => results.compared.extend(compared),
            Err(error) => {
                eprintln!("  not compared: {error}");
                results.uncompared.push(error.to_string());
            }
        }
        results.write(out)?;
    }
    results.draw(out)
}
