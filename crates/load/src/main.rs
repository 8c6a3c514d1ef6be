//! `jujubeload`: carries out a load plan and prints its figures as JSON.
//!
//! Exit code 0: nothing lost, wrong or doubled; 1: something was; 2: the run could not be
//! carried out.

use clap::Parser;
use error_stack::{Report, ResultExt};
use load::{Ledger, LedgerCheck, LoadOutcome, LoadPlan, LoadReport, Target, Targets};
use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Sends requests at their time, checks every answer, prints figures as JSON.
#[derive(Debug, Parser)]
#[command(name = "jujubeload", version)]
struct Args {
    /// Load plan, a JSON file.
    plan: PathBuf,
    /// Addresses that take requests.
    #[arg(long = "target", required = true)]
    targets: Vec<SocketAddr>,
    /// Operator addresses of the targets, in the same order, to follow their readiness.
    #[arg(long)]
    readiness: Vec<SocketAddr>,
    /// Upstream stand-ins whose ledgers are compared at the end.
    #[arg(long)]
    ledger: Vec<SocketAddr>,
    /// Name of the run: the start of each request id.
    #[arg(long, default_value = "run")]
    run: String,
}

#[derive(Debug, Serialize)]
struct Output {
    #[serde(flatten)]
    report: LoadReport,
    #[serde(flatten)]
    check: LedgerCheck,
}

#[derive(Debug)]
struct RunFailed;

impl fmt::Display for RunFailed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the load could not be run: see the causes below")
    }
}

impl std::error::Error for RunFailed {}

#[tokio::main]
async fn main() -> ExitCode {
    match run(&Args::parse()).await {
        Ok(output) => print(&output),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(2)
        }
    }
}

async fn run(args: &Args) -> Result<Output, Report<RunFailed>> {
    let plan = read_plan(&args.plan)?;
    let targets = Targets::new(args.targets.iter().enumerate().map(|(i, address)| Target {
        caller_address: *address,
        readiness_address: args.readiness.get(i).copied(),
    }));
    let drive = load::drive(&plan, &args.run, &targets, std::future::pending());
    let outcome = drive.await.change_context(RunFailed)?;
    let check = compare(&outcome, &args.ledger).await?;
    Ok(Output { report: outcome.report, check })
}

fn read_plan(path: &Path) -> Result<LoadPlan, Report<RunFailed>> {
    let text = std::fs::read_to_string(path)
        .change_context(RunFailed)
        .attach_with(|| format!("{}: give a file that can be read", path.display()))?;
    serde_json::from_str(&text)
        .change_context(RunFailed)
        .attach_with(|| format!("{}: no load plan", path.display()))
}

async fn compare(
    outcome: &LoadOutcome,
    addresses: &[SocketAddr],
) -> Result<LedgerCheck, Report<RunFailed>> {
    let client = reqwest::Client::builder().no_proxy().build().change_context(RunFailed)?;
    let mut ledgers = Vec::<Ledger>::new();
    for address in addresses {
        ledgers.push(load::read_ledger(&client, *address).await.change_context(RunFailed)?);
    }
    Ok(LedgerCheck::new(outcome, &ledgers))
}

fn print(output: &Output) -> ExitCode {
    match serde_json::to_string(output) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("the figures can't be written as JSON: {error}"),
    }
    let faults = output.report.lost
        + output.report.wrong
        + output.check.doubled
        + output.check.false_not_run;
    if faults == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
