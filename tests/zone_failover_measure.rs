//! A measurement, not a test of CI: three gatekeepers before three zones of endpoints with a fixed capacity, of which
//! one zone hangs for eight seconds of twenty. It compares the gatekeeper without `--halls`, with unlimited spillover
//! (the plain alternative), and with spillover limited by headroom. It prints a table:
//! `cargo test --release --test zone_failover_measure -- --ignored --nocapture`

mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const ENDPOINTS_PER_ZONE: usize = 2;
/// Requests that an endpoint works on at once; the rest queues.
const SLOTS: usize = 3;
/// Time that a request takes in a slot.
const WORK: Duration = Duration::from_millis(100);
/// Length of a run.
const SECONDS: usize = 20;
/// Seconds after a run in which endpoints still work.
const TAIL_SECONDS: usize = 10;
/// When hall-a hangs, in seconds.
const OUTAGE: std::ops::Range<usize> = 5..13;
/// Seconds after the begin of the outage from which on the load has settled on the other zones.
const SETTLE_SECONDS: usize = 2;
/// An answer within this time counts as served.
const SERVED_WITHIN: Duration = Duration::from_millis(1200);

/// What the endpoints of one zone recorded, by second.
#[derive(Clone, Copy, Default)]
struct ZoneLoad {
    /// Slot-seconds of work done.
    busy: [f64; SECONDS + TAIL_SECONDS],
    /// Requests received.
    received: [usize; SECONDS + TAIL_SECONDS],
}

impl ZoneLoad {
    fn utilization(&self, second: usize) -> f64 {
        self.busy[second] / (ENDPOINTS_PER_ZONE * SLOTS) as f64
    }
}

type Loads = Arc<Mutex<[ZoneLoad; 3]>>;

/// The slots of an endpoint.
struct Slots {
    free: Mutex<usize>,
    released: Condvar,
}

impl Slots {
    fn work(&self) {
        let mut free = self.free.lock().expect("no holder panics");
        while *free == 0 {
            free = self.released.wait(free).expect("no holder panics");
        }
        *free -= 1;
        drop(free);
        std::thread::sleep(WORK);
        *self.free.lock().expect("no holder panics") += 1;
        self.released.notify_one();
    }
}

fn endpoint(zone: usize, is_cut: Arc<AtomicBool>, loads: Loads, start: Instant) -> ScriptedPeer {
    let slots = Slots { free: Mutex::new(SLOTS), released: Condvar::new() };
    let second = move || (start.elapsed().as_secs_f64() as usize).min(SECONDS + TAIL_SECONDS - 1);
    ScriptedPeer::start(move |_| {
        loads.lock().expect("no holder panics")[zone].received[second()] += 1;
        while is_cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        slots.work();
        loads.lock().expect("no holder panics")[zone].busy[second()] += WORK.as_secs_f64();
        ScriptedReply::Ok("drafted")
    })
}

/// The zones of a run. Only hall-a can hang.
struct Zones {
    is_cut: Arc<AtomicBool>,
    loads: Loads,
    /// Lines of the endpoint list.
    lines: Vec<String>,
    _peers: Vec<ScriptedPeer>,
}

impl Zones {
    fn start(start: Instant) -> Self {
        let (is_cut, loads) = (Arc::new(AtomicBool::new(false)), Loads::default());
        let (mut peers, mut lines) = (Vec::new(), Vec::new());
        for (z, zone) in ZONES.iter().enumerate() {
            for n in 0..ENDPOINTS_PER_ZONE {
                let is_cut = if z == 0 { Arc::clone(&is_cut) } else { Arc::default() };
                let peer = endpoint(z, is_cut, Arc::clone(&loads), start);
                lines.push(endpoint_entry_in_zone(&format!("{zone}-{n}"), peer.address, "SERVING", zone));
                peers.push(peer);
            }
        }
        Zones { is_cut, loads, lines, _peers: peers }
    }
}

/// Starts a gatekeeper in each zone, with these settings of zone failover or without.
fn start_gatekeepers(
    settings: Option<&str>,
    known: &str,
    discovery: SocketAddr,
    counter: SocketAddr,
) -> Vec<Gatekeeper> {
    let file = settings.map(Gatekeeper::write_settings_file);
    let args: Vec<&str> = file.iter().flat_map(|f| ["--halls", f.to_str().expect("a path")]).collect();
    let start = |(ordinal, zone): (usize, &&str)| {
        let text = configuration(known, discovery, counter, 1024)
            .replace("\"zone\": \"hall-a\"", &format!("\"zone\": \"{zone}\""))
            .replace("\"replicasOfMe\": 1", &format!("\"replicasOfMe\": 3, \"ordinal\": {ordinal}"));
        Gatekeeper::start_configured(&text, &args)
    };
    ZONES.iter().enumerate().map(start).collect()
}

/// The outcome of one request.
struct Outcome {
    /// When it was sent, in seconds since the start.
    sent_secs: f64,
    is_served: bool,
}

/// Sends previews at `per_second`, to the gatekeepers in turn, while hall-a hangs during the outage.
fn drive(gatekeepers: &[Gatekeeper], is_cut: &AtomicBool, per_second: f64) -> Vec<Outcome> {
    let start = Instant::now();
    let outage = OUTAGE.start as f64..OUTAGE.end as f64;
    let mut clients = Vec::new();
    for n in 0..(SECONDS as f64 * per_second) as u32 {
        let sent_secs = f64::from(n) / per_second;
        is_cut.store(outage.contains(&start.elapsed().as_secs_f64()), Ordering::SeqCst);
        std::thread::sleep(Duration::from_secs_f64(sent_secs).saturating_sub(start.elapsed()));
        let address = gatekeepers[n as usize % gatekeepers.len()].address;
        let client = move || Outcome { sent_secs, is_served: is_served_in_time(address, n) };
        clients.push(std::thread::spawn(client));
    }
    is_cut.store(false, Ordering::SeqCst);
    clients.into_iter().map(|client| client.join().expect("no client panics")).collect()
}

/// Sends one preview, of its own customer.
fn is_served_in_time(address: SocketAddr, n: u32) -> bool {
    let Ok(stream) = TcpStream::connect(address) else { return false };
    stream.set_read_timeout(Some(Duration::from_secs(6))).expect("a timeout");
    let mut writer = stream.try_clone().expect("a handle");
    let text = format!(
        "GET /preview?client={:016x} HTTP/1.1\r\n{}Connection: close\r\n\r\n",
        n + 1,
        headers(&format!("m{n}"), "preview", "4")
    );
    let sent = Instant::now();
    if writer.write_all(text.as_bytes()).is_err() {
        return false;
    }
    let answer = Message::read(&mut BufReader::new(stream));
    let is_in_time = sent.elapsed() <= SERVED_WITHIN;
    is_in_time && answer.is_some_and(|m| m.start.contains(" 200 "))
}

/// The figures of one run.
#[derive(Debug)]
struct Figures {
    /// Fraction of requests served in time.
    service: f64,
    /// Fraction of requests served in time over the worst ten seconds.
    worst_10s: f64,
    /// Peak utilization of the busier of the remaining zones.
    peak_utilization: f64,
    /// Mean utilization of the busier of the remaining zones during the outage, once settled.
    outage_utilization: f64,
    /// Seconds of the outage in which hall-a still received more than a tenth of its requests before.
    detection_secs: f64,
    /// Seconds from the end of the outage until hall-a received 90% of its requests before; infinity: not in the run.
    recovery_secs: f64,
}

impl Figures {
    fn new(outcomes: &[Outcome], loads: &[ZoneLoad; 3]) -> Self {
        let remaining = |second: usize| loads[1].utilization(second).max(loads[2].utilization(second));
        let settled = OUTAGE.start + SETTLE_SECONDS..OUTAGE.end;
        let received = |second: usize| loads[0].received[second] as f64;
        let before = (0..OUTAGE.start).map(received).sum::<f64>() / OUTAGE.start as f64;
        let recovery = (OUTAGE.end..SECONDS).position(|s| received(s) >= 0.9 * before);
        Figures {
            service: service(outcomes, 0..SECONDS),
            worst_10s: (0..=SECONDS - 10).map(|s| service(outcomes, s..s + 10)).fold(1.0, f64::min),
            peak_utilization: (0..SECONDS).map(remaining).fold(0.0, f64::max),
            outage_utilization: settled.clone().map(remaining).sum::<f64>() / settled.len() as f64,
            detection_secs: OUTAGE.take_while(|&s| received(s) > 0.1 * before).count() as f64,
            recovery_secs: recovery.map_or(f64::INFINITY, |s| s as f64),
        }
    }
}

/// Fraction of the requests of these seconds that were served in time.
fn service(outcomes: &[Outcome], seconds: std::ops::Range<usize>) -> f64 {
    let second = |outcome: &Outcome| (outcome.sent_secs as usize).min(SECONDS - 1);
    let all: Vec<&Outcome> = outcomes.iter().filter(|outcome| seconds.contains(&second(outcome))).collect();
    all.iter().filter(|outcome| outcome.is_served).count() as f64 / all.len().max(1) as f64
}

fn run(settings: Option<&str>, per_second: f64) -> Figures {
    let zones = Zones::start(Instant::now());
    let known = endpoint_list(1, true, &zones.lines);
    let (discovery, counter) = (start_static_discovery(known.clone()), start_counter());
    let gatekeepers = start_gatekeepers(settings, &known, discovery.address, counter.address);
    let outcomes = drive(&gatekeepers, &zones.is_cut, per_second);
    let loads = *zones.loads.lock().expect("no holder panics");
    Figures::new(&outcomes, &loads)
}

#[test]
#[ignore = "a measurement of some minutes: run by hand"]
fn measure_loss_of_a_zone() {
    let measured = "halls: { notice: 0.6, hold: 2, ramp: 6, node_rate: 30, spill_use: 0.85, hall: { \"hall-a\": {}, \"hall-b\": {}, \"hall-c\": {} } }";
    let unlimited = measured.replace("node_rate: 30", "node_rate: 0");
    let rated = measured.replace("notice:", "bound: \"rated\", notice:");
    // The capacity is 6 endpoints x 3 slots / 0.1 s = 180 requests a second: loads of 40% and 75%.
    for per_second in [72.0, 135.0] {
        for (name, settings) in [
            ("without", None),
            ("unlimited", Some(unlimited.as_str())),
            ("measured", Some(measured)),
            ("rated", Some(rated.as_str())),
        ] {
            let f = run(settings, per_second);
            println!(
                "{per_second:>5}/s  {name:<10} service {:.3}  worst 10 s {:.3}  utilization of remaining zones: \
                 peak {:.2}, in the outage {:.2}  detection {} s  recovery {} s",
                f.service,
                f.worst_10s,
                f.peak_utilization,
                f.outage_utilization,
                f.detection_secs,
                f.recovery_secs
            );
        }
    }
}
