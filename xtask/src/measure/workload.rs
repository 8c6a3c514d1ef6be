//! What the site has to bear.

use crate::measure::change::Change;
use clap::ValueEnum;
use domain::{Millis, Share};
use fleet::{Faults, Noise};
use serde::Serialize;

const NOISE_FACTOR: f64 = 10.0;
const NOISE_MS: Millis = Millis(50);
/// Bursts of noise come this often on the first upstream, and rarer on the next ones, so
/// that they drift against each other.
const NOISE_EVERY_MS: u64 = 3000;
const NOISE_DRIFT_MS: u64 = 137;
const LATE_LOAD_MS: Millis = Millis(1000);

/// What the site has to bear.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Workload {
    /// 70% of the slots.
    Steady70,
    /// 90% of the slots.
    Steady90,
    /// Twice the capacity.
    Overload,
    /// 70%, two upstreams ten times slower.
    Stragglers,
    /// 70%, one upstream that fails at once.
    FastFail,
    /// 70%, two stragglers and one fast-failing upstream.
    Mixed70,
    /// 90%, two stragglers and one fast-failing upstream.
    Mixed90,
    /// 70%, every upstream ten times slower for 50 ms now and then.
    Noisy,
    /// 80%, upstreams report their load a second late.
    LateLoad,
    /// 70%, each service gets an upstream that starts cold.
    ColdStart,
    /// 70%, upstreams are replaced one after the other.
    RollingDrain,
    /// 70%, an entry host is killed and comes back.
    KillHost,
    /// 50%, and one caller that asks for as much again as all slots give.
    GreedyCaller,
    /// 50%, and bursts of half the slots every half second.
    Burst,
    /// 70%, half of the entry hosts cut from the others.
    HalfCut,
    /// Time that one entry host adds to a call of an idle upstream.
    AddedLatency,
}

/// Arrivals beyond the steady ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extra {
    /// None.
    None,
    /// One more caller, at the rate of all slots.
    GreedyCaller,
    /// Bursts of half the slots.
    Bursts {
        /// Time between them.
        every_ms: Millis,
    },
}

/// Which fault an upstream has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// None.
    Sound,
    /// Ten times slower.
    Straggler,
    /// Fails at once.
    FastFailing,
}

impl Workload {
    /// How much slower a straggler is.
    pub const STRAGGLER_FACTOR: f64 = 10.0;

    /// Steady arrivals as a share of the sound upstreams' slots.
    pub fn load(self) -> Share {
        match self {
            Workload::Burst | Workload::GreedyCaller => Share(0.5),
            Workload::LateLoad => Share(0.8),
            Workload::Steady90 | Workload::Mixed90 => Share(0.9),
            Workload::Overload => Share(2.0),
            _ => Share(0.7),
        }
    }

    /// Arrivals beyond the steady ones.
    pub fn extra(self) -> Extra {
        match self {
            Workload::GreedyCaller => Extra::GreedyCaller,
            Workload::Burst => Extra::Bursts { every_ms: Millis(500) },
            _ => Extra::None,
        }
    }

    /// What happens to the site meanwhile.
    pub fn change(self) -> Change {
        match self {
            Workload::ColdStart => Change::ColdStart,
            Workload::RollingDrain => Change::RollingDrain,
            Workload::KillHost => Change::KillHost,
            Workload::HalfCut => Change::CutHalf,
            _ => Change::None,
        }
    }

    /// Whether requests in flight are cut by the workload itself.
    pub fn cuts_answers(self) -> bool {
        self == Workload::KillHost
    }

    /// Role of an upstream: the first one of the first and of the second service are
    /// stragglers, the first one of the third service fails.
    pub fn role(self, service: usize, upstream: u32) -> Role {
        let stragglers =
            matches!(self, Workload::Stragglers | Workload::Mixed70 | Workload::Mixed90);
        let fast_fail = matches!(self, Workload::FastFail | Workload::Mixed70 | Workload::Mixed90);
        match (service, upstream) {
            (0 | 1, 0) if stragglers => Role::Straggler,
            (2, 0) if fast_fail => Role::FastFailing,
            _ => Role::Sound,
        }
    }

    /// Faults of an upstream; `ordinal` counts all upstreams of the site.
    pub fn faults(self, service: usize, upstream: u32, ordinal: u64) -> Faults {
        match (self, self.role(service, upstream)) {
            (_, Role::Straggler) => {
                Faults { slow_factor: Workload::STRAGGLER_FACTOR, ..Faults::default() }
            }
            (_, Role::FastFailing) => Faults { fail_fast_share: Share(1.0), ..Faults::default() },
            (Workload::Noisy, Role::Sound) => {
                Faults { noisy: Some(noise(ordinal)), ..Faults::default() }
            }
            (Workload::LateLoad, Role::Sound) => {
                Faults { late_load_ms: LATE_LOAD_MS, ..Faults::default() }
            }
            (_, Role::Sound) => Faults::default(),
        }
    }
}

fn noise(ordinal: u64) -> Noise {
    let every_ms = Millis(NOISE_EVERY_MS + NOISE_DRIFT_MS * ordinal);
    Noise { every_ms, for_ms: NOISE_MS, factor: NOISE_FACTOR }
}
