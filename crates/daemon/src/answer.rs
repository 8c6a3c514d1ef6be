//! An upstream's answer on its way to the caller.

use crate::headers::{self, X_LEAVING, X_LOAD, X_OUTCOME};
use bytes::Bytes;
use decision_core::{AnswerHead, FailureStage, LoadReport};
use domain::Slots;
use futures_util::stream::BoxStream;
use http::header::{self, HeaderMap};
use http::{Method, StatusCode};
use std::fmt;

/// An answer whose head is here.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// What the core needs to know.
    pub head: AnswerHead,
    /// Body.
    pub body: AnswerBody,
}

/// The body of an answer.
pub enum AnswerBody {
    /// Here in full.
    Whole(Bytes),
    /// Still coming; dropping it closes the upstream's connection.
    Stream {
        /// All of it.
        rest: BoxStream<'static, Result<Bytes, FailureStage>>,
        /// Its length.
        left: BytesLeft,
    },
}

impl fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AnswerBody::Whole(bytes) => write!(f, "Whole({} bytes)", bytes.len()),
            AnswerBody::Stream { .. } => f.write_str("Stream"),
        }
    }
}

/// How the end of an answer is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// It has no body.
    Empty,
    /// Its length in bytes is stated.
    Length(u64),
    /// It ends with a last chunk.
    Chunked,
    /// It ends when the connection does: a cut can't be told from the end.
    UntilClose,
}

impl Framing {
    /// Reads it from the head.
    pub fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Framing {
        let length = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
        match length.and_then(|text| text.parse().ok()) {
            _ if method == Method::HEAD || is_bodiless(status) => Framing::Empty,
            _ if headers.contains_key(header::TRANSFER_ENCODING) => Framing::Chunked,
            Some(length) => Framing::Length(length),
            None => Framing::UntilClose,
        }
    }
}

/// What is left of a body of stated length; its reader may not ask for the end after it.
#[derive(Debug, Clone, Copy)]
pub struct BytesLeft(Option<u64>);

impl BytesLeft {
    /// All of the body.
    pub fn of(framing: Framing) -> BytesLeft {
        match framing {
            Framing::Empty => BytesLeft(Some(0)),
            Framing::Length(length) => BytesLeft(Some(length)),
            Framing::Chunked | Framing::UntilClose => BytesLeft(None),
        }
    }

    /// A part was read; true if it was the last.
    pub fn note_read(&mut self, bytes: usize) -> bool {
        self.0 = self.0.map(|left| left.saturating_sub(bytes as u64));
        self.0 == Some(0)
    }
}

fn is_bodiless(status: StatusCode) -> bool {
    status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

/// What the head of an answer tells the core.
pub fn answer_head(status: StatusCode, headers: &HeaderMap, is_whole: bool) -> AnswerHead {
    AnswerHead {
        status: status.as_u16(),
        is_whole,
        not_run: declares_not_run(status, headers),
        load: load(headers),
        leaving: headers.get(X_LEAVING).is_some_and(|value| value == "1"),
    }
}

/// Only a refusal may say that the request did not run.
fn declares_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    let refuses = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    refuses && headers.get(X_OUTCOME).is_some_and(|value| value == "not-run")
}

fn load(headers: &HeaderMap) -> Option<LoadReport> {
    let (busy, queued) = headers.get(X_LOAD)?.to_str().ok()?.split_once('/')?;
    Some(LoadReport { busy: Slots(busy.parse().ok()?), queued: queued.parse().ok()? })
}

/// The headers that the caller gets.
pub fn headers_for_caller(mut headers: HeaderMap, head: &AnswerHead) -> HeaderMap {
    headers::strip_hop_by_hop(&mut headers);
    for name in [X_LOAD, X_LEAVING, headers::X_CAUSE, headers::X_UPSTREAM] {
        headers.remove(name);
    }
    if !head.not_run {
        headers.remove(X_OUTCOME);
    }
    headers
}
