//! One service at this entry host: its upstreams, its queue and its budgets.

use crate::choice::{Usual, choose};
use crate::health::Health;
use crate::hedge::RecentLatency;
use crate::queue::WaitQueue;
use crate::refusal::RefusalCause;
use crate::retry::SendBudget;
use crate::slots::{Borrower, HeldLease, Lender};
use crate::upstream::UpstreamState;
use config::{Policy, Service};
use domain::{Millis, ServiceName, UpstreamId, ZoneName};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

/// Latency assumed before the first answer.
const UNKNOWN_LATENCY_MS: f64 = 50.0;

/// Time after which a queue that never emptied counts as standing.
const STANDING_AFTER_MS: Millis = Millis(200);
/// Service times that a call may wait in a standing queue.
const STANDING_ROUNDS: u64 = 2;
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
    /// What it borrows of the service.
    pub borrower: Borrower,
    /// What it lends of the service.
    pub lender: Lender,
    /// Recent latency of good answers.
    pub latency: RecentLatency,
    /// Calls in progress, waiting ones included.
    pub calls: usize,
    /// Since when calls have been waiting without a break.
    pub waiting_since_ms: Option<Millis>,
    /// How long the call that last left the queue had been here.
    pub last_wait_ms: Millis,
    /// When to look again for a slot for those that wait.
    pub wake_ms: Option<Millis>,
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
    /// Its lease, if it was lent.
    pub lease: Option<HeldLease>,
}

impl ServiceState {
    /// A service not used before; its upstreams are taken for warm.
    pub fn new(name: ServiceName, published: Service, now_ms: Millis) -> ServiceState {
        let mut service = ServiceState {
            name,
            published: published.clone(),
            upstreams: Vec::new(),
            queue: WaitQueue::default(),
            retries: SendBudget::default(),
            hedges: SendBudget::default(),
            borrower: Borrower::default(),
            lender: Lender::default(),
            latency: RecentLatency::default(),
            calls: 0,
            waiting_since_ms: None,
            last_wait_ms: Millis::ZERO,
            wake_ms: None,
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

    /// Whether republishing would change nothing: the same is published, and no upstream of
    /// an earlier configuration is left.
    pub fn holds(&self, published: &Service) -> bool {
        self.published == *published && self.upstreams.len() == published.upstreams.len()
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
    /// What the call should avoid is taken only where nothing else is open at all.
    pub fn take_slot(
        &mut self,
        now_ms: Millis,
        policy: Policy,
        avoid: &Avoid,
        rng: &mut Pcg64Mcg,
    ) -> Option<TakenSlot> {
        let open = self.eligible(now_ms, avoid);
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
        let mut open = self.eligible(now_ms, avoid);
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
        Some(self.take(now_ms, index))
    }

    /// Takes a slot of an upstream that was lent, if it may receive work.
    pub fn take_slot_of(&mut self, now_ms: Millis, id: &UpstreamId) -> Option<TakenSlot> {
        let index = self.upstreams.binary_search_by(|state| state.id.cmp(id)).ok()?;
        self.upstreams[index].is_open().then(|| self.take(now_ms, index))
    }

    fn take(&mut self, now_ms: Millis, index: usize) -> TakenSlot {
        let rounds = Usual::of(&self.upstreams).rounds(now_ms, &self.upstreams[index]);
        let upstream = &mut self.upstreams[index];
        upstream.in_flight += 1;
        upstream.estimate.note_sent();
        let (id, address) = (upstream.id.clone(), upstream.published.address);
        TakenSlot { upstream: id, address, rounds, lease: None }
    }

    /// Service time of the fastest open upstream, zero if none is known.
    pub fn shortest_service_ms(&self) -> Millis {
        let open = self.upstreams.iter().filter(|upstream| upstream.is_open());
        let shortest = open.filter_map(|u| u.estimate.service_ms()).min_by(f64::total_cmp);
        Millis(shortest.unwrap_or(0.0) as u64)
    }

    /// Time that `waiting` calls take to get a slot: at the rate at which what is in
    /// flight now gets done.
    pub fn expected_wait_ms(&self, waiting: usize) -> Millis {
        let per_ms: f64 = self.upstreams.iter().map(UpstreamState::completions_per_ms).sum();
        let usual_per_ms = 1.0 / UNKNOWN_LATENCY_MS;
        let rate = if per_ms > 0.0 { per_ms } else { usual_per_ms };
        Millis((waiting as f64 / rate).ceil() as u64)
    }

    /// Whether a call that has so much time may wait behind `ahead` others.
    ///
    /// A queue absorbs bursts. One that stands for long absorbs nothing and only adds
    /// its length to every answer, so it is kept short.
    pub fn may_wait(
        &self,
        now_ms: Millis,
        ahead: usize,
        timeout_ms: Millis,
    ) -> Result<(), RefusalCause> {
        if self.waiting_since_ms.is_none() {
            return Ok(());
        }
        let wait_ms = self.expected_wait_ms(ahead + 1);
        let service_ms = self.shortest_service_ms();
        let longest_standing_ms = Millis(service_ms.0 * STANDING_ROUNDS);
        let stands = self.has_standing_queue(now_ms);
        let standing_wait_ms = wait_ms.max(self.last_wait_ms);
        match wait_ms {
            _ if wait_ms + service_ms > timeout_ms => Err(RefusalCause::WouldExpire),
            _ if stands && standing_wait_ms > longest_standing_ms => Err(RefusalCause::QueueFull),
            _ => Ok(()),
        }
    }

    /// Whether calls have been waiting for long without a break, or wait while half of
    /// the upstreams shed: then a queue only adds its length to every answer.
    pub fn has_standing_queue(&self, now_ms: Millis) -> bool {
        let Some(since_ms) = self.waiting_since_ms else { return false };
        let open = || self.upstreams.iter().filter(|upstream| upstream.is_open());
        let shedding = open().filter(|upstream| upstream.health.backs_off(now_ms)).count();
        now_ms.since(since_ms) >= STANDING_AFTER_MS || shedding * 2 >= open().count()
    }

    /// Notes whether calls wait now, and when the next upstream may be free for them.
    pub fn note_queue(&mut self, now_ms: Millis) {
        if self.queue.len() == 0 {
            (self.waiting_since_ms, self.wake_ms) = (None, None);
            self.last_wait_ms = Millis::ZERO;
            return;
        }
        self.waiting_since_ms.get_or_insert(now_ms);
        let backing_off =
            self.upstreams.iter().filter(|u| u.is_open() && u.health.backs_off(now_ms));
        self.wake_ms = backing_off.map(|u| u.health.backoff_until_ms()).min();
    }

    /// Upstreams with a slot free here: outside what is to be avoided, or else outside
    /// the upstreams that were tried, or else, if no other takes work, any.
    fn eligible(&self, now_ms: Millis, avoid: &Avoid) -> Vec<usize> {
        let strictness = self.strictness(now_ms);
        let takes_work = |state: &UpstreamState| state.open_slots(now_ms, strictness) > 0;
        let with_room = |fits: &dyn Fn(&UpstreamState) -> bool| {
            let all = self.upstreams.iter().enumerate();
            let open = all.filter(|(_, state)| {
                state.in_flight < state.open_slots(now_ms, strictness) && fits(state)
            });
            open.map(|(index, _)| index).collect::<Vec<usize>>()
        };
        let untried = |state: &UpstreamState| !avoid.upstreams.contains(&state.id);
        let elsewhere = |state: &UpstreamState| {
            untried(state) && avoid.zone.as_ref() != Some(&state.published.availability_zone)
        };
        let best = with_room(&elsewhere);
        if !best.is_empty() || (avoid.zone.is_none() && avoid.upstreams.is_empty()) {
            return best;
        }
        let others = with_room(&untried);
        let mut working = self.upstreams.iter().filter(|state| takes_work(state));
        match others.is_empty() && !working.any(untried) {
            true => with_room(&|_| true),
            false => others,
        }
    }
}
