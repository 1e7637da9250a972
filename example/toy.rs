//! A minimal platform for trying out the gatekeeper: discovery, a quota counter and two nodes in one process, on
//! loopback. The protocols are implemented in the simplest way, so the platform is unsuitable for benchmarks.
//!
//! A node takes 200 ms for a `POST` request and 100 ms for any other. It rejects every eighth request with the status
//! 503 and the header `not-started`: the request can be sent to another node.

use actix_http::{HttpService, Request, Response, StatusCode};
use actix_service::{fn_service, Service, ServiceFactory};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

const DISCOVERY: &str = "127.0.0.1:8500";
const COUNTER: &str = "127.0.0.1:6400";
const NODES: [&str; 2] = ["127.0.0.1:9101", "127.0.0.1:9102"];

fn ok(body: String) -> Response<Bytes> {
    Response::with_body(StatusCode::OK, body.into())
}

/// A parameter of the request's query.
fn query_parameter<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let mut pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Serves one address until the process ends.
async fn serve<A, F>(address: &'static str, handler: A) -> io::Result<()>
where
    A: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<Bytes>> + 'static,
{
    let handler = move |request| {
        let response = handler(request);
        async { Ok::<_, Infallible>(response.await) }
    };
    let listener = TcpListener::bind(address).await?;
    let factory = HttpService::<TcpStream, _, _>::build().h1(fn_service(handler)).tcp();
    let service = factory.new_service(()).await.map_err(|()| io::Error::other("no service"))?;
    loop {
        let (stream, _) = listener.accept().await?;
        let connection = service.call(stream);
        actix_rt::spawn(async {
            let _ = connection.await;
        });
    }
}

async fn discovery(request: Request) -> Response<Bytes> {
    let targets = NODES.iter().enumerate().map(|(n, address)| {
        format!(
            r#"{{"uid":"s-{n}","endpoint":"{address}","az":"hall-a","model":"toy","pod_group":0,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}}"#
        )
    });
    // The list has one version. A watch from an earlier one gets the full list at once, like a call without a watch.
    let after: Option<u64> = query_parameter(&request, "after").and_then(|rev| rev.parse().ok());
    let wait = query_parameter(&request, "wait_ms")
        .and_then(|ms| ms.parse().ok())
        .filter(|_| after.is_none_or(|rev| rev >= 1));
    match wait {
        // The list never changes, so a watch ends after its wait time without a change.
        Some(ms) => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            ok(r#"{"rev":1,"all":false,"targets":[]}"#.into())
        }
        None => {
            ok(format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, targets.collect::<Vec<_>>().join(",")))
        }
    }
}

/// Totals by name, each with the time at which it expires.
type Totals = Rc<RefCell<HashMap<String, (f64, Instant)>>>;

/// Adds the amount of a request to its total, and returns the total; `None` if the request is invalid.
fn add_to_total(totals: &Totals, request: &Request) -> Option<f64> {
    let amount: f64 = query_parameter(request, "by")?.parse().ok()?;
    let time_to_live = Duration::from_millis(query_parameter(request, "expire_ms")?.parse().ok()?);
    let (now, mut totals) = (Instant::now(), totals.borrow_mut());
    totals.retain(|_, (_, expires_at)| *expires_at > now);
    let total = totals.entry(request.path().to_owned()).or_insert((0.0, now + time_to_live));
    total.0 += amount;
    Some(total.0)
}

/// Responds to a request that is the `number`th of its node.
async fn node(name: &'static str, number: u32, request: Request) -> Response<Bytes> {
    if number.is_multiple_of(8) {
        let mut response = Response::with_body(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        let not_started = actix_http::header::HeaderName::from_static("not-started");
        response.headers_mut().insert(not_started, actix_http::header::HeaderValue::from_static("1"));
        return response;
    }
    let work = if request.method() == actix_http::Method::POST { 200 } else { 100 };
    tokio::time::sleep(Duration::from_millis(work)).await;
    ok(format!("drafted by {name}: {}\n", request.uri()))
}

fn main() -> io::Result<()> {
    actix_rt::System::new().block_on(async {
        let totals = Totals::default();
        actix_rt::spawn(serve(COUNTER, move |request| {
            let total = add_to_total(&totals, &request);
            async move {
                total
                    .map_or(Response::with_body(StatusCode::BAD_REQUEST, Bytes::new()), |t| ok(t.to_string()))
            }
        }));
        for name in NODES {
            let received = Rc::new(Cell::new(0));
            actix_rt::spawn(serve(name, move |request| {
                received.set(received.get() + 1);
                node(name, received.get(), request)
            }));
        }
        println!("discovery {DISCOVERY}, counter {COUNTER}, nodes {}", NODES.join(" "));
        serve(DISCOVERY, discovery).await
    })
}
