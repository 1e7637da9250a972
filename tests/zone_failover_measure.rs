//! A measurement, not a test of CI: three gatekeepers before three stand-in halls of nodes with a fixed
//! capacity, one hall cut for eight seconds of twenty. It compares today's behaviour, halls with spill
//! unbounded (the plain alternative) and halls with spill bounded by headroom. Run it with
//! `cargo test --release --test zone_failover_measure -- --ignored --nocapture`; it prints a table.

mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Slots of a node (its cores) and the time a request takes on one.
const SLOTS: usize = 3;
const WORK: Duration = Duration::from_millis(100);
const SECONDS: usize = 20;
const CUT: (f64, f64) = (5.0, 13.0);

/// What the nodes saw: per hall, per second: busy slot-seconds and new requests.
#[derive(Default)]
struct Books {
    busy: [[f64; SECONDS + 10]; 3],
    new: [[usize; SECONDS + 10]; 3],
}

struct Node {
    slots: Mutex<usize>,
    freed: Condvar,
}

fn node(hall: usize, cut: Arc<AtomicBool>, books: Arc<Mutex<Books>>, start: Instant) -> Peer {
    let node = Arc::new(Node { slots: Mutex::new(SLOTS), freed: Condvar::new() });
    Peer::start(move |_| {
        let second = (start.elapsed().as_secs_f64() as usize).min(SECONDS + 9);
        books.lock().expect("books").new[hall][second] += 1;
        while cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut free = node.slots.lock().expect("slots");
        while *free == 0 {
            free = node.freed.wait(free).expect("slots");
        }
        *free -= 1;
        drop(free);
        std::thread::sleep(WORK);
        *node.slots.lock().expect("slots") += 1;
        node.freed.notify_one();
        let second = (start.elapsed().as_secs_f64() as usize).min(SECONDS + 9);
        books.lock().expect("books").busy[hall][second] += WORK.as_secs_f64();
        Reply::Ok("drafted")
    })
}

/// One variant's figures.
#[derive(Debug)]
struct Figures {
    service: f64,
    worst_10s: f64,
    peak_use_left: f64,
    cut_use_left: f64,
    notice_s: f64,
    return_s: f64,
}

fn run(variant: Option<&str>, rate: f64) -> Figures {
    let start = Instant::now();
    let cut = Arc::new(AtomicBool::new(false));
    let books: Arc<Mutex<Books>> = Arc::default();
    let mut peers = Vec::new();
    let mut lines = Vec::new();
    for (h, hall) in ["hall-a", "hall-b", "hall-c"].iter().enumerate() {
        for n in 0..2 {
            let flag = if h == 0 { Arc::clone(&cut) } else { Arc::new(AtomicBool::new(false)) };
            let p = node(h, flag, Arc::clone(&books), start);
            lines.push(node_in(&format!("{hall}-{n}"), p.address, "SERVING", hall));
            peers.push(p);
        }
    }
    let whole = list(1, true, &lines);
    let (known, discovery) = (whole.clone(), settled_discovery(whole));
    let counter = counter();
    let file = variant.map(Gatekeeper::settings_file);
    let gatekeepers: Vec<Gatekeeper> = (0..3)
        .map(|g| {
            let zone = ["hall-a", "hall-b", "hall-c"][g];
            let text = configuration(&known, discovery.address, counter.address, 1024)
                .replace("\"zone\": \"hall-a\"", &format!("\"zone\": \"{zone}\""))
                .replace("\"replicasOfMe\": 1", &format!("\"replicasOfMe\": 3, \"ordinal\": {g}"));
            let args: Vec<&str> =
                file.iter().flat_map(|f| ["--halls", f.to_str().expect("a path")]).collect();
            Gatekeeper::start_configured(&text, &args)
        })
        .collect();
    let addresses: Vec<SocketAddr> = gatekeepers.iter().map(|g| g.address).collect();
    let start = Instant::now();
    let mut sessions = Vec::new();
    let count = (SECONDS as f64 * rate) as u32;
    for n in 0..count {
        let at = f64::from(n) / rate;
        let since = start.elapsed().as_secs_f64();
        cut.store((CUT.0..CUT.1).contains(&since), Ordering::SeqCst);
        std::thread::sleep(Duration::from_secs_f64(at).saturating_sub(start.elapsed()));
        let address = addresses[n as usize % 3];
        sessions.push(std::thread::spawn(move || (at, one(address, n))));
    }
    cut.store(false, Ordering::SeqCst);
    let fates: Vec<(f64, bool)> = sessions.into_iter().map(|s| s.join().expect("a session")).collect();
    let mut served = [(0usize, 0usize); SECONDS];
    for (at, ok) in &fates {
        let s = (*at as usize).min(SECONDS - 1);
        served[s].1 += 1;
        served[s].0 += usize::from(*ok);
    }
    let part = |from: usize, to: usize| {
        let (ok, all) = served[from..to].iter().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        ok as f64 / all.max(1) as f64
    };
    let books = books.lock().expect("books");
    let capacity = 2.0 * SLOTS as f64;
    let peak_use_left =
        (0..SECONDS).map(|s| (books.busy[1][s].max(books.busy[2][s])) / capacity).fold(0.0, f64::max);
    let (cut_at, healed_at) = (CUT.0 as usize, CUT.1 as usize);
    // Use of the busier hall left, on the mean over the cut once 2 s have passed.
    let settled = cut_at + 2..healed_at;
    let cut_use_left =
        settled.clone().map(|s| books.busy[1][s].max(books.busy[2][s]) / capacity).sum::<f64>()
            / settled.len() as f64;
    let before = books.new[0][..cut_at].iter().sum::<usize>() as f64 / cut_at as f64;
    // New requests to the cut hall in the seconds after the cut: those before the halls noticed.
    let notice_s = (cut_at..healed_at).take_while(|&s| books.new[0][s] as f64 > 0.1 * before).count() as f64;
    let return_s = (healed_at..SECONDS)
        .position(|s| books.new[0][s] as f64 >= 0.9 * before)
        .map_or(f64::INFINITY, |s| s as f64);
    drop(gatekeepers);
    Figures {
        service: part(0, SECONDS),
        worst_10s: (0..=SECONDS - 10).map(|s| part(s, s + 10)).fold(1.0, f64::min),
        peak_use_left,
        cut_use_left,
        notice_s,
        return_s,
    }
}

/// One session, a preview of a customer of its own: served in time?
fn one(address: SocketAddr, n: u32) -> bool {
    let Ok(stream) = TcpStream::connect(address) else { return false };
    stream.set_read_timeout(Some(Duration::from_secs(6))).expect("a bound");
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
    let in_time = sent.elapsed() <= Duration::from_millis(1200);
    in_time && answer.is_some_and(|m| m.start.contains(" 200 "))
}

#[test]
#[ignore = "a measurement of some minutes: run by hand"]
fn measure_loss_of_a_hall() {
    let measured = "halls: { notice: 0.6, hold: 2, ramp: 6, node_rate: 30, spill_use: 0.85, hall: { \"hall-a\": {}, \"hall-b\": {}, \"hall-c\": {} } }";
    let unbounded = measured.replace("node_rate: 30", "node_rate: 0");
    let rated = measured.replace("notice:", "bound: \"rated\", notice:");
    // Capacity 6 nodes x 3 slots / 0.1 s = 180 a second: a quiet day at 40%, a busy one at 75%.
    for rate in [72.0, 135.0] {
        for (name, variant) in [
            ("today", None),
            ("unbounded", Some(unbounded.as_str())),
            ("measured", Some(measured)),
            ("rated", Some(rated.as_str())),
        ] {
            let f = run(variant, rate);
            println!(
                "rate {rate:>5}  {name:<10} service {:.3}  worst 10 s {:.3}  use of halls left: peak {:.2}, in the cut {:.2}  notice {} s  back {} s",
                f.service, f.worst_10s, f.peak_use_left, f.cut_use_left, f.notice_s, f.return_s
            );
        }
    }
}
