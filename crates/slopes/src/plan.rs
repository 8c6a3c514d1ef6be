//! From slopes to sums: what a deployment needs, against the limits it was given.

use crate::error::SlopesError;
use crate::report::Report;
use crate::series::{Series, Unit};
use serde::Serialize;
use std::fmt;

const SECONDS_OF_DAY: f64 = 86_400.0;
/// Times the day's mean that the busiest minute may bring.
const BUSY_FACTOR: f64 = 10.0;
const REGIONS: f64 = 11.0;
/// Hosts that a change passes one after the other, each of which puts it in force first.
const HOPS: f64 = 4.0;
/// Keys that a voter remembers, and for how long.
const KEYS_OF_VOTER: f64 = 32_768.0;
const KEY_WINDOW_SECONDS: f64 = 120.0;
const VOTERS: f64 = 15.0;
/// Resident memory of the daemon without calls in a small site: `daemon.resident`.
const PROCESS_BYTES: f64 = 12_455_936.0;
/// The window in which reads of a change were counted, and are to be taken out again.
const COUNTED_SECONDS: f64 = 1.0;

const CHANGES_OF_DAY: f64 = 65_000.0;
const MAX_VALUE_BYTES: f64 = 1e6;
const MAX_CONTROL_CPU_US: f64 = 13_000.0;
const MAX_CONTROL_BYTES: f64 = 5_000.0;
const MAX_MEMORY_BYTES: f64 = 32e6;
const MAX_READS: f64 = 2_000.0;
const MAX_SPREAD_MS: f64 = 3_000.0;
/// One call in a hundred may take longer.
const MAX_STALLED_SHARE: f64 = 0.01;

/// One way to spread instances over sites and hosts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Deployment {
    /// What it stands for.
    pub name: &'static str,
    /// Instances in the configuration of one site.
    pub upstreams: f64,
    /// Services there.
    pub services: f64,
    /// Entry hosts of the site.
    pub hosts: f64,
    /// Sites that read the same configuration service.
    pub sites: f64,
    /// Changes a day that reach one site.
    pub changes_of_day: f64,
}

/// The deployments that the capacity page compares.
pub const DEPLOYMENTS: [Deployment; 6] = [
    Deployment {
        name: "pwani today",
        upstreams: 34.0,
        services: 3.0,
        hosts: 15.0,
        sites: 1.0,
        changes_of_day: 100.0,
    },
    Deployment {
        name: "himal today",
        upstreams: 26.0,
        services: 3.0,
        hosts: 15.0,
        sites: 1.0,
        changes_of_day: 100.0,
    },
    Deployment {
        name: "region, changes in its overlay",
        upstreams: 1_182.0,
        services: 109.0,
        hosts: 33.0,
        sites: REGIONS,
        changes_of_day: CHANGES_OF_DAY / REGIONS,
    },
    Deployment {
        name: "region, changes in the base",
        upstreams: 1_182.0,
        services: 109.0,
        hosts: 33.0,
        sites: REGIONS,
        changes_of_day: CHANGES_OF_DAY,
    },
    Deployment {
        name: "region with every service, changes in the base",
        upstreams: 1_200.0,
        services: 1_200.0,
        hosts: 33.0,
        sites: REGIONS,
        changes_of_day: CHANGES_OF_DAY,
    },
    Deployment {
        name: "all in one site",
        upstreams: 13_000.0,
        services: 1_200.0,
        hosts: 363.0,
        sites: 1.0,
        changes_of_day: CHANGES_OF_DAY,
    },
];

/// Whether a limit is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It is.
    Holds,
    /// It is not.
    DoesNotYet,
    /// There is no limit.
    NoLimit,
}

/// One sum for one deployment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Sum {
    /// What.
    pub name: &'static str,
    /// In what.
    pub unit: Unit,
    /// The series it comes from.
    pub sources: &'static [&'static str],
    /// The computed value.
    pub value: f64,
    /// What it must not exceed.
    pub limit: Option<f64>,
}

impl Sum {
    /// Whether the limit is kept.
    pub fn verdict(&self) -> Verdict {
        match self.limit {
            None => Verdict::NoLimit,
            Some(limit) if self.value <= limit => Verdict::Holds,
            Some(_) => Verdict::DoesNotYet,
        }
    }
}

/// A deployment and its sums.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Plan {
    /// The deployment.
    pub deployment: Deployment,
    /// What it needs.
    pub sums: Vec<Sum>,
}

/// The sums of every deployment.
///
/// # Errors
///
/// If the report lacks a series.
pub fn plans(report: &Report) -> Result<Vec<Plan>, SlopesError> {
    let plan = |&deployment: &Deployment| {
        let slopes = Slopes { report, deployment };
        Ok(Plan { deployment, sums: slopes.sums()? })
    };
    DEPLOYMENTS.iter().map(plan).collect()
}

#[derive(Debug)]
struct Slopes<'a> {
    report: &'a Report,
    deployment: Deployment,
}

impl Slopes<'_> {
    fn sums(&self) -> Result<Vec<Sum>, SlopesError> {
        let mut sums = self.memory_sums()?;
        sums.extend(self.change_sums()?);
        sums.extend(self.control_sums()?);
        sums.extend(self.other_sums()?);
        Ok(sums)
    }

    fn memory_sums(&self) -> Result<Vec<Sum>, SlopesError> {
        let held = self.of_site("memory.after_changes")?;
        let peak = self.of_site("memory.peak_of_change")?;
        let voter = self.at("claim.held", &[KEYS_OF_VOTER])?;
        let node = PROCESS_BYTES + peak + voter;
        Ok(vec![
            sum("value, if all stood in one", Unit::Bytes, &["config.text"], self.text_bytes()?)
                .at_most(MAX_VALUE_BYTES),
            sum("heap held", Unit::Bytes, &["memory.after_changes"], held),
            sum("heap at a change", Unit::Bytes, &["memory.peak_of_change"], peak),
            sum("heap of a full voter", Unit::Bytes, &["claim.held"], voter),
            sum(
                "node: process, change, full voter",
                Unit::Bytes,
                &["daemon.resident", "memory.peak_of_change", "claim.held"],
                node,
            )
            .at_most(MAX_MEMORY_BYTES),
        ])
    }

    fn change_sums(&self) -> Result<Vec<Sum>, SlopesError> {
        let change_us = self.of_site("change.whole")?;
        let stalled = |rate: f64| change_us * rate / 1e6;
        let messages_ms = self.of_hosts_and_text("spread.until_everywhere")?;
        let everywhere_ms = messages_ms + HOPS * change_us / 1e3;
        let source = &["change.whole"];
        Ok(vec![
            sum("one change, calls wait", Unit::CpuMicros, source, change_us),
            sum("part of the time that calls wait", Unit::Share, source, stalled(self.mean_rate()))
                .at_most(MAX_STALLED_SHARE),
            sum("same, busiest minute", Unit::Share, source, stalled(self.busy_rate()))
                .at_most(MAX_STALLED_SHARE),
            sum(
                "change in force at every host",
                Unit::VirtualMillis,
                &["spread.until_everywhere", "change.whole"],
                everywhere_ms,
            )
            .at_most(MAX_SPREAD_MS),
        ])
    }

    fn control_sums(&self) -> Result<Vec<Sum>, SlopesError> {
        let change_us = self.of_site("change.whole")?;
        let quiet_us = self.of_hosts("quiet.control_cpu_of_host")?;
        let cpu_us = |rate: f64| quiet_us + change_us * rate;
        let change_bytes = self.of_hosts_and_text("spread.sent_by_host")?;
        let quiet_bytes = self.of_hosts("quiet.sent_by_host")?;
        let sent = |rate: f64| quiet_bytes + change_bytes * rate;
        let cpu = (Unit::CpuMicrosPerSecond, &["quiet.control_cpu_of_host", "change.whole"]);
        let bytes = (Unit::BytesPerSecond, &["quiet.sent_by_host", "spread.sent_by_host"]);
        let reads =
            (Unit::PerSecond, &["quiet.config_reads_of_site", "spread.config_reads_of_site"]);
        let (mean, busy) = (self.mean_rate(), self.busy_rate());
        Ok(vec![
            sum("control of the core", cpu.0, cpu.1, cpu_us(mean)).at_most(MAX_CONTROL_CPU_US),
            sum("same, busiest minute", cpu.0, cpu.1, cpu_us(busy)).at_most(MAX_CONTROL_CPU_US),
            sum("control sent by a host", bytes.0, bytes.1, sent(mean)).at_most(MAX_CONTROL_BYTES),
            sum("same, busiest minute", bytes.0, bytes.1, sent(busy)).at_most(MAX_CONTROL_BYTES),
            sum("reads of the service by all sites", reads.0, reads.1, self.reads(mean)?)
                .at_most(MAX_READS),
            sum("same, busiest minute", reads.0, reads.1, self.reads(busy)?).at_most(MAX_READS),
        ])
    }

    fn other_sums(&self) -> Result<Vec<Sum>, SlopesError> {
        let voters = VOTERS.min(self.deployment.hosts);
        let keyed = KEYS_OF_VOTER / KEY_WINDOW_SECONDS * self.deployment.hosts / voters;
        let restart = self.of_hosts_and_text("restart.sent_by_all")?;
        let dump = self.of_site("dump.under_lock")?;
        Ok(vec![
            sum(
                "keyed calls of a site until voters are full",
                Unit::PerSecond,
                &["claim.held"],
                keyed,
            ),
            sum("restart of a host, sent by all", Unit::Bytes, &["restart.sent_by_all"], restart),
            sum("dump, calls wait", Unit::CpuMicros, &["dump.under_lock"], dump),
        ])
    }

    fn mean_rate(&self) -> f64 {
        self.deployment.changes_of_day / SECONDS_OF_DAY
    }

    fn busy_rate(&self) -> f64 {
        self.mean_rate() * BUSY_FACTOR
    }

    fn reads(&self, changes_per_second: f64) -> Result<f64, SlopesError> {
        let quiet = self.of_hosts("quiet.config_reads_of_site")?;
        let of_change = self.of_hosts_and_text("spread.config_reads_of_site")?;
        let more = (of_change - quiet * COUNTED_SECONDS).max(0.0);
        Ok(self.deployment.sites * (quiet + more * changes_per_second))
    }

    fn text_bytes(&self) -> Result<f64, SlopesError> {
        self.of_site("config.text")
    }

    fn of_site(&self, name: &'static str) -> Result<f64, SlopesError> {
        self.at(name, &[self.deployment.upstreams, self.deployment.services])
    }

    fn of_hosts(&self, name: &'static str) -> Result<f64, SlopesError> {
        self.at(name, &[self.deployment.hosts])
    }

    fn of_hosts_and_text(&self, name: &'static str) -> Result<f64, SlopesError> {
        self.at(name, &[self.deployment.hosts, self.text_bytes()?])
    }

    fn at(&self, name: &'static str, at: &[f64]) -> Result<f64, SlopesError> {
        let found = self.report.series.iter().find(|series| series.name == name);
        let series: &Series = found.ok_or(SlopesError::NoSeries(name))?;
        Ok(series.fit.at(at).max(0.0))
    }
}

fn sum(name: &'static str, unit: Unit, sources: &'static [&'static str], value: f64) -> Sum {
    Sum { name, unit, sources, value, limit: None }
}

impl Sum {
    fn at_most(self, limit: f64) -> Sum {
        Sum { limit: Some(limit), ..self }
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Deployment { name, upstreams, services, hosts, .. } = self.deployment;
        writeln!(f, "\n{name}: {upstreams} upstreams, {services} services, {hosts} hosts")?;
        for sum in &self.sums {
            let limit = sum.limit.map_or(String::new(), |limit| format!("of {}", Rounded(limit)));
            writeln!(
                f,
                "  {:<54} {:>11} {:<5} {:<14} {}",
                sum.name,
                Rounded(sum.value).to_string(),
                sum.unit.to_string(),
                limit,
                sum.verdict()
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Verdict::Holds => "holds",
            Verdict::DoesNotYet => "does not yet",
            Verdict::NoLimit => "",
        })
    }
}

/// A number with three digits or all before the point.
struct Rounded(f64);

impl fmt::Display for Rounded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            value if value >= 100.0 => write!(f, "{value:.0}"),
            value if value >= 1.0 => write!(f, "{value:.1}"),
            value => write!(f, "{value:.4}"),
        }
    }
}
