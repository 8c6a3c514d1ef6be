//! Time that one entry host adds to a call of an idle upstream, against direct calls of
//! the same upstream in the same run.

use crate::error::TaskError;
use crate::measure::Args;
use crate::measure::figures::Spread;
use crate::measure::write;
use config::Policy;
use domain::{ByteCount, Connections, Millis, PerSecond, Share, Slots};
use error_stack::{Report, ResultExt};
use fleet::{Binaries, Distribution, ServicePlan, Site, SitePlan, UpstreamPlan};
use load::{Arrivals, Caller, LatencyReport, LoadPlan, RouteLoad, Stream, Target, Targets};
use serde::Serialize;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Slow enough that calls hardly ever meet.
const RATE: PerSecond = PerSecond(200.0);
const WARM_UP_MS: Millis = Millis(1000);
const TIMEOUT_MS: Millis = Millis(2000);
const SLOTS: Slots = Slots(64);
const CONNECTIONS: Connections = Connections(1000);
const SERVICE: &str = "idle";

/// The machine-readable result, in microseconds.
#[derive(Debug, Serialize)]
struct Output {
    direct_p50_us: Spread,
    direct_p99_us: Spread,
    through_p50_us: Spread,
    through_p99_us: Spread,
    added_p50_us: Spread,
    added_p99_us: Spread,
}

#[derive(Debug, Clone, Copy)]
struct Round {
    direct: LatencyReport,
    through: LatencyReport,
}

/// Measures direct calls and calls through one entry host in turn.
pub async fn run(args: &Args, binaries: &Binaries) -> Result<ExitCode, Report<TaskError>> {
    let started = Site::start(binaries.clone(), site_plan()?).await;
    let site = started.change_context(TaskError::Start)?;
    let path = site.plan.services[0].read_path();
    let upstream = site.upstreams.values().map(|u| u.address).next();
    let upstream = upstream.ok_or_else(|| Report::new(TaskError::Start))?;
    let host = site.entry_hosts[0].settings.caller_address;
    let mut rounds = Vec::new();
    for round in 0..args.rounds {
        let plan = load_plan(args, round, &path)?;
        let direct = measure(&plan, upstream).await?;
        let through = measure(&plan, host).await?;
        rounds.push(Round { direct, through });
    }
    let output = Output::new(&rounds);
    output.print();
    write(args.out.as_deref(), &output)?;
    Ok(ExitCode::SUCCESS)
}

fn site_plan() -> Result<SitePlan, Report<TaskError>> {
    let upstream = UpstreamPlan {
        slots: SLOTS,
        connections: CONNECTIONS,
        queue: SLOTS.0,
        service_time_ms: Millis::ZERO,
        distribution: Distribution::Fixed,
        cold_start_ms: Millis::ZERO,
        drain_notice_ms: Millis::ZERO,
    };
    let service = SERVICE.parse().change_context(TaskError::Start)?;
    Ok(SitePlan {
        site: "loopback".parse().change_context(TaskError::Start)?,
        availability_zones: vec!["one".parse().change_context(TaskError::Start)?],
        entry_hosts: 1,
        drain_notice_ms: Millis::ZERO,
        policy: Policy::default(),
        zone_delay_ms: Millis::ZERO,
        relayed: false,
        services: vec![ServicePlan { service, upstreams: 1, upstream }],
    })
}

fn load_plan(args: &Args, round: u32, path: &str) -> Result<LoadPlan, Report<TaskError>> {
    let caller = "measure".parse().change_context(TaskError::Load)?;
    Ok(LoadPlan {
        seed: args.seed + u64::from(round),
        warm_up_ms: WARM_UP_MS,
        duration_ms: Millis::from_secs(args.seconds),
        grace_ms: TIMEOUT_MS,
        streams: vec![Stream {
            arrivals: Arrivals::Poisson { per_second: RATE },
            callers: vec![Caller { caller, weight: Share(1.0) }],
            routes: vec![RouteLoad {
                path: path.to_owned(),
                weight: Share(1.0),
                at_most_once: false,
                body_bytes: ByteCount(0),
                timeout_ms: TIMEOUT_MS,
            }],
        }],
    })
}

async fn measure(plan: &LoadPlan, target: SocketAddr) -> Result<LatencyReport, Report<TaskError>> {
    let targets = Targets::new([Target { caller_address: target, readiness_address: None }]);
    let driven = load::drive(plan, "added", &targets, std::future::pending()).await;
    let report = driven.change_context(TaskError::Load)?.report;
    if report.sent == 0 || report.lost + report.wrong + report.refused_total() > 0 {
        let samples = report.samples.join("; ");
        return Err(Report::new(TaskError::Load).attach(format!("not all answered: {samples}")));
    }
    Ok(report.latency)
}

impl Output {
    fn new(rounds: &[Round]) -> Output {
        let spread = |us: fn(&Round) -> f64| Spread::new(rounds.iter().map(us));
        Output {
            direct_p50_us: spread(|r| r.direct.p50_us as f64),
            direct_p99_us: spread(|r| r.direct.p99_us as f64),
            through_p50_us: spread(|r| r.through.p50_us as f64),
            through_p99_us: spread(|r| r.through.p99_us as f64),
            added_p50_us: spread(|r| r.through.p50_us as f64 - r.direct.p50_us as f64),
            added_p99_us: spread(|r| r.through.p99_us as f64 - r.direct.p99_us as f64),
        }
    }

    fn print(&self) {
        println!("{:<10} {:>24} {:>24}", "us", "p50", "p99");
        for (name, p50, p99) in [
            ("direct", self.direct_p50_us, self.direct_p99_us),
            ("through", self.through_p50_us, self.through_p99_us),
            ("added", self.added_p50_us, self.added_p99_us),
        ] {
            println!("{name:<10} {:>24} {:>24}", with_extremes(p50), with_extremes(p99));
        }
    }
}

fn with_extremes(spread: Spread) -> String {
    format!("{:.0} ({:.0}-{:.0})", spread.median, spread.min, spread.max)
}
