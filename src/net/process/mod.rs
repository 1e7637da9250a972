//! The process: command line, startup, reload by SIGHUP, hot restart and graceful shutdown.

mod cli;
mod configuration;
mod descriptors;
mod error;
mod reload;
mod service;
mod settings_file;
mod startup;
#[cfg(test)]
mod tests;

pub use cli::run;
