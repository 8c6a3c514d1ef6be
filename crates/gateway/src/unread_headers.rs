//! Finds headers of upstreams' responses that no part of the process reads.
//!
//! Responses are forwarded unchanged, so nothing fails where an upstream states something new to
//! the load balancer. Each unknown header is therefore logged with its value, at a limited rate,
//! so that operators notice it as soon as upstreams start to send it.

use crate::dialect::Dialect;
use crate::http1::HeadFields;
use domain::{FastMap, Millis, UpstreamId};

/// Time after which an unchanged value is logged again.
const REPEAT_INTERVAL_MS: Millis = Millis(10_000);

/// Time after which a changed value is logged: some change with each response.
const CHANGE_INTERVAL_MS: Millis = Millis(1_000);

/// Most pairs of upstream and header that are remembered; further ones are not logged.
const MAX_ENTRIES: usize = 512;

/// Headers that describe the message or its body, and mean nothing to a load balancer.
const MESSAGE_HEADERS: [&str; 11] = [
    "connection",
    "content-encoding",
    "content-length",
    "content-type",
    "date",
    "etag",
    "keep-alive",
    "last-modified",
    // It is read on refusals; on other responses it is for callers.
    "retry-after",
    "server",
    "transfer-encoding",
];

/// Longest value that is logged; the rest is cut off.
const MAX_VALUE_BYTES: usize = 64;

/// A header that nothing reads, or whose value is malformed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadHeader {
    /// Its name, in lower case.
    pub name: String,
    /// Its value as lossy UTF-8, truncated.
    pub value: String,
}

/// The headers that were logged, and when, which limits how often each is logged.
#[derive(Debug, Default)]
pub struct UnreadHeaderLog {
    logged: FastMap<UpstreamId, Vec<LoggedHeader>>,
    /// Number of entries of all upstreams.
    entries: usize,
}

#[derive(Debug)]
struct LoggedHeader {
    header: UnreadHeader,
    at_ms: Millis,
}

impl UnreadHeaderLog {
    /// Returns the headers of an upstream's response that nothing reads and that are to be logged
    /// now.
    pub fn headers_to_log(
        &mut self,
        now_ms: Millis,
        upstream: &UpstreamId,
        fields: &HeadFields,
        dialect: &Dialect,
    ) -> Vec<UnreadHeader> {
        let unread = fields.iter().filter(|(name, _)| !is_read(name, dialect));
        let headers: Vec<UnreadHeader> =
            unread.map(|(name, value)| UnreadHeader::new(name, value)).collect();
        headers.into_iter().filter(|header| self.should_log(now_ms, upstream, header)).collect()
    }

    /// Number of distinct header names that were logged.
    pub fn count_names(&self) -> usize {
        let names = self.logged.values().flatten().map(|logged| logged.header.name.as_str());
        names.collect::<domain::FastSet<&str>>().len()
    }

    /// Drops the entries of upstreams that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.logged.retain(|id, _| is_known(id));
        self.entries = self.logged.values().map(Vec::len).sum();
    }

    /// Whether a header of an upstream's response is to be logged now. If so, records it.
    pub fn should_log(
        &mut self,
        now_ms: Millis,
        upstream: &UpstreamId,
        header: &UnreadHeader,
    ) -> bool {
        let logged = self.logged.entry(upstream.clone()).or_default();
        match logged.iter_mut().find(|logged| logged.header.name == header.name) {
            Some(logged) => {
                let interval_ms =
                    if logged.header == *header { REPEAT_INTERVAL_MS } else { CHANGE_INTERVAL_MS };
                let is_due = now_ms.since(logged.at_ms) >= interval_ms;
                if is_due {
                    *logged = LoggedHeader { header: header.clone(), at_ms: now_ms };
                }
                is_due
            }
            None if self.entries < MAX_ENTRIES => {
                logged.push(LoggedHeader { header: header.clone(), at_ms: now_ms });
                self.entries += 1;
                true
            }
            None => false,
        }
    }
}

fn is_read(name: &str, dialect: &Dialect) -> bool {
    let is_same = |known: &str| name.eq_ignore_ascii_case(known);
    MESSAGE_HEADERS.iter().any(|known| is_same(known)) || dialect.response_headers().any(is_same)
}

impl UnreadHeader {
    /// A header of a response, in lower case and with its value truncated.
    pub fn new(name: &str, value: &[u8]) -> UnreadHeader {
        let value = String::from_utf8_lossy(&value[..value.len().min(MAX_VALUE_BYTES)]);
        UnreadHeader { name: name.to_ascii_lowercase(), value: value.into_owned() }
    }
}
