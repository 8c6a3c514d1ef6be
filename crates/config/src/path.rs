//! Path normalization.
//!
//! Upstreams decode and normalize paths in different ways. The normal form applies only what
//! RFC 3986 (sections 2.3 and 6.2.2) makes equivalent. The loose form applies every
//! normalization in common use, so two paths that some upstream could treat as the same have
//! the same loose form; it is used only to make a rule stricter.

use std::borrow::Cow;

/// Length of a percent-encoded byte.
const ENCODED_BYTES: usize = 3;

/// The path with unreserved characters decoded and all other percent-encodings in upper case.
///
/// `None` if servers may interpret the path differently: it is not absolute, or contains a
/// backslash, a malformed encoding, an encoded control character, or a byte that never occurs
/// in UTF-8.
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

/// The loose form of a path in normal form: ASCII decoded repeatedly until no encoding is
/// left, backslashes as slashes, no path parameters, no empty segments, lower case.
pub fn loose_form(normal: &str) -> String {
    let mut decoded = String::with_capacity(normal.len());
    for c in normal.chars() {
        decoded.push(c.to_ascii_lowercase());
        decode_suffix(&mut decoded);
    }
    let mut loose = String::with_capacity(decoded.len());
    for segment in decoded.split(['/', '\\']).map(without_parameters) {
        if !segment.is_empty() {
            loose.push('/');
            loose.push_str(segment);
        }
    }
    loose
}

/// Whether any segment is `.` or `..`.
pub fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(|segment| matches!(segment, "." | ".."))
}

/// Decodes an encoded ASCII byte at the end of the text, and again if the decoded byte
/// completes another encoding.
fn decode_suffix(text: &mut String) {
    while let Some(byte) = encoded_suffix(text).filter(u8::is_ascii) {
        text.truncate(text.len() - ENCODED_BYTES);
        text.push(char::from(byte.to_ascii_lowercase()));
    }
}

fn encoded_suffix(text: &str) -> Option<u8> {
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

/// The segment up to its parameters, or up to a decoded `?` or `#`, where a server that
/// decodes again would begin the query or fragment.
fn without_parameters(segment: &str) -> &str {
    segment.split([';', '?', '#']).next().unwrap_or_default()
}

fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~')
}

/// Whether the byte is a control character, or never occurs in UTF-8: lenient decoders map
/// such bytes to other characters.
fn is_forbidden(byte: u8) -> bool {
    byte.is_ascii_control() || matches!(byte, 0xc0 | 0xc1 | 0xf5..)
}
