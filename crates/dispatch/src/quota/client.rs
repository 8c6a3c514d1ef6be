//! What a host knows of the quotas that it asks others for, and its share without an owner.

use super::token_bucket::TokenBucket;
use super::{ALLOWANCE_PART, QuotaTolerance, UNUSED_MS, Verdict};
use crate::decaying_sum::DecayingSum;
use decision_core::{Job, Role};
use domain::{FastMap, HostId, Millis, OrganisationName, PerSecond};
use published::{Member, Organisation, Quota};

/// Owners that are asked for one request.
const MAX_ASKED: usize = 2;

/// Time for which a host that didn't answer isn't asked. Short, as the host goes on without an owner
/// meanwhile: after the end of a partition, its share comes on top of the whole rate.
const SILENT_MS: Millis = Millis(500);

/// Time after which a returned token is lost: its owner counts it as spent.
const RETURNED_MS: Millis = Millis(250);

/// Longest time for which a refusal holds without asking again.
const REFUSAL_HOLDS_MS: Millis = Millis(1_000);

/// Time in which the count of granted requests decays to 1/e.
const GRANTED_DECAY_MS: f64 = 5_000.0;

/// Part of the rate of its grants with which a host goes on without an owner.
const STANDING_PART: f64 = 0.8;

/// This host's knowledge of quotas that others own.
#[derive(Debug)]
pub struct QuotaClient {
    host: HostId,
    /// Hosts that didn't answer, and until when they aren't asked.
    silent_until_ms: FastMap<HostId, Millis>,
    known: FastMap<OrganisationName, Known>,
}

/// What is known of one organisation's quota.
#[derive(Debug)]
struct Known {
    used_ms: Millis,
    refused_until_ms: Millis,
    /// Until when returned tokens may be used.
    returned: Vec<Millis>,
    /// Granted requests.
    granted: DecayingSum,
    /// The bucket that serves while no owner is reached.
    standing: Option<TokenBucket>,
}

impl Known {
    fn new() -> Known {
        Known {
            used_ms: Millis::ZERO,
            refused_until_ms: Millis::ZERO,
            returned: Vec::new(),
            granted: DecayingSum::new(GRANTED_DECAY_MS),
            standing: None,
        }
    }

    /// Rate of granted requests.
    fn granted_rate(&self, now_ms: Millis) -> PerSecond {
        PerSecond(self.granted.at(now_ms) / (GRANTED_DECAY_MS / 1_000.0))
    }
}

impl QuotaClient {
    /// The client of a host that was granted nothing yet.
    pub fn new(host: HostId) -> QuotaClient {
        QuotaClient { host, silent_until_ms: FastMap::default(), known: FastMap::default() }
    }

    /// Decides about a request without asking, if a returned token or a recent refusal allows that.
    pub fn decide_alone(&mut self, now_ms: Millis, organisation: &Organisation) -> Option<Verdict> {
        let known = self.known.entry(organisation.name.clone()).or_insert_with(Known::new);
        known.used_ms = now_ms;
        known.returned.retain(|until_ms| now_ms < *until_ms);
        if known.returned.pop().is_some() {
            return Some(Verdict::Granted);
        }
        let next_in_ms = known.refused_until_ms.since(now_ms);
        (next_in_ms > Millis::ZERO).then_some(Verdict::Refused { next_in_ms })
    }

    /// The host to ask next, after `asked` of the candidates were asked in vain.
    pub fn next_owner<'m>(
        &self,
        now_ms: Millis,
        candidates: &'m [Member],
        asked: &[HostId],
    ) -> Option<&'m Member> {
        if asked.len() >= MAX_ASKED {
            return None;
        }
        candidates.iter().find(|member| {
            let silent_until_ms = self.silent_until_ms.get(&member.host);
            let is_silent = silent_until_ms.is_some_and(|until_ms| now_ms < *until_ms);
            !is_silent && !asked.contains(&member.host)
        })
    }

    /// Records an owner's answer.
    pub fn record_answer(
        &mut self,
        now_ms: Millis,
        owner: &HostId,
        organisation: &OrganisationName,
        verdict: Verdict,
    ) {
        self.record_responsive(owner);
        let known = self.known.entry(organisation.clone()).or_insert_with(Known::new);
        // The first token is given once: hosts may find an owner and lose it in turn.
        if let Some(standing) = &mut known.standing {
            *standing = TokenBucket::new(now_ms, 0.0);
        }
        match verdict {
            Verdict::Granted => known.granted.add(now_ms, 1.0),
            Verdict::Refused { next_in_ms } => {
                known.refused_until_ms = now_ms + next_in_ms.min(REFUSAL_HOLDS_MS);
            }
            Verdict::Unknown => {}
        }
    }

    /// Records that a host didn't answer in time.
    pub fn record_timeout(&mut self, now_ms: Millis, owner: &HostId) {
        self.silent_until_ms.insert(owner.clone(), now_ms + SILENT_MS);
    }

    /// Records that a host answers, or is up in a new run.
    pub fn record_responsive(&mut self, host: &HostId) {
        self.silent_until_ms.remove(host);
    }

    /// Returns a token whose request was refused without having been sent.
    pub fn return_token(&mut self, now_ms: Millis, organisation: &OrganisationName) {
        if let Some(known) = self.known.get_mut(organisation) {
            known.returned.push(now_ms + RETURNED_MS);
        }
    }

    /// Takes a token from this host's standing share, if it has one. `hosts` is the size of the
    /// fleet.
    pub fn take_standing(
        &mut self,
        now_ms: Millis,
        organisation: &OrganisationName,
        quota: Quota,
        tolerance: QuotaTolerance,
        hosts: u32,
    ) -> bool {
        let share = 1.0 / f64::from(hosts.max(1));
        let known = self.known.entry(organisation.clone()).or_insert_with(Known::new);
        let own_rate = STANDING_PART * known.granted_rate(now_ms).0;
        let rate = PerSecond(own_rate.max(quota.rate.0 * share));
        let host = &self.host;
        let bucket = known.standing.get_or_insert_with(|| {
            let allowance_share = tolerance.allowance(quota) * share;
            TokenBucket::new(now_ms, initial_token(host, organisation, allowance_share))
        });
        let has_token = bucket.take(now_ms, rate, 1.0);
        if has_token {
            known.granted.add(now_ms, 1.0);
        }
        has_token
    }

    /// Drops organisations without requests.
    pub fn expire(&mut self, now_ms: Millis) {
        self.known.retain(|_, known| now_ms.since(known.used_ms) < UNUSED_MS);
        self.silent_until_ms.retain(|_, until_ms| now_ms < *until_ms);
    }
}

/// One token on so many hosts that all start with a part of the allowance.
fn initial_token(host: &HostId, organisation: &OrganisationName, allowance_share: f64) -> f64 {
    let drawn = Job { role: Role::QuotaOwner, name: organisation.as_str() }.weight(host);
    let chance = allowance_share * ALLOWANCE_PART;
    if (drawn as f64 / u64::MAX as f64) < chance { 1.0 } else { 0.0 }
}
