//! Heads of upstreams' answers.

use super::head::{MAX_HEADERS, head_end};
use super::{Framing, HeadError, HeadFields};

/// Largest head of an answer that is taken.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Head of an answer.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub fields: HeadFields,
    /// How its body ends.
    pub framing: Framing,
    /// Whether another request may follow on the connection.
    pub keeps_alive: bool,
}

/// Takes a whole head off the front of `buffer`, past interim ones; none if it isn't whole yet.
pub fn read_response(
    buffer: &mut Vec<u8>,
    has_body: bool,
) -> Result<Option<ResponseHead>, HeadError> {
    loop {
        let Some(end) = head_end(buffer) else {
            let looks_right = buffer.iter().zip(b"HTTP/1.").all(|(byte, wanted)| byte == wanted);
            return match looks_right && buffer.len() <= MAX_HEAD_BYTES {
                true => Ok(None),
                false => Err(HeadError::Malformed),
            };
        };
        let head = parse(&buffer[..end], has_body)?;
        buffer.drain(..end);
        if head.status >= 200 {
            return Ok(Some(head));
        }
    }
}

fn parse(bytes: &[u8], has_body: bool) -> Result<ResponseHead, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) | Err(_) => return Err(HeadError::Malformed),
    }
    let status = parsed.code.unwrap_or_default();
    let fields = HeadFields::new(bytes, parsed.headers)?;
    let is_bare = !has_body || matches!(status, 100..=199 | 204 | 304);
    let framing = match (fields.is_chunked()?, fields.length()?) {
        _ if is_bare => Framing::Length(0),
        (true, _) => Framing::Chunked,
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::UntilClose,
    };
    let keeps_alive = parsed.version == Some(1)
        && !fields.lists("connection", "close")
        && framing != Framing::UntilClose;
    Ok(ResponseHead { status, fields, framing, keeps_alive })
}
