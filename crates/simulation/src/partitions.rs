//! Who can be cut from whom: the parties of a simulated cluster and the cuts between chosen sides. It must never know
//! what the parties say.

/// Anybody who sends packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    Core(usize),
    Edge(usize),
    Worker(usize),
    Operator(usize),
}

/// Which packets a cut holds up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Both,
    /// What the inside says.
    Out,
    /// What the inside is told.
    In,
}

/// A cut between `inside` and all others, or only these others.
#[derive(Clone, Debug, PartialEq)]
pub struct Cut {
    pub inside: Vec<Party>,
    pub others: Option<Vec<Party>>,
    pub way: Way,
}

impl Cut {
    /// These core machines with a gatekeeper, two workers and an operator on their side.
    pub fn side(cores: &[usize], edges: &[usize], workers: &[usize], operators: &[usize], way: Way) -> Self {
        let cores = cores.iter().map(|n| Party::Core(*n));
        let edges = edges.iter().map(|n| Party::Edge(*n));
        let workers = workers.iter().map(|n| Party::Worker(*n));
        let operators = operators.iter().map(|n| Party::Operator(*n));
        Cut { inside: cores.chain(edges).chain(workers).chain(operators).collect(), others: None, way }
    }

    /// Two core machines that don't reach each other, though others reach both.
    pub fn pair(one: usize, other: usize) -> Self {
        Cut { inside: vec![Party::Core(one)], others: Some(vec![Party::Core(other)]), way: Way::Both }
    }

    fn outside(&self, party: Party) -> bool {
        match &self.others {
            Some(others) => others.contains(&party),
            None => !self.inside.contains(&party),
        }
    }

    /// Are packets from the one to the other held up?
    pub fn stops(&self, from: Party, to: Party) -> bool {
        let out = self.inside.contains(&from) && self.outside(to);
        let back = self.outside(from) && self.inside.contains(&to);
        match self.way {
            Way::Both => out || back,
            Way::Out => out,
            Way::In => back,
        }
    }
}
