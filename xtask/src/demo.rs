//! The main job end to end: callers are served while the site changes.

use crate::error::TaskError;
use clap::ValueEnum;
use config::Policy;
use domain::{ByteCount, CallerId, Connections, Millis, PerSecond, Share, Slots, UpstreamId};
use error_stack::{Report, ResultExt};
use fleet::{Binaries, Distribution, Profile, ServicePlan, Site, SitePlan, UpstreamPlan};
use load::{
    Arrivals, Caller, Ledger, LedgerCheck, LoadOutcome, LoadPlan, LoadReport, RouteLoad, Stream,
    Target, Targets,
};
use serde::Serialize;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

const RATE: PerSecond = PerSecond(300.0);
const ORDER_WEIGHT: Share = Share(0.3);
const READ_WEIGHT: Share = Share(0.7);
const BODY_BYTES: ByteCount = ByteCount(2000);
/// Load before the first change and after the last one.
const QUIET: Duration = Duration::from_millis(500);
/// Far longer than all changes take: the load ends when they are done.
const LONGEST_LOAD_MS: Millis = Millis::from_secs(600);
const RESTARTED_HOST: usize = 1;

/// Options of the demo.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// How the binaries are built.
    #[arg(long, value_enum, default_value_t = Build::Dev)]
    build: Build,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Build {
    Dev,
    Release,
}

/// The last line of the output.
#[derive(Debug, Serialize)]
struct Summary {
    sent: u64,
    answered: u64,
    at_most_once_answered: u64,
    refused: u64,
    failed: u64,
    lost: u64,
    wrong: u64,
    doubled: u64,
    false_not_run: u64,
    p50_us: u64,
    p99_us: u64,
}

/// One change, and how long it took.
#[derive(Debug)]
struct Step {
    name: String,
    took: Duration,
}

/// Runs the demo; the exit code says whether every promise was kept.
pub async fn run(args: &Args) -> Result<ExitCode, Report<TaskError>> {
    let profile = match args.build {
        Build::Dev => Profile::Dev,
        Build::Release => Profile::Release,
    };
    println!("building jujubedeald and the stand-ins");
    let binaries = Binaries::build(profile).change_context(TaskError::Start)?;
    println!("starting the site");
    let mut site = Site::start(binaries, plan()?).await.change_context(TaskError::Start)?;
    println!("serving callers while the site changes");
    let (outcome, steps) = serve(&mut site, args.seed).await?;
    let ledgers = site.ledgers().await.change_context(TaskError::Results)?;
    let ledgers: Vec<Ledger> = ledgers.into_iter().map(|runs| Ledger { runs }).collect();
    let check = LedgerCheck::new(&outcome, &ledgers);
    Ok(print(&outcome.report, check, &steps))
}

fn plan() -> Result<SitePlan, Report<TaskError>> {
    let upstream = UpstreamPlan {
        slots: Slots(6),
        connections: Connections(250),
        queue: 12,
        service_time_ms: Millis(5),
        distribution: Distribution::Exponential,
        cold_start_ms: Millis::ZERO,
        drain_notice_ms: Millis(2000),
    };
    let service = |name: &str| {
        let service = name.parse().change_context(TaskError::Start)?;
        Ok::<_, Report<TaskError>>(ServicePlan {
            service,
            upstreams: 4,
            upstream: upstream.clone(),
        })
    };
    let zone = |name: &str| name.parse().change_context(TaskError::Start);
    Ok(SitePlan {
        site: "dar-es-salaam".parse().change_context(TaskError::Start)?,
        availability_zones: vec![zone("kariakoo")?, zone("msasani")?],
        entry_hosts: 3,
        drain_notice_ms: Millis(1000),
        policy: Policy::default(),
        zone_delay_ms: Millis(1),
        relayed: false,
        services: vec![service("portal")?, service("parts")?],
    })
}

/// Callers' requests and changes side by side; the load ends after the last change.
async fn serve(site: &mut Site, seed: u64) -> Result<(LoadOutcome, Vec<Step>), Report<TaskError>> {
    let load = load_plan(&site.plan, seed)?;
    let targets = Targets::new(site.entry_hosts.iter().map(|host| Target {
        caller_address: host.settings.caller_address,
        readiness_address: Some(host.settings.operator_address),
    }));
    let (done, stop) = oneshot::channel::<()>();
    let driver = load::drive(&load, "demo", &targets, async {
        let _ = stop.await;
    });
    let changes = async {
        let steps = change(site).await;
        let _ = done.send(());
        steps
    };
    let (outcome, steps) = tokio::join!(driver, changes);
    Ok((outcome.change_context(TaskError::Load)?, steps?))
}

fn load_plan(plan: &SitePlan, seed: u64) -> Result<LoadPlan, Report<TaskError>> {
    let route = |path, at_most_once| RouteLoad {
        path,
        weight: if at_most_once { ORDER_WEIGHT } else { READ_WEIGHT },
        at_most_once,
        body_bytes: BODY_BYTES,
        timeout_ms: Millis(2000),
    };
    let routes = |s: &ServicePlan| [route(s.read_path(), false), route(s.order_path(), true)];
    let caller = |name: &str, weight| {
        let caller: CallerId = name.parse().change_context(TaskError::Load)?;
        Ok::<_, Report<TaskError>>(Caller { caller, weight: Share(weight) })
    };
    Ok(LoadPlan {
        seed,
        warm_up_ms: Millis::ZERO,
        duration_ms: LONGEST_LOAD_MS,
        grace_ms: Millis(5000),
        streams: vec![Stream {
            arrivals: Arrivals::Poisson { per_second: RATE },
            callers: vec![caller("clinic", 0.5)?, caller("bank", 0.3)?, caller("school", 0.2)?],
            routes: plan.services.iter().flat_map(routes).collect(),
        }],
    })
}

/// The changes, one after the other.
async fn change(site: &mut Site) -> Result<Vec<Step>, Report<TaskError>> {
    tokio::time::sleep(QUIET).await;
    let mut steps = Vec::new();
    let mut start = Instant::now();
    let mut end_step = |name: String| {
        steps.push(Step { name, took: start.elapsed() });
        start = Instant::now();
    };

    let host = site.entry_hosts[RESTARTED_HOST].settings.host.clone();
    site.restart_entry_host(RESTARTED_HOST).await.change_context(TaskError::Change)?;
    end_step(format!("restart entry host {host}"));

    let service = site.plan.services[0].clone();
    let drained = service.upstream_id(0);
    site.drain_upstream(&drained).await.change_context(TaskError::Change)?;
    end_step(format!("drain upstream {drained}"));

    let added = add_upstream(site, &service).await.change_context(TaskError::Change)?;
    end_step(format!("add upstream {added} by the overlay"));
    tokio::time::sleep(QUIET).await;
    Ok(steps)
}

/// Starts an upstream, names it in the overlay, and waits until every entry host knows it.
async fn add_upstream(
    site: &mut Site,
    service: &ServicePlan,
) -> Result<UpstreamId, Report<fleet::FleetError>> {
    let index = service.upstreams;
    let id = site.start_upstream(service, index).await?;
    let address = site.upstreams[&id].address;
    let upstream = site.plan.upstream(service, index, address);
    let overlay = serde_json::json!({
        "services": { service.service.as_str(): { "upstreams": { id.as_str(): upstream } } }
    });
    let version = site.publish_overlay(&overlay).await?;
    site.overlay_in_force(version).await?;
    Ok(id)
}

fn print(report: &LoadReport, check: LedgerCheck, steps: &[Step]) -> ExitCode {
    let summary = Summary {
        sent: report.sent,
        answered: report.answered,
        at_most_once_answered: report.at_most_once_answered,
        refused: report.refused_total(),
        failed: report.failed,
        lost: report.lost,
        wrong: report.wrong,
        doubled: check.doubled,
        false_not_run: check.false_not_run,
        p50_us: report.latency.p50_us,
        p99_us: report.latency.p99_us,
    };
    println!();
    println!("{:<44} {:>10}", "change under load", "took");
    for step in steps {
        println!("{:<44} {:>7.2} s ", step.name, step.took.as_secs_f64());
    }
    println!();
    println!("{:<44} {:>10}", "requests", "count");
    for (name, count) in summary.rows() {
        println!("{name:<44} {count:>10}");
    }
    for (cause, count) in &report.refused {
        println!("{:<44} {count:>10}", format!("  refused: {cause}"));
    }
    for sample in &report.samples {
        println!("  {sample}");
    }
    println!();
    match serde_json::to_string(&summary) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("the summary can't be written as JSON: {error}"),
    }
    if summary.is_good() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

impl Summary {
    fn rows(&self) -> [(&'static str, u64); 11] {
        [
            ("sent", self.sent),
            ("answered, checked against the request", self.answered),
            ("of them, requests that run at most once", self.at_most_once_answered),
            ("refused by an entry host", self.refused),
            ("failed in an upstream", self.failed),
            ("lost", self.lost),
            ("wrong", self.wrong),
            ("doubled", self.doubled),
            ("ran, but told that it did not", self.false_not_run),
            ("latency p50, us", self.p50_us),
            ("latency p99, us", self.p99_us),
        ]
    }

    fn is_good(&self) -> bool {
        let faults = self.lost + self.wrong + self.doubled + self.false_not_run;
        let answers_both_kinds =
            self.at_most_once_answered > 0 && self.answered > self.at_most_once_answered;
        answers_both_kinds && faults == 0
    }
}
