//! One request: a unique id, and a body that no other request has.

use crate::plan::{Caller, RouteLoad};
use domain::{CallerId, Millis};
use std::hash::Hasher;

/// One request as it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Unique id, also the idempotency key of a request that runs at most once.
    pub id: String,
    /// Who sends it.
    pub caller: CallerId,
    /// Path with query.
    pub path: String,
    /// Runs at most once: sent as POST with an idempotency key.
    pub at_most_once: bool,
    /// Time that the caller gives.
    pub timeout_ms: Millis,
    /// Body, empty for a GET.
    pub body: Vec<u8>,
}

impl Request {
    /// Request number `number` of a run.
    pub fn new(run: &str, number: usize, caller: &Caller, route: &RouteLoad) -> Request {
        let id = format!("{run}-{number}");
        let size = if route.at_most_once { route.body_bytes.0 as usize } else { 0 };
        Request {
            body: id.bytes().cycle().take(size).collect(),
            id,
            caller: caller.caller.clone(),
            path: route.path.clone(),
            at_most_once: route.at_most_once,
            timeout_ms: route.timeout_ms,
        }
    }
}

/// Hash of a body as upstream stand-ins echo it: hexadecimal.
pub fn body_hash(body: &[u8]) -> String {
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(body);
    format!("{:016x}", hasher.finish())
}
