//! One run: a fresh site, its load, its changes, its cost.

use crate::error::TaskError;
use crate::measure::Args;
use crate::measure::change::Change;
use crate::measure::figures::{Cost, Figures};
use crate::measure::firm::Firm;
use crate::measure::workload::{Extra, Role, Workload};
use config::Policy;
use domain::{ByteCount, CallerId, FastMap, HostId, Millis, PerSecond, Share, UpstreamId};
use error_stack::{Report, ResultExt};
use fleet::{Binaries, Distribution, ServicePlan, Site, SitePlan, UpstreamPlan};
use load::{
    Arrivals, Caller, Ledger, LedgerCheck, LoadOutcome, LoadPlan, LoadReport, RouteLoad, Stream,
    Target, Targets,
};
use serde::Serialize;
use std::fmt;
use std::time::{Duration, Instant};

/// Time that callers give each request.
const TIMEOUT_MS: Millis = Millis(2000);
/// Part at the start that is left out, so that connections and knowledge are warm.
const WARM_UP_MS: Millis = Millis(3000);
const GRACE_MS: Millis = Millis(3000);
const CALLERS: u32 = 20;
const GREEDY_CALLER: &str = "greedy";
const ORDER_SHARE: f64 = 0.2;
const BODY_BYTES: ByteCount = ByteCount(500);
const DRAIN_NOTICE_MS: Millis = Millis(1000);
const BURST_SHARE: f64 = 0.5;
const CALIBRATION_SLEEPS: u32 = 2000;
const PROBES_METRIC: &str = "jujubedeal_probes_total";
const CONTROL_METRIC: &str = "jujubedeal_control_bytes_total";

/// What all runs of a measurement share.
#[derive(Debug, Clone, Serialize)]
pub struct Bench {
    /// Mean service time as the stand-ins' timer keeps it, in milliseconds.
    pub service_ms: f64,
    /// Steady arrivals of each service.
    pub rates: Vec<PerSecond>,
    /// Slots of sound upstreams.
    pub sound_slots: u32,
    /// Time that callers give each request.
    pub timeout_ms: Millis,
    #[serde(skip)]
    firm: Firm,
    #[serde(skip)]
    workload: Workload,
    #[serde(skip)]
    entry_hosts: u32,
    #[serde(skip)]
    duration_ms: Millis,
    #[serde(skip)]
    nominal_service_ms: Millis,
    #[serde(skip)]
    distribution: Distribution,
    #[serde(skip)]
    seed: u64,
}

/// One run.
#[derive(Debug, Clone, Serialize)]
pub struct RunRecord {
    /// Policy as the configuration names it.
    pub policy: String,
    /// Round.
    pub round: u32,
    /// Figures.
    pub figures: Figures,
    /// The load generator's own report.
    pub report: LoadReport,
}

impl Bench {
    /// Works out the rates from the deployment, the workload and the real service time.
    ///
    /// # Errors
    /// The timer can't be calibrated.
    pub async fn new(args: &Args) -> Result<Bench, Report<TaskError>> {
        let service_ms = calibrate(args.service_ms).await?;
        let mut bench = Bench {
            service_ms,
            rates: Vec::new(),
            sound_slots: 0,
            timeout_ms: TIMEOUT_MS,
            firm: args.firm,
            workload: args.workload,
            entry_hosts: args.entry_hosts,
            duration_ms: Millis::from_secs(args.seconds),
            nominal_service_ms: args.service_ms,
            distribution: args.distribution(),
            seed: args.seed,
        };
        for (index, (_, upstreams)) in args.firm.services().iter().enumerate() {
            let sound = (0..*upstreams).filter(|u| args.workload.role(index, *u) == Role::Sound);
            let slots = sound.count() as u32 * args.firm.slots().0;
            bench.sound_slots += slots;
            let capacity = f64::from(slots) / service_ms * 1000.0;
            bench.rates.push(PerSecond(capacity * args.workload.load().0));
        }
        Ok(bench)
    }

    /// Starts a site with a policy, measures it and stops it.
    ///
    /// # Errors
    /// The site does not come up, or something in it can't be reached.
    pub async fn run(
        &self,
        binaries: &Binaries,
        policy: Policy,
        round: u32,
    ) -> Result<RunRecord, Report<TaskError>> {
        let plan = self.site_plan(policy)?;
        let started = Site::start(binaries.clone(), plan).await;
        let mut site = started.change_context(TaskError::Start)?;
        self.set_faults(&site).await?;
        let (outcome, cost) = self.serve(&mut site, round).await?;
        let ledgers = site.ledgers().await.change_context(TaskError::Results)?;
        let ledgers: Vec<Ledger> = ledgers.into_iter().map(|runs| Ledger { runs }).collect();
        let check = LedgerCheck::new(&outcome, &ledgers);
        let figures = Figures::new(&outcome.report, check, cost, &caller(GREEDY_CALLER)?);
        let policy = serde_json::to_value(policy).change_context(TaskError::Results)?;
        let policy = policy.as_str().unwrap_or_default().to_owned();
        Ok(RunRecord { policy, round, figures, report: outcome.report })
    }

    fn site_plan(&self, policy: Policy) -> Result<SitePlan, Report<TaskError>> {
        let upstream = UpstreamPlan {
            slots: self.firm.slots(),
            connections: self.firm.connections(),
            queue: 2 * self.firm.slots().0,
            service_time_ms: self.nominal_service_ms,
            distribution: self.distribution,
            cold_start_ms: Millis::ZERO,
            drain_notice_ms: DRAIN_NOTICE_MS,
        };
        let mut services = Vec::new();
        for (name, upstreams) in self.firm.services() {
            let service = name.parse().change_context(TaskError::Start)?;
            services.push(ServicePlan { service, upstreams, upstream: upstream.clone() });
        }
        let zones = self.firm.zones().iter().map(|zone| zone.parse());
        Ok(SitePlan {
            site: self.firm.site().parse().change_context(TaskError::Start)?,
            availability_zones: zones.collect::<Result<_, _>>().change_context(TaskError::Start)?,
            entry_hosts: self.entry_hosts,
            drain_notice_ms: DRAIN_NOTICE_MS,
            policy,
            zone_delay_ms: self.firm.zone_delay_ms(),
            relayed: self.workload.change() == Change::CutHalf,
            services,
        })
    }

    async fn set_faults(&self, site: &Site) -> Result<(), Report<TaskError>> {
        let mut ordinal = 0;
        for (index, service) in site.plan.services.iter().enumerate() {
            for upstream in 0..service.upstreams {
                let faults = self.workload.faults(index, upstream, ordinal);
                ordinal += 1;
                let process = &site.upstreams[&service.upstream_id(upstream)];
                let set = process.set_faults(&site.client, &faults).await;
                set.change_context(TaskError::Start)?;
            }
        }
        Ok(())
    }

    /// Load and changes side by side.
    async fn serve(
        &self,
        site: &mut Site,
        round: u32,
    ) -> Result<(LoadOutcome, Cost), Report<TaskError>> {
        let load = self.load_plan(&site.plan, round)?;
        let targets = Targets::new(site.entry_hosts.iter().map(|host| Target {
            caller_address: host.settings.caller_address,
            readiness_address: Some(host.settings.operator_address),
        }));
        let before = Counters::read(site).await;
        let start = Instant::now();
        let driver = load::drive(&load, "measure", &targets, std::future::pending());
        let span = Duration::from_millis(load.span_ms().0);
        let change = self.workload.change().carry_out(site, span);
        let (outcome, changed) = tokio::join!(driver, change);
        changed?;
        let cost = Counters::read(site).await.since(&before, start.elapsed());
        Ok((outcome.change_context(TaskError::Load)?, cost))
    }

    fn load_plan(&self, site: &SitePlan, round: u32) -> Result<LoadPlan, Report<TaskError>> {
        let total: f64 = self.rates.iter().map(|rate| rate.0).sum();
        let steady = Stream {
            arrivals: Arrivals::Poisson { per_second: PerSecond(total) },
            callers: callers()?,
            routes: self.routes(site),
        };
        let extra = self.extra_arrivals().map(|arrivals| (arrivals, self.routes(site)));
        let mut streams = vec![steady];
        if let Some((arrivals, routes)) = extra {
            let callers = match self.workload.extra() {
                Extra::GreedyCaller => vec![one_caller(GREEDY_CALLER)?],
                Extra::None | Extra::Bursts { .. } => callers()?,
            };
            streams.push(Stream { arrivals, callers, routes });
        }
        Ok(LoadPlan {
            seed: self.seed + u64::from(round),
            warm_up_ms: WARM_UP_MS,
            duration_ms: self.duration_ms,
            grace_ms: GRACE_MS,
            streams,
        })
    }

    fn extra_arrivals(&self) -> Option<Arrivals> {
        let slots = f64::from(self.sound_slots);
        match self.workload.extra() {
            Extra::None => None,
            Extra::GreedyCaller => {
                let per_second = PerSecond(slots / self.service_ms * 1000.0);
                Some(Arrivals::Poisson { per_second })
            }
            Extra::Bursts { every_ms } => {
                Some(Arrivals::Bursts { size: (slots * BURST_SHARE) as u32, every_ms })
            }
        }
    }

    /// Reads and orders of each service, in proportion to its rate.
    fn routes(&self, site: &SitePlan) -> Vec<RouteLoad> {
        let route = |path, weight, at_most_once| RouteLoad {
            path,
            weight: Share(weight),
            at_most_once,
            body_bytes: BODY_BYTES,
            timeout_ms: self.timeout_ms,
        };
        let of_service = |(service, rate): (&ServicePlan, &PerSecond)| {
            [
                route(service.read_path(), rate.0 * (1.0 - ORDER_SHARE), false),
                route(service.order_path(), rate.0 * ORDER_SHARE, true),
            ]
        };
        site.services.iter().zip(&self.rates).flat_map(of_service).collect()
    }
}

impl fmt::Display for Bench {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rate: f64 = self.rates.iter().map(|rate| rate.0).sum();
        write!(
            f,
            "{} sound slots, service time {:.2} ms, steady arrivals {rate:.0}/s",
            self.sound_slots, self.service_ms
        )
    }
}

impl fmt::Display for RunRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RunRecord { policy, round, figures, report } = self;
        write!(
            f,
            "round {round} {policy:<16} p50 {:.1} p99 {:.1} p99.9 {:.1} ms, refused {:.2}%, {:.0}/s",
            figures.p50_ms,
            figures.p99_ms,
            figures.p999_ms,
            figures.refused_share * 100.0,
            figures.goodput_per_second,
        )?;
        let LoadReport { lost, wrong, samples, .. } = report;
        if figures.has_fault() {
            let Figures { doubled, false_not_run, .. } = figures;
            write!(f, "\n  lost {lost} wrong {wrong} doubled {doubled} false {false_not_run}")?;
        }
        samples.iter().try_for_each(|sample| write!(f, "\n  {sample}"))
    }
}

/// Counters of the whole site at one time.
#[derive(Debug, Default)]
struct Counters {
    hosts: FastMap<HostId, HostCounters>,
    upstreams: FastMap<UpstreamId, u64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct HostCounters {
    probes: f64,
    control_bytes: f64,
}

impl Counters {
    /// Reads what answers; a killed process has no counters.
    async fn read(site: &Site) -> Counters {
        let mut counters = Counters::default();
        for host in &site.entry_hosts {
            if let Ok(metrics) = host.metrics(&site.client).await {
                let probes = metrics.sum(PROBES_METRIC);
                let control_bytes = metrics.sum_where(CONTROL_METRIC, "direction", "out");
                let read = HostCounters { probes, control_bytes };
                counters.hosts.insert(host.settings.host.clone(), read);
            }
        }
        for (id, upstream) in &site.upstreams {
            if let Ok(totals) = upstream.totals(&site.client).await {
                counters.upstreams.insert(id.clone(), totals.health_calls);
            }
        }
        counters
    }

    /// Rates since an earlier reading; a counter that went back was of a new process.
    fn since(&self, earlier: &Counters, elapsed: Duration) -> Cost {
        let seconds = elapsed.as_secs_f64();
        let mut sum = HostCounters::default();
        for (host, now) in &self.hosts {
            let before = earlier.hosts.get(host).copied().unwrap_or_default();
            sum.probes += grown(before.probes, now.probes);
            sum.control_bytes += grown(before.control_bytes, now.control_bytes);
        }
        let health_calls = self.upstreams.iter().map(|(id, now)| {
            let before = earlier.upstreams.get(id).copied().unwrap_or(0);
            grown(before as f64, *now as f64)
        });
        let nodes = self.hosts.len().max(1) as f64;
        let upstreams = self.upstreams.len().max(1) as f64;
        Cost {
            probes_per_second_per_upstream: health_calls.sum::<f64>() / upstreams / seconds,
            probes_per_second_per_node: sum.probes / nodes / seconds,
            control_bytes_per_second_per_node: sum.control_bytes / nodes / seconds,
        }
    }
}

fn grown(before: f64, now: f64) -> f64 {
    if now >= before { now - before } else { now }
}

/// Mean time that a sleep of the service time takes, as the stand-ins sleep.
async fn calibrate(service_ms: Millis) -> Result<f64, Report<TaskError>> {
    let sleeps = (0..CALIBRATION_SLEEPS).map(|i| {
        // Spread over a whole millisecond, as drawn service times are.
        let extra = Duration::from_micros(u64::from(i % 1000));
        let wanted = Duration::from_millis(service_ms.0) + extra;
        tokio::spawn(async move {
            let start = Instant::now();
            tokio::time::sleep(wanted).await;
            start.elapsed().saturating_sub(extra)
        })
    });
    let sleeps: Vec<_> = sleeps.collect();
    let mut total = Duration::ZERO;
    for sleep in sleeps {
        total += sleep.await.change_context(TaskError::Start)?;
    }
    Ok(total.as_secs_f64() * 1000.0 / f64::from(CALIBRATION_SLEEPS))
}

fn callers() -> Result<Vec<Caller>, Report<TaskError>> {
    (1..=CALLERS).map(|number| one_caller(&format!("c{number}"))).collect()
}

fn one_caller(name: &str) -> Result<Caller, Report<TaskError>> {
    Ok(Caller { caller: caller(name)?, weight: Share(1.0) })
}

fn caller(name: &str) -> Result<CallerId, Report<TaskError>> {
    name.parse().change_context(TaskError::Load)
}
