//! What a request asks, and for whom, as a number that every host computes alike.
//!
//! A request that comes again comes under another id, at any host, over another connection and
//! from another address. What stays is what an upstream sees of it: the method, the authority,
//! the path with its query, the body, and the headers that name the caller. Other headers are
//! left out: some differ with each sending. The digest is cryptographic, so that nobody can make
//! a request that looks like another caller's.

use crate::http1::RequestHead;
use domain::RequestFingerprint;
use sha2::{Digest, Sha256};

/// Bytes of the digest that are kept: as many as nobody can find a second request for.
const KEPT_BYTES: usize = 16;

/// Standard headers by which callers are told apart.
const CREDENTIALS: [&str; 2] = ["authorization", "cookie"];

/// The fingerprint of a request; `caller` is the header that names its caller, if there is one.
pub fn fingerprint(head: &RequestHead, body: &[u8], caller: Option<&str>) -> RequestFingerprint {
    let mut hasher = Sha256::new();
    let authority = head.fields.get("host").unwrap_or_default().to_ascii_lowercase();
    for part in [head.method.as_bytes(), authority.as_bytes(), head.target.as_bytes(), body] {
        add(&mut hasher, part);
    }
    for name in CREDENTIALS.into_iter().chain(caller) {
        head.fields.all(name).for_each(|value| add(&mut hasher, value));
        add(&mut hasher, b"");
    }
    let digest = hasher.finalize();
    let kept = digest[..KEPT_BYTES].iter().fold(0, |kept, &byte| kept << 8 | u128::from(byte));
    RequestFingerprint(kept)
}

/// With its length before it, so that no two ways to cut the parts are equal.
fn add(hasher: &mut Sha256, part: &[u8]) {
    hasher.update((part.len() as u64).to_le_bytes());
    hasher.update(part);
}
