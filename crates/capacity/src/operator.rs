//! Operator client: sends configurations of a given size and times their acknowledgement.

use super::simulated_edges::PROBE;
use super::CapacityError;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Size of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Routes.
    pub routes: u32,
    /// Tenants.
    pub tenants: u32,
    /// Keys of each: a short one, the others as long as the platform's.
    pub keys: u32,
    /// Services.
    pub services: usize,
    /// Requests a second of each tenant; 0: no limit.
    pub rate: u32,
}

/// Routes of a host.
pub const ROUTES_A_HOST: u32 = 10;

fn probe(number: u64) -> Value {
    json!([
        "probe",
        PROBE.0,
        PROBE.1,
        "effectful",
        "60s",
        format!("{number}ms"),
        0,
        1,
        format!("r{number}"),
        "s0"
    ])
}

const ROUTE: [&str; 10] = [
    "label",
    "hostname",
    "path_prefix",
    "route_class",
    "cutoff",
    "target",
    "rank",
    "max_attempts",
    "revision",
    "service_ref",
];

/// The body of a request that sets everything. The probe's number is 1.
pub fn full_configuration(sizes: Sizes) -> String {
    let Sizes { routes, tenants, keys, services, rate } = sizes;
    let key = |i: u32, k: u32| if k == 0 { format!("key-{i}") } else { format!("{k:04}{i:0>16}") };
    let mut records: Vec<Value> = (0..routes)
        .map(|i| {
            let host = format!("h{}.example", i / ROUTES_A_HOST);
            let service = format!("s{}", i as usize % services.max(1));
            json!([
                format!("r-{i:06}"),
                host,
                format!("/p{i}/"),
                "effectful",
                "3000ms",
                "400ms",
                1,
                2,
                "r1",
                service
            ])
        })
        .collect();
    records.push(probe(1));
    let tenants: Vec<Value> = (0..tenants)
        .map(|i| {
            let keys: Vec<String> = (0..keys.max(1)).map(|k| key(i, k)).collect();
            json!([format!("tenant-{i}"), keys, rate, rate, "r1"])
        })
        .collect();
    let services: Vec<Value> =
        (0..services.max(1)).map(|i| json!([format!("s{i}"), "/health", 130, "r1"])).collect();
    json!({ "upsert": {
        "route_set": { "columns": ROUTE, "records": records },
        "tenant_set": { "columns": ["label", "credentials", "rate_per_s", "burst_size", "revision"], "records": tenants },
        "service_set": { "columns": ["label", "probe_path", "conn_limit", "revision"], "records": services },
        "saturation": { "header_max_bytes": 16384, "body_max_bytes": 1048576, "header_deadline": "3000ms",
            "idle_cutoff": "15000ms", "revision": "r1" },
    } })
    .to_string()
}

/// The body of a request that changes the probe route only.
pub fn probe_change(number: u64) -> String {
    json!({ "upsert": { "route_set": { "columns": ROUTE, "records": [probe(number)] } } }).to_string()
}

/// An operator client with the addresses of the core.
pub struct Operator {
    controls: Vec<SocketAddr>,
    next: usize,
}

impl Operator {
    /// A client of these control addresses.
    pub fn new(controls: Vec<SocketAddr>) -> Self {
        Operator { controls, next: 0 }
    }

    /// Does this machine serve the committed configuration?
    pub fn serves_configuration(at: SocketAddr) -> bool {
        let request = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(5)))?;
            stream.write_all(
                b"GET /whinstall/configuration/read HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n",
            )?;
            let mut received = Vec::new();
            stream.read_to_end(&mut received)?;
            let stands = received.windows(7).any(|w| w == b"\"probe\"");
            Ok(received.starts_with(b"HTTP/1.1 200") && stands)
        };
        request().unwrap_or(false)
    }

    fn call(to: SocketAddr, body: &str, within: Duration) -> std::io::Result<(u16, String)> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(within))?;
        stream.set_write_timeout(Some(within))?;
        stream.set_nodelay(true)?;
        let head = format!(
            "POST /whinstall/configuration/amend HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body.as_bytes())?;
        let mut received = Vec::new();
        stream.read_to_end(&mut received)?;
        let text = String::from_utf8_lossy(&received).into_owned();
        let status = text.split(' ').nth(1).and_then(|s| s.parse().ok());
        Ok((status.ok_or(std::io::ErrorKind::InvalidData)?, text))
    }

    /// Sends `body` until it is acknowledged, and returns the seconds that this took.
    ///
    /// A 307 is followed; other failures are retried at the next machine with exponential backoff. A refused
    /// configuration is an error at once.
    pub fn amend(&mut self, body: &str, within: Duration) -> Result<f64, CapacityError> {
        let begun = Instant::now();
        let (mut backoff, mut last_heard) = (Duration::from_millis(50), String::from("nothing"));
        let call_timeout = Duration::from_secs(1 + body.len() as u64 / 200_000);
        let mut to = self.controls[self.next % self.controls.len()];
        while begun.elapsed() < within {
            let answer = Self::call(to, body, call_timeout);
            match answer {
                Ok((200..=299, _)) => return Ok(begun.elapsed().as_secs_f64()),
                Ok((307, text)) => {
                    let location = text.lines().find_map(|l| {
                        l.to_ascii_lowercase().strip_prefix("location: http://").map(str::to_owned)
                    });
                    if let Some(address) = location.and_then(|p| p.split('/').next()?.trim().parse().ok()) {
                        to = address;
                        continue;
                    }
                }
                Ok((status @ (400 | 409 | 412 | 413 | 422), text)) => {
                    return Err(CapacityError::Refused(
                        status,
                        text.lines().last().unwrap_or_default().into(),
                    ));
                }
                Ok((status, text)) => {
                    last_heard = format!("{status} {}", text.lines().last().unwrap_or_default())
                }
                Err(error) => last_heard = error.to_string(),
            }
            self.next += 1;
            to = self.controls[self.next % self.controls.len()];
            std::thread::sleep(backoff);
            backoff = (backoff * 2).min(Duration::from_millis(400));
        }
        Err(CapacityError::Unanswered(within.as_secs_f64(), last_heard))
    }
}
