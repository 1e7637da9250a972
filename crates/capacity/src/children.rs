//! Child processes of a measurement and their resource usage, read from `/proc`.
//!
//! Each child ends when its standard input does, so none outlives its parent.

use super::CapacityError;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, BufReader, Write};
use std::net::IpAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

/// Seconds of the epoch; the same for all processes of a machine.
pub fn epoch() -> f64 {
    SystemTime::UNIX_EPOCH.elapsed().map_or(0.0, |d| d.as_secs_f64())
}

/// The lines of standard input; the channel closes at its end.
pub fn commands() -> UnboundedReceiver<String> {
    let (sender, commands) = unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    commands
}

/// Writes a line to the parent process (standard output).
pub fn send_line(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

/// Exits this process at the end of its standard input.
pub fn end_with_input() {
    std::thread::spawn(|| {
        for line in std::io::stdin().lock().lines() {
            if line.is_err() {
                break;
            }
        }
        std::process::exit(0);
    });
}

/// Resource usage of a process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor seconds, over its threads.
    pub cpu_s: f64,
    /// Seconds that its threads were runnable but not running.
    pub waited_s: f64,
    /// Resident memory: bytes.
    pub rss: u64,
    /// Peak resident memory: bytes.
    pub peak: u64,
    /// Descriptors.
    pub descriptors: usize,
    /// Bytes handed to files since its start (sockets don't count).
    pub written: u64,
}

fn field(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|l| l.strip_prefix(name));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// A child process, killed on drop if it does not exit by itself.
pub struct Process {
    child: Child,
    /// Its name in reports.
    pub name: String,
    lines: mpsc::Receiver<String>,
}

impl Process {
    /// Starts this program once more with these arguments and this settings file; its log goes to `log`.
    pub fn start(
        name: &str,
        arguments: &[&str],
        settings: Option<&Path>,
        log: &Path,
    ) -> Result<Self, CapacityError> {
        let failed = |e: std::io::Error| CapacityError::Child(format!("{name}: {e}"));
        let mut command = Command::new(std::env::current_exe().map_err(failed)?);
        command.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped());
        command.stderr(std::fs::File::create(log).map_err(failed)?);
        command.env("RUST_LOG", "warn");
        if let Some(settings) = settings {
            command.env("WHINSTALL_NODE_FILE", settings);
        }
        let mut child = command.spawn().map_err(failed)?;
        let (sender, lines) = mpsc::channel();
        if let Some(out) = child.stdout.take() {
            std::thread::spawn(move || {
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    if sender.send(line).is_err() {
                        return;
                    }
                }
            });
        }
        Ok(Process { child, name: name.into(), lines })
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Writes a command to its standard input; fails once it has ended.
    pub fn send_command(&mut self, command: &str) -> Result<(), CapacityError> {
        let written = self.child.stdin.as_mut().map(|input| writeln!(input, "{command}"));
        match written {
            Some(Ok(())) => Ok(()),
            _ => Err(CapacityError::Child(format!("{} has ended", self.name))),
        }
    }

    /// Its next line of output; an error if none comes before `until`.
    pub fn line(&self, until: Instant) -> Result<String, CapacityError> {
        let left = until.saturating_duration_since(Instant::now());
        self.lines.recv_timeout(left).map_err(|_| CapacityError::Child(format!("{} is silent", self.name)))
    }

    /// Has it exited?
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Resident bytes now.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        field(&status, "VmRSS:") * 1024
    }

    /// Requests a graceful shutdown (SIGTERM).
    pub fn terminate(&self) -> Result<(), CapacityError> {
        let status = Command::new("sh").args(["-c", &format!("kill -TERM {}", self.pid())]).status();
        match status {
            Ok(status) if status.success() => Ok(()),
            _ => Err(CapacityError::Child(format!("{} can't be asked to end", self.name))),
        }
    }

    /// Kills it (SIGKILL) and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Its resource usage so far.
    pub fn usage(&self) -> Usage {
        let at =
            |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", self.pid())).unwrap_or_default();
        let (status, io) = (at("status"), at("io"));
        let (cpu_s, waited_s) = self.processor().unwrap_or_else(|| (self.processor_by_ticks(), 0.0));
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.pid())).map_or(0, Iterator::count);
        Usage {
            cpu_s,
            waited_s,
            rss: field(&status, "VmRSS:") * 1024,
            peak: field(&status, "VmHWM:") * 1024,
            descriptors,
            written: field(&io, "wchar:"),
        }
    }

    /// Seconds that its threads ran and waited to run, where `schedstat` is available.
    fn processor(&self) -> Option<(f64, f64)> {
        let (mut ran, mut waited) = (0.0, 0.0);
        for task in std::fs::read_dir(format!("/proc/{}/task", self.pid())).ok()?.flatten() {
            let schedstat = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            let mut words = schedstat.split_whitespace().filter_map(|w| w.parse::<f64>().ok());
            (ran, waited) = (ran + words.next()? / 1e9, waited + words.next()? / 1e9);
        }
        (ran > 0.0).then_some((ran, waited))
    }

    /// User and system time, in hundredths of a second.
    fn processor_by_ticks(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap_or_default();
        let after = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let ticks = after.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<f64>().ok());
        ticks.sum::<f64>() / 100.0
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_millis(300) {
            if self.has_ended() {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Bytes that these processes sent and received on connections that they opened to `port`, from `ss`;
/// `None` where it is missing.
pub fn sent_to_port(port: u16, pids: &[u32]) -> Option<Vec<(u32, u64)>> {
    let output = Command::new("ss").args(["-tinpOH", "state", "established"]).output().ok()?;
    let text = String::from_utf8_lossy(&output.stdout);
    let mut sums: Vec<(u32, u64)> = pids.iter().map(|pid| (*pid, 0)).collect();
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        let to = words.get(3).and_then(|peer| peer.rsplit_once(':')?.1.parse::<u16>().ok());
        if to != Some(port) {
            continue;
        }
        let Some(sum) = sums.iter_mut().find(|(pid, _)| line.contains(&format!("pid={pid},"))) else {
            continue;
        };
        let counts = words.iter().filter_map(|w| {
            w.strip_prefix("bytes_sent:").or(w.strip_prefix("bytes_received:"))?.parse::<u64>().ok()
        });
        sum.1 += counts.sum::<u64>();
    }
    Some(sums)
}

/// Size of all files in a folder: bytes.
pub fn folder_bytes(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    entries.filter_map(|e| e.metadata().ok()).filter(|m| m.is_file()).map(|m| m.len()).sum()
}

/// An address of the loopback network, the `number`th of a group.
pub fn address(group: u8, number: usize) -> IpAddr {
    IpAddr::from([127, group, (number / 250) as u8, (number % 250) as u8 + 1])
}
