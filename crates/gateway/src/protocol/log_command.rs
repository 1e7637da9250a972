//! The commands of the replicated log.

use super::ShareCeilings;
use crate::configuration::ConfigChange;
use crate::discovery::ShutdownAnnouncement;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The payload of a log entry for the state machines. It is stored on disk, so its variants keep their names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogCommand {
    /// A change of the configuration that an operator sent.
    Configure(ConfigChange),
    /// A change like [`LogCommand::Configure`], before which each member begins to record removed names for good
    /// ([`ConfigState::record_removals`](crate::configuration::ConfigState::record_removals)). All members begin at
    /// the same entry: a member that records them accepts changes that one which doesn't leaves undetermined.
    ConfigureAndRecordRemovals(ConfigChange),
    /// Ceilings of standing quota shares as the quota leader has them, in full or as a difference.
    Shares(Arc<ShareCeilings>),
    /// A worker's announcement that it shuts down.
    Shutdown(ShutdownAnnouncement),
}
