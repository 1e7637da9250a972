//! Participants of the simulated cluster, and network partitions between chosen sides of them.

/// A sender or receiver of packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Participant {
    /// A core node.
    Core(usize),
    /// An edge node.
    Edge(usize),
    /// A worker.
    Worker(usize),
    /// An operator; 0 is the primary one.
    Operator(usize),
}

/// The packets that a partition blocks, by direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Packets in both directions.
    Both,
    /// Packets from the inside only.
    Out,
    /// Packets to the inside only.
    In,
}

/// A partition between `inside` and all others, or only the given others.
#[derive(Clone, Debug, PartialEq)]
pub struct Partition {
    /// The participants on one side.
    pub inside: Vec<Participant>,
    /// The other side, if not all others.
    pub others: Option<Vec<Participant>>,
    /// The direction in which packets are blocked.
    pub way: Direction,
}

impl Partition {
    /// A partition with these participants on one side and all others on the other.
    pub fn side(
        cores: &[usize],
        edges: &[usize],
        workers: &[usize],
        operators: &[usize],
        way: Direction,
    ) -> Self {
        let cores = cores.iter().map(|n| Participant::Core(*n));
        let edges = edges.iter().map(|n| Participant::Edge(*n));
        let workers = workers.iter().map(|n| Participant::Worker(*n));
        let operators = operators.iter().map(|n| Participant::Operator(*n));
        Partition { inside: cores.chain(edges).chain(workers).chain(operators).collect(), others: None, way }
    }

    /// A partition between two core nodes only: all others reach both.
    pub fn pair(one: usize, other: usize) -> Self {
        Partition {
            inside: vec![Participant::Core(one)],
            others: Some(vec![Participant::Core(other)]),
            way: Direction::Both,
        }
    }

    fn outside(&self, party: Participant) -> bool {
        match &self.others {
            Some(others) => others.contains(&party),
            None => !self.inside.contains(&party),
        }
    }

    /// Whether the partition blocks packets from `from` to `to`.
    pub fn stops(&self, from: Participant, to: Participant) -> bool {
        let out = self.inside.contains(&from) && self.outside(to);
        let back = self.outside(from) && self.inside.contains(&to);
        match self.way {
            Direction::Both => out || back,
            Direction::Out => out,
            Direction::In => back,
        }
    }
}
