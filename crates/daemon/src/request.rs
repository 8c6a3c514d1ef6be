//! A caller's request, whole, as the attempts send it.

use crate::edge::EdgeRefusal;
use crate::headers::{
    self, IDEMPOTENCY_KEY, X_CALLER, X_DEADLINE_MS, X_DEPTH, X_ENTRY_HOST, X_ENTRY_ZONE,
    X_SPENT_ATTEMPTS, X_TIMEOUT_MS,
};
use bytes::Bytes;
use decision_core::CallHead;
use domain::{CallerId, Millis};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Uri, Version, request};
use reqwest::Url;

/// The caller where none is named.
pub const ANONYMOUS: &str = "anonymous";

/// Set on each attempt anew, or of no use to the upstream.
const REPLACED: [HeaderName; 7] = [
    header::EXPECT,
    X_TIMEOUT_MS,
    X_DEADLINE_MS,
    X_SPENT_ATTEMPTS,
    X_DEPTH,
    X_ENTRY_HOST,
    X_ENTRY_ZONE,
];

/// Everything of a request that goes to an upstream.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Method.
    pub method: Method,
    /// Path and query; each attempt puts its own address.
    pub url: Url,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl CallRequest {
    /// Takes over the head of a request; its body is still to come.
    ///
    /// # Errors
    ///
    /// If the request can't be passed on unchanged.
    pub fn from_head(mut head: request::Parts) -> Result<CallRequest, EdgeRefusal> {
        check_protocol(&head)?;
        let url = target(&head.uri)?;
        if let Some(authority) = head.uri.authority() {
            let host =
                HeaderValue::from_str(authority.as_str()).map_err(|_| EdgeRefusal::Target)?;
            head.headers.insert(header::HOST, host);
        }
        Ok(CallRequest {
            method: head.method,
            url,
            headers: end_to_end(head.headers),
            body: Bytes::new(),
        })
    }
}

fn check_protocol(head: &request::Parts) -> Result<(), EdgeRefusal> {
    match head.version {
        Version::HTTP_11 | Version::HTTP_2 => {}
        _ => return Err(EdgeRefusal::HttpVersion),
    }
    match head.method {
        Method::CONNECT => Err(EdgeRefusal::Upgrade),
        _ if headers::wants_upgrade(&head.headers) => Err(EdgeRefusal::Upgrade),
        _ => Ok(()),
    }
}

/// The target with a placeholder address.
///
/// A URL library resolves dot segments; a path that it changes would reach another
/// resource than the one that was routed, so it is refused.
fn target(uri: &Uri) -> Result<Url, EdgeRefusal> {
    let path_and_query = uri.path_and_query().ok_or(EdgeRefusal::Target)?;
    let url =
        Url::parse(&format!("http://0.0.0.0{path_and_query}")).map_err(|_| EdgeRefusal::Target)?;
    match url.path() == path_and_query.path() {
        true => Ok(url),
        false => Err(EdgeRefusal::Target),
    }
}

fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    headers::strip_hop_by_hop(&mut headers);
    for name in REPLACED {
        headers.remove(name);
    }
    if headers.get(header::CONTENT_LENGTH).is_some_and(|length| length != "0") {
        headers.remove(header::CONTENT_LENGTH);
    }
    headers
}

/// What the core needs to know of a request.
///
/// # Errors
///
/// If one of the headers it reads is malformed.
pub fn call_head(head: &request::Parts) -> Result<CallHead, EdgeRefusal> {
    let headers = &head.headers;
    let parsed_caller = headers::parse(headers, X_CALLER).map_err(EdgeRefusal::Header)?;
    Ok(CallHead {
        caller: parsed_caller.map_or_else(anonymous, Ok)?,
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        idempotency_key: headers::parse(headers, IDEMPOTENCY_KEY).map_err(EdgeRefusal::Header)?,
        timeout_ms: headers::parse::<Millis>(headers, X_TIMEOUT_MS).map_err(EdgeRefusal::Header)?,
        spent_attempts: number(headers, X_SPENT_ATTEMPTS)?,
        depth: number(headers, X_DEPTH)?,
        body_replayable: true,
    })
}

fn anonymous() -> Result<CallerId, EdgeRefusal> {
    ANONYMOUS.parse().map_err(|_| EdgeRefusal::Header(X_CALLER))
}

fn number(headers: &HeaderMap, name: HeaderName) -> Result<u32, EdgeRefusal> {
    headers::parse(headers, name).map(Option::unwrap_or_default).map_err(EdgeRefusal::Header)
}
