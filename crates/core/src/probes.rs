//! Probes: whom this host asks, and what it makes of the answers.
//!
//! Each upstream has one prober, chosen by rendezvous hashing over the hosts that are
//! listed and live, which tells the others what it found. Who is live decides only who
//! probes; how much may be probed rests on the listed hosts alone
//! ([`crate::fleet_view`], [`crate::probe_budget`]). Only upstreams that neither this
//! host nor a peer has heard of lately are probed, those on trial before all others.

use crate::action::Action;
use crate::entry_host::EntryHost;
use crate::event::ProbeResult;
use crate::fleet_view::FleetView;
use crate::health::Health;
use crate::leaving::LeavingSource;
use crate::message::{PeerMessage, UpstreamFact, UpstreamRef};
use crate::probe_budget::ProbeBudget;
use crate::rendezvous::{Job, Role};
use crate::upstream::UpstreamState;
use domain::{HostId, Millis, ProbeId, ServiceName, UpstreamId};
use rand::RngExt;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time between two looks at what is to be probed.
const LOOK_EVERY_MS: Millis = Millis(250);
/// Time for an answer.
const TIMEOUT_MS: Millis = Millis(1_000);
/// A probe that has not come back by then is forgotten.
const LOST_AFTER_MS: Millis = Millis(10_000);
/// Time between probes of an upstream on trial.
const TRIAL_EVERY_MS: Millis = Millis(1_000);
/// Time between probes of an upstream that may serve again.
const LEAVING_EVERY_MS: Millis = Millis(3_000);

/// Probes of this host.
#[derive(Debug, Default)]
pub struct Probes {
    pub(crate) view: FleetView,
    pub(crate) due_ms: Millis,
    budget: ProbeBudget,
    out: BTreeMap<ProbeId, OutProbe>,
    last: ProbeId,
    sent: BTreeMap<ServiceName, u64>,
}

/// A probe that is out.
#[derive(Debug, Clone)]
struct OutProbe {
    service: ServiceName,
    upstream: UpstreamId,
    address: SocketAddr,
    sent_ms: Millis,
}

/// Why an upstream is probed, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// It was ejected and may come back.
    Trial,
    /// Nobody has heard of it yet.
    New,
    /// Nobody has heard of it lately.
    Silent,
    /// It said that it is leaving: does its endpoint say so too, or serve again by now?
    Returning,
}

/// Probes of this host, as operators see them.
#[derive(Debug, Serialize)]
pub struct ProbesDump<'a> {
    /// Number that budgets are divided by, none while this host may not probe.
    pub divisor: Option<usize>,
    /// The hosts that are counted.
    pub view: &'a FleetView,
    /// Probes that are out.
    pub out: usize,
    /// Probes sent since the start, all services.
    pub sent: u64,
    /// Probes sent since the start, by service.
    pub sent_by_service: &'a BTreeMap<ServiceName, u64>,
}

impl Probes {
    pub(crate) fn dump(&self, now_ms: Millis) -> ProbesDump<'_> {
        ProbesDump {
            divisor: self.view.divisor(now_ms),
            view: &self.view,
            out: self.out.len(),
            sent: self.sent.values().sum(),
            sent_by_service: &self.sent,
        }
    }
}

impl EntryHost {
    /// Sends the probes that are due and allowed.
    pub(crate) fn run_probes(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        if self.probes.due_ms > now_ms {
            return;
        }
        self.probes.due_ms = now_ms + LOOK_EVERY_MS;
        self.probes.view.advance(now_ms);
        if let Some(list) = self.membership.list() {
            self.probes.view.note_held(now_ms, &self.settings.host, list);
        }
        self.probes.out.retain(|_, probe| now_ms.since(probe.sent_ms) < LOST_AFTER_MS);
        let Some(in_force) = &self.in_force else { return };
        let divisor = self.probes.view.divisor(now_ms).filter(|_| !self.lifecycle.is_leaving());
        self.probes.budget.fill(now_ms, divisor, &in_force.config);
        while let Some((service, id)) = self.next_target(now_ms) {
            self.probe(now_ms, service, id, actions);
        }
        self.ask_probers(now_ms, actions);
    }

    pub(crate) fn probe_ended(
        &mut self,
        now_ms: Millis,
        id: ProbeId,
        result: ProbeResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(probe) = self.probes.out.remove(&id) else { return };
        let Some(state) = self.services.get_mut(&probe.service) else { return };
        let slow_start_ms = state.published.slow_start_ms;
        let Some(upstream) = state.upstream_mut(&probe.upstream) else { return };
        if upstream.published.address != probe.address {
            return;
        }
        let paused = self.pauses.resumed_ms() > Some(probe.sent_ms);
        match result {
            ProbeResult::Alive { load, leaving: true, .. } => {
                let source = Some(LeavingSource::Probe);
                if upstream.note_report(now_ms, load, source) {
                    self.tell_leaving(now_ms, &probe.service, &probe.upstream, actions);
                }
            }
            ProbeResult::Alive { load, leaving: false, .. } => {
                upstream.note_report(now_ms, load, None);
                upstream.health.note_probe_success(now_ms, probe.sent_ms, slow_start_ms);
                note_serving(now_ms, probe.sent_ms, upstream, slow_start_ms);
                let fact = UpstreamFact::Alive { load };
                self.note_news(now_ms, &probe.service, &probe.upstream, fact);
            }
            ProbeResult::Failed if paused => {}
            ProbeResult::Failed => {
                if let Some(mark) = &mut upstream.leaving {
                    mark.note_failed_probe();
                }
                self.note_failure(now_ms, &probe.service, &probe.upstream, probe.sent_ms);
                let fact = UpstreamFact::ProbeFailed;
                self.note_news(now_ms, &probe.service, &probe.upstream, fact);
            }
        }
    }

    /// Answers a peer that asks whether an upstream serves again.
    pub(crate) fn serving_wanted(
        &self,
        now_ms: Millis,
        from: &HostId,
        upstream: UpstreamRef,
        nonce: u64,
        actions: &mut Vec<Action>,
    ) {
        let state = self.services.get(&upstream.service);
        let found = state
            .and_then(|state| state.upstream(&upstream.id))
            .filter(|found| found.published.address == upstream.address && found.leaving.is_none());
        let Some(serving_ms) = found.and_then(|found| found.serving_ms) else { return };
        let ago_ms = now_ms.since(serving_ms);
        self.send_peer(from, PeerMessage::ServingSeen { upstream, nonce, ago_ms }, actions);
    }

    /// Takes the answer of a peer that heard an upstream serving.
    pub(crate) fn serving_seen(
        &mut self,
        now_ms: Millis,
        seen: &UpstreamRef,
        nonce: u64,
        ago_ms: Millis,
    ) {
        let Some(state) = self.services.get_mut(&seen.service) else { return };
        let slow_start_ms = state.published.slow_start_ms;
        let Some(upstream) = state.upstream_mut(&seen.id) else { return };
        if upstream.published.address != seen.address {
            return;
        }
        let mark = upstream.leaving.as_ref();
        if let Some(serving_ms) = mark.and_then(|mark| mark.answered(nonce, ago_ms)) {
            upstream.revive(serving_ms, Health::cold(now_ms, slow_start_ms));
        }
    }

    /// The host that probes an upstream, as far as this one knows.
    pub(crate) fn prober(
        &self,
        now_ms: Millis,
        service: &ServiceName,
        id: &UpstreamId,
    ) -> Option<&HostId> {
        let name = format!("{service}/{id}");
        Job { role: Role::Prober, name: &name }.first(self.membership.candidates(now_ms))
    }

    fn next_target(&self, now_ms: Millis) -> Option<(ServiceName, UpstreamId)> {
        let silence_ms = self.in_force.as_ref()?.config.measurement.probe_after_silence_ms;
        let allowed = self.services.iter().filter(|(name, _)| self.probes.budget.allows(name));
        let wanted = allowed.flat_map(|(name, state)| {
            let needs = move |upstream: &UpstreamState| need(now_ms, upstream, silence_ms);
            state.upstreams.iter().filter_map(move |upstream| {
                Some((needs(upstream)?, last_touched_ms(upstream), name, &upstream.id))
            })
        });
        let own = &self.settings.host;
        let mine = wanted.filter(|(_, _, name, id)| self.prober(now_ms, name, id) == Some(own));
        let (_, _, name, id) = mine.min()?;
        Some((name.clone(), id.clone()))
    }

    fn probe(
        &mut self,
        now_ms: Millis,
        service: ServiceName,
        id: UpstreamId,
        actions: &mut Vec<Action>,
    ) {
        self.probes.budget.spend(&service);
        let Some(state) = self.services.get_mut(&service) else { return };
        let Some(upstream) = state.upstream_mut(&id) else { return };
        upstream.probed_ms = Some(now_ms);
        let address = upstream.published.address;
        self.probes.last.0 += 1;
        let probe = self.probes.last;
        *self.probes.sent.entry(service.clone()).or_default() += 1;
        actions.push(Action::Probe {
            probe,
            upstream: id.clone(),
            address,
            timeout_ms: TIMEOUT_MS,
        });
        let out = OutProbe { service, upstream: id, address, sent_ms: now_ms };
        self.probes.out.insert(probe, out);
    }

    /// Asks the probers of upstreams marked as leaving whether they serve again.
    fn ask_probers(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let marked = self.services.iter().flat_map(|(name, state)| {
            let marked = state.upstreams.iter().filter(|upstream| upstream.leaving.is_some());
            marked.map(|upstream| (name.clone(), upstream.id.clone()))
        });
        for (service, id) in marked.collect::<Vec<_>>() {
            let Some(prober) = self.prober(now_ms, &service, &id).cloned() else { continue };
            let Some(upstream_ref) = self.upstream_ref(&service, &id) else { continue };
            let nonce = self.rng.random();
            let state = self.services.get_mut(&service);
            let upstream = state.and_then(|state| state.upstream_mut(&id));
            let mark = upstream.and_then(|upstream| upstream.leaving.as_mut());
            let asks =
                prober != self.settings.host && mark.is_some_and(|mark| mark.ask(now_ms, nonce));
            if asks && self.pay_question(&upstream_ref) {
                let message = PeerMessage::ServingWanted { upstream: upstream_ref, nonce };
                self.send_peer(&prober, message, actions);
            }
        }
    }
}

/// Why an upstream is to be probed now, if it is.
fn need(now_ms: Millis, upstream: &UpstreamState, silence_ms: Millis) -> Option<Need> {
    let probed_within = |span_ms: Millis| {
        upstream.probed_ms.is_some_and(|probed_ms| now_ms.since(probed_ms) < span_ms)
    };
    match &upstream.leaving {
        _ if upstream.removed || upstream.published.leaving => None,
        Some(_) if probed_within(LEAVING_EVERY_MS) => None,
        Some(mark) if mark.seen_down && mark.is_held(now_ms) => None,
        Some(_) => Some(Need::Returning),
        None if upstream.health.is_on_trial(now_ms) => {
            (!probed_within(TRIAL_EVERY_MS)).then_some(Need::Trial)
        }
        None if upstream.is_ejected(now_ms) => None,
        None => match last_touched_ms(upstream) {
            None => Some(Need::New),
            Some(touched_ms) if now_ms.since(touched_ms) >= silence_ms => Some(Need::Silent),
            Some(_) => None,
        },
    }
}

fn last_touched_ms(upstream: &UpstreamState) -> Option<Millis> {
    upstream.heard_ms.max(upstream.probed_ms)
}

/// Takes a probe that found an upstream serving towards the end of its leaving mark.
fn note_serving(
    now_ms: Millis,
    sent_ms: Millis,
    upstream: &mut UpstreamState,
    slow_start_ms: Millis,
) {
    if upstream.leaving.as_mut().is_some_and(|mark| mark.note_serving_probe(sent_ms)) {
        upstream.revive(sent_ms, Health::cold(now_ms, slow_start_ms));
    }
}
