//! What the hosts of a whole site spend on each other: quiet, changing and under load.

use crate::error::SlopesError;
use crate::published::{Published, SiteSize};
use crate::series::{Point, Series, Unit, Variable};
use crate::virtual_site::{Counts, Load, VirtualSite};
use domain::Millis;

const START_MS: Millis = Millis(30_000);
const QUIET_MS: Millis = Millis(40_000);
const SETTLE_MS: Millis = Millis(1_000);
const LOADED_MS: Millis = Millis(2_000);
const CHANGE_LIMIT_MS: Millis = Millis(60_000);
const QUIET_HOSTS: [usize; 5] = [13, 15, 35, 100, 250];
const TODAY: SiteSize = SiteSize { upstreams: 34, services: 3 };
/// A region of the target: 13,000 instances and 1,200 services over 11 regions.
const REGION: SiteSize = SiteSize { upstreams: 1_182, services: 109 };

/// A site under load.
#[derive(Debug, Clone, Copy)]
struct Loaded {
    hosts: usize,
    size: SiteSize,
    /// At each host.
    calls_per_second: u64,
    /// Of these.
    keyed_per_second: u64,
}

const fn loaded_site(
    hosts: usize,
    size: SiteSize,
    calls_per_second: u64,
    keyed_per_second: u64,
) -> Loaded {
    Loaded { hosts, size, calls_per_second, keyed_per_second }
}

const LOADED: [Loaded; 9] = [
    loaded_site(15, TODAY, 100, 0),
    loaded_site(15, TODAY, 100, 10),
    loaded_site(15, TODAY, 476, 0),
    loaded_site(15, REGION, 100, 0),
    loaded_site(15, REGION, 476, 10),
    loaded_site(35, REGION, 476, 0),
    loaded_site(35, REGION, 476, 10),
    loaded_site(35, REGION, 2_000, 0),
    loaded_site(60, REGION, 1_000, 0),
];

/// Hosts and size of their site.
const CHANGING: [(usize, SiteSize); 5] = [
    (15, TODAY),
    (15, REGION),
    (35, TODAY),
    (100, TODAY),
    (100, SiteSize { upstreams: 300, services: 30 }),
];

/// Control of a site, for each host.
///
/// # Errors
///
/// If a site does not get ready, or no line fits.
pub fn measure() -> Result<Vec<Series>, SlopesError> {
    let mut series = quiet()?;
    series.extend(changing()?);
    series.extend(restarting()?);
    series.extend(loaded()?);
    series.extend(leasing()?);
    Ok(series)
}

/// A span that was counted.
#[derive(Debug)]
struct Span {
    hosts: usize,
    seconds: f64,
    counts: Counts,
}

impl Span {
    fn sent(&self) -> f64 {
        self.each(self.counts.peer_bytes)
    }

    fn claims_sent(&self) -> f64 {
        self.each(self.counts.claim_bytes)
    }

    fn slots_sent(&self) -> f64 {
        self.each(self.counts.slot_bytes)
    }

    fn control_cpu(&self) -> f64 {
        self.each(self.counts.control_cpu_ns / 1e3)
    }

    fn frames(&self) -> f64 {
        self.each(self.counts.peer_frames as f64)
    }

    fn call_cpu(&self) -> f64 {
        self.counts.call_cpu_ns / 1e3 / (self.counts.calls as f64).max(1.0)
    }

    fn refused(&self) -> f64 {
        self.counts.refused as f64 / self.seconds
    }

    fn config_reads(&self) -> f64 {
        self.counts.config_reads as f64 / self.seconds
    }

    fn probes(&self) -> f64 {
        self.counts.probes as f64 / self.seconds
    }

    fn each(&self, total: f64) -> f64 {
        total / self.hosts as f64 / self.seconds
    }
}

type Part = (&'static str, Unit, fn(&Span) -> f64);

fn series_of(
    parts: &[Part],
    variables: &[Variable],
    spans: &[(Vec<f64>, Span)],
) -> Result<Vec<Series>, SlopesError> {
    let series = |&(name, unit, part): &Part| {
        let points = spans.iter().map(|(at, span)| Point { at: at.clone(), value: part(span) });
        Series::new(name, unit, variables, points.collect())
    };
    parts.iter().map(series).collect()
}

fn quiet() -> Result<Vec<Series>, SlopesError> {
    let mut spans = Vec::new();
    for hosts in QUIET_HOSTS {
        let mut site = ready_site(hosts, TODAY, POLICY)?;
        site.run_quiet(QUIET_MS)?;
        let span = Span { hosts, seconds: QUIET_MS.as_f64() / 1e3, counts: site.counts };
        spans.push((vec![hosts as f64], span));
    }
    let parts: [Part; 5] = [
        ("quiet.sent_by_host", Unit::BytesPerSecond, Span::sent),
        ("quiet.frames_of_host", Unit::PerSecond, Span::frames),
        ("quiet.control_cpu_of_host", Unit::CpuMicrosPerSecond, Span::control_cpu),
        ("quiet.config_reads_of_site", Unit::PerSecond, Span::config_reads),
        ("quiet.probes_of_site", Unit::PerSecond, Span::probes),
    ];
    series_of(&parts, &[Variable::ListedHosts], &spans)
}

fn loaded() -> Result<Vec<Series>, SlopesError> {
    let spans = loaded_spans(POLICY)?;
    let parts: [Part; 7] = [
        ("loaded.sent_by_host", Unit::BytesPerSecond, Span::sent),
        ("loaded.claims_sent_by_host", Unit::BytesPerSecond, Span::claims_sent),
        ("loaded.frames_of_host", Unit::PerSecond, Span::frames),
        ("loaded.control_cpu_of_host", Unit::CpuMicrosPerSecond, Span::control_cpu),
        ("loaded.core_per_call", Unit::CpuMicros, Span::call_cpu),
        ("loaded.refused_of_site", Unit::PerSecond, Span::refused),
        ("loaded.probes_of_site", Unit::PerSecond, Span::probes),
    ];
    series_of(&parts, &LOADED_VARIABLES, &spans)
}

fn leasing() -> Result<Vec<Series>, SlopesError> {
    let spans = loaded_spans("slot-lease")?;
    let parts: [Part; 4] = [
        ("leasing.sent_by_host", Unit::BytesPerSecond, Span::sent),
        ("leasing.slots_sent_by_host", Unit::BytesPerSecond, Span::slots_sent),
        ("leasing.control_cpu_of_host", Unit::CpuMicrosPerSecond, Span::control_cpu),
        ("leasing.core_per_call", Unit::CpuMicros, Span::call_cpu),
    ];
    series_of(&parts, &LOADED_VARIABLES, &spans)
}

const LOADED_VARIABLES: [Variable; 4] = [
    Variable::ListedHosts,
    Variable::Upstreams,
    Variable::CallsPerSecond,
    Variable::KeyedCallsPerSecond,
];

fn loaded_spans(policy: &'static str) -> Result<Vec<(Vec<f64>, Span)>, SlopesError> {
    let mut spans = Vec::new();
    for Loaded { hosts, size, calls_per_second, keyed_per_second } in LOADED {
        let mut site = ready_site(hosts, size, policy)?;
        let load = Load {
            calls_per_second: calls_per_second * hosts as u64,
            keyed_per_second: keyed_per_second * hosts as u64,
        };
        site.run_loaded(SETTLE_MS, load)?;
        site.counts = Counts::default();
        site.run_loaded(LOADED_MS, load)?;
        let at = [hosts, size.upstreams].map(|count| count as f64);
        let rates = [calls_per_second, keyed_per_second].map(|rate| rate as f64);
        let at = [at, rates].concat();
        let span = Span { hosts, seconds: LOADED_MS.as_f64() / 1e3, counts: site.counts };
        spans.push((at, span));
    }
    Ok(spans)
}

fn changing() -> Result<Vec<Series>, SlopesError> {
    let mut everywhere = Vec::new();
    let mut sent = Vec::new();
    let mut reads = Vec::new();
    for (hosts, size) in CHANGING {
        let mut site = ready_site(hosts, size, POLICY)?;
        let overlay_bytes = Published::new(size, POLICY).overlay(0).len() as f64;
        let took_ms = site.change(CHANGE_LIMIT_MS)?;
        site.run_quiet(SETTLE_MS)?;
        let at = vec![hosts as f64, overlay_bytes];
        everywhere.push(Point { at: at.clone(), value: took_ms.as_f64() });
        sent.push(Point { at: at.clone(), value: site.counts.peer_bytes / hosts as f64 });
        reads.push(Point { at, value: site.counts.config_reads as f64 });
    }
    let variables = [Variable::ListedHosts, Variable::TextBytes];
    Ok(vec![
        Series::new("spread.until_everywhere", Unit::VirtualMillis, &variables, everywhere)?,
        Series::new("spread.sent_by_host", Unit::Bytes, &variables, sent)?,
        Series::new("spread.config_reads_of_site", Unit::Count, &variables, reads)?,
    ])
}

fn restarting() -> Result<Vec<Series>, SlopesError> {
    let (mut ready, mut sent, mut reads) = (Vec::new(), Vec::new(), Vec::new());
    for (hosts, size) in CHANGING {
        let mut site = ready_site(hosts, size, POLICY)?;
        let published = Published::new(size, POLICY);
        let text_bytes = (published.base().len() + published.overlay(0).len()) as f64;
        let took_ms = site.restart(CHANGE_LIMIT_MS)?;
        let at = vec![hosts as f64, text_bytes];
        ready.push(Point { at: at.clone(), value: took_ms.as_f64() });
        sent.push(Point { at: at.clone(), value: site.counts.peer_bytes });
        reads.push(Point { at, value: site.counts.config_reads as f64 });
    }
    let variables = [Variable::ListedHosts, Variable::TextBytes];
    Ok(vec![
        Series::new("restart.until_ready", Unit::VirtualMillis, &variables, ready)?,
        Series::new("restart.sent_by_all", Unit::Bytes, &variables, sent)?,
        Series::new("restart.config_reads_of_site", Unit::Count, &variables, reads)?,
    ])
}

const POLICY: &str = "load-aware";

fn ready_site(
    hosts: usize,
    size: SiteSize,
    policy: &'static str,
) -> Result<VirtualSite, SlopesError> {
    let mut site = VirtualSite::new(hosts, Published::new(size, policy))?;
    site.run_quiet(START_MS)?;
    if !site.is_ready() {
        return Err(SlopesError::NotReady);
    }
    site.counts = Counts::default();
    Ok(site)
}
