//! Cold upstreams: whether one is cold, and how many requests it may get while it is.
//!
//! An upstream that has just started, or was away, works slowly, and ends under more requests a
//! second than its service states. That rate belongs to the whole fleet. Each host has an equal
//! share of it, and lends it to the scheduler that it hands its requests to ([`Lenders`]). So a
//! scheduler that all hosts use spends all of the rate, a host that is cut off its own share only,
//! and however the fleet is divided the sum stays within the rate. A host that changes its
//! scheduler is counted by both for as long as a share is lent, so the sum may double for that
//! time; what the platform bears beyond the rate is for that, and is never planned with.

use crate::scheduler::Asker;
use crate::upstream_set::UpstreamSet;
use decision_core::{Job, Role};
use domain::{FastMap, HostId, Millis, PerSecond, UpstreamId};
use serde::Serialize;

/// A host's share is lent for so long after its last message: the pause between two requests of a
/// host under load, and a third of the time that upstreams stay cold.
const LENT_MS: Millis = Millis(1_000);

/// A request that was not spent can be made up for within this time. Shares that were saved up
/// for longer would be spent by all hosts in the same second.
const SAVED_S: f64 = 0.5;

/// Part of its hosts from which a scheduler has to hear to spend all of the rate, as long as the
/// upstream shows no requests of others: most hosts of a large fleet have no request within
/// [`LENT_MS`], and what they don't need is not left lying. With 1 in place of it 472 hosts used
/// 47 of 100 requests that their cold upstreams bore.
const ENOUGH_LENT: f64 = 0.25;

/// How much slower a cold upstream works, as long as nothing else is known.
pub(crate) const COLD_SLOWNESS: f64 = 2.0;

/// Whether an upstream is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Warmth {
    /// It works at its usual speed.
    Warm,
    /// It said that it is cold.
    Cold,
    /// It was away, or its availability zone was evacuated: it may have become cold since.
    Unknown,
}

/// What an upstream and its entry told of its being cold.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ToldCold {
    since_ms: Millis,
    until_ms: Millis,
    is_outdated: bool,
}

impl ToldCold {
    pub(crate) fn at(&self, now_ms: Millis) -> Warmth {
        match self {
            ToldCold { is_outdated: true, .. } => Warmth::Unknown,
            ToldCold { until_ms, .. } if now_ms < *until_ms => Warmth::Cold,
            ToldCold { .. } => Warmth::Warm,
        }
    }

    /// When it was last known to become cold, or to be possibly so.
    pub(crate) fn since_ms(&self) -> Millis {
        self.since_ms
    }

    /// Its entry was written anew. That was a while ago, so it never shortens what is known.
    pub(crate) fn note_entry(&mut self, now_ms: Millis, left_ms: Millis) {
        if left_ms > Millis::ZERO {
            self.begin(now_ms);
            self.until_ms = self.until_ms.max(now_ms + left_ms);
        }
    }

    /// It answered a health check; none if it is not of those that tell.
    pub(crate) fn note_answer(&mut self, now_ms: Millis, left_ms: Option<Millis>) {
        if left_ms.is_some_and(|left_ms| left_ms > Millis::ZERO) {
            self.begin(now_ms);
        }
        self.until_ms = left_ms.map_or(self.until_ms, |left_ms| now_ms + left_ms);
        self.is_outdated = false;
    }

    /// It was away: what was told no longer holds.
    pub(crate) fn note_away(&mut self, now_ms: Millis) {
        self.begin(now_ms);
        self.is_outdated = true;
    }

    fn begin(&mut self, now_ms: Millis) {
        if self.at(now_ms) == Warmth::Warm {
            self.since_ms = now_ms;
        }
    }
}

/// What the whole fleet may send to an upstream that is cold, or may be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests of all hosts.
    pub rate: PerSecond,
    /// When it became cold.
    pub since_ms: Millis,
}

/// What one sender has sent to cold upstreams, by its part of the fleet's rate.
#[derive(Debug)]
pub(crate) struct ColdBudget {
    host: HostId,
    spent: FastMap<UpstreamId, Allowance>,
}

/// Requests that are left for one upstream.
#[derive(Debug, Clone, Copy)]
struct Allowance {
    left: f64,
    at_ms: Millis,
}

impl ColdBudget {
    /// Nothing is spent yet by this host.
    pub(crate) fn new(host: HostId) -> ColdBudget {
        ColdBudget { host, spent: FastMap::default() }
    }

    /// Whether a sender that has a part of the fleet's rate may send a request now.
    pub(crate) fn has_one(
        &self,
        now_ms: Millis,
        id: &UpstreamId,
        limit: ColdLimit,
        share: f64,
    ) -> bool {
        self.left(now_ms, id, limit, share) >= 1.0
    }

    /// A request is sent.
    pub(crate) fn take(&mut self, now_ms: Millis, id: &UpstreamId, limit: ColdLimit, share: f64) {
        let left = self.left(now_ms, id, limit, share) - 1.0;
        self.spent.insert(id.clone(), Allowance { left, at_ms: now_ms });
    }

    /// A request was not sent after all.
    pub(crate) fn give_back(&mut self, id: &UpstreamId) {
        if let Some(allowance) = self.spent.get_mut(id) {
            allowance.left += 1.0;
        }
    }

    /// Forgets upstreams that are gone, or warm.
    pub(crate) fn retain(&mut self, is_cold: impl Fn(&UpstreamId) -> bool) {
        self.spent.retain(|id, _| is_cold(id));
    }

    fn left(&self, now_ms: Millis, id: &UpstreamId, limit: ColdLimit, share: f64) -> f64 {
        let rate = limit.rate.0 * share;
        if rate <= 0.0 {
            return 0.0;
        }
        let is_of_this_time = |allowance: &&Allowance| allowance.at_ms >= limit.since_ms;
        let former = self.spent.get(id).filter(is_of_this_time).copied();
        let Allowance { left, at_ms } = former.unwrap_or_else(|| self.first(id, limit, share));
        let gained = now_ms.since(at_ms).as_f64() / 1_000.0 * rate;
        match left + gained {
            left if rate * SAVED_S >= 1.0 => left.min(rate * SAVED_S),
            // Less than one is saved up in time: what is there and not used is lost again.
            left if left >= 1.0 => {
                let cycle = 1.0 + SAVED_S * rate;
                let grown = (left - 1.0) % cycle;
                if grown <= SAVED_S * rate { 1.0 } else { grown - SAVED_S * rate }
            }
            left => left,
        }
    }

    /// The first request of each sender comes at another time, and of all of them together one
    /// at once.
    fn first(&self, id: &UpstreamId, limit: ColdLimit, share: f64) -> Allowance {
        let drawn = Job { role: Role::Prober, name: id.as_str() }.weight(&self.host);
        let phase = drawn as f64 / u64::MAX as f64;
        let left = if phase < share { 1.0 } else { phase };
        Allowance { left, at_ms: limit.since_ms }
    }
}

/// What a host sends to cold upstreams by itself, where no scheduler placed the request.
#[derive(Debug)]
pub struct ColdSender {
    budget: ColdBudget,
    lent_ms: Option<Millis>,
}

impl ColdSender {
    /// A host that has sent nothing yet.
    pub fn new(host: HostId) -> ColdSender {
        ColdSender { budget: ColdBudget::new(host), lent_ms: None }
    }

    /// The host hands a request to a scheduler, and lends it its share.
    pub fn note_lent(&mut self, now_ms: Millis) {
        self.lent_ms = Some(now_ms);
    }

    /// Whether a request may be sent to an upstream, which may be cold, by one of so many hosts.
    pub fn may_send(
        &self,
        now_ms: Millis,
        upstreams: &UpstreamSet,
        id: &UpstreamId,
        hosts: u32,
    ) -> bool {
        let share = self.share(now_ms, hosts);
        let may_send = |limit| self.budget.has_one(now_ms, id, limit, share);
        upstreams.cold_limit(now_ms, id).is_none_or(may_send)
    }

    /// The request is sent.
    pub fn note_sent(
        &mut self,
        now_ms: Millis,
        upstreams: &UpstreamSet,
        id: &UpstreamId,
        hosts: u32,
    ) {
        let share = self.share(now_ms, hosts);
        if let Some(limit) = upstreams.cold_limit(now_ms, id) {
            self.budget.take(now_ms, id, limit, share);
        }
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.budget.retain(is_known);
    }

    /// Nothing while it is lent.
    fn share(&self, now_ms: Millis, hosts: u32) -> f64 {
        match self.lent_ms {
            Some(lent_ms) if now_ms.since(lent_ms) < LENT_MS => 0.0,
            _ => 1.0 / f64::from(hosts.max(1)),
        }
    }
}

/// The part of the rate that a scheduler may spend on an upstream, by what is lent to it and
/// whether the upstream has just shown requests of others.
pub(crate) fn spendable(lent: f64, is_alone: bool) -> f64 {
    if is_alone { (lent / ENOUGH_LENT).min(1.0) } else { lent }
}

/// Hosts that hand their requests to a scheduler, and lend it their shares.
#[derive(Debug, Default)]
pub(crate) struct Lenders {
    heard_ms: FastMap<Asker, Millis>,
}

impl Lenders {
    pub(crate) fn note(&mut self, now_ms: Millis, asker: Asker) {
        self.heard_ms.insert(asker, now_ms);
    }

    /// The part of the fleet's rate that is lent by now, where so many hosts have equal shares.
    pub(crate) fn share(&self, now_ms: Millis, hosts: u32) -> f64 {
        let is_lent = |at_ms: &&Millis| now_ms.since(**at_ms) < LENT_MS;
        let lent = self.heard_ms.values().filter(is_lent).count();
        (lent as f64 / f64::from(hosts.max(1))).min(1.0)
    }

    pub(crate) fn forget(&mut self, now_ms: Millis) {
        self.heard_ms.retain(|_, at_ms| now_ms.since(*at_ms) < LENT_MS);
    }
}
