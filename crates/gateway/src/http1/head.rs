//! Headers, stored as ranges of the head's bytes.

use std::fmt;
use std::ops::Range;

/// Why a head is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// Not HTTP/1.
    Malformed,
    /// A line feed without a carriage return, which parsers interpret differently.
    BareLineFeed,
    /// More than one length, or one that isn't a number.
    BadLength,
    /// A length beside a transfer encoding, an encoding other than `chunked`, or a malformed chunk.
    BadEncoding,
}

/// The headers of a request or response.
#[derive(Clone, Default)]
pub struct HeadFields {
    bytes: Vec<u8>,
    fields: Vec<(Range<usize>, Range<usize>)>,
}

/// Shows names only: values may be credentials.
impl fmt::Debug for HeadFields {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.iter().map(|(name, _)| name)).finish()
    }
}

impl HeadFields {
    /// Stores a complete head and the headers that were parsed from it.
    pub fn new(bytes: &[u8], parsed: &[httparse::Header<'_>]) -> Result<HeadFields, HeadError> {
        let is_bare = |at: usize| bytes[at] == b'\n' && (at == 0 || bytes[at - 1] != b'\r');
        if (0..bytes.len()).any(is_bare) {
            return Err(HeadError::BareLineFeed);
        }
        let start = bytes.as_ptr() as usize;
        let range = |part: &[u8]| {
            let at = part.as_ptr() as usize - start;
            at..at + part.len()
        };
        let fields = parsed
            .iter()
            .map(|header| (range(header.name.as_bytes()), range(header.value)))
            .collect();
        Ok(HeadFields { bytes: bytes.to_vec(), fields })
    }

    /// All headers, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| {
            let name = std::str::from_utf8(&self.bytes[name.clone()]).unwrap_or_default();
            (name, &self.bytes[value.clone()])
        })
    }

    /// All values of a header.
    pub fn all<'h, 'w>(&'h self, wanted: &'w str) -> impl Iterator<Item = &'h [u8]> + use<'h, 'w> {
        self.iter()
            .filter(move |(name, _)| name.eq_ignore_ascii_case(wanted))
            .map(|(_, value)| value)
    }

    /// First value of a header, trimmed, if it is UTF-8.
    pub fn get(&self, wanted: &str) -> Option<&str> {
        let value = self.all(wanted).next()?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Whether a comma-separated header contains a token.
    pub fn lists(&self, header: &str, token: &str) -> bool {
        let has_token = |value: &[u8]| {
            let text = String::from_utf8_lossy(value);
            text.split(',').any(|part| part.trim().eq_ignore_ascii_case(token))
        };
        self.all(header).any(has_token)
    }

    /// The `content-length`, if there is one.
    pub fn length(&self) -> Result<Option<u64>, HeadError> {
        let mut lengths = self.all("content-length");
        let Some(first) = lengths.next() else { return Ok(None) };
        if lengths.next().is_some() {
            return Err(HeadError::BadLength);
        }
        let is_number = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(first).ok().filter(|_| is_number);
        text.and_then(|text| text.parse().ok()).map(Some).ok_or(HeadError::BadLength)
    }

    /// Whether the transfer encoding is `chunked`.
    pub fn is_chunked(&self) -> Result<bool, HeadError> {
        let mut encodings = self.all("transfer-encoding");
        let Some(first) = encodings.next() else { return Ok(false) };
        let is_alone = encodings.next().is_none() && self.all("content-length").next().is_none();
        match first.eq_ignore_ascii_case(b"chunked") && is_alone {
            true => Ok(true),
            false => Err(HeadError::BadEncoding),
        }
    }
}

/// Space for all headers that a complete head may have.
pub fn space_for_headers(bytes: &[u8]) -> Vec<httparse::Header<'_>> {
    let lines = bytes.iter().filter(|&&byte| byte == b'\n').count();
    vec![httparse::EMPTY_HEADER; lines]
}

/// Returns the length of the head, up to and with its first empty line.
pub fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4)
}
