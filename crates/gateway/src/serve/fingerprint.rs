//! What a request asks, and for whom, as a number that every host computes alike.
//!
//! A request that comes again comes under another id, at any host and on another connection.
//! What stays is the method, the authority, the path with its query, the body and the caller's
//! address. The digest is cryptographic, so that nobody can make a request that looks like
//! another caller's.

use crate::http1::RequestHead;
use domain::RequestFingerprint;
use sha2::{Digest, Sha256};
use std::net::IpAddr;

/// Bytes of the digest that are kept: as many as nobody can find a second request for.
const KEPT_BYTES: usize = 16;

/// The fingerprint of a request from a caller.
pub fn fingerprint(head: &RequestHead, body: &[u8], caller: IpAddr) -> RequestFingerprint {
    let authority = head.fields.get("host").unwrap_or_default().to_ascii_lowercase();
    let caller = caller.to_string();
    let parts = [head.method.as_bytes(), authority.as_bytes(), head.target.as_bytes(), body];
    let mut hasher = Sha256::new();
    for part in parts.into_iter().chain([caller.as_bytes()]) {
        // With its length before it, no two ways to cut the parts are equal.
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let kept = digest[..KEPT_BYTES].iter().fold(0, |kept, &byte| kept << 8 | u128::from(byte));
    RequestFingerprint(kept)
}
