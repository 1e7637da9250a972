//! Hop-by-hop headers, which apply to a single connection and which a proxy must not forward (RFC 9110, section 7.6.1).

use actix_http::header::{HeaderMap, CONNECTION};

/// Hop-by-hop headers of requests and responses. `content-length` is among them because the codec sets it for each
/// forwarded message.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Removes the well-known hop-by-hop headers, the headers that a `Connection` header names, and `others`. Headers in
/// `kept`, given by their lower-case names, stay even if `Connection` names them.
pub fn remove_hop_by_hop(headers: &mut HeaderMap, others: &[&str], kept: &[&str]) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let named = named.iter().map(String::as_str);
    for name in HOP_BY_HOP.iter().chain(others).copied().chain(named) {
        if !kept.contains(&name) {
            headers.remove(name);
        }
    }
}
