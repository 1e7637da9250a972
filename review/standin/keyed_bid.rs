//! The gatekeeper in service before bid servers that drop a repeat by its `Idempotency-Key`. The disruption: some servers
//! run a request and lose its answer.

use crate::kit::*;
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Every bid server drops a repeat for this long.
const KEPT: Duration = Duration::from_secs(5);
/// At servers in trouble, one in so many requests is run without an answer: x = 0.05.
const LOST_ONE_IN: usize = 20;
const SERVERS: usize = 4;
/// Servers in trouble: share = 0.5.
const IN_TROUBLE: usize = 2;
const CLIENTS: usize = 4;
const BIDS_EACH: usize = 120;

/// What a bid server ran: the id of the request, its key if it came with one, and the server.
struct Bid {
    at: f64,
    id: String,
    key: Option<String>,
    server: usize,
    is_answered: bool,
}

struct Servers {
    ran: Mutex<Vec<Bid>>,
    /// Keys that were run lately, by all servers: each drops a repeat of any.
    kept: Mutex<HashMap<String, Instant>>,
    dropped: AtomicUsize,
    record: Record,
}

impl Servers {
    fn serve(self: Arc<Self>, mut stream: TcpStream, server: usize, seen: &AtomicUsize, trouble: bool) {
        let _ = stream.set_nodelay(true);
        while let Some((head, _)) = read_message(&mut stream) {
            let Some(id) = header(&head, "request-id") else {
                let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            };
            let key = header(&head, "idempotency-key").map(str::to_owned);
            if let Some(key) = &key {
                let mut kept = self.kept.lock().unwrap();
                kept.retain(|_, at| at.elapsed() < KEPT);
                if kept.insert(key.clone(), Instant::now()).is_some() {
                    self.dropped.fetch_add(1, Ordering::SeqCst);
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nplaced");
                    continue;
                }
            }
            let number = seen.fetch_add(1, Ordering::SeqCst) + 1;
            let is_lost = trouble && server < IN_TROUBLE && number % LOST_ONE_IN == 0;
            sleep_ms(20);
            let bid = Bid { at: self.record.now(), id: id.to_owned(), key, server, is_answered: !is_lost };
            self.ran.lock().unwrap().push(bid);
            if is_lost {
                return;
            }
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nplaced").is_err() {
                return;
            }
        }
    }
}

fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn answer_json(stream: &mut TcpStream, body: &str) -> bool {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).is_ok()
}

/// Discovery: the whole list, and watches, which nothing ends before their time.
fn discovery(mut stream: TcpStream, list: &str) {
    while let Some((head, _)) = read_message(&mut stream) {
        let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let is_answered = if target.contains("after=1&") {
            let wait = target.split("wait_ms=").nth(1).and_then(|ms| ms.parse().ok()).unwrap_or(1000);
            sleep_ms(wait);
            answer_json(&mut stream, r#"{"rev":1,"all":false,"targets":[]}"#)
        } else {
            answer_json(&mut stream, list)
        };
        if !is_answered {
            return;
        }
    }
}

/// The counter: adds, and answers the total.
fn counter(mut stream: TcpStream, totals: &Mutex<HashMap<String, f64>>) {
    while let Some((head, _)) = read_message(&mut stream) {
        let target = head.split(' ').nth(1).unwrap_or_default();
        let (name, query) = target.split_once('?').unwrap_or((target, ""));
        let by = query.split('&').find_map(|p| p.strip_prefix("by=")?.parse::<f64>().ok()).unwrap_or(0.0);
        let total = {
            let mut totals = totals.lock().unwrap();
            let total = totals.entry(name.to_owned()).or_default();
            *total += by;
            *total
        };
        if !answer_json(&mut stream, &total.to_string()) {
            return;
        }
    }
}

/// The command of the gatekeeper's deploy file, which names it behind `exec`.
fn gatekeeper_command() -> Option<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").ok()?;
    let run = text.lines().find_map(|l| l.trim().strip_prefix("run = \""))?;
    Some(run.split('"').next()?.trim_start_matches("exec ").to_owned())
}

pub fn run(record: &Record) -> i32 {
    let trouble = has_trouble();
    let servers = Arc::new(Servers {
        ran: Mutex::default(),
        kept: Mutex::default(),
        dropped: AtomicUsize::new(0),
        record: record.clone(),
    });
    let addresses: Vec<SocketAddr> = (0..SERVERS)
        .map(|n| {
            let (servers, seen) = (Arc::clone(&servers), Arc::new(AtomicUsize::new(0)));
            listen(move |stream| Arc::clone(&servers).serve(stream, n, &seen, trouble))
        })
        .collect();
    let targets: Vec<String> = addresses
        .iter()
        .enumerate()
        .map(|(n, at)| {
            format!(r#"{{"uid":"s-{n}","endpoint":"{at}","az":"casa-dc1","model":"std-2c","pod_group":1,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}}"#)
        })
        .collect();
    let list = format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, targets.join(","));
    let known = list.clone();
    let at_discovery = listen(move |stream| discovery(stream, &list));
    let totals = Mutex::new(HashMap::new());
    let at_counter = listen(move |stream| counter(stream, &totals));
    let folder = std::env::temp_dir().join(format!("whinstall-review-keyed-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
    let front = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let config = format!(
        r#"{{"name":"g0","listen":"{front}","discovery":"{at_discovery}","counter":"{at_counter}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
"settings":{{"replicasOfMe":1,"zone":"casa-dc1","discovery":"pushed","classes":[
{{"name":"lot-view","aimS":1.0,"hardLimitS":2.0,"gain":1.0,"lateWorth":0.2,"idempotency":"repeatable"}},
{{"name":"place-bid","aimS":1.5,"hardLimitS":5.0,"gain":3.0,"lateWorth":0.2,"idempotency":"by_key","group":"all","windowS":5.0}}],
"tiersOfService":[{{"name":"premium","perSecond":1000.0,"mostAtOnce":5000.0,"price":1.3,"beyondCosts":0.6}}],
"familyInfo":{{"mayCount":true,"countWaitS":0.05,"unitsTop":6}},
"limits":{{"cancel":true,"connIdleS":30.0,"dialTimeoutS":0.25,"maxAttempts":4,"maxRetryAfterS":2.0,"mayDuplicate":false,"mayProbe":false,"retryAfter":true}},
"rules":{{"coldShare":0.2,"tipMultiple":3.0,"fallS":2.0,"warmAfterS":16.0}},"charges":{{"crossZone":0.0,"probe":0.0}}}}}}"#
    );
    let file = folder.join("config.json");
    std::fs::write(&file, config).expect("the configuration can be written");
    let Some(command) = gatekeeper_command() else { return COULD_NOT_RUN };
    let log = std::fs::File::create(folder.join("gatekeeper.log")).expect("a log file");
    let started = Command::new(&command).env("ROUTER_CONFIG", &file).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn();
    let Ok(mut gatekeeper) = started else {
        record.line(format!("{command} does not start"));
        return COULD_NOT_RUN;
    };
    remember(gatekeeper.id());
    let ready = || exchange(front, b"GET /ready HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n", 500).status == 200;
    let until = Instant::now() + Duration::from_secs(10);
    while !ready() && Instant::now() < until {
        sleep_ms(50);
    }
    record.line("the gatekeeper is ready; clients place bids, each with a key of its own, and none is sent again by its client");
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let record = record.clone();
            thread::spawn(move || {
                let mut sent = Vec::new();
                for n in 0..BIDS_EACH {
                    let (id, at) = (format!("bid-{c}-{n}"), record.now());
                    let body = format!("{{\"lot\":{n},\"by\":\"dealer-{c}\"}}");
                    let request = format!(
                        "POST /place-bid?client=00000000b4d65521 HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {id}\r\n\
                         Request-Class: place-bid\r\nX-Contract: premium\r\nRequest-Timeout: 5.000\r\n\
                         Idempotency-Key: key-{c}-{n}\r\nContent-Length: {}\r\nX-Metering: units=1,spread=1,first=0\r\n\
                         Connection: close\r\n\r\n{body}",
                        body.len()
                    );
                    let answer = exchange(front, request.as_bytes(), 5500);
                    sent.push(Sent { at, id, status: answer.status, took: record.now() - at });
                    sleep_ms(20);
                }
                sent
            })
        })
        .collect();
    let sent: Vec<Sent> = clients.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect();
    end_child(&mut gatekeeper);
    let _ = std::fs::remove_dir_all(&folder);
    let ran = servers.ran.lock().unwrap();
    let run_of = |bid: &Bid| {
        let key = bid.key.as_deref().unwrap_or("none");
        let worker = format!("server {} (key {key}, answered: {})", bid.server, bid.is_answered);
        Run { at: bid.at, id: bid.id.clone(), worker, tenant: String::new() }
    };
    record_all(record, &sent, &ran.iter().map(run_of).collect::<Vec<_>>());
    let mut by_id: BTreeMap<&str, Vec<&Bid>> = BTreeMap::new();
    ran.iter().for_each(|bid| by_id.entry(&bid.id).or_default().push(bid));
    let statuses: HashMap<&str, u16> = sent.iter().map(|s| (s.id.as_str(), s.status)).collect();
    for (id, runs) in by_id.iter().filter(|(_, runs)| runs.len() > 1) {
        let runs: Vec<String> = runs
            .iter()
            .map(|r| format!("at {:.3} by server {} (key {:?}, answered: {})", r.at, r.server, r.key, r.is_answered))
            .collect();
        record.line(format!("{id} ran {} times: {}; its client got {}", runs.len(), runs.join(", "), statuses.get(id).copied().unwrap_or(0)));
    }
    let twice = by_id.values().filter(|runs| runs.len() > 1).count();
    let lost = ran.iter().filter(|bid| !bid.is_answered).count();
    let keyless = ran.iter().filter(|bid| bid.key.is_none()).count();
    record.line(format!("clients: {}", by_status(&sent)));
    record.line(format!(
        "{} bids sent, {} runs, {lost} without an answer, {keyless} that came without their key, {} repeats dropped by key; {twice} bids ran more than once",
        sent.len(),
        ran.len(),
        servers.dropped.load(Ordering::SeqCst)
    ));
    if by_id.is_empty() || (trouble && lost == 0) {
        return COULD_NOT_RUN;
    }
    if twice > 0 { BROKEN } else { HELD }
}
