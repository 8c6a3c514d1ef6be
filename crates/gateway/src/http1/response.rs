//! Heads of responses.

use super::head::{head_end, space_for_headers};
use super::{Framing, HeadError, HeadFields};

/// Largest head of a response.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Most interim responses before a response.
const MAX_INTERIM: usize = 32;

/// Head of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub fields: HeadFields,
    /// How its body is framed.
    pub framing: Framing,
    /// Whether the connection stays open for another request.
    pub keeps_alive: bool,
}

/// Reads the head of one response.
#[derive(Debug)]
pub struct ResponseHeadReader {
    has_body: bool,
    /// Interim responses so far.
    interim: usize,
}

impl ResponseHeadReader {
    /// `has_body` tells whether the response may have a body.
    pub fn new(has_body: bool) -> ResponseHeadReader {
        ResponseHeadReader { has_body, interim: 0 }
    }

    /// Removes a complete head from the front of `buffer`, and interim responses before it; none if
    /// it is still incomplete.
    ///
    /// # Errors
    ///
    /// If it is malformed or too long, or too many interim responses come before it.
    pub fn read_from(&mut self, buffer: &mut Vec<u8>) -> Result<Option<ResponseHead>, HeadError> {
        while let Some(head) = next_head(buffer, self.has_body)? {
            match head.status {
                200.. => return Ok(Some(head)),
                _ if self.interim == MAX_INTERIM => return Err(HeadError::Malformed),
                _ => self.interim += 1,
            }
        }
        Ok(None)
    }
}

/// Removes a complete head, also of an interim response, from the front of `buffer`.
fn next_head(buffer: &mut Vec<u8>, has_body: bool) -> Result<Option<ResponseHead>, HeadError> {
    let Some(end) = head_end(buffer) else {
        let may_be_http = buffer.iter().zip(b"HTTP/1.").all(|(byte, wanted)| byte == wanted);
        return match may_be_http && buffer.len() <= MAX_HEAD_BYTES {
            true => Ok(None),
            false => Err(HeadError::Malformed),
        };
    };
    let head = parse(&buffer[..end], has_body)?;
    buffer.drain(..end);
    Ok(Some(head))
}

fn parse(bytes: &[u8], has_body: bool) -> Result<ResponseHead, HeadError> {
    let mut headers = space_for_headers(bytes);
    let mut parsed = httparse::Response::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) | Err(_) => return Err(HeadError::Malformed),
    }
    let status = parsed.code.unwrap_or_default();
    let fields = HeadFields::new(bytes, parsed.headers)?;
    let has_no_body = !has_body || matches!(status, 100..=199 | 204 | 304);
    let framing = match (fields.is_chunked()?, fields.length()?) {
        _ if has_no_body => Framing::Length(0),
        (true, _) => Framing::Chunked,
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::UntilClose,
    };
    let keeps_alive = parsed.version == Some(1)
        && !fields.lists("connection", "close")
        && framing != Framing::UntilClose;
    Ok(ResponseHead { status, fields, framing, keeps_alive })
}
