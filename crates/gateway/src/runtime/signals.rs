//! What a process is asked to do while it runs: signals, and a settings file that changes without one. Settings that
//! can't be used, or that somebody is still writing, change nothing.

use crate::settings::Settings;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{Interval, MissedTickBehavior};

/// How often the settings file is looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// What a process is asked to do.
pub enum ProcessSignal {
    /// Use these settings from now on.
    Reload(Box<Settings>),
    /// End, gracefully.
    Shutdown,
}

/// When a file was changed, and its length; `None`: there is no such file.
pub type FileStamp = Option<(SystemTime, u64)>;

/// Tells when a polled file has changed. It has once two polls in a row see the same stamp: a file may be written in
/// steps, and the first half of a settings file can be valid on its own.
pub struct FileWatch {
    /// The stamp as the file was loaded last.
    loaded: FileStamp,
    /// The stamp at the last poll.
    last: FileStamp,
}

impl FileWatch {
    /// Watches a file that was just loaded.
    pub fn new(stamp: FileStamp) -> Self {
        FileWatch { loaded: stamp, last: stamp }
    }

    /// Notes the stamp of a poll. Returns whether the file is to be loaded now; it then counts as loaded.
    pub fn observe(&mut self, stamp: FileStamp) -> bool {
        let is_stable = std::mem::replace(&mut self.last, stamp) == stamp;
        let has_changed = is_stable && stamp != self.loaded;
        if has_changed {
            self.loaded = stamp;
        }
        has_changed
    }

    /// Notes that the file is loaded now, whatever was observed.
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
    /// Listens from now on. Fails if a signal handler can't be installed.
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

    /// Waits for the next request to this process. Settings that can't be used are logged and passed over. May be
    /// dropped while it waits: no signal is lost.
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
