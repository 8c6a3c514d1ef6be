//! Heads of callers' requests.

use super::head::{head_end, space_for_headers};
use super::{Framing, HeadError, HeadFields};

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// Its head is malformed.
    Head(HeadError),
    /// Its head exceeds the limit.
    HeadTooLarge,
}

impl From<HeadError> for RequestError {
    fn from(error: HeadError) -> RequestError {
        RequestError::Head(error)
    }
}

/// Head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Method, as received.
    pub method: String,
    /// Path and query, as received.
    pub target: String,
    /// Headers.
    pub fields: HeadFields,
    /// How its body is framed.
    pub framing: Framing,
    /// Whether it is of HTTP/1.1, so that its caller understands chunks.
    pub is_http_1_1: bool,
    /// Whether the caller keeps the connection open.
    pub keeps_alive: bool,
}

impl RequestHead {
    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Whether the method is safe, as HTTP defines it.
    pub fn is_safe_method(&self) -> bool {
        matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS")
    }
}

/// Removes a complete head from the front of `buffer`; none if it is still incomplete.
pub fn read_request(
    buffer: &mut Vec<u8>,
    max_bytes: usize,
) -> Result<Option<RequestHead>, RequestError> {
    let leading = buffer.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    buffer.drain(..leading);
    let Some(end) = head_end(buffer) else { return check_incomplete(buffer, max_bytes) };
    if end > max_bytes {
        return Err(RequestError::HeadTooLarge);
    }
    let head = parse(&buffer[..end])?;
    buffer.drain(..end);
    Ok(Some(head))
}

/// Refuses an incomplete head that can't become valid.
fn check_incomplete(buffer: &[u8], max_bytes: usize) -> Result<Option<RequestHead>, RequestError> {
    match buffer.len() > max_bytes {
        true => Err(RequestError::HeadTooLarge),
        false if buffer.windows(2).any(|pair| pair == b"\n\n") => {
            Err(RequestError::Head(HeadError::BareLineFeed))
        }
        false => Ok(None),
    }
}

fn parse(bytes: &[u8]) -> Result<RequestHead, HeadError> {
    let mut headers = space_for_headers(bytes);
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) | Err(_) => return Err(HeadError::Malformed),
    }
    let fields = HeadFields::new(bytes, parsed.headers)?;
    let framing = match (fields.is_chunked()?, fields.length()?) {
        (true, _) => Framing::Chunked,
        (false, length) => Framing::Length(length.unwrap_or(0)),
    };
    let is_http_1_1 = parsed.version == Some(1);
    if framing == Framing::Chunked && !is_http_1_1 {
        return Err(HeadError::BadEncoding);
    }
    let keeps_alive = match is_http_1_1 {
        true => !fields.lists("connection", "close"),
        false => fields.lists("connection", "keep-alive"),
    };
    if fields.all("host").count() > 1 {
        return Err(HeadError::Malformed);
    }
    Ok(RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        fields,
        framing,
        is_http_1_1,
        keeps_alive,
    })
}
