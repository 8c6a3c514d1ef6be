//! Organisations, the API keys that identify them, and their quotas.
//!
//! Hosts keep and exchange digests of keys, never keys. A digest is unkeyed but for a constant
//! prefix: every host has to compute the same one, and no secret is published that only hosts know.
//! Keys are drawn at random, so a digest doesn't help to guess one.

use domain::{FastMap, OrganisationName, PerSecond};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Bytes of a digest that are kept: enough that nobody can find a second key with the same.
const DIGEST_BYTES: usize = 16;

/// Separates digests of keys from those that other parts of the process compute.
const DIGEST_PREFIX: &[u8] = b"jujubedeal api key 1\0";

/// Digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        let digest = Sha256::new().chain_update(DIGEST_PREFIX).chain_update(key).finalize();
        let mut kept = [0; DIGEST_BYTES];
        kept.copy_from_slice(&digest[..DIGEST_BYTES]);
        KeyDigest(kept)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// An organisation whose requests are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name, which upstreams get with its requests.
    pub name: OrganisationName,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, instead of their route's; 0 is the highest.
    pub priority: Option<u32>,
    /// What all hosts together may forward of its requests; no limit if absent.
    pub quota: Option<Quota>,
}

impl Organisation {
    /// Priority of a request on a route with this priority, if `sender` sent it; 0 is the highest.
    pub fn priority_of(sender: Option<&Organisation>, route_priority: u32) -> u32 {
        sender.and_then(|sender| sender.priority).unwrap_or(route_priority)
    }
}

/// A limit on an organisation's requests, over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per second.
    pub rate: PerSecond,
    /// Requests that may be sent at once after a pause.
    pub burst: u32,
}

/// Organisations by the digests of their keys.
#[derive(Debug, Default)]
pub(crate) struct KeyTable {
    by_digest: FastMap<KeyDigest, Arc<Organisation>>,
    by_name: FastMap<OrganisationName, Arc<Organisation>>,
}

impl KeyTable {
    pub(crate) fn new(organisations: &[Organisation]) -> KeyTable {
        let (mut by_digest, mut by_name) = (FastMap::default(), FastMap::default());
        for organisation in organisations {
            let shared = Arc::new(organisation.clone());
            by_digest.extend(organisation.keys.iter().map(|key| (*key, Arc::clone(&shared))));
            by_name.insert(organisation.name.clone(), shared);
        }
        KeyTable { by_digest, by_name }
    }

    pub(crate) fn get(&self, name: &OrganisationName) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// The organisation that holds a key. The final comparison takes the same time for all keys.
    pub(crate) fn find(&self, key: &[u8]) -> Option<&Arc<Organisation>> {
        let digest = KeyDigest::of(key);
        let (found, organisation) = self.by_digest.get_key_value(&digest)?;
        bool::from(found.0.ct_eq(&digest.0)).then_some(organisation)
    }
}
