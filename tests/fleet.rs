//! Copies of state among several processes of the program, with links between each pair that are cut, cut one way and
//! break, and processes that are killed, stopped and restarted, while the counter is silent. What was admitted is
//! counted at the stand-in node.

mod common;
#[path = "common/link.rs"]
mod link;

use common::*;
use link::{Does, Link};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const MEMBERS: usize = 5;
/// Units of the customer's quota that may be used at once; the rate gives next to nothing back.
const BURST: usize = 10;

struct Fleet {
    node: Peer,
    /// Each member's own view of the counter: one that adds up for it alone, or one that says nothing.
    views: Vec<Peer>,
    members: Vec<Gatekeeper>,
    /// Links by who asks and who is asked.
    links: Vec<Vec<Link>>,
    copies: bool,
    cluster: [&'static str; MEMBERS],
}

impl Fleet {
    /// With a counter that says nothing, or one that is split in as many views as there are members.
    fn start(copies: bool, split: bool) -> Fleet {
        Fleet::of(copies, split, ["cluj"; MEMBERS])
    }

    fn of(copies: bool, split: bool, cluster: [&'static str; MEMBERS]) -> Fleet {
        let links = (0..MEMBERS).map(|_| (0..MEMBERS).map(|_| Link::start()).collect()).collect();
        let view = |_| if split { view() } else { Peer::start(|_| Reply::Silence) };
        let (node, views) = (Peer::start(|_| Reply::Ok("drafted")), (0..MEMBERS).map(view).collect());
        let mut fleet = Fleet { node, views, members: Vec::new(), links, copies, cluster };
        for n in 0..MEMBERS {
            let member = fleet.member(n);
            fleet.members.push(member);
        }
        fleet
    }

    /// Starts a member, or starts it again under its old name.
    fn member(&self, n: usize) -> Gatekeeper {
        let known = list(1, true, &[common::node("n0", self.node.address, "SERVING")]);
        let told = configuration(&known, self.views[n].address, self.views[n].address, 384);
        let told = told.replace("\"name\":\"g0\"", &format!("\"name\":\"g{n}\""));
        let told =
            told.replace("\"replicasOfMe\": 1", &format!("\"ordinal\": {n}, \"replicasOfMe\": {MEMBERS}"));
        let told = told
            .replace("\"perSecond\": 0.5", "\"perSecond\": 0.02")
            .replace("0.5, \"postPaid\"", "0.02, \"postPaid\"");
        if !self.copies {
            return Gatekeeper::start_configured(&told, &[]);
        }
        let peers = (0..MEMBERS)
            .filter(|peer| *peer != n)
            .map(|peer| format!("{:?}", self.links[n][peer].address.to_string()));
        let peers = peers.collect::<Vec<_>>().join(", ");
        let settings = format!(
            "fleet: {{ cluster: {:?}, listen: \"127.0.0.1:0\", peers: [{peers}], round: 0.03, tell: 0.05 }}",
            self.cluster[n],
        );
        let file = Gatekeeper::settings_file(&settings);
        let member = Gatekeeper::start_logged(&told, &["--fleet", file.to_str().expect("UTF-8")]);
        let (member, before) = member;
        let line = before.iter().find(|l| l.contains("copies are kept")).expect("it says where it listens");
        let at =
            line.split("fleet=").nth(1).and_then(|t| t.split(' ').next()?.parse().ok()).expect("an address");
        for from in 0..MEMBERS {
            self.links[from][n].leads_to(at);
        }
        member
    }

    fn links_of(&self, n: usize, does: Does) {
        for peer in (0..MEMBERS).filter(|peer| *peer != n) {
            self.links[n][peer].set(does);
            self.links[peer][n].set(does);
        }
    }

    /// Waits until these members hold so many rows.
    fn hold(&self, members: &[usize], rows: usize) {
        for n in members {
            let words = format!("rows={rows} ");
            self.members[*n].logged(&["fleet: copies", &words]);
        }
    }

    /// Asks until the member has denied six in a row; returns how many it served.
    fn spend(&self, n: usize, who: u32) -> usize {
        let mut client = self.members[n].connect();
        let (mut served, mut denied, mut asked) = (0, 0, 0);
        while denied < 6 && asked < 60 {
            asked += 1;
            let head = headers(&format!("m{n}-{who}-{asked}"), "preview", "4")
                .replace("spread=1", &format!("spread={MEMBERS}"));
            let text = format!("GET /preview?client={who:016x} HTTP/1.1\r\n{head}\r\n");
            match client.write(&text).answer().body.as_str() {
                "drafted" => (served, denied) = (served + 1, 0),
                _ => denied += 1,
            }
        }
        served
    }
}

/// A counter that adds up by name.
fn view() -> Peer {
    let totals = std::sync::Mutex::new(std::collections::HashMap::<String, f64>::new());
    Peer::start(move |call| {
        let target = call.start.split(' ').nth(1).unwrap_or_default();
        let Some((name, by)) = target.split_once("?by=") else { return Reply::Silence };
        let by: f64 = by.split('&').next().and_then(|by| by.parse().ok()).unwrap_or(0.0);
        let mut totals = totals.lock().expect("whole");
        let total = totals.entry(name.to_owned()).or_default();
        *total += by;
        Reply::Raw(ok(&total.to_string()))
    })
}

/// Another customer each time, whose window of 20 s has just begun: a story fits in it.
fn customer() -> u32 {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(1);
    let from = NEXT.fetch_add(100_000, std::sync::atomic::Ordering::Relaxed);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_secs_f64();
    let phase =
        |who: u32| (whinstall::ground::hash(&format!("{who:016x}")) >> 40) as f64 / (1u64 << 24) as f64;
    (from..).find(|who| (0.02..0.1).contains(&(now / 20.0 + phase(*who)).fract())).expect("one of many")
}

/// Five gatekeepers, one quota, and a counter split in five views, each of which tells its gatekeeper that nobody else
/// asks: with copies what one admitted the next does not admit again; without them each admits the whole quota.
#[test]
fn what_one_admitted_the_others_do_not_admit_again() {
    let spent = |fleet: &Fleet| {
        let (who, mut all, mut rows) = (customer(), 0, 0);
        for n in 0..MEMBERS {
            let served = fleet.spend(n, who);
            (all, rows) = (all + served, rows + usize::from(served > 0));
            if fleet.copies {
                fleet.hold(&[0, 1, 2, 3, 4], rows);
            }
        }
        all
    };
    let (with, without) = (spent(&Fleet::start(true, true)), spent(&Fleet::start(false, true)));
    println!("of {BURST} units: {with} with copies, {without} without");
    assert!(with <= BURST + 1, "{with} with copies, {without} without");
    assert!(without > 3 * BURST, "{with} with copies, {without} without");
}

/// A member killed and started again under its name finds what its former self spent, from its peers.
#[test]
fn a_member_that_is_back_does_not_grant_what_its_former_self_spent() {
    let mut fleet = Fleet::start(true, false);
    let who = customer();
    let first = fleet.spend(0, who);
    fleet.hold(&[1, 2, 3, 4], 1);
    fleet.members[0].signal("KILL");
    fleet.members[0].exit();
    fleet.members[0] = fleet.member(0);
    fleet.hold(&[0], 1);
    let again = fleet.spend(0, who);
    assert!(first >= 1 && again <= 1, "{first}, then {again}");
}

/// Cut off, cut one way, broken mid-message or stopped: nothing is mixed up, and once links hold all are equal again.
#[test]
fn copies_are_equal_again_after_each_fault() {
    let fleet = Fleet::start(true, false);
    let mut rows = 0;
    for fault in [Some(Does::Cut), Some(Does::CutBack), Some(Does::Break), None] {
        let (who, begun) = (customer(), Instant::now());
        match fault {
            Some(does) => fleet.links_of(0, does),
            None => fleet.members[0].signal("STOP"),
        }
        // The others go on among themselves.
        fleet.spend(1, who);
        rows += 1;
        fleet.hold(&[1, 2, 3, 4], rows);
        match fault {
            Some(_) => {
                fleet.links_of(0, Does::Carry);
            }
            None => fleet.members[0].signal("CONT"),
        }
        fleet.hold(&[0], rows);
        assert!(fleet.spend(0, who) < BURST);
        rows += 1;
        fleet.hold(&[0, 1, 2, 3, 4], rows);
        assert!(begun.elapsed() < BOUND);
    }
}

/// A gatekeeper of another fleet is turned away by name and changes nothing.
#[test]
fn another_fleet_is_turned_away_by_name() {
    let fleet = Fleet::of(true, false, ["cluj", "cluj", "cluj", "cluj", "arad"]);
    fleet.members[0].logged(&["a message is turned away", "arad"]);
    let who = customer();
    fleet.spend(4, who);
    fleet.spend(0, who);
    fleet.hold(&[0, 1, 2, 3], 1);
    fleet.members[4].logged(&["fleet: copies", "rows=1 "]);
}

/// Without the settings no socket is opened and nothing is said; with them and a door the program does not start.
#[test]
fn without_settings_nobody_listens() {
    let node = Peer::start(|_| Reply::Ok("drafted"));
    let gatekeeper = Gatekeeper::before(&[&node]);
    assert_eq!(gatekeeper.connect().preview("r1").answer().body, "drafted");
    assert!(gatekeeper.log_so_far().iter().all(|l| !l.contains("fleet") && !l.contains("copies")));
    let known = list(1, true, &[common::node("n0", node.address, "SERVING")]);
    let told = configuration(&known, node.address, node.address, 384);
    let told = told.replacen('{', "{\"operator\":\"127.0.0.1:0\",", 1);
    let file = Gatekeeper::settings_file("fleet: { cluster: \"cluj\", listen: \"127.0.0.1:0\" }");
    let child = Gatekeeper::spawn_with(&told, &["--fleet", file.to_str().expect("UTF-8")]);
    let output = child.wait_with_output().expect("it exits");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("--fleet"));
}
