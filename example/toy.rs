//! A toy platform to try the gatekeeper with: discovery, a quota counter and two drafting nodes in one process, on
//! loopback. It keeps to the protocol in the plainest way and must never be taken for a test of speed.
//!
//! `POST` requests take it a fifth of a second, others a tenth; every eighth one is turned away unbegun.

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

fn query<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let mut pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Serves one address for ever.
async fn serve<A, F>(address: &'static str, answer: A) -> io::Result<()>
where
    A: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<Bytes>> + 'static,
{
    let answer = move |request| {
        let answer = answer(request);
        async { Ok::<_, Infallible>(answer.await) }
    };
    let listener = TcpListener::bind(address).await?;
    let factory = HttpService::<TcpStream, _, _>::build().h1(fn_service(answer)).tcp();
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
    // A watch from before the one version there is gets the whole list at once, as a plain call does.
    let after: Option<u64> = query(&request, "after").and_then(|rev| rev.parse().ok());
    let wait = query(&request, "wait_ms")
        .and_then(|ms| ms.parse().ok())
        .filter(|_| after.is_none_or(|rev| rev >= 1));
    match wait {
        // Nothing ever changes here.
        Some(ms) => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            ok(r#"{"rev":1,"all":false,"targets":[]}"#.into())
        }
        None => {
            ok(format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, targets.collect::<Vec<_>>().join(",")))
        }
    }
}

/// Totals by name, with when each is forgotten.
type Totals = Rc<RefCell<HashMap<String, (f64, Instant)>>>;

fn count(totals: &Totals, request: &Request) -> Option<f64> {
    let by: f64 = query(request, "by")?.parse().ok()?;
    let life = Duration::from_millis(query(request, "expire_ms")?.parse().ok()?);
    let (now, mut totals) = (Instant::now(), totals.borrow_mut());
    totals.retain(|_, (_, until)| *until > now);
    let total = totals.entry(request.path().to_owned()).or_insert((0.0, now + life));
    total.0 += by;
    Some(total.0)
}

async fn node(name: &'static str, served: u32, request: Request) -> Response<Bytes> {
    if served.is_multiple_of(8) {
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
            let total = count(&totals, &request);
            async move {
                total
                    .map_or(Response::with_body(StatusCode::BAD_REQUEST, Bytes::new()), |t| ok(t.to_string()))
            }
        }));
        for name in NODES {
            let served = Rc::new(Cell::new(0));
            actix_rt::spawn(serve(name, move |request| {
                served.set(served.get() + 1);
                node(name, served.get(), request)
            }));
        }
        println!("discovery {DISCOVERY}, counter {COUNTER}, nodes {}", NODES.join(" "));
        serve(DISCOVERY, discovery).await
    })
}
