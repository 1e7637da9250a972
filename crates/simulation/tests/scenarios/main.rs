//! The simulated days that run in CI, by what they are about.

mod basic;
mod bounds;
mod cut;
mod digest_tests;
mod history_tests;
mod long;
mod quota_counter;
mod race;
mod repair;
mod snapshot;
mod spoiled;
mod start;
mod status;
mod worst;
