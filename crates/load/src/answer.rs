//! The check of one answer against its request.

use crate::request::{Request, body_hash};
use serde::Deserialize;

/// What came back for a request, read to its end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `x-cause`: the answer is the entry host's own.
    pub cause: Option<String>,
    /// `x-outcome`.
    pub outcome: Option<String>,
    /// `x-upstream`: the answer is this upstream's.
    pub upstream: Option<String>,
    /// `retry-after` was given.
    pub has_retry_after: bool,
    /// Whole body.
    pub body: Vec<u8>,
}

/// What an answer, or its absence, means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// An upstream's success, right in all parts.
    Answered,
    /// An upstream's own error, passed on.
    Failed {
        /// Its status.
        status: u16,
    },
    /// The entry host's own final answer.
    Refused {
        /// Its cause.
        cause: String,
        /// Whether the request ran, as told.
        outcome: String,
    },
    /// An answer that is not this request's, or not as the upstream sent it.
    Wrong {
        /// What differs.
        reason: String,
    },
    /// No whole answer.
    Lost {
        /// What happened instead.
        reason: String,
    },
}

#[derive(Debug, Deserialize)]
struct Echo {
    upstream: String,
    request: String,
    body_bytes: usize,
    body_hash: String,
}

/// Judges an answer that was read to its end.
pub fn judge(request: &Request, answer: &Answer) -> Verdict {
    match (&answer.cause, answer.status) {
        (Some(cause), _) => judge_refusal(cause, answer),
        (None, 200..=299) => judge_echo(request, answer),
        (None, status) if answer.upstream.is_some() => Verdict::Failed { status },
        (None, status) => wrong(format!("status {status} with neither x-cause nor x-upstream")),
    }
}

fn judge_refusal(cause: &str, answer: &Answer) -> Verdict {
    match answer.outcome.as_deref() {
        Some(outcome @ ("run" | "not-run" | "unknown")) => {
            Verdict::Refused { cause: cause.to_owned(), outcome: outcome.to_owned() }
        }
        Some(other) => wrong(format!("x-outcome {other:?} with cause {cause}")),
        None => wrong(format!("no x-outcome with cause {cause}")),
    }
}

fn judge_echo(request: &Request, answer: &Answer) -> Verdict {
    let echo: Echo = match serde_json::from_slice(&answer.body) {
        Ok(echo) => echo,
        Err(error) => return wrong(format!("body is no echo: {error}")),
    };
    match echo {
        Echo { request: id, .. } if id != request.id => {
            wrong(format!("answer of request {id}, not of {}", request.id))
        }
        Echo { body_bytes, .. } if body_bytes != request.body.len() => {
            wrong(format!("the upstream saw {body_bytes} of {} bytes", request.body.len()))
        }
        Echo { body_hash: hash, .. } if hash != body_hash(&request.body) => {
            wrong(format!("the upstream saw a body with hash {hash}"))
        }
        Echo { upstream, .. } if answer.upstream.as_ref().is_some_and(|u| *u != upstream) => {
            wrong(format!("x-upstream is not {upstream}, which answered"))
        }
        _ => Verdict::Answered,
    }
}

fn wrong(reason: String) -> Verdict {
    Verdict::Wrong { reason }
}
