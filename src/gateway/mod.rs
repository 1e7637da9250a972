//! The decision module: every decision on a request is made here, on the plain records of `state`, in the words of
//! `interface`: `rules` has the events and the ordinary path, `window` the quota, `caps` the open cap and the ceiling,
//! `choice` hosts, `attempts` attempts, `pressure` overload, `upkeep` what is due. `legacy` and `retune` carry the state
//! from one process or one settings to the next. Pure: no clock and no I/O. It must never know a socket, a header or a
//! file.

mod attempts;
mod budgets;
mod caps;
mod choice;
mod copies;
mod external;
mod interface;
mod legacy;
mod pressure;
mod records;
mod retune;
mod rules;
mod state;
mod upkeep;
mod window;

pub use budgets::CeilingShare;
pub use copies::{LocalState, RemoteState, WindowUsage};
pub use interface::*;
pub use legacy::{ExportedCustomer, ExportedHost, ExportedState};
pub use state::Gateway;
