//! One service at this entry host: its upstreams, its queue and its budgets.

use crate::choice::{Usual, choose};
use crate::hedge::RecentLatency;
use crate::queue::WaitQueue;
use crate::retry::SendBudget;
use crate::upstream::UpstreamState;
use config::{Policy, Service};
use domain::{Millis, ServiceName, UpstreamId, ZoneName};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

/// Latency assumed before the first answer.
const UNKNOWN_LATENCY_MS: f64 = 50.0;

/// Most rounds of service that a hedge is expected to take.
const SPARE_ROUNDS: f64 = 3.0;

/// What this host holds of one service.
#[derive(Debug)]
pub struct ServiceState {
    /// Its name.
    pub name: ServiceName,
    /// What is published of it.
    pub published: Service,
    /// Its upstreams, by id; removed ones stay while attempts are out.
    pub upstreams: Vec<UpstreamState>,
    /// Calls that wait for a slot.
    pub queue: WaitQueue,
    /// Retries left.
    pub retries: SendBudget,
    /// Hedges left.
    pub hedges: SendBudget,
    /// Recent latency of good answers.
    pub latency: RecentLatency,
    /// Calls in progress, waiting ones included.
    pub calls: usize,
    turn: usize,
}

/// Where a call should not be sent again.
#[derive(Debug, Clone, Default)]
pub struct Avoid {
    /// Upstreams that it was sent to.
    pub upstreams: Vec<UpstreamId>,
    /// Availability zone in which it last failed.
    pub zone: Option<ZoneName>,
}

/// A slot taken for an attempt.
#[derive(Debug)]
pub struct TakenSlot {
    /// Whose.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Rounds of service that the attempt is expected to take.
    pub rounds: f64,
}

impl ServiceState {
    /// A service not used before.
    pub fn new(name: ServiceName, published: Service) -> ServiceState {
        let mut service = ServiceState {
            name,
            published: published.clone(),
            upstreams: Vec::new(),
            queue: WaitQueue::default(),
            retries: SendBudget::default(),
            hedges: SendBudget::default(),
            latency: RecentLatency::default(),
            calls: 0,
            turn: 0,
        };
        service.republish(published);
        service
    }

    /// Takes what the configuration in force says; attempts that are out stay counted.
    pub fn republish(&mut self, published: Service) {
        for state in &mut self.upstreams {
            state.removed = true;
        }
        for (id, upstream) in &published.upstreams {
            match self.upstreams.binary_search_by(|state| state.id.cmp(id)) {
                Ok(at) => self.upstreams[at].republish(upstream.clone()),
                Err(at) => {
                    self.upstreams.insert(at, UpstreamState::new(id.clone(), upstream.clone()));
                }
            }
        }
        self.upstreams.retain(|state| !state.removed || state.in_flight > 0);
        self.published = published;
    }

    /// The upstream of that id.
    pub fn upstream_mut(&mut self, id: &UpstreamId) -> Option<&mut UpstreamState> {
        let at = self.upstreams.binary_search_by(|state| state.id.cmp(id)).ok()?;
        Some(&mut self.upstreams[at])
    }

    /// Whether any upstream may receive work, busy or not.
    pub fn has_open_upstream(&self) -> bool {
        self.upstreams.iter().any(UpstreamState::is_open)
    }

    /// Takes a slot of the upstream that the policy prefers, if one is free.
    ///
    /// What the call should avoid is taken only where nothing else is open at all.
    pub fn take_slot(
        &mut self,
        now_ms: Millis,
        policy: Policy,
        avoid: &Avoid,
        rng: &mut Pcg64Mcg,
    ) -> Option<TakenSlot> {
        let open = self.eligible(avoid);
        self.take_one_of(now_ms, policy, &open, rng)
    }

    /// Takes a slot for a hedge: of another upstream, and only if one is probably free.
    pub fn take_spare_slot(
        &mut self,
        now_ms: Millis,
        policy: Policy,
        avoid: &Avoid,
        rng: &mut Pcg64Mcg,
    ) -> Option<TakenSlot> {
        let usual = Usual::of(&self.upstreams);
        let mut open = self.eligible(avoid);
        open.retain(|&index| {
            let upstream = &self.upstreams[index];
            !avoid.upstreams.contains(&upstream.id)
                && usual.rounds(now_ms, upstream) <= SPARE_ROUNDS
        });
        self.take_one_of(now_ms, policy, &open, rng)
    }

    fn take_one_of(
        &mut self,
        now_ms: Millis,
        policy: Policy,
        open: &[usize],
        rng: &mut Pcg64Mcg,
    ) -> Option<TakenSlot> {
        let index = choose(now_ms, policy, &self.upstreams, open, &mut self.turn, rng)?;
        let rounds = Usual::of(&self.upstreams).rounds(now_ms, &self.upstreams[index]);
        let upstream = &mut self.upstreams[index];
        upstream.in_flight += 1;
        upstream.estimate.note_sent();
        let (id, address) = (upstream.id.clone(), upstream.published.address);
        Some(TakenSlot { upstream: id, address, rounds })
    }

    /// Service time of the fastest open upstream, zero if none is known.
    pub fn shortest_service_ms(&self) -> Millis {
        let open = self.upstreams.iter().filter(|upstream| upstream.is_open());
        let shortest = open.filter_map(|u| u.estimate.service_ms()).min_by(f64::total_cmp);
        Millis(shortest.unwrap_or(0.0) as u64)
    }

    /// Time that `waiting` calls take to get a slot, from recent latency.
    pub fn expected_wait_ms(&self, waiting: usize) -> Millis {
        let open = self.upstreams.iter().filter(|upstream| upstream.is_open());
        let slots: u32 = open.clone().map(|upstream| upstream.published.slots.0).sum();
        let count = open.clone().count().max(1) as f64;
        let total: f64 = open.map(|u| u.latency_ms.unwrap_or(UNKNOWN_LATENCY_MS)).sum();
        let latency_ms = total / count;
        let rounds = waiting as f64 / f64::from(slots.max(1));
        Millis((latency_ms * rounds).ceil() as u64)
    }

    /// Upstreams with a slot free here: outside what is to be avoided, or else outside
    /// the upstreams that were tried, or else, if no other is open, any.
    fn eligible(&self, avoid: &Avoid) -> Vec<usize> {
        let with_slot = |fits: &dyn Fn(&UpstreamState) -> bool| {
            let all = self.upstreams.iter().enumerate();
            let fitting =
                all.filter(|(_, state)| state.is_open() && state.has_local_slot() && fits(state));
            fitting.map(|(index, _)| index).collect::<Vec<usize>>()
        };
        let untried = |state: &UpstreamState| !avoid.upstreams.contains(&state.id);
        let elsewhere = |state: &UpstreamState| {
            untried(state) && avoid.zone.as_ref() != Some(&state.published.availability_zone)
        };
        let best = with_slot(&elsewhere);
        if !best.is_empty() || (avoid.zone.is_none() && avoid.upstreams.is_empty()) {
            return best;
        }
        let others = with_slot(&untried);
        match others.is_empty() && self.only_tried_open(avoid) {
            true => with_slot(&|_| true),
            false => others,
        }
    }

    fn only_tried_open(&self, avoid: &Avoid) -> bool {
        let mut open = self.upstreams.iter().filter(|state| state.is_open());
        open.all(|state| avoid.upstreams.contains(&state.id))
    }
}
