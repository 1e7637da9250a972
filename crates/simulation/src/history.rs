//! Checks that what callers saw is linearizable. The configuration is a set of registers that hold a version and a content
//! each; a change writes several at once, each only over a lower version; a read returns them all. The check looks only at
//! invocations, responses and their times.
//!
//! The check is complete: a history passes if and only if one order of all operations explains it. Values only rise,
//! so that order exists if and only if the precedence relation has no cycle.

/// A register's version and content; `None`: nothing was written yet.
pub type Held = Option<(u64, u64)>;

/// A change. `to` is infinite without a response: the change may take effect at any time after `from`.
#[derive(Clone, Debug)]
pub struct Write {
    /// When it was sent.
    pub from: f64,
    /// When it was answered.
    pub to: f64,
    /// Registers that it writes, all with one version and content.
    pub labels: Vec<usize>,
    /// The version.
    pub number: u64,
    /// The content; differs between changes.
    pub content: u64,
}

/// A read that was answered.
#[derive(Clone, Debug)]
pub struct Read {
    /// When it was sent.
    pub from: f64,
    /// When it was answered.
    pub to: f64,
    /// The value of each register.
    pub held: Vec<Held>,
}

fn number(held: &Held) -> u64 {
    held.map_or(0, |(number, _)| number)
}

impl Read {
    /// Whether the read shows, for each register of the change, this change or a later one.
    fn covers(&self, write: &Write) -> bool {
        let wrote = Some((write.number, write.content));
        write.labels.iter().all(|l| number(&self.held[*l]) > write.number || self.held[*l] == wrote)
    }

    /// Whether the read shows a value that this change wrote.
    fn shows(&self, write: &Write) -> bool {
        write.labels.iter().any(|l| self.held[*l] == Some((write.number, write.content)))
    }

    fn behind(&self, other: &Read) -> bool {
        self.held.iter().zip(&other.held).all(|(a, b)| number(a) < number(b) || a == b)
    }
}

/// Checks that a history is linearizable; the error names operations that no order explains.
pub fn check(writes: &[Write], reads: &[Read]) -> Result<(), String> {
    for (n, read) in reads.iter().enumerate() {
        for (label, held) in read.held.iter().enumerate() {
            let Some((number, content)) = held else { continue };
            let same = |w: &&Write| w.content == *content && w.number == *number && w.labels.contains(&label);
            let Some(write) = writes.iter().find(same) else {
                return Err(format!(
                    "read {n} at {:.3} shows {label}=r{number} that no change wrote",
                    read.to
                ));
            };
            if write.from > read.to {
                return Err(format!("read {n} at {:.3} shows {label}=r{number} before it was sent", read.to));
            }
        }
    }
    // Only changes that were confirmed or read need a place in the order.
    let placed: Vec<&Write> =
        writes.iter().filter(|w| w.to.is_finite() || reads.iter().any(|r| r.shows(w))).collect();
    let (many, all) = (placed.len(), placed.len() + reads.len());
    let span = |n: usize| {
        if n < many {
            (placed[n].from, placed[n].to)
        } else {
            (reads[n - many].from, reads[n - many].to)
        }
    };
    let mut ahead = vec![Vec::new(); all];
    for a in 0..all {
        for b in (0..all).filter(|b| *b != a) {
            let before = span(a).1 < span(b).0
                || match (a < many, b < many) {
                    (true, true) => false,
                    (true, false) => reads[b - many].shows(placed[a]),
                    (false, true) => !reads[a - many].covers(placed[b]),
                    (false, false) => {
                        let (one, other) = (&reads[a - many], &reads[b - many]);
                        let (less, more) = (one.behind(other), other.behind(one));
                        if !less && !more {
                            return Err(format!(
                                "reads at {:.3} and {:.3} contradict each other",
                                one.to, other.to
                            ));
                        }
                        less && !more
                    }
                };
            if before {
                ahead[a].push(b);
            }
        }
    }
    let name = |n: usize| match n < many {
        true => format!("r{} sent {:.3}, answered {:.3}", placed[n].number, span(n).0, span(n).1),
        false => format!("read {:.3} to {:.3}", span(n).0, span(n).1),
    };
    match rest_after_sorting(&ahead) {
        rest if rest.is_empty() => Ok(()),
        rest => {
            let few: Vec<String> = rest.iter().take(8).map(|n| name(*n)).collect();
            Err(format!("no order explains these {} operations: {}", rest.len(), few.join("; ")))
        }
    }
}

/// Operations that can't be ordered: those on a cycle, and between cycles.
fn rest_after_sorting(ahead: &[Vec<usize>]) -> Vec<usize> {
    let strip = |ahead: &[Vec<usize>], among: &[usize]| -> Vec<usize> {
        let mut left = vec![false; ahead.len()];
        among.iter().for_each(|n| left[*n] = true);
        let mut waits = vec![0; ahead.len()];
        for n in among {
            ahead[*n].iter().for_each(|m| waits[*m] += 1);
        }
        let mut free: Vec<usize> = among.iter().copied().filter(|n| waits[*n] == 0).collect();
        while let Some(n) = free.pop() {
            left[n] = false;
            for m in &ahead[n] {
                waits[*m] -= 1;
                if waits[*m] == 0 && left[*m] {
                    free.push(*m);
                }
            }
        }
        among.iter().copied().filter(|n| left[*n]).collect()
    };
    let all: Vec<usize> = (0..ahead.len()).collect();
    let rest = strip(ahead, &all);
    // A second pass from the other end removes operations that only follow a cycle.
    let mut back = vec![Vec::new(); ahead.len()];
    for n in &rest {
        for m in ahead[*n].iter().filter(|m| rest.contains(m)) {
            back[*m].push(*n);
        }
    }
    strip(&back, &rest)
}
