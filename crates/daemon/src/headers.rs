//! Header names of the wire, and which headers end at this hop.

use domain::Millis;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use std::str::FromStr;

/// Who asks.
pub const X_CALLER: HeaderName = HeaderName::from_static("x-caller");
/// The caller's name for a request that must not run twice.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Time that the caller gives.
pub const X_TIMEOUT_MS: HeaderName = HeaderName::from_static("x-timeout-ms");
/// Attempts spent on the call so far.
pub const X_SPENT_ATTEMPTS: HeaderName = HeaderName::from_static("x-spent-attempts");
/// Calls above this one.
pub const X_DEPTH: HeaderName = HeaderName::from_static("x-depth");
/// Time that the upstream has left.
pub const X_DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Which entry host sends.
pub const X_ENTRY_HOST: HeaderName = HeaderName::from_static("x-entry-host");
/// Where that entry host stands.
pub const X_ENTRY_ZONE: HeaderName = HeaderName::from_static("x-entry-zone");
/// The upstream's load.
pub const X_LOAD: HeaderName = HeaderName::from_static("x-load");
/// Whether the request ran.
pub const X_OUTCOME: HeaderName = HeaderName::from_static("x-outcome");
/// The upstream is leaving.
pub const X_LEAVING: HeaderName = HeaderName::from_static("x-leaving");
/// Which upstream answered.
pub const X_UPSTREAM: HeaderName = HeaderName::from_static("x-upstream");
/// Number of the call at the entry host that answered.
pub const X_CALL: HeaderName = HeaderName::from_static("x-call");
/// Why the entry host answered itself.
pub const X_CAUSE: HeaderName = HeaderName::from_static("x-cause");
/// Version of a published value.
pub const X_VERSION: HeaderName = HeaderName::from_static("x-version");
/// Who reads a published value.
pub const X_READER: HeaderName = HeaderName::from_static("x-reader");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const HTTP2_SETTINGS: HeaderName = HeaderName::from_static("http2-settings");
const PROXY_PREFIX: &str = "proxy-";

const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HTTP2_SETTINGS,
    KEEP_ALIVE,
];

/// Removes what concerns one connection only.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    strip_connection_listed(headers);
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    let proxy: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with(PROXY_PREFIX)).cloned().collect();
    for name in proxy {
        headers.remove(name);
    }
}

fn strip_connection_listed(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
}

/// Whether the request asks for another protocol than HTTP on this connection.
pub fn wants_upgrade(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::UPGRADE)
        .iter()
        .any(|value| !value.as_bytes().eq_ignore_ascii_case(H2C.as_bytes()))
}

/// Offered by some clients on every request; passing it over is an answer.
const H2C: &str = "h2c";

/// Reads a header that may be absent.
///
/// # Errors
///
/// The header's name, if it stands there twice or does not parse.
pub fn parse<T: FromStr>(headers: &HeaderMap, name: HeaderName) -> Result<Option<T>, HeaderName> {
    let mut values = headers.get_all(&name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    match value.to_str().ok().and_then(|text| text.parse().ok()) {
        Some(parsed) if values.next().is_none() => Ok(Some(parsed)),
        _ => Err(name),
    }
}

/// A number as a header value.
pub fn number(n: u64) -> HeaderValue {
    HeaderValue::from(n)
}

/// A span as a header value.
pub fn millis(span: Millis) -> HeaderValue {
    HeaderValue::from(span.0)
}

/// An id as a header value; ids are printable ASCII by construction.
pub fn id(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static("unprintable"))
}
