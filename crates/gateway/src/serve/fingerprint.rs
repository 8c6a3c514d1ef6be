//! What a request asks, and for whom, as a number that every host computes alike.
//!
//! A request that comes again comes under another id, at any host and on another connection.
//! What stays is the method, the authority, the path with its query, the body and the caller's
//! address. The hash is SipHash: a caller that could choose requests of equal fingerprints
//! could speak for another caller's.

use crate::http1::RequestHead;
use domain::RequestFingerprint;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::IpAddr;

/// The fingerprint of a request from a caller.
pub fn fingerprint(head: &RequestHead, body: &[u8], caller: IpAddr) -> RequestFingerprint {
    let authority = head.fields.get("host").unwrap_or_default().to_ascii_lowercase();
    let mut hasher = SipHasher13::new();
    // Each part is ended or preceded by its length, so that no two ways to cut them are equal.
    (&head.method, authority, &head.target, body, caller).hash(&mut hasher);
    RequestFingerprint(hasher.finish())
}
