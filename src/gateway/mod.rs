//! The decision module: every decision on a request is made here, in `rules`, on the plain records of `state`, in the
//! words of `interface`; `legacy` and `retune` carry the state from one process or one settings to the next. Pure: no
//! clock and no I/O. It must never know a socket, a header or a file.

mod budgets;
mod copies;
mod external;
mod interface;
mod legacy;
mod retune;
mod rules;
mod state;

pub use budgets::CeilingPart;
pub use copies::{Copies, Known, Spending};
pub use interface::*;
pub use legacy::{CustomerLegacy, HostLegacy, Legacy};
pub use state::Gateway;
