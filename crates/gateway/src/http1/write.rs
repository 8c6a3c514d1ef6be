//! Writes requests and responses.

use super::{Framing, HeadFields, RequestHead};
use domain::FastSet;

/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Headers of one message that aren't forwarded.
#[derive(Debug)]
pub struct HopByHop {
    /// Those that `connection` names, in lower case.
    named: FastSet<String>,
}

impl HopByHop {
    /// Finds those of a message.
    pub fn of(fields: &HeadFields) -> HopByHop {
        let values = fields.all("connection").map(String::from_utf8_lossy);
        let mut named = FastSet::default();
        for value in values {
            named.extend(value.split(',').map(|name| name.trim().to_ascii_lowercase()));
        }
        HopByHop { named }
    }

    /// Whether a header isn't forwarded.
    pub fn contains(&self, name: &str) -> bool {
        HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
            || !self.named.is_empty() && self.named.contains(&name.to_ascii_lowercase())
    }
}

/// Changes of a request's headers on its way to an upstream.
pub struct HeaderChanges<'a> {
    /// Headers to add, in place of all of the same name.
    pub added: &'a [(&'a str, &'a str)],
    /// Whether to drop a header with this name and value.
    pub is_dropped: &'a dyn Fn(&str, &[u8]) -> bool,
}

/// Returns the head of a request to an upstream, whose body is framed so.
pub fn write_request_head(
    head: &RequestHead,
    framing: Framing,
    changes: &HeaderChanges<'_>,
) -> Vec<u8> {
    let HeaderChanges { added, is_dropped } = changes;
    let mut out = Vec::with_capacity(1024);
    for part in [&head.method, " ", &head.target, " HTTP/1.1\r\n"] {
        out.extend_from_slice(part.as_bytes());
    }
    let is_replaced = |name: &str| added.iter().any(|(added, _)| name.eq_ignore_ascii_case(added));
    let hop_by_hop = HopByHop::of(&head.fields);
    for (name, value) in head.fields.iter() {
        let is_left_out = hop_by_hop.contains(name)
            || is_replaced(name)
            || name.eq_ignore_ascii_case("expect")
            || is_dropped(name, value);
        if !is_left_out {
            write_field(&mut out, name, value);
        }
    }
    for (name, value) in *added {
        write_field(&mut out, name, value.as_bytes());
    }
    match framing {
        Framing::Length(0) if head.is_safe_method() => {}
        Framing::Length(length) => {
            write_field(&mut out, "content-length", length.to_string().as_bytes());
        }
        // Not used: a request doesn't end with its connection.
        Framing::Chunked | Framing::UntilClose => {
            write_field(&mut out, "transfer-encoding", b"chunked");
        }
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// Writes a response.
#[derive(Debug)]
pub struct ResponseWriter {
    out: Vec<u8>,
}

impl ResponseWriter {
    /// Writes the status line.
    pub fn new(status: u16) -> ResponseWriter {
        let mut out = Vec::with_capacity(1024);
        out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason(status)).as_bytes());
        ResponseWriter { out }
    }

    /// Adds a header.
    pub fn field(mut self, name: &str, value: &[u8]) -> ResponseWriter {
        write_field(&mut self.out, name, value);
        self
    }

    /// Ends the head, with the length unless the status forbids it, and adds the body.
    pub fn body(mut self, status: u16, body: &[u8], should_close: bool) -> Vec<u8> {
        if should_close {
            write_field(&mut self.out, "connection", b"close");
        }
        if !matches!(status, 204 | 304) {
            write_field(&mut self.out, "content-length", body.len().to_string().as_bytes());
        }
        self.out.extend_from_slice(b"\r\n");
        self.out.extend_from_slice(body);
        self.out
    }

    /// Ends a head whose body is passed on in pieces. One until the close is announced as such.
    pub fn streamed(mut self, framing: Framing, should_close: bool) -> Vec<u8> {
        if should_close {
            write_field(&mut self.out, "connection", b"close");
        }
        match framing {
            Framing::Length(length) => {
                write_field(&mut self.out, "content-length", length.to_string().as_bytes());
            }
            Framing::Chunked => write_field(&mut self.out, "transfer-encoding", b"chunked"),
            Framing::UntilClose => {}
        }
        self.out.extend_from_slice(b"\r\n");
        self.out
    }

    /// Ends a head without a body, as for `HEAD`; `length` is that of the omitted body.
    pub fn no_body(mut self, length: Option<&[u8]>, should_close: bool) -> Vec<u8> {
        if should_close {
            write_field(&mut self.out, "connection", b"close");
        }
        if let Some(length) = length {
            write_field(&mut self.out, "content-length", length);
        }
        self.out.extend_from_slice(b"\r\n");
        self.out
    }
}

fn write_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}
