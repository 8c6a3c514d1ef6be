//! Marks on upstreams' answers that nothing here reads.
//!
//! An answer is passed on whole, so what its upstream says to us in it may be overlooked without
//! any harm to that answer. Each mark that no part of the process knows is told to operators, with
//! its value, once in a while: a new one shows on the day on which upstreams begin to use it.

use crate::dialect::Dialect;
use crate::http1::HeadFields;
use domain::{FastMap, Millis, UpstreamId};

/// A value that stays the same is told again after this time.
const TOLD_AGAIN_MS: Millis = Millis(10_000);

/// One that changes, after this: some change with each answer.
const CHANGE_TOLD_MS: Millis = Millis(1_000);

/// Most pairs of upstream and mark that are remembered; more are not told.
const MOST_REMEMBERED: usize = 512;

/// Headers that concern the message or its body, and say nothing to a load balancer.
const OF_THE_MESSAGE: [&str; 11] = [
    "connection",
    "content-encoding",
    "content-length",
    "content-type",
    "date",
    "etag",
    "keep-alive",
    "last-modified",
    // Of refusals; of other answers it is for callers.
    "retry-after",
    "server",
    "transfer-encoding",
];

/// Longest value that is told; the rest is cut off.
const MOST_TOLD_BYTES: usize = 64;

/// A mark that nothing reads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadHeader {
    /// Its name.
    pub name: String,
    /// Its value, as far as it is text.
    pub value: String,
}

/// The marks that were told of late.
#[derive(Debug, Default)]
pub struct UnreadHeaderLog {
    told: FastMap<UpstreamId, Vec<Told>>,
    remembered: usize,
}

#[derive(Debug)]
struct Told {
    mark: UnreadHeader,
    at_ms: Millis,
}

impl UnreadHeaderLog {
    /// Marks of an upstream's answer that are to be told now.
    pub fn headers_to_log(
        &mut self,
        now_ms: Millis,
        upstream: &UpstreamId,
        fields: &HeadFields,
        dialect: &Dialect,
    ) -> Vec<UnreadHeader> {
        let unread = fields.iter().filter(|(name, _)| !is_read(name, dialect));
        let marks: Vec<UnreadHeader> =
            unread.map(|(name, value)| UnreadHeader::new(name, value)).collect();
        marks.into_iter().filter(|mark| self.should_log(now_ms, upstream, mark)).collect()
    }

    /// How many names of marks are known that nothing reads.
    pub fn count_names(&self) -> usize {
        let names = self.told.values().flatten().map(|told| told.mark.name.as_str());
        names.collect::<domain::FastSet<&str>>().len()
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.told.retain(|id, _| is_known(id));
        self.remembered = self.told.values().map(Vec::len).sum();
    }

    /// Whether a mark of an upstream's answer is to be told now.
    pub fn should_log(
        &mut self,
        now_ms: Millis,
        upstream: &UpstreamId,
        mark: &UnreadHeader,
    ) -> bool {
        let told = self.told.entry(upstream.clone()).or_default();
        match told.iter_mut().find(|told| told.mark.name == mark.name) {
            Some(told) => {
                let pause_ms = if told.mark == *mark { TOLD_AGAIN_MS } else { CHANGE_TOLD_MS };
                let is_due = now_ms.since(told.at_ms) >= pause_ms;
                if is_due {
                    *told = Told { mark: mark.clone(), at_ms: now_ms };
                }
                is_due
            }
            None if self.remembered < MOST_REMEMBERED => {
                told.push(Told { mark: mark.clone(), at_ms: now_ms });
                self.remembered += 1;
                true
            }
            None => false,
        }
    }
}

fn is_read(name: &str, dialect: &Dialect) -> bool {
    let is_it = |known: &str| name.eq_ignore_ascii_case(known);
    OF_THE_MESSAGE.iter().any(|known| is_it(known)) || dialect.response_headers().any(is_it)
}

impl UnreadHeader {
    /// A mark as it stands on an answer.
    pub fn new(name: &str, value: &[u8]) -> UnreadHeader {
        let value = String::from_utf8_lossy(&value[..value.len().min(MOST_TOLD_BYTES)]);
        UnreadHeader { name: name.to_ascii_lowercase(), value: value.into_owned() }
    }
}
