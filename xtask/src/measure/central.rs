//! The simulated limit with the same rates, slots and service times as the running site.

use crate::measure::Args;
use crate::measure::bench::Bench;
use crate::measure::figures::Figures;
use crate::measure::workload::{Role, Workload};
use domain::{Millis, PerSecond, Share, Slots};
use fleet::Distribution;
use load::{CentralPlan, CentralReport, CentralService, SlotGroup, simulate};

/// Several times what callers wait at most.
const WARM_UP_MS: Millis = Millis::from_secs(20);
const MICROS_PER_MILLI: f64 = 1000.0;

/// One run per round, with other seeds. Noise, bursts, changes and greedy callers are left
/// out: the limit is that of steady arrivals at the same mean load.
pub fn run(args: &Args, bench: &Bench) -> Vec<Figures> {
    let rounds = 0..u64::from(args.rounds);
    rounds.map(|round| figures(&simulate(&plan(args, bench, args.seed + round)))).collect()
}

fn plan(args: &Args, bench: &Bench, seed: u64) -> CentralPlan {
    let services = args.firm.services().into_iter().enumerate().map(|(index, (_, upstreams))| {
        CentralService {
            per_second: PerSecond(bench.rates[index].0),
            groups: groups(args, bench, index, upstreams),
        }
    });
    CentralPlan {
        seed,
        warm_up_ms: WARM_UP_MS,
        duration_ms: Millis::from_secs(args.seconds),
        max_wait_ms: bench.timeout_ms,
        services: services.collect(),
    }
}

fn groups(args: &Args, bench: &Bench, service: usize, upstreams: u32) -> Vec<SlotGroup> {
    let sound = SlotGroup {
        slots: slots(args, service, upstreams, Role::Sound),
        mean_us: bench.service_ms * MICROS_PER_MILLI,
        random_share: match args.distribution() {
            Distribution::Fixed => Share(0.0),
            Distribution::Exponential => Share(1.0),
        },
    };
    let straggling = SlotGroup {
        slots: slots(args, service, upstreams, Role::Straggler),
        mean_us: sound.mean_us * Workload::STRAGGLER_FACTOR,
        ..sound
    };
    vec![sound, straggling]
}

fn slots(args: &Args, service: usize, upstreams: u32, role: Role) -> Slots {
    let with_role = (0..upstreams).filter(|u| args.workload.role(service, *u) == role);
    Slots(with_role.count() as u32 * args.firm.slots().0)
}

fn figures(report: &CentralReport) -> Figures {
    let millis = |us: u64| us as f64 / MICROS_PER_MILLI;
    let arrivals = report.answered + report.refused;
    Figures {
        p50_ms: millis(report.latency.p50_us),
        p99_ms: millis(report.latency.p99_us),
        p999_ms: millis(report.latency.p999_us),
        max_ms: millis(report.latency.max_us),
        modest_p99_ms: millis(report.latency.p99_us),
        refused_share: report.refused as f64 / arrivals.max(1) as f64,
        goodput_per_second: report.goodput_per_second.0,
        ..Figures::default()
    }
}
