//! What the daemon as a process costs: processor time and memory as calls grow.
//!
//! A whole site of today's size runs; one entry host gets all the load and is measured,
//! so that the line's intercept is what control costs it and the slope what a call costs.

use crate::error::TaskError;
use domain::{ByteCount, Connections, Millis, PerSecond, Share, Slots};
use error_stack::{Report, ResultExt};
use fleet::UpstreamPlan;
use fleet::{Binaries, Distribution, EntryHostProcess, Profile, ServicePlan, Site, SitePlan};
use load::{Arrivals, Caller, LoadPlan, RouteLoad, Stream, Target, Targets};
use slopes::{Point, Series, Unit, Variable};
use std::time::{Duration, Instant};

const ENTRY_HOSTS: u32 = 15;
const ZONES: [&str; 3] = ["one", "two", "three"];
const SERVICES: [(&str, u32); 3] = [("portal", 15), ("parts", 6), ("statements", 13)];
/// Enough that one host's calls never wait: their cost is measured, not their queue.
const SLOTS: Slots = Slots(60);
const CONNECTIONS: Connections = Connections(1000);
const WORK_MS: Millis = Millis(10);
const RATES: [u64; 5] = [0, 250, 500, 1000, 2000];
const SETTLE: Duration = Duration::from_secs(5);
const WARM_UP_MS: Millis = Millis(1000);
const MEASURED_MS: Millis = Millis(8000);
const TIMEOUT_MS: Millis = Millis(2000);
const TICKS_PER_SECOND: f64 = 100.0;
const BYTES_PER_KIB: f64 = 1024.0;

/// One rate of calls.
#[derive(Debug)]
struct Run {
    calls_per_second: f64,
    cpu_us_per_second: f64,
    resident_bytes: f64,
    not_answered: u64,
}

/// Measures the daemon and prints its lines.
///
/// # Errors
///
/// If the site does not come up, or the load can't be run.
pub async fn run() -> Result<Vec<Series>, Report<TaskError>> {
    println!("\nbuilding jujubedeald and the stand-ins");
    let binaries = Binaries::build(Profile::Release).change_context(TaskError::Start)?;
    let started = Site::start(binaries, site_plan()?).await;
    let site = started.change_context(TaskError::Start)?;
    tokio::time::sleep(SETTLE).await;
    let mut runs = Vec::new();
    for rate in RATES {
        runs.push(measure(&site, rate).await?);
    }
    let not_answered: u64 = runs.iter().map(|run| run.not_answered).sum();
    println!("calls refused, failed or lost in all runs: {not_answered}");
    let series = |name, unit, part: fn(&Run) -> f64| {
        let points = runs.iter();
        let points = points.map(|run| Point { at: vec![run.calls_per_second], value: part(run) });
        Series::new(name, unit, &[Variable::CallsPerSecond], points.collect())
            .change_context(TaskError::Results)
    };
    let found = vec![
        series("daemon.cpu", Unit::CpuMicrosPerSecond, |run| run.cpu_us_per_second)?,
        series("daemon.resident", Unit::Bytes, |run| run.resident_bytes)?,
    ];
    found.iter().for_each(|series| print!("{series}"));
    Ok(found)
}

async fn measure(site: &Site, rate: u64) -> Result<Run, Report<TaskError>> {
    let host = &site.entry_hosts[0];
    let (before, start) = (Usage::read(host)?, Instant::now());
    let (calls, not_answered) = match rate {
        0 => {
            tokio::time::sleep(Duration::from_millis(MEASURED_MS.0)).await;
            (0, 0)
        }
        _ => drive(site, rate).await?,
    };
    let (after, seconds) = (Usage::read(host)?, start.elapsed().as_secs_f64());
    Ok(Run {
        calls_per_second: calls as f64 / seconds,
        cpu_us_per_second: (after.cpu_us - before.cpu_us) / seconds,
        resident_bytes: after.resident_bytes,
        not_answered,
    })
}

/// Loads the first host. Returns the calls sent and those without a right answer.
async fn drive(site: &Site, rate: u64) -> Result<(u64, u64), Report<TaskError>> {
    let caller = "measure".parse().change_context(TaskError::Load)?;
    let routes = site.plan.services.iter().map(|service| RouteLoad {
        path: service.read_path(),
        weight: Share(1.0),
        at_most_once: false,
        body_bytes: ByteCount(0),
        timeout_ms: TIMEOUT_MS,
    });
    let plan = LoadPlan {
        seed: rate,
        warm_up_ms: WARM_UP_MS,
        duration_ms: MEASURED_MS,
        grace_ms: TIMEOUT_MS,
        streams: vec![Stream {
            arrivals: Arrivals::Poisson { per_second: PerSecond(rate as f64) },
            callers: vec![Caller { caller, weight: Share(1.0) }],
            routes: routes.collect(),
        }],
    };
    let caller_address = site.entry_hosts[0].settings.caller_address;
    let targets = Targets::new([Target { caller_address, readiness_address: None }]);
    let driven = load::drive(&plan, "slopes", &targets, std::future::pending()).await;
    let report = driven.change_context(TaskError::Load)?.report;
    let not_answered = report.lost + report.wrong + report.failed + report.refused_total();
    Ok((report.sent, not_answered))
}

fn site_plan() -> Result<SitePlan, Report<TaskError>> {
    let upstream = UpstreamPlan {
        slots: SLOTS,
        connections: CONNECTIONS,
        queue: SLOTS.0,
        service_time_ms: WORK_MS,
        distribution: Distribution::Fixed,
        cold_start_ms: Millis::ZERO,
        drain_notice_ms: Millis::ZERO,
    };
    let services = SERVICES.iter().map(|(name, upstreams)| {
        let service = name.parse().change_context(TaskError::Start)?;
        Ok(ServicePlan { service, upstreams: *upstreams, upstream: upstream.clone() })
    });
    let zones = ZONES.iter().map(|zone| zone.parse().change_context(TaskError::Start));
    Ok(SitePlan {
        site: "loopback".parse().change_context(TaskError::Start)?,
        availability_zones: zones.collect::<Result<_, Report<TaskError>>>()?,
        entry_hosts: ENTRY_HOSTS,
        drain_notice_ms: Millis::ZERO,
        policy: config::Policy::default(),
        zone_delay_ms: Millis::ZERO,
        relayed: false,
        services: services.collect::<Result<_, Report<TaskError>>>()?,
    })
}

/// What a process has used, as the kernel counts it.
#[derive(Debug, Clone, Copy)]
struct Usage {
    cpu_us: f64,
    resident_bytes: f64,
}

impl Usage {
    fn read(host: &EntryHostProcess) -> Result<Usage, Report<TaskError>> {
        let id = host.process.id().ok_or(TaskError::Results)?;
        let read = |file| {
            std::fs::read_to_string(format!("/proc/{id}/{file}")).change_context(TaskError::Results)
        };
        let usage = Usage::parse(&read("stat")?, &read("status")?);
        usage.ok_or_else(|| Report::new(TaskError::Results))
    }

    /// User and system time stand 12 and 13 words after the command's closing bracket.
    fn parse(stat: &str, status: &str) -> Option<Usage> {
        let (_, after_command) = stat.rsplit_once(')')?;
        let words: Vec<&str> = after_command.split_whitespace().collect();
        let user: f64 = words.get(11)?.parse().ok()?;
        let system: f64 = words.get(12)?.parse().ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib: f64 = resident.split_whitespace().next()?.parse().ok()?;
        let cpu_us = (user + system) / TICKS_PER_SECOND * 1e6;
        Some(Usage { cpu_us, resident_bytes: kib * BYTES_PER_KIB })
    }
}
