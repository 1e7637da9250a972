//! Validation of HTTP requests: each becomes a session or an error response.
//!
//! A request with a class, plan, customer or metering that the settings do not define is rejected before it reaches the
//! core: otherwise the decision module would keep state for invalid requests, possibly under another customer's id.

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

/// Part of `Request-Timeout` reserved for the network in both directions: the timeout starts when the client sends the
/// request and ends when the client has the response.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(5);
/// Upper bound of `Request-Timeout`; longer timeouts are reduced to it. Without the bound, adding a huge timeout to the
/// current time overflows and panics.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);
/// Exclusive upper bound of customer numbers.
const CUSTOMER_NUMBER_LIMIT: u64 = 1 << 33;
/// Number of hexadecimal digits of a customer number.
const CUSTOMER_DIGITS: usize = 16;
/// Time for which removed classes are still accepted, for requests that clients sent before the change.
const RETIRED_CLASS_GRACE: Duration = Duration::from_secs(3);

/// Reason for rejecting a request whose method or body does not fit its class.
const METHOD_MISMATCH: &str =
    "wrong method or body: idempotent classes require GET without a body, other classes require POST";
/// Reason for rejecting a request without a valid `Request-Timeout`.
const INVALID_TIMEOUT: &str =
    "header Request-Timeout is missing or not a number of seconds that is 0 or more";
/// Reason for rejecting a request without a valid `X-Metering`.
const INVALID_METERING: &str =
    "header X-Metering is missing or invalid: units must be above 0 and at most the \
    configured maximum, spread from 1 to the number of gatekeepers, first below that number";
/// Reason for rejecting a request whose customer number is not below [`CUSTOMER_NUMBER_LIMIT`].
const INVALID_CUSTOMER: &str =
    "query parameter client is missing or not 16 lowercase hexadecimal digits of a number below 2^33";

/// Parts of a client request that attempts forward unchanged.
pub struct ForwardedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Value of the header `Request-Id`.
    pub id: HeaderValue,
    /// Request body.
    pub body: Bytes,
}

/// Rejection of an invalid request: the status and the body of the error response.
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

/// Request classes: name, and whether the requests are idempotent.
type Classes = HashMap<String, bool>;

/// Values that the settings allow in requests.
pub struct RequestRules {
    classes: Classes,
    retired: Option<RetiredClasses>,
    plans: Vec<String>,
    max_units: f64,
    replicas: u32,
}

/// Classes that the current settings no longer define, and the time until which they are accepted.
struct RetiredClasses {
    classes: Classes,
    until: Instant,
}

/// Fields of an `X-Metering` header that are passed to the core.
struct Metering {
    /// Units that the request is charged (`units`).
    units: f64,
    /// Number of gatekeepers that the customer's traffic is spread over (`spread`).
    gateway_count: u32,
}

impl RequestRules {
    /// Derives the rules from the settings.
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

    /// Returns these rules with the classes that only `previous` defines, accepted for [`RETIRED_CLASS_GRACE`].
    pub(super) fn replacing(mut self, previous: &RequestRules) -> Self {
        let removed = previous.classes.iter().filter(|(name, _)| !self.classes.contains_key(*name));
        let classes = removed.map(|(name, idempotent)| (name.clone(), *idempotent)).collect();
        self.retired = Some(RetiredClasses { classes, until: Instant::now() + RETIRED_CLASS_GRACE });
        self
    }

    /// Validates a complete request and converts it to a session whose result goes to `result`.
    pub(super) fn parse(
        &self,
        request: &Request,
        body: Bytes,
        result: oneshot::Sender<SessionResult<Bytes>>,
    ) -> Result<NewSession<HttpTransport>, RequestError> {
        let (received, bad_request) = (Instant::now(), RequestError::bad_request);
        if !matches!(*request.method(), Method::GET | Method::POST) {
            return Err(RequestError::new(
                StatusCode::METHOD_NOT_ALLOWED,
                "unsupported method: only GET and POST are accepted",
            ));
        }
        let id = request
            .headers()
            .get("request-id")
            .cloned()
            .ok_or(bad_request("header Request-Id is missing"))?;
        let id_text = id
            .to_str()
            .ok()
            .filter(|id| !id.is_empty())
            .ok_or(bad_request("header Request-Id is empty or not ASCII text"))?;
        let class = self.parse_class(request, &body)?;
        let plan = header(request, "x-contract")
            .ok_or(bad_request("header X-Contract is missing or not ASCII text"))?;
        if !self.plans.iter().any(|p| p == plan) {
            return Err(bad_request("header X-Contract names an unknown plan"));
        }
        let timeout = parse_timeout(request).ok_or(bad_request(INVALID_TIMEOUT))?;
        let metering = header(request, "x-metering").and_then(|text| self.parse_metering(text));
        let Metering { units, gateway_count } = metering.ok_or(bad_request(INVALID_METERING))?;
        let customer = request.uri().query().and_then(parse_customer).ok_or(bad_request(INVALID_CUSTOMER))?;
        let target =
            request.uri().path_and_query().cloned().ok_or(bad_request("request target has no path"))?;
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

    /// Returns the class of the request after checking that the path, method and body fit it.
    fn parse_class<'a>(&self, request: &'a Request, body: &Bytes) -> Result<&'a str, RequestError> {
        let bad_request = RequestError::bad_request;
        let class = header(request, "request-class")
            .ok_or(bad_request("header Request-Class is missing or not ASCII text"))?;
        let is_idempotent =
            self.is_idempotent(class).ok_or(bad_request("header Request-Class names an unknown class"))?;
        if request.path().split('/').nth(1) != Some(class) {
            return Err(bad_request("first segment of the path differs from header Request-Class"));
        }
        let is_get = *request.method() == Method::GET;
        if is_idempotent != is_get || is_idempotent && !body.is_empty() {
            return Err(bad_request(METHOD_MISMATCH));
        }
        Ok(class)
    }

    /// Whether requests of `class` are idempotent; `None` for an unknown class.
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

/// Extracts the customer from a query: `client=` followed by 16 lowercase hexadecimal digits.
fn parse_customer(query: &str) -> Option<&str> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix("client="))?;
    let is_digit = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
    let is_hex = value.len() == CUSTOMER_DIGITS && value.bytes().all(is_digit);
    let number = is_hex.then(|| u64::from_str_radix(value, 16).ok())?;
    number.filter(|n| *n < CUSTOMER_NUMBER_LIMIT).map(|_| value)
}
