//! The lender's account of one service: who uses which slot.

use crate::choice::Usual;
use crate::service::ServiceState;
use domain::{FastMap, LeaseId, Millis, UpstreamId};

/// Time after which a lease that was not returned is forgotten.
const LEASE_MS: Millis = Millis(2000);
/// Time between looks at expired leases.
const EXPIRE_EVERY_MS: Millis = Millis(100);
/// Most requests lent to an upstream for each of its slots: what exceeds one waits there.
const MOST_PER_SLOT: u32 = 2;
/// Most leases of one service that are remembered.
const MAX_LEASES: usize = 4096;

/// A lease that is out.
#[derive(Debug, Clone)]
pub struct Lease {
    /// Whose slot.
    pub upstream: UpstreamId,
    /// When it was lent.
    pub lent_ms: Millis,
}

/// The account of one service.
#[derive(Debug, Default)]
pub struct Lender {
    leases: FastMap<LeaseId, Lease>,
    by_upstream: FastMap<UpstreamId, u32>,
    last: LeaseId,
    expired_ms: Millis,
}

impl Lender {
    /// Leases of an upstream that are out.
    pub fn lent_of(&self, upstream: &UpstreamId) -> u32 {
        self.by_upstream.get(upstream).copied().unwrap_or(0)
    }

    /// Leases that are out.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Lends a slot.
    pub fn lend(&mut self, now_ms: Millis, upstream: UpstreamId) -> LeaseId {
        self.last.0 += 1;
        *self.by_upstream.entry(upstream.clone()).or_default() += 1;
        self.leases.insert(self.last, Lease { upstream, lent_ms: now_ms });
        self.last
    }

    /// Takes a slot back; `None` if it has expired or was never lent here.
    pub fn release(&mut self, lease: LeaseId) -> Option<Lease> {
        let lease = self.leases.remove(&lease)?;
        if let Some(count) = self.by_upstream.get_mut(&lease.upstream) {
            *count = count.saturating_sub(1);
        }
        Some(lease)
    }

    /// Forgets leases that were not returned in time.
    fn expire(&mut self, now_ms: Millis) {
        if now_ms.since(self.expired_ms) < EXPIRE_EVERY_MS {
            return;
        }
        self.expired_ms = now_ms;
        let old = |lease: &Lease| now_ms.since(lease.lent_ms) >= LEASE_MS;
        let expired: Vec<LeaseId> =
            self.leases.iter().filter(|(_, lease)| old(lease)).map(|(&id, _)| id).collect();
        for id in expired {
            self.release(id);
        }
    }
}

/// The upstream whose slot is best lent next, `None` if all are full.
///
/// What is lent is known exactly; what others send past the account shows in the reports.
pub fn best_slot(now_ms: Millis, state: &mut ServiceState) -> Option<UpstreamId> {
    state.lender.expire(now_ms);
    if state.lender.len() >= MAX_LEASES {
        return None;
    }
    let strictness = state.strictness(now_ms);
    let usual = Usual::of(&state.upstreams);
    let open = state.upstreams.iter().filter_map(|upstream| {
        let lent = state.lender.lent_of(&upstream.id);
        let most = upstream.open_slots(now_ms, strictness) * MOST_PER_SLOT;
        (lent < most).then(|| (usual.cost_of_lent_ms(now_ms, upstream, lent), upstream))
    });
    let best = open.min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, upstream)| upstream.id.clone())
}
