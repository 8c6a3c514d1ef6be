//! A digest that recognises a repeated request, computed alike by every host.
//!
//! A repeated request has another id, and may come to another host, over another connection and
//! from another address. The digest covers what stays the same: the method, the authority, the
//! path with its query, the beginning of the body and its stated length, and the headers that
//! identify the caller. The rest of a long body is left out, as not every host holds it; other
//! headers, since some differ with each attempt. The digest is cryptographic, so that nobody can
//! forge a request with the fingerprint of another caller's.

use crate::http1::{Framing, RequestHead};
use crate::request_body::PREFIX_BYTES;
use domain::RequestFingerprint;
use sha2::{Digest, Sha256};

/// Bytes of the digest that are kept: enough that nobody can find a second request with the same.
const KEPT_BYTES: usize = 16;

/// Standard headers that identify callers.
const CREDENTIALS: [&str; 2] = ["authorization", "cookie"];

/// Computes the fingerprint of a request with this body, or with a body that begins so and is
/// longer than [`PREFIX_BYTES`]; `caller` is the header that names its caller, if any.
pub fn fingerprint(head: &RequestHead, body: &[u8], caller: Option<&str>) -> RequestFingerprint {
    let mut hasher = Sha256::new();
    let authority = head.fields.get("host").unwrap_or_default().to_ascii_lowercase();
    let body = &body[..body.len().min(PREFIX_BYTES)];
    for part in [head.method.as_bytes(), authority.as_bytes(), head.target.as_bytes(), body] {
        update_with_length(&mut hasher, part);
    }
    match head.framing {
        Framing::Length(length) if length > PREFIX_BYTES as u64 => {
            hasher.update(length.to_le_bytes());
        }
        Framing::Length(_) | Framing::Chunked | Framing::UntilClose => {}
    }
    for name in CREDENTIALS.into_iter().chain(caller) {
        head.fields.all(name).for_each(|value| update_with_length(&mut hasher, value));
        update_with_length(&mut hasher, b"");
    }
    let digest = hasher.finalize();
    let kept = digest[..KEPT_BYTES].iter().fold(0, |kept, &byte| kept << 8 | u128::from(byte));
    RequestFingerprint(kept)
}

/// Hashes a part with its length before it, so that the boundaries of the parts count.
fn update_with_length(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_le_bytes());
    hasher.update(part);
}
