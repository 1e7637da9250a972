//! Properties of budgets. Safety: with messages lost, late or repeated and processes paused or restarted, the shares
//! in use never exceed the budget. Liveness: shares follow demand within a few leases.

use super::*;
use proptest::prelude::*;

const TIMES: LeaseTimes = LeaseTimes { lease_ms: 2000, clock_margin_ms: 400 };

fn origin(n: usize, incarnation: u64) -> Origin {
    Origin { name: Arc::from(format!("g{n}")), incarnation }
}

/// A fleet whose clocks differ and drift by less than the margin during a lease.
struct Fleet {
    /// True time in milliseconds.
    now: f64,
    /// Offset in milliseconds, and rate, of each member's clock.
    clocks: Vec<(f64, f64)>,
    incarnations: Vec<u64>,
    holders: Vec<Holder>,
    allocators: Vec<Allocator>,
    demands: Vec<Ppm>,
    /// Requests sent so far. Each may be delivered at any time, any number of times, or never.
    requests: Vec<GrantRequest>,
    /// Responses sent so far, each with its receiver.
    responses: Vec<(usize, GrantResponse)>,
}

fn budget() -> BudgetName {
    Arc::from("c1")
}

impl Fleet {
    fn new(size: usize) -> Fleet {
        let clocks = (0..size).map(|n| (1e7 * n as f64, [1.0, 1.04, 0.96, 1.02][n % 4])).collect();
        let mut fleet = Fleet {
            now: 0.0,
            clocks,
            incarnations: vec![1; size],
            holders: Vec::new(),
            allocators: Vec::new(),
            demands: vec![TOTAL_PPM; size],
            requests: Vec::new(),
            responses: Vec::new(),
        };
        for n in 0..size {
            let now = fleet.clock(n);
            fleet.holders.push(Holder::new(origin(n, 1), now, TIMES));
            fleet.allocators.push(Allocator::new(origin(n, 1), now, TIMES, size as u32));
        }
        fleet
    }

    fn clock(&self, n: usize) -> Ms {
        let (offset, rate) = self.clocks[n];
        (offset + rate * self.now) as Ms
    }

    fn send_request(&mut self, from: usize, to: usize) {
        let (now, to) = (self.clock(from), origin(to, self.incarnations[to]));
        let request = self.holders[from].next_request(now, &to, vec![(budget(), self.demands[from])]);
        self.requests.push(request);
    }

    fn index(origin: &Origin) -> usize {
        origin.name[1..].parse().expect("a number")
    }

    fn deliver_request(&mut self, n: usize) {
        let Some(request) = self.requests.get(n).cloned() else { return };
        let to = Fleet::index(&request.to);
        let now = self.clock(to);
        let response = self.allocators[to].handle_request(now, &request);
        self.responses.push((Fleet::index(&request.from), response));
    }

    fn deliver_response(&mut self, n: usize) {
        let Some((to, response)) = self.responses.get(n).cloned() else { return };
        self.holders[to].handle_response(&response);
    }

    fn exchange(&mut self, from: usize, to: usize) {
        self.send_request(from, to);
        self.deliver_request(self.requests.len() - 1);
        self.deliver_response(self.responses.len() - 1);
    }

    fn restart(&mut self, n: usize) {
        self.incarnations[n] += 1;
        let (now, me, size) = (self.clock(n), origin(n, self.incarnations[n]), self.incarnations.len());
        self.holders[n] = Holder::new(me.clone(), now, TIMES);
        self.allocators[n] = Allocator::new(me, now, TIMES, size as u32);
    }

    fn shares(&self) -> Vec<Ppm> {
        (0..self.holders.len()).map(|n| self.holders[n].share(self.clock(n), "c1")).collect()
    }

    /// Runs `rounds` rounds, one per third of a lease, in which each of the members `among` exchanges with the
    /// allocator `to`.
    fn run_rounds(&mut self, to: usize, among: &[usize], rounds: usize) {
        for _ in 0..rounds {
            self.now += TIMES.lease_ms as f64 / 3.0;
            for n in among {
                self.exchange(*n, to);
                assert!(self.shares().iter().sum::<Ppm>() <= TOTAL_PPM);
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// Milliseconds pass.
    Advance(u16),
    /// A member sends a request to an allocator.
    SendRequest(usize, usize),
    /// The request that was sent this many requests ago is delivered.
    DeliverRequest(usize),
    /// The response that was sent this many responses ago is delivered.
    DeliverResponse(usize),
    /// A member sends a request to an allocator and receives the response, without delay.
    Exchange(usize, usize),
    SetDemand(usize, Ppm),
    Restart(usize),
    Leave(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..900u16).prop_map(Step::Advance),
        4 => (0..5usize, 0..2usize).prop_map(|(from, to)| Step::SendRequest(from, to)),
        4 => (0..40usize).prop_map(Step::DeliverRequest),
        4 => (0..40usize).prop_map(Step::DeliverResponse),
        12 => (0..5usize, 0..2usize).prop_map(|(from, to)| Step::Exchange(from, to)),
        2 => (0..5usize, 0..=TOTAL_PPM).prop_map(|(n, demand)| Step::SetDemand(n, demand)),
        1 => (0..5usize).prop_map(Step::Restart),
        1 => (0..5usize).prop_map(Step::Leave),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Lost, late and repeated messages, paused and restarted processes, two allocators that receive requests in
    /// turns, and clocks that differ and drift: the shares in use never exceed the budget. A paused process is one
    /// that takes no step.
    #[test]
    fn shares_never_exceed_the_budget(steps in proptest::collection::vec(step(), 0..220)) {
        let mut fleet = Fleet::new(5);
        fleet.now = 3000.0;
        fleet.run_rounds(0, &[0, 1, 2, 3, 4], 3);
        for step in steps {
            match step {
                Step::Advance(ms) => fleet.now += f64::from(ms),
                Step::SendRequest(from, to) => fleet.send_request(from, to),
                // Messages are numbered from the last one, so that most deliveries are of recent messages.
                Step::DeliverRequest(n) => fleet.deliver_request(fleet.requests.len().wrapping_sub(1 + n)),
                Step::DeliverResponse(n) => fleet.deliver_response(fleet.responses.len().wrapping_sub(1 + n)),
                Step::Exchange(from, to) => fleet.exchange(from, to),
                Step::SetDemand(n, demand) => fleet.demands[n] = demand,
                Step::Restart(n) => fleet.restart(n),
                Step::Leave(n) => fleet.holders[n].leave(),
            }
            let shares = fleet.shares();
            prop_assert!(shares.iter().sum::<Ppm>() <= TOTAL_PPM, "{:?} after {:?}", shares, step);
        }
    }

    /// With working links and one allocator that all members ask, the whole budget is in use within eight leases,
    /// divided by demand.
    #[test]
    fn constant_demands_are_met(demands in proptest::collection::vec(0..=TOTAL_PPM, 5)) {
        let mut fleet = Fleet::new(5);
        fleet.demands.clone_from(&demands);
        fleet.run_rounds(1, &[0, 1, 2, 3, 4], 24);
        let (shares, fair) = (fleet.shares(), share::max_min_fair(&demands));
        for (share, fair) in shares.iter().zip(&fair) {
            prop_assert!(share.abs_diff(*fair) <= TOTAL_PPM / 500, "{:?} {:?}", fleet.shares(), fair);
        }
    }
}

/// When all demand moves to another member, nine tenths of the budget follow within 2.5 leases.
#[test]
fn shares_follow_a_demand_that_moves() {
    let mut fleet = Fleet::new(4);
    fleet.demands = vec![TOTAL_PPM, 0, 0, 0];
    fleet.run_rounds(0, &[0, 1, 2, 3], 12);
    assert!(fleet.shares()[0] > TOTAL_PPM * 95 / 100, "{:?}", fleet.shares());
    fleet.demands = vec![0, 0, TOTAL_PPM, 0];
    let start = fleet.now;
    while fleet.shares()[2] < TOTAL_PPM * 9 / 10 {
        fleet.run_rounds(0, &[0, 1, 2, 3], 1);
        assert!(fleet.now - start < 10.0 * TIMES.lease_ms as f64, "{:?}", fleet.shares());
    }
    let took = fleet.now - start;
    println!("nine tenths moved in {took} ms; a lease is {} ms", TIMES.lease_ms);
    assert!(took <= 2.5 * TIMES.lease_ms as f64, "{took}");
}

/// After the death of the leader, holders use their grants until the leases end, and the next leader grants shares
/// once the unknown grants are reported or ended. The dead leader's own share is granted again.
#[test]
fn another_allocator_takes_over_after_the_leader_dies() {
    let mut fleet = Fleet::new(5);
    fleet.run_rounds(0, &[0, 1, 2, 3, 4], 12);
    let start = fleet.now;
    let mut lowest_sum = TOTAL_PPM;
    while fleet.shares()[1..].iter().sum::<Ppm>() < TOTAL_PPM * 99 / 100 {
        fleet.run_rounds(1, &[1, 2, 3, 4], 1);
        lowest_sum = lowest_sum.min(fleet.shares()[1..].iter().sum());
        assert!(fleet.now - start < 6.0 * TIMES.lease_ms as f64, "{:?}", fleet.shares());
    }
    println!("reallocated in {} ms; at least {lowest_sum} ppm in use meanwhile", fleet.now - start);
}

/// A holder that was paused beyond its leases uses nothing. A holder that leaves returns its share at once. A
/// restarted holder has no share of its previous incarnation, whose share is free only after its lease.
#[test]
fn leases_end_and_incarnations_do_not_add_up() {
    let mut fleet = Fleet::new(3);
    fleet.run_rounds(0, &[0, 1, 2], 12);
    let before = fleet.shares();
    assert!(before.iter().all(|share| *share > TOTAL_PPM / 4), "{before:?}");
    fleet.now += 1.2 * TIMES.lease_ms as f64;
    assert_eq!(fleet.shares(), [0, 0, 0]);
    fleet.run_rounds(0, &[0, 1, 2], 12);
    fleet.restart(2);
    fleet.exchange(2, 0);
    let now = fleet.shares();
    assert!(now[2] < TOTAL_PPM / 100, "the share of its previous incarnation is not free: {now:?}");
    fleet.run_rounds(0, &[0, 1, 2], 12);
    assert!(fleet.shares()[2] > TOTAL_PPM / 4, "{:?}", fleet.shares());
    fleet.holders[1].leave();
    fleet.exchange(1, 0);
    fleet.exchange(0, 0);
    fleet.exchange(2, 0);
    assert!(
        fleet.shares()[1] == 0 && fleet.shares().iter().sum::<Ppm>() > TOTAL_PPM * 99 / 100,
        "{:?}",
        fleet.shares()
    );
}

/// Without a majority no allocator makes grants, and the shares in use end with their leases.
#[test]
fn without_a_majority_nothing_is_granted() {
    let mut fleet = Fleet::new(5);
    fleet.run_rounds(0, &[0, 1, 2, 3, 4], 12);
    fleet.run_rounds(0, &[0, 1], 12);
    assert_eq!(fleet.shares()[..2], [0, 0]);
    fleet.run_rounds(2, &[2, 3, 4], 12);
    assert!(fleet.shares()[2..].iter().sum::<Ppm>() > TOTAL_PPM * 99 / 100, "{:?}", fleet.shares());
}
