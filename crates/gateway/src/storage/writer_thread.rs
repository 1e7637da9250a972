//! The writer thread: batches that are queued during a write go into the next transaction together.

use super::{ReplicaStore, WriteBatch};
use std::sync::mpsc;
use std::time::Duration;

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// One warning is logged for this many consecutive failures, beginning with the first.
const FAILURES_PER_WARNING: u32 = 10;

impl ReplicaStore {
    /// Moves the store to a dedicated thread that writes all batches sent to it, in order. After each synced
    /// transaction the thread calls `on_synced` with the [`sequence`](WriteBatch::sequence) of the last batch. A failed
    /// write is retried until it succeeds, so no batch is skipped or reported early. The thread ends once the sender is
    /// dropped and all sent batches are synced.
    pub fn spawn_writer(mut self, on_synced: impl Fn(u64) + Send + 'static) -> mpsc::Sender<WriteBatch> {
        let (sender, receiver) = mpsc::channel::<WriteBatch>();
        std::thread::spawn(move || {
            while let Ok(first) = receiver.recv() {
                let batches: Vec<WriteBatch> = std::iter::once(first).chain(receiver.try_iter()).collect();
                self.write_with_retries(&batches);
                on_synced(batches.last().map_or(0, |b| b.sequence));
            }
        });
        sender
    }

    fn write_with_retries(&mut self, batches: &[WriteBatch]) {
        let mut failures = 0;
        while let Err(error) = self.write(batches) {
            if failures % FAILURES_PER_WARNING == 0 {
                tracing::warn!(%error, failures, "disk write failed, retrying");
            }
            failures += 1;
            std::thread::sleep(RETRY_DELAY);
        }
    }
}
