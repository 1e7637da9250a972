//! Participants of the simulated cluster, and network partitions between chosen sides of them.

/// Anybody who sends packets.
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

/// Which packets a cut holds up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Those in both directions.
    Both,
    /// What the inside says.
    Out,
    /// What the inside is told.
    In,
}

/// A cut between `inside` and all others, or only these others.
#[derive(Clone, Debug, PartialEq)]
pub struct Partition {
    /// The participants on one side.
    pub inside: Vec<Participant>,
    /// The other side, if not all others.
    pub others: Option<Vec<Participant>>,
    /// Which packets are held up.
    pub way: Direction,
}

impl Partition {
    /// These core nodes with an edge node, two workers and an operator on their side.
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

    /// Two core nodes that don't reach each other, though others reach both.
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

    /// Are packets from the one to the other held up?
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
