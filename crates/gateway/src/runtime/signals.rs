//! Owns what a process is asked to do while it runs: signals, and a settings file that changes without any. It must never
//! hand on settings that can't be used, nor those of a file that somebody is still writing.

use crate::settings::Settings;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{signal, Signal as Stream, SignalKind};

/// The settings file is looked at this often.
const LOOK: Duration = Duration::from_millis(500);

/// What a process is asked to do.
pub enum ProcessSignal {
    /// Its settings have changed.
    Reload(Box<Settings>),
    /// It is to end.
    Shutdown,
}

/// When a file was changed, and its length; none: it is not there.
pub type FileStamp = Option<(SystemTime, u64)>;

/// A file that is looked at now and then. It counts as changed once it looks alike twice: it may be written in steps, and
/// half of a settings file can be read as one that lacks the rest.
pub struct FileWatch {
    read: FileStamp,
    last: FileStamp,
}

impl FileWatch {
    /// Of a file that was just read.
    pub fn new(stamp: FileStamp) -> Self {
        FileWatch { read: stamp, last: stamp }
    }

    /// A look; returned: is it to be read?
    pub fn observe(&mut self, stamp: FileStamp) -> bool {
        let steady = std::mem::replace(&mut self.last, stamp) == stamp;
        let changed = steady && stamp != self.read;
        if changed {
            self.read = stamp;
        }
        changed
    }

    /// It is read now in any case.
    pub fn mark_loaded(&mut self, stamp: FileStamp) {
        *self = FileWatch::new(stamp);
    }
}

/// SIGTERM, SIGHUP, and a settings file that changes without any signal.
pub struct SignalListener {
    term: Stream,
    int: Stream,
    hup: Stream,
    look: tokio::time::Interval,
    watch: FileWatch,
}

impl SignalListener {
    /// From now on.
    pub fn new() -> std::io::Result<Self> {
        let mut look = tokio::time::interval(LOOK);
        look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let (term, int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        Ok(SignalListener {
            term,
            int,
            hup: signal(SignalKind::hangup())?,
            look,
            watch: FileWatch::new(stamp()),
        })
    }

    /// The next one. Settings that can't be used change nothing.
    pub async fn next(&mut self) -> ProcessSignal {
        loop {
            tokio::select! {
                _ = self.term.recv() => return ProcessSignal::Shutdown,
                _ = self.int.recv() => return ProcessSignal::Shutdown,
                _ = self.hup.recv() => self.watch.mark_loaded(stamp()),
                _ = self.look.tick() => if !self.watch.observe(stamp()) { continue },
            }
            match Settings::load() {
                Ok(settings) => {
                    tracing::info!("settings read again");
                    return ProcessSignal::Reload(Box::new(settings));
                }
                Err(error) => tracing::error!(%error, "settings can't be used; the old ones stay"),
            }
        }
    }
}

fn stamp() -> FileStamp {
    let file = std::fs::metadata(Settings::file_path().ok()?).ok()?;
    Some((file.modified().ok()?, file.len()))
}
