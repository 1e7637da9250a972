//! The simulated days that run in CI, grouped by subject.

mod basic_faults;
mod bootstrap;
mod concurrent_changes;
mod configuration_bounds;
mod core_repair;
mod digest_tests;
mod history_tests;
mod item_removals;
mod last_tenant;
mod long_days;
mod misbehaving_core;
mod partitions;
mod quota_counter;
mod snapshots;
mod status_reports;
mod worker_shutdowns;
mod worst_days;
