//! Policies side by side on running processes.
//!
//! Each round starts a fresh site for every policy, one after the other, so that no policy
//! inherits another's state and a disturbance of the machine meets all of them. Figures are
//! medians over the rounds with their spread; only ratios within one run mean something.

mod added_latency;
mod bench;
mod central;
mod change;
mod figures;
mod firm;
mod table;
mod workload;

use crate::error::TaskError;
use bench::{Bench, RunRecord};
use clap::ValueEnum;
use config::Policy;
use domain::Millis;
use error_stack::{Report, ResultExt};
use figures::Summary;
use firm::Firm;
use fleet::{Binaries, Distribution, Profile};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;
use workload::Workload;

/// Options of the measurement.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Whose deployment.
    #[arg(long, value_enum, default_value_t = Firm::Himal)]
    firm: Firm,
    /// Policies to compare, as the configuration names them.
    #[arg(long, value_delimiter = ',', default_value = DEFAULT_POLICIES)]
    policies: Vec<PolicyName>,
    /// What the site has to bear.
    #[arg(long, value_enum, default_value_t = Workload::Steady70)]
    workload: Workload,
    /// Rounds; each measures every policy once.
    #[arg(long, default_value_t = 3)]
    rounds: u32,
    /// Measured part of each run, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Entry hosts.
    #[arg(long, default_value_t = 15)]
    entry_hosts: u32,
    /// Mean service time of an upstream, in milliseconds.
    #[arg(long, default_value_t = Millis(20))]
    service_ms: Millis,
    /// Distribution of service times.
    #[arg(long, value_enum, default_value_t = ServiceTimes::Exponential)]
    service_times: ServiceTimes,
    /// Seed of arrivals; each round takes the next one.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File for the figures as JSON.
    #[arg(long)]
    out: Option<PathBuf>,
}

const DEFAULT_POLICIES: &str =
    "random,round-robin,least-in-flight,two-choices,load-aware,slot-lease";

/// A policy as the configuration names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
struct PolicyName(Policy);

impl FromStr for PolicyName {
    type Err = serde_json::Error;

    fn from_str(text: &str) -> Result<PolicyName, serde_json::Error> {
        serde_json::from_value(text.into())
    }
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum ServiceTimes {
    /// Always the mean.
    Fixed,
    /// Exponential.
    Exponential,
}

/// The machine-readable result.
#[derive(Debug, Serialize)]
struct Output<'a> {
    firm: Firm,
    workload: Workload,
    entry_hosts: u32,
    rounds: u32,
    seconds: u64,
    service_ms: Millis,
    bench: &'a Bench,
    summaries: &'a [Summary],
    runs: &'a [RunRecord],
}

/// Measures; the exit code is an error if an answer was lost, wrong or doubled where the
/// workload kills no entry host.
pub async fn run(args: &Args) -> Result<ExitCode, Report<TaskError>> {
    println!("building jujubedeald and the stand-ins");
    let binaries = Binaries::build(Profile::Release).change_context(TaskError::Start)?;
    if args.workload == Workload::AddedLatency {
        return added_latency::run(args, &binaries).await;
    }
    let bench = Bench::new(args).await?;
    println!("{bench}");
    let runs = run_rounds(args, &binaries, &bench).await?;
    let mut summaries = Summary::by_policy(&runs);
    summaries.push(Summary::of_runs("central", &central::run(args, &bench)));
    println!("\n{}", table::render(&summaries));
    write(args.out.as_deref(), &args.output(&bench, &summaries, &runs))?;
    Ok(match runs.iter().any(|run| run.figures.has_fault()) {
        true if !args.workload.cuts_answers() => ExitCode::FAILURE,
        _ => ExitCode::SUCCESS,
    })
}

async fn run_rounds(
    args: &Args,
    binaries: &Binaries,
    bench: &Bench,
) -> Result<Vec<RunRecord>, Report<TaskError>> {
    let mut runs = Vec::new();
    for round in 0..args.rounds {
        for policy in &args.policies {
            let run = bench.run(binaries, policy.0, round).await?;
            println!("{run}");
            runs.push(run);
        }
    }
    Ok(runs)
}

fn write(path: Option<&Path>, output: &impl Serialize) -> Result<(), Report<TaskError>> {
    let Some(path) = path else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(output).change_context(TaskError::Results)?;
    std::fs::write(path, text)
        .change_context(TaskError::Results)
        .attach_with(|| format!("{}: name a file that can be written", path.display()))
}

impl Args {
    fn distribution(&self) -> Distribution {
        match self.service_times {
            ServiceTimes::Fixed => Distribution::Fixed,
            ServiceTimes::Exponential => Distribution::Exponential,
        }
    }

    fn output<'a>(
        &self,
        bench: &'a Bench,
        summaries: &'a [Summary],
        runs: &'a [RunRecord],
    ) -> Output<'a> {
        Output {
            firm: self.firm,
            workload: self.workload,
            entry_hosts: self.entry_hosts,
            rounds: self.rounds,
            seconds: self.seconds,
            service_ms: self.service_ms,
            bench,
            summaries,
            runs,
        }
    }
}
