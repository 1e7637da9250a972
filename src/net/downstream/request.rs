//! Validation of requests: from an HTTP request to a session, or to the error response.
//!
//! A request that the settings do not provide for is rejected before the core sees it: nothing can be learnt from
//! it, least of all in another customer's name.

use crate::net::core::{NewSession, SessionResult};
use crate::net::HttpTransport;
use actix_http::header::HeaderValue;
use actix_http::uri::PathAndQuery;
use actix_http::{HttpMessage, Method, Request, StatusCode};
use bytes::Bytes;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use whinstall::{CustomerId, Idempotency, RequestId, Settings};

/// `Request-Timeout` runs from the moment the client sends: this much of it has passed when the request is read,
/// and the response must be back before the rest has.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(5);
/// Upper bound of `Request-Timeout`, so that every deadline can be represented.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);
/// Customer numbers are below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Hexadecimal digits of a customer number.
const CUSTOMER_DIGITS: usize = 16;
/// Classes that were removed are accepted for this long, for requests on their way.
const RETIRED_CLASS_GRACE: Duration = Duration::from_secs(3);

/// The parts of a request that attempts forward unchanged.
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: PathAndQuery,
    /// Its `Request-Id`.
    pub id: HeaderValue,
    /// Its body.
    pub body: Bytes,
}

/// Why a request is rejected before it becomes a session: the status and the body of the response.
#[derive(Debug)]
pub(super) struct RequestError {
    pub(super) status: StatusCode,
    pub(super) reason: &'static str,
}

impl RequestError {
    pub(super) fn new(status: StatusCode, reason: &'static str) -> Self {
        RequestError { status, reason }
    }

    pub(super) fn bad_request(reason: &'static str) -> Self {
        RequestError::new(StatusCode::BAD_REQUEST, reason)
    }
}

/// Classes by name, and whether their requests are idempotent.
type Classes = HashMap<String, bool>;

/// What requests may say, by the settings.
pub struct RequestRules {
    classes: Classes,
    retired: Option<RetiredClasses>,
    plans: Vec<String>,
    max_units: f64,
    replicas: u32,
}

/// Classes that are no longer in force, and until when they are accepted.
struct RetiredClasses {
    classes: Classes,
    until: Instant,
}

/// The fields of an `X-Metering` header that are used.
struct Metering {
    units: f64,
    gateway_count: u32,
}

impl RequestRules {
    /// The rules of these settings.
    pub fn from_settings(settings: &Settings) -> Self {
        let is_idempotent = |i: &Idempotency| *i == Idempotency::Repeatable;
        let classes = settings.classes.iter().map(|c| (c.name.clone(), is_idempotent(&c.idempotency)));
        RequestRules {
            classes: classes.collect(),
            retired: None,
            plans: settings.plans.iter().map(|p| p.name.clone()).collect(),
            max_units: settings.max_units,
            replicas: settings.replicas,
        }
    }

    /// These rules in place of `previous`, whose removed classes are accepted for a while.
    pub(super) fn replacing(mut self, previous: &RequestRules) -> Self {
        let removed = previous.classes.iter().filter(|(name, _)| !self.classes.contains_key(*name));
        let classes = removed.map(|(name, idempotent)| (name.clone(), *idempotent)).collect();
        self.retired = Some(RetiredClasses { classes, until: Instant::now() + RETIRED_CLASS_GRACE });
        self
    }

    /// Validates a request that has just been received and makes it a session.
    pub(super) fn parse(
        &self,
        request: &Request,
        body: Bytes,
        result: oneshot::Sender<SessionResult<Bytes>>,
    ) -> Result<NewSession<HttpTransport>, RequestError> {
        let (received, bad) = (Instant::now(), RequestError::bad_request);
        if !matches!(*request.method(), Method::GET | Method::POST) {
            return Err(RequestError::new(StatusCode::METHOD_NOT_ALLOWED, "GET or POST only"));
        }
        let id = request.headers().get("request-id").cloned().ok_or(bad("no Request-Id"))?;
        let id_text = id.to_str().ok().filter(|id| !id.is_empty()).ok_or(bad("no usable Request-Id"))?;
        let class = self.parse_class(request, &body)?;
        let plan = header(request, "x-contract").ok_or(bad("no X-Contract"))?;
        if !self.plans.iter().any(|p| p == plan) {
            return Err(bad("no such X-Contract"));
        }
        let timeout = parse_timeout(request).ok_or(bad("no usable Request-Timeout"))?;
        let metering = header(request, "x-metering").and_then(|text| self.parse_metering(text));
        let Metering { units, gateway_count } = metering.ok_or(bad("no usable X-Metering"))?;
        let customer = request.uri().query().and_then(parse_customer).ok_or(bad("no usable client"))?;
        let target = request.uri().path_and_query().cloned().ok_or(bad("no path"))?;
        Ok(NewSession {
            id: RequestId(Arc::from(id_text)),
            class: class.to_owned(),
            plan: plan.to_owned(),
            customer: CustomerId(Arc::from(customer)),
            deadline: received + timeout.saturating_sub(NETWORK_ALLOWANCE),
            units,
            gateway_count,
            request: ForwardedRequest { method: request.method().clone(), target, id, body },
            result,
        })
    }

    /// The request's class, if its path, method and body fit.
    fn parse_class<'a>(&self, request: &'a Request, body: &Bytes) -> Result<&'a str, RequestError> {
        let bad = RequestError::bad_request;
        let class = header(request, "request-class").ok_or(bad("no Request-Class"))?;
        let is_idempotent = self.is_idempotent(class).ok_or(bad("no such Request-Class"))?;
        if request.path().split('/').nth(1) != Some(class) {
            return Err(bad("a path of another class"));
        }
        let is_get = *request.method() == Method::GET;
        if is_idempotent != is_get || is_idempotent && !body.is_empty() {
            return Err(bad("GET without a body for what may be repeated, POST for all else"));
        }
        Ok(class)
    }

    /// Whether requests of a class are idempotent; `None` for an unknown class.
    fn is_idempotent(&self, class: &str) -> Option<bool> {
        let retired = self.retired.as_ref().filter(|retired| Instant::now() < retired.until);
        self.classes.get(class).or_else(|| retired?.classes.get(class)).copied()
    }

    fn parse_metering(&self, text: &str) -> Option<Metering> {
        let field = |name: &str| {
            let mut pairs = text.split(',').filter_map(|pair| pair.trim().split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let units = field("units")?.parse::<f64>().ok().filter(|u| *u > 0.0 && *u <= self.max_units)?;
        let gateway_count = field("spread")?.parse().ok().filter(|n| (1..=self.replicas).contains(n))?;
        field("first")?.parse::<u32>().ok().filter(|n| *n < self.replicas)?;
        Some(Metering { units, gateway_count })
    }
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}

fn parse_timeout(request: &Request) -> Option<Duration> {
    let seconds = header(request, "request-timeout").and_then(|t| t.parse::<f64>().ok());
    let timeout = seconds.filter(|s| *s >= 0.0).and_then(|s| Duration::try_from_secs_f64(s).ok());
    timeout.map(|timeout| timeout.min(MAX_TIMEOUT))
}

/// The customer in a query: `client=` and 16 lowercase hexadecimal digits.
fn parse_customer(query: &str) -> Option<&str> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix("client="))?;
    let is_digit = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
    let is_hex = value.len() == CUSTOMER_DIGITS && value.bytes().all(is_digit);
    let number = is_hex.then(|| u64::from_str_radix(value, 16).ok())?;
    number.filter(|n| *n < CUSTOMER_LIMIT).map(|_| value)
}
