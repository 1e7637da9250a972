//! Owns the clients' side: takes connections, reads requests into sessions and writes the one answer to each.
//! It must never decide on a session, hold an answer back, or end a connection that a taken request is on.

use super::core::{Answer, Input, NewSession};
use super::exchange::BODY_MOST;
use super::server_table::ServerTable;
use super::{Inputs, Platform};
use actix_http::error::PayloadError;
use actix_http::header::HeaderValue;
use actix_http::uri::PathAndQuery;
use actix_http::{HttpMessage, Payload};
use actix_http::{HttpService, KeepAlive, Method, Request, Response, ResponseBuilder, StatusCode};
use actix_service::{fn_service, Service, ServiceFactory};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use whinstall::{CustomerId, RequestId};

/// `Request-Timeout` runs from the client's send: this much of it has passed when a request is read, and the
/// answer must be back before the rest has.
const ON_THE_WAY: Duration = Duration::from_millis(5);
/// Nobody waits longer.
const TIMEOUT_MOST: Duration = Duration::from_secs(3600);
/// A connection with no request open on it is closed after this.
const IDLE: Duration = Duration::from_secs(2);
/// Connections beyond the budget that are still taken, to be denied and closed.
const CROWD: usize = 48;

/// What dispatches pass on of a request, unchanged.
pub struct Forward {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: PathAndQuery,
    /// Its `Request-Id`.
    pub id: HeaderValue,
    /// Its body.
    pub body: Bytes,
}

/// What all connections share.
pub struct Frontend {
    queue: Inputs,
    table: Rc<ServerTable>,
    most: usize,
    max_retry_after: Duration,
    connections: Cell<usize>,
    freed: tokio::sync::Notify,
    draining: Cell<bool>,
    busy: Cell<usize>,
}

/// One open connection.
struct Slot {
    frontend: Rc<Frontend>,
    crowded: bool,
    /// Is a session on it, or its last answer still to be written out?
    busy: Cell<bool>,
}

impl Slot {
    fn set_busy(&self, busy: bool) {
        let count = &self.frontend.busy;
        count.set(count.get() + usize::from(busy) - usize::from(self.busy.replace(busy)));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.set_busy(false);
        self.frontend.connections.set(self.frontend.connections.get() - 1);
        self.frontend.freed.notify_one();
    }
}

/// Tells the core of a client that leaves: the connection's end drops the request's future and this with it.
struct Presence<'a> {
    frontend: &'a Frontend,
    id: Option<RequestId>,
}

impl Drop for Presence<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let _ = self.frontend.queue.send(Input::Departed(id));
        }
    }
}

/// What is wrong with a request that never becomes a session.
struct Rejected(StatusCode, &'static str);

impl Frontend {
    /// Hands sessions to this queue and holds `most` connections.
    pub fn new(queue: Inputs, table: Rc<ServerTable>, most: usize, max_retry_after: Duration) -> Rc<Self> {
        Rc::new(Frontend {
            queue,
            table,
            most,
            max_retry_after,
            connections: Cell::new(0),
            freed: tokio::sync::Notify::new(),
            draining: Cell::new(false),
            busy: Cell::new(0),
        })
    }

    /// From now on answers close their connections.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Is any session under way, or an answer not yet written out? A request of which a part is still to come
    /// is not taken, and keeps nobody waiting.
    pub fn busy(&self) -> bool {
        self.busy.get() > 0
    }

    /// Takes connections for as long as the program runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let (on_connect, on_request) = (Rc::clone(&self), Rc::clone(&self));
        let factory = HttpService::build()
            // Clients ask once and keep their connections for good: what is silent or idle is closed. The clocks
            // stop at a request's head, so one that was taken is never ended by them.
            .keep_alive(KeepAlive::Timeout(IDLE))
            .client_request_timeout(IDLE)
            .client_disconnect_timeout(Duration::from_secs(1))
            // A client that closes has left: the dispatcher then drops the request's future.
            .h1_allow_half_closed(false)
            .on_connect_ext(move |_: &TcpStream, data| {
                let count = on_connect.connections.get() + 1;
                on_connect.connections.set(count);
                data.insert(Slot {
                    frontend: Rc::clone(&on_connect),
                    crowded: count > on_connect.most,
                    busy: Cell::new(false),
                });
            })
            .h1(fn_service(move |request: Request| {
                let frontend = Rc::clone(&on_request);
                async move { Ok::<_, Infallible>(frontend.answer(request).await) }
            }))
            .tcp();
        let service = match factory.new_service(()).await {
            Ok(service) => Rc::new(service),
            Err(()) => return tracing::error!("the server could not be built"),
        };
        loop {
            while self.connections.get() >= self.most + CROWD {
                self.freed.notified().await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let connection = service.call(stream);
                    actix_rt::spawn(async move {
                        if let Err(error) = connection.await {
                            tracing::debug!(%error, "frontend connection ended");
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// Answers one request.
    async fn answer(&self, mut request: Request) -> Response<Bytes> {
        let arrived = Instant::now();
        let mut presence = Presence { frontend: self, id: None };
        if request.path() == "/ready" {
            let ready = self.table.can_serve() && !self.draining.get();
            let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return self.finish(Response::build(status), Bytes::new());
        }
        if request.conn_data::<Slot>().is_some_and(|slot| slot.crowded) {
            tracing::warn!(connections = self.connections.get(), "crowded: denied and closed");
            let mut response = Response::build(StatusCode::SERVICE_UNAVAILABLE);
            retry_after(&mut response, self.max_retry_after).force_close();
            return self.finish(response, Bytes::new());
        }
        let (reply, answer) = oneshot::channel();
        let session = match self.read(&mut request, arrived, reply).await {
            Ok(session) => session,
            Err(Rejected(status, why)) => {
                tracing::debug!(why, "request rejected");
                return self.finish(Response::build(status), Bytes::from_static(why.as_bytes()));
            }
        };
        presence.id = Some(session.id.clone());
        if let Some(slot) = request.conn_data::<Slot>() {
            slot.set_busy(true);
        }
        let _ = self.queue.send(Input::Session(Box::new(session)));
        let answer = answer.await.unwrap_or(Answer::Failed);
        presence.id = None;
        // While draining the connection stays busy until the answer is written out and it closes.
        if let Some(slot) = request.conn_data::<Slot>().filter(|_| !self.draining.get()) {
            slot.set_busy(false);
        }
        match answer {
            Answer::Served(body) => self.finish(Response::build(StatusCode::OK), body),
            Answer::Denied(after) => {
                let mut response = Response::build(StatusCode::SERVICE_UNAVAILABLE);
                if let Some(after) = after {
                    retry_after(&mut response, after);
                }
                self.finish(response, Bytes::new())
            }
            Answer::Failed => self.finish(Response::build(StatusCode::BAD_GATEWAY), Bytes::new()),
            Answer::Doubled => self.finish(Response::build(StatusCode::CONFLICT), Bytes::new()),
        }
    }

    fn finish(&self, mut response: ResponseBuilder, body: Bytes) -> Response<Bytes> {
        if self.draining.get() {
            response.force_close();
        }
        response
            .message_body(body)
            .unwrap_or_else(|_| Response::with_body(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()))
    }

    /// Reads a request into a session.
    async fn read(
        &self,
        request: &mut Request,
        arrived: Instant,
        reply: oneshot::Sender<Answer<Bytes>>,
    ) -> Result<NewSession<Platform>, Rejected> {
        let bad = |why| Rejected(StatusCode::BAD_REQUEST, why);
        if !matches!(*request.method(), Method::GET | Method::POST) {
            return Err(Rejected(StatusCode::METHOD_NOT_ALLOWED, "GET or POST only"));
        }
        let id = request.headers().get("request-id").cloned().ok_or(bad("no Request-Id"))?;
        let text = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::trim);
        let word = id.to_str().ok().filter(|id| !id.is_empty()).ok_or(bad("no usable Request-Id"))?;
        let class = text("request-class").filter(|c| !c.is_empty()).ok_or(bad("no Request-Class"))?;
        let plan = text("x-contract").ok_or(bad("no X-Contract"))?;
        let seconds = text("request-timeout").and_then(|t| t.parse::<f64>().ok());
        let timeout = seconds.filter(|s| *s >= 0.0).and_then(|s| Duration::try_from_secs_f64(s).ok());
        // Guards against a figure that no clock can add.
        let timeout = timeout.ok_or(bad("no usable Request-Timeout"))?.min(TIMEOUT_MOST);
        let (units, width) = text("x-metering").and_then(metering).ok_or(bad("no usable X-Metering"))?;
        let customer = request.uri().query().and_then(customer).ok_or(bad("no usable client"))?;
        let target = request.uri().path_and_query().cloned().ok_or(bad("no path"))?;
        let (session, class, plan) = (RequestId(Arc::from(word)), class.to_owned(), plan.to_owned());
        let customer = CustomerId(Arc::from(customer));
        let method = request.method().clone();
        let body = body(request.take_payload()).await?;
        Ok(NewSession {
            id: session,
            class,
            plan,
            customer,
            deadline: arrived + timeout.saturating_sub(ON_THE_WAY),
            units,
            width,
            request: Forward { method, target, id, body },
            reply,
        })
    }
}

fn retry_after(response: &mut ResponseBuilder, after: Duration) -> &mut ResponseBuilder {
    response.insert_header(("retry-after", format!("{:.3}", after.as_secs_f64())))
}

async fn body(mut payload: Payload) -> Result<Bytes, Rejected> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_: PayloadError| Rejected(StatusCode::BAD_REQUEST, "body not whole"))?;
        if body.len() + chunk.len() > BODY_MOST {
            return Err(Rejected(StatusCode::PAYLOAD_TOO_LARGE, "body of over 64 KiB"));
        }
        if body.is_empty() {
            body = BytesMut::from(chunk);
        } else {
            body.extend_from_slice(&chunk);
        }
    }
    Ok(body.freeze())
}

/// The customer in a query: 16 hex digits.
fn customer(query: &str) -> Option<&str> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix("client="))?;
    (value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit())).then_some(value)
}

/// Units and spread of an `X-Metering` header.
fn metering(text: &str) -> Option<(f64, u32)> {
    let field = |name: &str| {
        let mut pairs = text.split(',').filter_map(|pair| pair.trim().split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    let units = field("units")?.parse::<f64>().ok().filter(|u| u.is_finite() && *u >= 0.0)?;
    Some((units, field("spread")?.parse().ok()?))
}
