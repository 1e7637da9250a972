//! Simulations of a fleet in simulated time, for sizes beyond what processes on one machine can show: a table of results
//! by fleet size, as text or CSV. All decisions are made by the program's own code.
//!
//! `whinstall-model copies --sizes 10,100` and `whinstall-model budgets --sizes 10,100`: the figures of
//! docs/replication.md and docs/budgets.md.

mod budgets;
mod fleet;

use std::time::Duration;

/// CPU time used by this thread so far. Other processes on the machine do not affect it.
fn cpu_time() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

#[derive(clap::Parser)]
#[command(name = "whinstall-model", version, about = "Simulates a fleet of gatekeepers")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Args)]
struct Table {
    /// Fleet sizes; the table has one line for each.
    #[arg(long, value_delimiter = ',', default_value = "10,30,100")]
    sizes: Vec<usize>,
    /// Simulated seconds of the steady state.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Print CSV instead of aligned columns.
    #[arg(long)]
    csv: bool,
}

#[derive(clap::Subcommand)]
enum Command {
    /// Replication: its cost per member, the lag of replicas, and recovery from a partition and from a restart.
    Copies {
        #[command(flatten)]
        table: Table,
        /// Fraction of datagrams that are lost.
        #[arg(long, default_value_t = 0.01)]
        lost: f64,
        /// Seed of the random number generator.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Division of ceilings: the fraction served with even shares, with shares by demand, and with one shared bucket; the
    /// cost of messages; and recovery after 70% of the gatekeepers are killed.
    Budgets {
        #[command(flatten)]
        table: Table,
        /// Fraction of its even share that each gatekeeper has without a grant.
        #[arg(long, default_value_t = 0.5)]
        floor: f64,
        /// Interval in seconds at which demand moves to other gatekeepers.
        #[arg(long, default_value_t = 10.0)]
        turn: f64,
    },
}

fn print(table: &Table, names: &[&str], row: impl Fn(usize) -> Vec<f64>) {
    let line = |first: String, cells: Vec<String>| match table.csv {
        true => println!("{first},{}", cells.join(",")),
        false => println!("{first:>8}{}", cells.iter().map(|cell| format!("{cell:>18}")).collect::<String>()),
    };
    line("size".into(), names.iter().map(ToString::to_string).collect());
    for size in &table.sizes {
        line(size.to_string(), row(*size).iter().map(|x| format!("{x:.3}")).collect());
    }
}

fn main() {
    match <Cli as clap::Parser>::parse().command {
        Command::Copies { table, lost, seed } => {
            print(&table, &fleet::Figures::COLUMNS, |size| {
                fleet::simulate(size, seed, lost, table.seconds).row()
            });
        }
        Command::Budgets { table, floor, turn } => {
            print(&table, &budgets::Figures::COLUMNS, |size| {
                budgets::simulate(size, (floor, turn), table.seconds).row()
            });
        }
    }
}
