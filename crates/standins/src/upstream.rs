//! An upstream: slots, a short queue, service times, and faults on request.
//!
//! Service times are kept by the runtime's timer, which rounds up to whole
//! milliseconds, so an upstream's real capacity lies somewhat below slots divided by
//! service time: measure it rather than compute it.

mod answer;
mod faults;
mod record;
mod service;
mod slots;

pub use answer::{Answer, body_hash};
pub use faults::{Health, Noise, UpstreamFaults};
pub use record::{RunLedger, Totals};

use crate::history::History;
use crate::server::{Running, StartError, lock};
use clap::{Args, ValueEnum};
use domain::{Millis, Share, Slots as SlotCount, UpstreamId, ZoneName};
use error_stack::Report;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use service::UpstreamService;
use slots::Slots;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How much longer work takes right after a cold start; falls to 1 until it ends.
const COLD_FACTOR: f64 = 4.0;

const DEFAULT_SLOTS: SlotCount = SlotCount(6);
const DEFAULT_QUEUE: u32 = 12;
const DEFAULT_SERVICE_MS: Millis = Millis(5);
const DEFAULT_DRAIN_NOTICE_MS: Millis = Millis(1000);
const DEFAULT_SEED: u64 = 1;

/// What an upstream is told at its start.
#[derive(Debug, Clone, Args)]
pub struct UpstreamSettings {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Its id.
    #[arg(long)]
    pub id: UpstreamId,
    /// Its availability zone.
    #[arg(long)]
    pub zone: ZoneName,
    /// Requests worked on at once.
    #[arg(long, default_value_t = DEFAULT_SLOTS)]
    pub slots: SlotCount,
    /// Requests that may wait for a slot.
    #[arg(long, default_value_t = DEFAULT_QUEUE)]
    pub queue: u32,
    /// Mean service time.
    #[arg(long, default_value_t = DEFAULT_SERVICE_MS)]
    pub service_ms: Millis,
    /// Distribution of service times.
    #[arg(long, value_enum, default_value_t = ServiceDistribution::Fixed)]
    pub service_dist: ServiceDistribution,
    /// Time after the start in which work takes longer.
    #[arg(long, default_value_t = Millis::ZERO)]
    pub cold_start_ms: Millis,
    /// One-way delay between it and an entry host of another availability zone.
    #[arg(long, default_value_t = Millis::ZERO)]
    pub zone_delay_ms: Millis,
    /// Time from the notice that it is leaving until it stops listening.
    #[arg(long, default_value_t = DEFAULT_DRAIN_NOTICE_MS)]
    pub drain_notice_ms: Millis,
    /// Seed of its randomness.
    #[arg(long, default_value_t = DEFAULT_SEED)]
    pub seed: u64,
}

impl UpstreamSettings {
    /// The settings that the command line has by default.
    pub fn new(id: UpstreamId, zone: ZoneName) -> UpstreamSettings {
        UpstreamSettings {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            id,
            zone,
            slots: DEFAULT_SLOTS,
            queue: DEFAULT_QUEUE,
            service_ms: DEFAULT_SERVICE_MS,
            service_dist: ServiceDistribution::Fixed,
            cold_start_ms: Millis::ZERO,
            zone_delay_ms: Millis::ZERO,
            drain_notice_ms: DEFAULT_DRAIN_NOTICE_MS,
            seed: DEFAULT_SEED,
        }
    }
}

/// Distribution of service times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ServiceDistribution {
    /// Always the mean.
    Fixed,
    /// Exponential.
    Exponential,
}

/// What an upstream says of its load; prints as `busy/queued`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Slots in use.
    pub busy: SlotCount,
    /// Requests waiting.
    pub queued: u32,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.busy, self.queued)
    }
}

/// Starts an upstream.
///
/// # Errors
///
/// [`StartError::Listen`] if the address can't be listened on.
pub async fn start(settings: UpstreamSettings) -> Result<UpstreamHandle, Report<StartError>> {
    let listen = settings.listen;
    let state = Arc::new(UpstreamState::new(settings));
    let gate = Arc::clone(&state);
    let service = UpstreamService { state: Arc::clone(&state) };
    let running = Running::start(listen, service, move || gate.admits_connection())?;
    Ok(UpstreamHandle { address: running.address, state, running })
}

/// A running upstream; dropping it cuts every connection.
#[derive(Debug)]
pub struct UpstreamHandle {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<UpstreamState>,
    running: Running,
}

impl UpstreamHandle {
    /// Replaces all faults.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        self.state.set_faults(faults);
    }

    /// Faults in force.
    pub fn faults(&self) -> UpstreamFaults {
        self.state.faults()
    }

    /// How often each request started to run.
    pub fn runs(&self) -> RunLedger {
        lock(&self.state.runs).clone()
    }

    /// How many requests of each kind came.
    pub fn totals(&self) -> Totals {
        *lock(&self.state.totals)
    }

    /// Its real load.
    pub fn load(&self) -> Load {
        self.state.slots.load()
    }

    /// Tells on answers and by its health that it is leaving, and works on.
    pub fn start_leaving(&self) {
        self.state.leaving.store(true, Ordering::Relaxed);
    }

    /// Leaves: gives notice, works on for that time, then stops listening and ends
    /// what is in flight.
    pub async fn drain(mut self) {
        self.start_leaving();
        log::info!("upstream: leaving");
        tokio::time::sleep(span(self.state.settings.drain_notice_ms)).await;
        self.running.stop(None).await;
        log::info!("upstream: idle");
    }
}

/// What all requests to one upstream share.
#[derive(Debug)]
struct UpstreamState {
    settings: UpstreamSettings,
    started: Instant,
    slots: Slots,
    leaving: AtomicBool,
    faults: Mutex<UpstreamFaults>,
    past_load: Mutex<History<Load>>,
    runs: Mutex<RunLedger>,
    totals: Mutex<Totals>,
    rng: Mutex<Pcg64Mcg>,
}

impl UpstreamState {
    fn new(settings: UpstreamSettings) -> UpstreamState {
        let now = Instant::now();
        UpstreamState {
            started: now,
            slots: Slots::new(settings.slots, settings.queue),
            leaving: AtomicBool::new(false),
            faults: Mutex::default(),
            past_load: Mutex::new(History::new(now, Load::default())),
            runs: Mutex::default(),
            totals: Mutex::default(),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(settings.seed)),
            settings,
        }
    }

    fn faults(&self) -> UpstreamFaults {
        lock(&self.faults).clone()
    }

    fn set_faults(&self, faults: UpstreamFaults) {
        *lock(&self.past_load) = History::new(Instant::now(), self.slots.load());
        *lock(&self.faults) = faults;
    }

    /// Uses up one of the connections that are to be closed on accept, if any is left.
    fn admits_connection(&self) -> bool {
        let mut faults = lock(&self.faults);
        match faults.close_on_accept.checked_sub(1) {
            Some(left) => {
                faults.close_on_accept = left;
                false
            }
            None => true,
        }
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    fn health(&self, faults: &UpstreamFaults) -> Health {
        match faults.lie_health {
            Some(lie) => lie,
            None if self.is_leaving() => Health::Leaving,
            None if self.uptime_ms() < self.settings.cold_start_ms => Health::Starting,
            None => Health::Serving,
        }
    }

    /// Keeps the present load, so that it can be reported late.
    fn note_load(&self, faults: &UpstreamFaults) {
        if faults.late_load_ms == Millis::ZERO {
            return;
        }
        let now = Instant::now();
        let mut past = lock(&self.past_load);
        past.record(now, self.slots.load());
        past.forget(now, faults.late_load_ms);
    }

    fn reported_load(&self, faults: &UpstreamFaults) -> Load {
        match faults.lie_load {
            Some(lie) => lie,
            None if faults.late_load_ms == Millis::ZERO => self.slots.load(),
            None => *lock(&self.past_load).as_of(Instant::now(), faults.late_load_ms),
        }
    }

    fn uptime_ms(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    /// Time that one request takes in its slot.
    fn service_time(&self, faults: &UpstreamFaults) -> Duration {
        let uptime_ms = self.uptime_ms();
        let noise = faults.noisy.map_or(1.0, |noise| noise.factor_at(uptime_ms));
        let factor = faults.slow_factor * noise * self.cold_factor(uptime_ms);
        let work_ms = self.drawn_service_ms() * factor + faults.stall_ms.as_f64();
        Duration::try_from_secs_f64(work_ms / 1000.0).unwrap_or(Duration::ZERO)
    }

    fn drawn_service_ms(&self) -> f64 {
        let mean_ms = self.settings.service_ms.as_f64();
        match self.settings.service_dist {
            ServiceDistribution::Fixed => mean_ms,
            ServiceDistribution::Exponential => -(1.0 - self.draw()).ln() * mean_ms,
        }
    }

    fn cold_factor(&self, uptime_ms: Millis) -> f64 {
        let cold_ms = self.settings.cold_start_ms;
        if uptime_ms >= cold_ms {
            return 1.0;
        }
        let cold_share = 1.0 - uptime_ms.as_f64() / cold_ms.as_f64();
        1.0 + (COLD_FACTOR - 1.0) * cold_share
    }

    /// Whether a fault that hits a share of the requests hits this one.
    fn hits(&self, share: Share) -> bool {
        share.0 > 0.0 && self.draw() < share.0
    }

    /// A number from 0 up to, but not, 1.
    fn draw(&self) -> f64 {
        lock(&self.rng).random()
    }
}

fn span(time_ms: Millis) -> Duration {
    Duration::from_millis(time_ms.0)
}
