//! What a host knows of the quotas that it asks others for, and its share without an owner.

use super::{ALLOWANCE_PART, QuotaTolerance, Verdict};
use decision_core::{Job, Role};
use domain::{FastMap, HostId, Millis, OrganisationName};
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

/// Time after which an organisation without requests is forgotten.
const UNUSED_MS: Millis = Millis(60_000);

/// This host's knowledge of quotas that others own.
#[derive(Debug)]
pub struct QuotaClient {
    host: HostId,
    /// Hosts that didn't answer, and until when they aren't asked.
    silent_until_ms: FastMap<HostId, Millis>,
    known: FastMap<OrganisationName, Known>,
}

/// What is known of one organisation's quota.
#[derive(Debug, Default)]
struct Known {
    used_ms: Millis,
    refused_until_ms: Millis,
    /// Until when returned tokens may be used.
    returned: Vec<Millis>,
    /// Decaying count of granted requests.
    granted: f64,
    granted_at_ms: Millis,
    /// The bucket that serves while no owner is reached.
    standing: Option<StandingBucket>,
}

#[derive(Debug, Clone, Copy)]
struct StandingBucket {
    tokens: f64,
    at_ms: Millis,
}

impl Known {
    /// Rate of granted requests, per second.
    fn granted_rate(&self, now_ms: Millis) -> f64 {
        let age_ms = now_ms.since(self.granted_at_ms).as_f64();
        self.granted * (-age_ms / GRANTED_DECAY_MS).exp() / (GRANTED_DECAY_MS / 1_000.0)
    }

    fn record_granted(&mut self, now_ms: Millis) {
        let age_ms = now_ms.since(self.granted_at_ms).as_f64();
        self.granted = self.granted * (-age_ms / GRANTED_DECAY_MS).exp() + 1.0;
        self.granted_at_ms = now_ms;
    }
}

impl QuotaClient {
    /// The client of a host that was granted nothing yet.
    pub fn new(host: HostId) -> QuotaClient {
        QuotaClient { host, silent_until_ms: FastMap::default(), known: FastMap::default() }
    }

    /// Decides about a request without asking, if a returned token or a recent refusal allows that.
    pub fn decide_alone(&mut self, now_ms: Millis, organisation: &Organisation) -> Option<Verdict> {
        let known = self.known.entry(organisation.name.clone()).or_default();
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
        let known = self.known.entry(organisation.clone()).or_default();
        // The first token is given once: hosts may find an owner and lose it in turn.
        if let Some(standing) = &mut known.standing {
            *standing = StandingBucket { tokens: 0.0, at_ms: now_ms };
        }
        match verdict {
            Verdict::Granted => known.record_granted(now_ms),
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
        let initial = self.initial_token(organisation, tolerance.allowance(quota) * share);
        let known = self.known.entry(organisation.clone()).or_default();
        let rate = (quota.rate.0 * share).max(STANDING_PART * known.granted_rate(now_ms));
        let bucket =
            known.standing.get_or_insert(StandingBucket { tokens: initial, at_ms: now_ms });
        let gained = now_ms.since(bucket.at_ms).as_f64() / 1_000.0 * rate;
        bucket.tokens = (bucket.tokens + gained).min(1.0);
        bucket.at_ms = bucket.at_ms.max(now_ms);
        let has_token = bucket.tokens >= 1.0;
        if has_token {
            bucket.tokens -= 1.0;
            known.record_granted(now_ms);
        }
        has_token
    }

    /// Drops organisations without requests.
    pub fn expire(&mut self, now_ms: Millis) {
        self.known.retain(|_, known| now_ms.since(known.used_ms) < UNUSED_MS);
        self.silent_until_ms.retain(|_, until_ms| now_ms < *until_ms);
    }

    /// One token on so many hosts that all start with a part of the allowance.
    fn initial_token(&self, organisation: &OrganisationName, allowance_share: f64) -> f64 {
        let drawn = Job { role: Role::QuotaOwner, name: organisation.as_str() }.weight(&self.host);
        let chance = allowance_share * ALLOWANCE_PART;
        if (drawn as f64 / u64::MAX as f64) < chance { 1.0 } else { 0.0 }
    }
}
