//! The command line and its subcommands.

use super::configuration::LoadedConfiguration;
use super::error::StartError;
use super::settings_file;
use super::startup::{self, ServeOptions, ZoneSettings};
use crate::net::report;
use clap::Parser;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use whinstall::operators::OperatorSettings;

/// Environment variable with the path of the configuration.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";

/// The command line. Without a subcommand the gatekeeper serves, as the platform starts it.
#[derive(Parser)]
#[command(name = "whinstall", version, about = "A quota gatekeeper before a fleet of drafting nodes")]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    /// Settings of zones (as `deploy/halls.cue`): tiers, bounded spill, slow start after a loss. Without it, nodes
    /// are selected regardless of zone health. Read again at SIGHUP; an invalid file then changes nothing.
    #[arg(long = "halls", global = true, value_name = "FILE")]
    zones: Option<PathBuf>,
    /// Settings of the quota counter's guard (as `deploy/quota.cue`). Without it, defaults apply. Read at startup.
    #[arg(long, global = true, value_name = "FILE")]
    quota: Option<PathBuf>,
    /// Settings of replication among gatekeepers (docs/replication.md). Without it there is no replication.
    #[arg(long, global = true, value_name = "FILE")]
    fleet: Option<PathBuf>,
}

#[derive(clap::Subcommand)]
enum Command {
    /// Serve, by the configuration that ROUTER_CONFIG names (the default).
    Serve,
    /// Check an operators' settings file: prints what is in force, or every error with line, column and
    /// field, and exits with 1.
    Check {
        /// The file, as `deploy/halls.cue`.
        file: PathBuf,
    },
    /// Plan the loss of each site, and of each pair of sites, by an operators' settings file (docs/sites.md): prints
    /// the utilization of the remaining sites and the load that is rejected. Exits with 1 if a loss cannot be carried
    /// by the configured shed order.
    Plan {
        /// The file, as `deploy/sites.cue`.
        file: PathBuf,
    },
    /// Summarize a gatekeeper's log: the quota counter (each partition's mode, since when, the units that may be in
    /// error, the changes that led there) and replication among gatekeepers.
    Report {
        /// The log; `-`: standard input.
        log: PathBuf,
    },
}

/// Runs the program.
pub fn run() -> ExitCode {
    let cli = Cli::parse();
    match &cli.command {
        Some(Command::Check { file }) => check(file),
        Some(Command::Report { log }) => print_report(log),
        Some(Command::Plan { file }) => plan(file),
        Some(Command::Serve) | None => match serve(&cli) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&error),
        },
    }
}

fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("whinstall: {error}");
    ExitCode::FAILURE
}

/// `whinstall serve`.
fn serve(cli: &Cli) -> Result<(), StartError> {
    init_logging();
    let zones = cli.zones.as_deref().map(ZoneSettings::read).transpose()?;
    let quota = cli.quota.as_deref().map(|file| settings_file::read_record(file, "counter", |o| o.counter));
    let quota = quota.transpose()?.unwrap_or_default();
    let fleet = cli.fleet.as_deref().map(|file| settings_file::read_record(file, "fleet", |o| o.fleet));
    let fleet = fleet.transpose()?;
    let path = std::env::var(CONFIG_VARIABLE).map_err(|_| StartError::ConfigPathUnset)?;
    let configuration = LoadedConfiguration::read(Path::new(&path))
        .map_err(|source| StartError::Configuration { path: path.clone().into(), source })?;
    let options = ServeOptions { path: path.into(), configuration, zones, quota, fleet };
    actix_rt::System::new().block_on(startup::serve(options))
}

fn init_logging() {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(std::io::stderr).init();
}

/// `whinstall check FILE`.
fn check(file: &Path) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return fail(&format_args!("{}: {e}", file.display())),
    };
    match OperatorSettings::load(&text) {
        Ok(operators) => {
            print!("{}", operators.describe());
            ExitCode::SUCCESS
        }
        Err(errors) => {
            for e in errors {
                eprintln!("{}:{e}", file.display());
            }
            ExitCode::FAILURE
        }
    }
}

/// `whinstall plan FILE`.
fn plan(file: &Path) -> ExitCode {
    match settings_file::read_record(file, "sites", |o| o.sites) {
        Ok(sites) => {
            let plan = sites.plan_all_losses();
            print!("{}", plan.describe());
            if plan.is_feasible() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => fail(&error),
    }
}

/// `whinstall report LOG`.
fn print_report(log: &Path) -> ExitCode {
    let text = match log.to_str() {
        Some("-") => std::io::read_to_string(std::io::stdin()),
        _ => std::fs::read_to_string(log),
    };
    match text {
        Ok(text) => {
            print!("{}", report::summarize(&text));
            ExitCode::SUCCESS
        }
        Err(e) => fail(&format_args!("{}: {e}", log.display())),
    }
}
