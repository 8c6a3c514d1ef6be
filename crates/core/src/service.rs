//! One service at this entry host: its upstreams, its queue and its budgets.

use crate::choice::{Usual, choose};
use crate::health::Health;
use crate::queue::WaitQueue;
use crate::retry::RetryBudget;
use crate::upstream::UpstreamState;
use config::{Policy, Service};
use domain::{Millis, ServiceName, UpstreamId};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

/// Latency assumed before the first answer.
const UNKNOWN_LATENCY_MS: f64 = 50.0;

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
    pub retries: RetryBudget,
    /// Calls in progress, waiting ones included.
    pub calls: usize,
    turn: usize,
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
    /// A service not used before; its upstreams are taken for warm.
    pub fn new(name: ServiceName, published: Service, now_ms: Millis) -> ServiceState {
        let mut service = ServiceState {
            name,
            published: published.clone(),
            upstreams: Vec::new(),
            queue: WaitQueue::default(),
            retries: RetryBudget::default(),
            calls: 0,
            turn: 0,
        };
        service.republish(published, now_ms);
        for upstream in &mut service.upstreams {
            upstream.health = Health::steady();
        }
        service
    }

    /// Takes what the configuration in force says; attempts that are out stay counted.
    ///
    /// Upstreams that it names anew start cold.
    pub fn republish(&mut self, published: Service, now_ms: Millis) {
        for state in &mut self.upstreams {
            state.removed |= !published.upstreams.contains_key(&state.id);
        }
        for (id, upstream) in &published.upstreams {
            let cold = Health::cold(now_ms, published.slow_start_ms);
            match self.upstreams.binary_search_by(|state| state.id.cmp(id)) {
                Ok(at) => self.upstreams[at].republish(upstream.clone(), cold),
                Err(at) => {
                    let state = UpstreamState::new(id.clone(), upstream.clone(), cold);
                    self.upstreams.insert(at, state);
                }
            }
        }
        self.upstreams.retain(|state| !state.removed || state.in_flight > 0);
        self.published = published;
        self.settle_health(now_ms);
    }

    /// The upstream of that id.
    pub fn upstream(&self, id: &UpstreamId) -> Option<&UpstreamState> {
        let at = self.upstreams.binary_search_by(|state| state.id.cmp(id)).ok()?;
        Some(&self.upstreams[at])
    }

    /// The upstream of that id, to be changed.
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
    /// Upstreams in `avoid` are taken only where no other is open at all.
    pub fn take_slot(
        &mut self,
        now_ms: Millis,
        policy: Policy,
        avoid: &[UpstreamId],
        rng: &mut Pcg64Mcg,
    ) -> Option<TakenSlot> {
        let open = self.eligible(avoid, now_ms);
        let index = choose(now_ms, policy, &self.upstreams, &open, &mut self.turn, rng)?;
        let rounds = Usual::of(&self.upstreams).rounds(now_ms, &self.upstreams[index]);
        let upstream = &mut self.upstreams[index];
        upstream.in_flight += 1;
        upstream.estimate.note_sent();
        let (id, address) = (upstream.id.clone(), upstream.published.address);
        Some(TakenSlot { upstream: id, address, rounds })
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

    fn eligible(&self, avoid: &[UpstreamId], now_ms: Millis) -> Vec<usize> {
        let strictness = self.strictness(now_ms);
        let takes_work = |state: &UpstreamState| state.open_slots(now_ms, strictness) > 0;
        let has_room =
            |state: &UpstreamState| state.in_flight < state.open_slots(now_ms, strictness);
        let with_room = |with_avoided: bool| {
            let fits = |state: &UpstreamState| with_avoided || !avoid.contains(&state.id);
            let states = self.upstreams.iter().enumerate();
            let open = states.filter(|(_, state)| has_room(state) && fits(state));
            open.map(|(index, _)| index).collect::<Vec<_>>()
        };
        let preferred = with_room(false);
        let mut working = self.upstreams.iter().filter(|state| takes_work(state));
        match preferred.is_empty() && working.all(|state| avoid.contains(&state.id)) {
            true => with_room(true),
            false => preferred,
        }
    }
}
