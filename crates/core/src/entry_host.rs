//! The aggregate: one entry host.
//!
//! It owns every part and routes events to them. The parts' rules stand in their own
//! modules; what happens to calls stands in [`crate::calls`], what happens to
//! configuration and fleet in [`crate::control`].

use crate::action::Action;
use crate::adoption::Adoption;
use crate::call::{Call, LiveAttempt};
use crate::claims::Claims;
use crate::confirmation::StartLimits;
use crate::control::ControlState;
use crate::event::Event;
use crate::explain::Trace;
use crate::lifecycle::Lifecycle;
use crate::membership::Membership;
use crate::news::{News, ROUND_MS};
use crate::pause::PauseWatch;
use crate::probes::Probes;
use crate::service::ServiceState;
use crate::traffic::ControlTraffic;
use config::{RouteTable, SiteConfig};
use domain::{
    AttemptId, CallId, FastMap, HostId, Incarnation, Millis, ServiceName, SiteName, ZoneName,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What an entry host knows of itself from the start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSettings {
    /// Its id.
    pub host: HostId,
    /// This run. [`crate::FIRST_RUN`] says that there was none before under this host id,
    /// ever: such a host votes on idempotency keys at once, any other only when its former run's votes are
    /// known again.
    pub incarnation: Incarnation,
    /// Its site.
    pub site: SiteName,
    /// Where it stands.
    pub availability_zone: ZoneName,
    /// Time between failing readiness and the earliest end.
    pub drain_notice_ms: Millis,
}

/// One entry host: events in, actions out.
#[derive(Debug)]
pub struct EntryHost {
    pub(crate) settings: HostSettings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) adoption: Adoption,
    pub(crate) membership: Membership,
    pub(crate) pauses: PauseWatch,
    pub(crate) control: ControlState,
    pub(crate) traffic: ControlTraffic,
    pub(crate) in_force: Option<InForce>,
    pub(crate) services: BTreeMap<ServiceName, ServiceState>,
    pub(crate) calls: FastMap<CallId, Call>,
    pub(crate) deadlines: BTreeSet<(Millis, CallId)>,
    pub(crate) hedge_times: BTreeSet<(Millis, CallId)>,
    pub(crate) attempts: FastMap<AttemptId, LiveAttempt>,
    pub(crate) last_attempt: AttemptId,
    pub(crate) timers: Timers,
    pub(crate) probes: Probes,
    pub(crate) news: News,
    pub(crate) trace: Trace,
    /// Time of the last event.
    pub(crate) now_ms: Millis,
    pub(crate) claims: Claims,
}

/// The configuration in force, prepared for use.
#[derive(Debug)]
pub(crate) struct InForce {
    pub(crate) config: SiteConfig,
    pub(crate) routes: RouteTable,
}

/// When the periodic work is due.
#[derive(Debug)]
pub(crate) struct Timers {
    pub(crate) heartbeat_ms: Millis,
    pub(crate) host_list_ms: Millis,
}

impl EntryHost {
    /// A host that has just started and knows only its settings.
    ///
    /// It asks for everything else on its first [`Event::Tick`].
    pub fn new(settings: HostSettings, seed: u64, now_ms: Millis) -> EntryHost {
        let claims = Claims::new(settings.host.clone(), settings.incarnation, now_ms);
        EntryHost {
            claims,
            rng: Pcg64Mcg::seed_from_u64(seed),
            lifecycle: Lifecycle::Running,
            adoption: Adoption::default(),
            membership: Membership::new(settings.host.clone()),
            pauses: PauseWatch::new(now_ms),
            control: ControlState::new(now_ms, settings.incarnation),
            traffic: ControlTraffic::default(),
            in_force: None,
            services: BTreeMap::new(),
            calls: FastMap::default(),
            deadlines: BTreeSet::new(),
            hedge_times: BTreeSet::new(),
            attempts: FastMap::default(),
            last_attempt: AttemptId(0),
            settings,
            timers: Timers { heartbeat_ms: now_ms, host_list_ms: now_ms },
            probes: Probes::default(),
            news: News::default(),
            trace: Trace::default(),
            now_ms,
        }
    }

    /// The same host with other limits for its start.
    pub fn with_start_limits(mut self, limits: StartLimits) -> EntryHost {
        self.control.limits = limits;
        self
    }

    /// Takes one event at a point in time and appends what is to be done.
    pub fn handle(&mut self, now_ms: Millis, event: Event, actions: &mut Vec<Action>) {
        let before = actions.len();
        if self.pauses.note_event(now_ms).is_some() {
            self.after_pause(now_ms);
            self.claims.wake(now_ms);
        }
        self.claims.note_event(now_ms);
        self.now_ms = now_ms;
        let arrived = EntryHost::arriving_call(&event);
        self.route(now_ms, event, actions);
        self.trace_actions(now_ms, arrived, &actions[before..]);
        self.traffic.note_sent(&actions[before..]);
    }

    fn route(&mut self, now_ms: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::CallArrived { call, head } => self.call_arrived(now_ms, call, head, actions),
            Event::CallerGone { call } => self.caller_gone(now_ms, call, actions),
            Event::AnswerReady { attempt, answer } => {
                self.answer_ready(now_ms, attempt, answer, actions);
            }
            Event::AttemptEnded { attempt, end } => {
                self.attempt_ended(now_ms, attempt, end, actions);
            }
            Event::ProbeEnded { probe, result } => {
                self.probe_ended(now_ms, probe, result, actions);
            }
            Event::PeerReceived { from, incarnation, message } => {
                self.note_peer(now_ms, &from, incarnation);
                self.peer_received(now_ms, from, incarnation, message, actions);
            }
            Event::ConfigRead(reading) => self.config_read(now_ms, reading, actions),
            Event::HostListRead(list) => {
                self.probes.view.note_read(now_ms, &self.settings.host, list.as_ref());
                self.host_list_read(now_ms, list, actions);
            }
            Event::StopRequested => self.stop_requested(now_ms, actions),
            Event::Tick => self.tick(now_ms, actions),
        }
        self.run_claims(now_ms, actions);
    }

    /// When the next [`Event::Tick`] is due at the latest.
    pub fn next_tick_ms(&self) -> Millis {
        let first = |times: &BTreeSet<(Millis, CallId)>| times.first().map(|&(at_ms, _)| at_ms);
        let expiry_ms = first(&self.deadlines);
        let hedge_ms = first(&self.hedge_times);
        let wake_ms = self.services.values().filter_map(|state| state.wake_ms).min();
        let slots_ms = self.services.values().filter_map(|state| state.borrower.due_ms()).min();
        let timers = &self.timers;
        timers
            .heartbeat_ms
            .min(timers.host_list_ms)
            .min(self.control.due_ms())
            .min(self.probes.due_ms)
            .min(self.news.due_ms)
            .min(expiry_ms.unwrap_or(Millis::MAX))
            .min(hedge_ms.unwrap_or(Millis::MAX))
            .min(wake_ms.unwrap_or(Millis::MAX))
            .min(slots_ms.unwrap_or(Millis::MAX))
            .min(self.claims.next_due_ms().unwrap_or(Millis::MAX))
    }

    fn stop_requested(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        if self.lifecycle.request_stop(now_ms) {
            self.membership.leave();
            actions.push(Action::SetReady(false));
            self.tell_all(now_ms, actions);
        }
    }

    fn tick(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        self.note_listed_voters();
        self.expire_calls(now_ms, actions);
        self.hedge_calls(now_ms, actions);
        self.dispatch_woken(now_ms, actions);
        self.run_slots(now_ms, actions);
        self.run_control_timers(now_ms, actions);
        self.run_probes(now_ms, actions);
        self.run_health(now_ms, actions);
        let notice_ms = self.settings.drain_notice_ms;
        if self.lifecycle.end_if_done(now_ms, notice_ms, self.calls.len()) {
            actions.push(Action::Exit);
        }
    }

    /// Counts a peer among the fleet; one that was silent or restarted is told who is leaving.
    fn note_peer(&mut self, now_ms: Millis, peer: &HostId, incarnation: Incarnation) {
        self.probes.view.note_peer(now_ms, peer);
        let is_taken = self.membership.check_sender(now_ms, peer, incarnation).is_ok();
        let is_known_run =
            self.membership.peer(peer).is_some_and(|known| known.incarnation == incarnation);
        if is_taken && (!is_known_run || !self.membership.is_live(now_ms, peer)) {
            self.repeat_leaving(now_ms);
        }
    }

    /// Weighs upstreams anew, tells peers, and sends what waited for an upstream's return.
    fn run_health(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        if self.news.due_ms > now_ms {
            return;
        }
        self.news.due_ms = now_ms + ROUND_MS;
        self.send_news(now_ms, actions);
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            if let Some(state) = self.services.get_mut(&name) {
                state.settle_health(now_ms);
            }
            self.dispatch(now_ms, &name, actions);
        }
    }
}
