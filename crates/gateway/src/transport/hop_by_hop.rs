//! Headers that concern one connection only (RFC 9110, section 7.6.1), which a proxy does not pass on.

use actix_http::header::{HeaderMap, CONNECTION};

/// Those that each connection has for itself, in requests and responses alike. `content-length` is set anew.
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

/// Removes the headers of one connection: the well-known ones, those that its `Connection` header names, and `others`.
/// Those in `kept`, by their lower-case names, stay even if `Connection` names them.
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
