//! The decision module: admission, host selection, attempts, hedging and the quota window of a gateway.
//!
//! `interface` has the types of events and actions, `state` the records that decisions are made on. `rules` handles
//! events and admits requests, `window` is the quota, `caps` the concurrency limit and the ceiling, `pressure` overload
//! protection, `choice` host selection, `attempts` dispatch and retries, `upkeep` timers. `replication` and
//! `ceiling_shares` exchange state with other gateways; `handover` and `settings_update` carry the state over to another
//! process or to other settings.
//!
//! The module is pure: it has no clock and no I/O, and knows nothing of sockets, headers or files.

mod attempts;
mod caps;
mod ceiling_shares;
mod choice;
mod external;
mod handover;
mod interface;
mod pressure;
mod records;
mod replication;
mod rules;
mod settings_update;
mod state;
mod upkeep;
mod window;

pub use ceiling_shares::CeilingShare;
pub use handover::{ExportedCustomer, ExportedHost, ExportedState};
pub use interface::*;
pub use replication::{LocalState, RemoteState, WindowUsage};
pub use state::Gateway;
