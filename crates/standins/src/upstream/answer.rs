//! The body of an upstream's answer, made so that a caller can tell whether it is
//! the whole answer to its own request.

use domain::{ByteCount, UpstreamId};
use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};
use std::hash::Hasher;

/// Most padding that is sent.
const MAX_PADDING_BYTES: u64 = 64 << 20;

/// The body of an upstream's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// Who answered.
    pub upstream: UpstreamId,
    /// The request's `x-request`.
    pub request: Option<String>,
    /// Size of the request's body.
    pub body_bytes: ByteCount,
    /// [`body_hash`] of the request's body.
    pub body_hash: String,
    /// As long as the request's `x-answer-bytes` asked for.
    pub padding: String,
}

impl Answer {
    /// The answer to a request.
    pub fn new(
        upstream: UpstreamId,
        request: Option<&str>,
        body: &[u8],
        padding: ByteCount,
    ) -> Answer {
        let padding_bytes = padding.0.min(MAX_PADDING_BYTES) as usize;
        Answer {
            upstream,
            request: request.map(str::to_owned),
            body_bytes: ByteCount(body.len() as u64),
            body_hash: body_hash(body),
            padding: "x".repeat(padding_bytes),
        }
    }

    /// Whether this is the whole answer to that request, whoever gave it.
    pub fn answers(&self, request: &str, body: &[u8], padding: ByteCount) -> bool {
        *self == Answer::new(self.upstream.clone(), Some(request), body, padding)
    }
}

/// Hash of a request's body, in hex: its bytes written to the hasher in one piece.
pub fn body_hash(body: &[u8]) -> String {
    let mut hasher = FxHasher::default();
    hasher.write(body);
    format!("{:016x}", hasher.finish())
}
