//! Requests to a running process: signals, and changes of the settings file, which is also polled. Invalid settings, and
//! a file that is still being written, leave the active settings unchanged.

use crate::settings::Settings;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{Interval, MissedTickBehavior};

/// Interval at which the settings file is polled.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// A request to the running process.
pub enum ProcessSignal {
    /// Replace the active settings with these.
    Reload(Box<Settings>),
    /// Shut down gracefully.
    Shutdown,
}

/// Modification time and length of a file; `None` if the file does not exist.
pub type FileStamp = Option<(SystemTime, u64)>;

/// Detects changes of a polled file. A change is reported once two consecutive polls see the same new stamp: a file may
/// be written in steps, and the first half of a settings file can be valid on its own.
pub struct FileWatch {
    /// Stamp of the file when it was last loaded.
    loaded: FileStamp,
    /// Stamp of the file at the last poll.
    last: FileStamp,
}

impl FileWatch {
    /// Starts to watch a file that was just loaded.
    pub fn new(stamp: FileStamp) -> Self {
        FileWatch { loaded: stamp, last: stamp }
    }

    /// Records the stamp of a poll. Returns whether the file must be loaded now, and then marks it as loaded.
    pub fn observe(&mut self, stamp: FileStamp) -> bool {
        let is_stable = std::mem::replace(&mut self.last, stamp) == stamp;
        let has_changed = is_stable && stamp != self.loaded;
        if has_changed {
            self.loaded = stamp;
        }
        has_changed
    }

    /// Records that the file is loaded now, regardless of earlier polls.
    pub fn mark_loaded(&mut self, stamp: FileStamp) {
        *self = FileWatch::new(stamp);
    }
}

/// Listens for SIGTERM, SIGINT and SIGHUP, and watches the settings file.
pub struct SignalListener {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
    polls: Interval,
    settings_file: FileWatch,
}

impl SignalListener {
    /// Starts to listen. Fails if a signal handler can't be installed.
    pub fn new() -> std::io::Result<Self> {
        let mut polls = tokio::time::interval(WATCH_INTERVAL);
        polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ok(SignalListener {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
            polls,
            settings_file: FileWatch::new(settings_file_stamp()),
        })
    }

    /// Waits for the next request to this process. Invalid settings are logged and ignored. The returned future may be
    /// dropped while it waits; no signal is lost.
    pub async fn next(&mut self) -> ProcessSignal {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return ProcessSignal::Shutdown,
                _ = self.interrupt.recv() => return ProcessSignal::Shutdown,
                _ = self.hang_up.recv() => self.settings_file.mark_loaded(settings_file_stamp()),
                _ = self.polls.tick() => if !self.settings_file.observe(settings_file_stamp()) { continue },
            }
            match Settings::load() {
                Ok(settings) => {
                    tracing::info!("settings reloaded");
                    return ProcessSignal::Reload(Box::new(settings));
                }
                Err(error) => tracing::error!(%error, "settings rejected, keeping the previous ones"),
            }
        }
    }
}

fn settings_file_stamp() -> FileStamp {
    let file = std::fs::metadata(Settings::file_path().ok()?).ok()?;
    Some((file.modified().ok()?, file.len()))
}
