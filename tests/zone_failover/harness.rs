//! Fleets for the tests of zone failover: a gatekeeper with `--halls` in zone hall-a, before scripted endpoints in
//! three zones that can be made to hang, and a load generator.

use crate::common::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Number of previews that a warm-up sends.
const WARM_UP_PREVIEWS: u32 = 30;
/// Number of the first preview of a warm-up, above those of all tests, as request ids must not repeat.
const WARM_UP_FIRST: u32 = 1000;

/// Settings with short times.
pub const SETTINGS: &str = r#"
halls: {
    notice: 0.3
    hold: 1
    hold_most: 8
    ramp: 2
    ramp_jitter: 0
    hall: { "hall-a": {}, "hall-b": {}, "hall-c": {} }
}
"#;

/// [`SETTINGS`] with a backoff longer than any test: an ejected zone stays ejected.
pub fn settings_with_long_backoff() -> String {
    SETTINGS.replace("hold: 1", "hold: 30")
}

/// The configuration of the gatekeeper, with dispatches to other zones priced as in production: local endpoints are
/// preferred.
fn configuration_with_zone_price(known: &str, discovery: SocketAddr) -> String {
    configuration(known, discovery, start_counter().address, 1024)
        .replace("\"crossZone\": 0.0", "\"crossZone\": 0.02")
}

fn start_gatekeeper(settings: &str, configuration: &str) -> Gatekeeper {
    let file = Gatekeeper::write_settings_file(settings);
    Gatekeeper::start_configured(configuration, &["--halls", file.to_str().expect("a path")])
}

/// A gatekeeper before three zones of two endpoints each, which respond at once or not at all.
pub struct Fleet {
    pub gatekeeper: Gatekeeper,
    /// Endpoints by zone.
    endpoints: Vec<Vec<ScriptedPeer>>,
    is_cut: Vec<Arc<AtomicBool>>,
}

impl Fleet {
    pub fn start(settings: &str) -> Fleet {
        let is_cut: Vec<Arc<AtomicBool>> = ZONES.iter().map(|_| Arc::default()).collect();
        let endpoints: Vec<Vec<ScriptedPeer>> =
            is_cut.iter().map(|c| vec![endpoint(c), endpoint(c)]).collect();
        let mut lines = Vec::new();
        for (zone, endpoints) in ZONES.iter().zip(&endpoints) {
            for (n, endpoint) in endpoints.iter().enumerate() {
                lines.push(endpoint_entry_in_zone(&format!("{zone}-{n}"), endpoint.address, "SERVING", zone));
            }
        }
        let list = endpoint_list(1, true, &lines);
        let discovery = start_static_discovery(list.clone());
        let configuration = configuration_with_zone_price(&list, discovery.address);
        Fleet { gatekeeper: start_gatekeeper(settings, &configuration), endpoints, is_cut }
    }

    /// Makes the endpoints of a zone hang, or respond again.
    pub fn set_cut(&self, zone: usize, is_cut: bool) {
        self.is_cut[zone].store(is_cut, Ordering::SeqCst);
    }

    /// Number of requests that the endpoints of a zone received since the last call.
    pub fn take_requests(&self, zone: usize) -> usize {
        self.endpoints[zone].iter().map(|endpoint| endpoint.take_requests().len()).sum()
    }

    /// Teaches the gatekeeper how long a preview takes, so that its detection timeout falls to its minimum, a quarter
    /// of the latency target. After a few answers only, the timeout is up to 0.85 s: two dispatches to a hung zone then
    /// use up the target of 1.2 s, and the request is answered 503 unless the timer fires within a margin of 4 ms.
    /// Requests received meanwhile are not counted.
    pub fn warm_up(&self) {
        let statuses = self.previews(WARM_UP_FIRST, WARM_UP_PREVIEWS);
        assert!(statuses.iter().all(|s| s == "200"), "every request served: {statuses:?}");
        for zone in 0..ZONES.len() {
            self.take_requests(zone);
        }
    }

    /// Sends `count` previews one after another, numbered from `first`, each of its own customer. Returns the
    /// status codes.
    pub fn previews(&self, first: u32, count: u32) -> Vec<String> {
        let mut client = self.gatekeeper.connect();
        (first..first + count)
            .map(|n| status(&client.preview_for(&format!("p{n}"), n + 1).read_response()).unwrap_or_default())
            .collect()
    }
}

/// An endpoint that responds at once, or hangs while `is_cut` is set.
fn endpoint(is_cut: &Arc<AtomicBool>) -> ScriptedPeer {
    let is_cut = Arc::clone(is_cut);
    ScriptedPeer::start(move |_| {
        if is_cut.load(Ordering::SeqCst) {
            ScriptedReply::NoResponse
        } else {
            ScriptedReply::Ok("drafted")
        }
    })
}

fn status(answer: &Message) -> Option<String> {
    answer.start.split(' ').nth(1).map(str::to_string)
}

/// How the endpoints of a zone behave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Respond after [`WORK`]. Without any work, latencies would be noise, and endpoints look slow at random.
    Respond,
    /// Hang until the behaviour changes, then respond: as over a network that dropped packets for a while.
    Hang,
    /// Respond after [`SLOW_WORK`].
    Slow,
}

const WORK: Duration = Duration::from_millis(20);
const SLOW_WORK: Duration = Duration::from_millis(150);

/// The behaviour of a zone, shared with its endpoints.
#[derive(Clone)]
pub struct Switch(Arc<Mutex<Behaviour>>);

impl Switch {
    fn new() -> Self {
        Switch(Arc::new(Mutex::new(Behaviour::Respond)))
    }

    pub fn set(&self, behaviour: Behaviour) {
        *self.0.lock().expect("no writer panics") = behaviour;
    }

    /// Sets [`Behaviour::Hang`] or [`Behaviour::Respond`].
    pub fn set_cut(&self, is_cut: bool) {
        self.set(if is_cut { Behaviour::Hang } else { Behaviour::Respond });
    }

    fn get(&self) -> Behaviour {
        *self.0.lock().expect("no writer panics")
    }
}

/// A request as an endpoint received it.
pub struct Receipt {
    pub zone: usize,
    /// The endpoint, by its index in the zone.
    pub endpoint: usize,
    /// The request id: `p` and a number for a preview, `i` and a number for an issue.
    pub id: String,
    pub at: Instant,
}

type Receipts = Arc<Mutex<Vec<Receipt>>>;

/// An endpoint that behaves as the switch of its zone says, and records every request as it arrives.
fn recording_endpoint(zone: usize, endpoint: usize, switch: &Switch, receipts: &Receipts) -> ScriptedPeer {
    let (switch, receipts) = (switch.clone(), Arc::clone(receipts));
    ScriptedPeer::start(move |m| {
        let id = m.header("request-id").unwrap_or("?").to_string();
        let receipt = Receipt { zone, endpoint, id, at: Instant::now() };
        receipts.lock().expect("no writer panics").push(receipt);
        match switch.get() {
            Behaviour::Respond => std::thread::sleep(WORK),
            Behaviour::Slow => std::thread::sleep(SLOW_WORK),
            Behaviour::Hang => {
                while switch.get() == Behaviour::Hang {
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
        }
        ScriptedReply::Ok("drafted")
    })
}

/// First dispatches of requests, and repeated ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct DispatchCount {
    pub first: usize,
    pub repeated: usize,
}

impl std::ops::Add for DispatchCount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        DispatchCount { first: self.first + other.first, repeated: self.repeated + other.repeated }
    }
}

/// Requests of one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Service {
    pub served: usize,
    pub all: usize,
}

/// A gatekeeper under load, before three zones of recording endpoints.
pub struct LoadedFleet {
    pub gatekeeper: Gatekeeper,
    /// The behaviour of each zone.
    pub switches: Vec<Switch>,
    /// Lines of the endpoint list, by zone and endpoint.
    pub lines: Vec<String>,
    pub receipts: Receipts,
    /// The list that discovery hands out.
    list: Arc<Mutex<String>>,
    /// Answers the open watch of the list.
    watch: Sender<String>,
    _peers: Vec<ScriptedPeer>,
}

impl LoadedFleet {
    pub fn start(settings: &str, endpoints_per_zone: usize) -> Self {
        Self::start_configured(settings, endpoints_per_zone, |configuration| configuration)
    }

    /// Starts with a configuration changed by `adjust`.
    pub fn start_configured(
        settings: &str,
        endpoints_per_zone: usize,
        adjust: impl Fn(String) -> String,
    ) -> Self {
        let switches: Vec<Switch> = ZONES.iter().map(|_| Switch::new()).collect();
        let receipts = Receipts::default();
        let (mut peers, mut lines) = (Vec::new(), Vec::new());
        for (z, zone) in ZONES.iter().enumerate() {
            for n in 0..endpoints_per_zone {
                let endpoint = recording_endpoint(z, n, &switches[z], &receipts);
                lines.push(endpoint_entry_in_zone(&format!("{zone}-{n}"), endpoint.address, "SERVING", zone));
                peers.push(endpoint);
            }
        }
        let known = endpoint_list(1, true, &lines);
        let list = Arc::new(Mutex::new(known.clone()));
        let (watch, watched) = delayed_reply();
        let current = Arc::clone(&list);
        let discovery = ScriptedPeer::start(move |call| match call.start.contains("after=") {
            true if call.start.contains("after=1&") => watched.clone(),
            true => ScriptedReply::NoResponse,
            // After a watch without an answer, the whole list is asked for again.
            false => ScriptedReply::Raw(ok_response(&current.lock().expect("no writer panics"))),
        });
        let configuration = adjust(configuration_with_zone_price(&known, discovery.address));
        let gatekeeper = start_gatekeeper(settings, &configuration);
        peers.push(discovery);
        LoadedFleet { gatekeeper, switches, lines, receipts, list, watch, _peers: peers }
    }

    /// Publishes a second endpoint list with these lines. At most once.
    pub fn publish_list(&self, lines: &[String]) {
        let text = endpoint_list(2, true, lines);
        *self.list.lock().expect("no reader panics") = text.clone();
        self.watch.send(text).expect("discovery listens");
    }

    /// Sends requests at `per_second` for `seconds`, every third an issue and the others previews, each on its own
    /// connection and of its own customer. Calls `every_tenth` every tenth of a second with the seconds since the
    /// start.
    pub fn drive(&self, seconds: f64, per_second: f64, mut every_tenth: impl FnMut(f64)) -> Vec<Outcome> {
        let start = Instant::now();
        let sleep_until =
            |at: f64| std::thread::sleep(Duration::from_secs_f64(at).saturating_sub(start.elapsed()));
        let address = self.gatekeeper.address;
        let mut clients = Vec::new();
        let mut next_tenth = 0.0;
        for n in 0..(seconds * per_second) as u32 {
            let at = f64::from(n) / per_second;
            while next_tenth <= at {
                sleep_until(next_tenth);
                every_tenth(next_tenth);
                next_tenth += 0.1;
            }
            sleep_until(at);
            clients.push(std::thread::spawn(move || send_request(address, n, at)));
        }
        clients.into_iter().map(|client| client.join().expect("no client panics")).collect()
    }

    /// Requests received, by zone, of those whose number passes `filter`.
    pub fn received(&self, filter: impl Fn(u32) -> bool) -> [usize; 3] {
        let mut by_zone = [0; 3];
        for receipt in self.receipts.lock().expect("no writer panics").iter() {
            if receipt.id[1..].parse().is_ok_and(&filter) {
                by_zone[receipt.zone] += 1;
            }
        }
        by_zone
    }

    /// Dispatches by second since `start` and by zone. The last second takes all later ones.
    pub fn dispatches(&self, start: Instant, seconds: usize) -> Vec<[DispatchCount; 3]> {
        let mut known = BTreeSet::new();
        let mut by_second = vec![[DispatchCount::default(); 3]; seconds];
        for receipt in self.receipts.lock().expect("no writer panics").iter() {
            let second = receipt.at.saturating_duration_since(start).as_secs() as usize;
            let count = &mut by_second[second.min(seconds - 1)][receipt.zone];
            let is_first = known.insert(receipt.id.clone());
            *(if is_first { &mut count.first } else { &mut count.repeated }) += 1;
        }
        by_second
    }

    /// Asserts what holds in every scenario: each request has exactly one answer, and no issue ran twice.
    pub fn assert_one_answer_and_no_repeated_issue(&self, outcomes: &[Outcome]) {
        let wrong = outcomes.iter().find(|outcome| outcome.answers != 1);
        assert!(wrong.is_none(), "exactly one answer each: {wrong:?}");
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for receipt in self.receipts.lock().expect("no writer panics").iter() {
            if receipt.id.starts_with('i') {
                *runs.entry(receipt.id.clone()).or_default() += 1;
            }
        }
        runs.retain(|_, runs| *runs > 1);
        assert!(runs.is_empty(), "issues that ran more than once: {runs:?}");
    }
}

/// The outcome of one request.
#[derive(Debug)]
pub struct Outcome {
    /// When it was sent, in seconds since the start.
    pub sent_secs: f64,
    pub is_issue: bool,
    /// The status code of its first answer, or `none`.
    pub status: String,
    /// Answers on its connection until it closed, or until a second passed after the first answer.
    pub answers: usize,
}

impl Outcome {
    pub fn is_served(&self) -> bool {
        self.status == "200"
    }
}

/// Sends one request, a preview or an issue.
fn send_request(address: SocketAddr, n: u32, sent_secs: f64) -> Outcome {
    let is_issue = n % 3 == 2;
    let (id, customer) = (format!("{}{n}", if is_issue { 'i' } else { 'p' }), n + 1);
    let stream = TcpStream::connect(address).expect("the gatekeeper listens");
    stream.set_read_timeout(Some(BOUND)).expect("a timeout");
    let mut writer = stream.try_clone().expect("a handle");
    let text = if is_issue {
        format!(
            "POST /issue?client={customer:016x} HTTP/1.1\r\n{}Content-Length: 2\r\nConnection: close\r\n\r\n{{}}",
            headers(&id, "issue", "6")
        )
    } else {
        format!(
            "GET /preview?client={customer:016x} HTTP/1.1\r\n{}Connection: close\r\n\r\n",
            headers(&id, "preview", "4")
        )
    };
    writer.write_all(text.as_bytes()).expect("the gatekeeper reads");
    let mut reader = BufReader::new(stream);
    let first = Message::read(&mut reader);
    let status = first.as_ref().and_then(status).unwrap_or("none".into());
    reader.get_ref().set_read_timeout(Some(Duration::from_secs(1))).expect("a timeout");
    let more = std::iter::from_fn(|| Message::read(&mut reader)).count();
    Outcome { sent_secs, is_issue, status, answers: usize::from(first.is_some()) + more }
}

/// Number of served requests.
pub fn served(outcomes: &[Outcome]) -> usize {
    outcomes.iter().filter(|outcome| outcome.is_served()).count()
}

/// Service by second.
pub fn service_by_second(outcomes: &[Outcome]) -> Vec<Service> {
    let mut by_second: Vec<Service> = Vec::new();
    for outcome in outcomes {
        let second = outcome.sent_secs as usize;
        if by_second.len() <= second {
            by_second.resize(second + 1, Service::default());
        }
        by_second[second].all += 1;
        by_second[second].served += usize::from(outcome.is_served());
    }
    by_second
}

/// Prints the lines of a log about zones, for a failed test.
pub fn print_zone_lines(log: &[String]) {
    log.iter().filter(|line| line.contains("zone=")).for_each(|line| eprintln!("{line}"));
}

/// Number of lines in which hall-a enters a state.
pub fn local_zone_entries(log: &[String], state: &str) -> usize {
    let state = format!("current={state}");
    log.iter().filter(|line| line.contains("zone=\"hall-a\"") && line.contains(&state)).count()
}
