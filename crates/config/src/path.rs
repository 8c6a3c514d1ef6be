//! The readings of a path.
//!
//! Upstreams decode and tidy paths in ways of their own. The normal form is what all of
//! them agree on (RFC 3986, sections 2.3 and 6.2.2). The loosest reading goes as far as
//! any common one does, so two paths that some upstream could take for the same have the
//! same loosest reading; it only ever makes a rule stricter.

use std::borrow::Cow;

/// Bytes of a percent-encoded byte.
const ENCODED_BYTES: usize = 3;

/// A path with its unreserved characters decoded and all other encodings in upper case.
///
/// `None` if no two servers need agree on it: not absolute, a backslash, a malformed
/// encoding, an encoded control character, or a byte that never stands in UTF-8.
pub fn normal_form(path: &str) -> Option<Cow<'_, str>> {
    if !path.starts_with('/') || path.contains('\\') {
        return None;
    }
    if path.is_ascii() && !path.contains('%') {
        return Some(Cow::Borrowed(path));
    }
    let mut normal = String::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let [first, tail @ ..] = rest {
        let (byte, is_encoded, tail) = match first {
            b'%' => (leading_hex(tail)?, true, tail.get(2..)?),
            byte => (*byte, !byte.is_ascii(), tail),
        };
        if is_forbidden(byte) {
            return None;
        }
        push(&mut normal, byte, is_encoded && !is_unreserved(byte));
        rest = tail;
    }
    Some(Cow::Owned(normal))
}

/// The loosest reading of a path in normal form: all ASCII decoded as often as it was
/// encoded, backslashes as slashes, no parameters, no empty segments, lower case.
pub fn loosest_reading(normal: &str) -> String {
    let mut decoded = String::with_capacity(normal.len());
    for c in normal.chars() {
        decoded.push(c.to_ascii_lowercase());
        decode_end(&mut decoded);
    }
    let mut reading = String::with_capacity(decoded.len());
    for segment in decoded.split(['/', '\\']).map(without_parameters) {
        if !segment.is_empty() {
            reading.push('/');
            reading.push_str(segment);
        }
    }
    reading
}

/// Whether a segment is `.` or `..`.
pub fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(|segment| matches!(segment, "." | ".."))
}

/// Decodes what the last character completed, again where that completes another.
fn decode_end(text: &mut String) {
    while let Some(byte) = encoded_end(text).filter(u8::is_ascii) {
        text.truncate(text.len() - ENCODED_BYTES);
        text.push(char::from(byte.to_ascii_lowercase()));
    }
}

fn encoded_end(text: &str) -> Option<u8> {
    let start = text.len().checked_sub(ENCODED_BYTES)?;
    let digits = text.as_bytes().get(start..)?.strip_prefix(b"%")?;
    leading_hex(digits)
}

/// The byte that two leading hexadecimal digits stand for.
fn leading_hex(text: &[u8]) -> Option<u8> {
    let [high, low, ..] = text else { return None };
    let digit = |byte: &u8| char::from(*byte).to_digit(16);
    u8::try_from(digit(high)? * 16 + digit(low)?).ok()
}

fn push(text: &mut String, byte: u8, is_encoded: bool) {
    match is_encoded {
        true => text.push_str(&format!("%{byte:02X}")),
        false => text.push(char::from(byte)),
    }
}

/// A segment up to its parameters, or to what a second decoding takes for a query.
fn without_parameters(segment: &str) -> &str {
    segment.split([';', '?', '#']).next().unwrap_or_default()
}

fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~')
}

/// Control characters, and bytes that lenient decoders take for other characters.
fn is_forbidden(byte: u8) -> bool {
    byte.is_ascii_control() || matches!(byte, 0xc0 | 0xc1 | 0xf5..)
}
