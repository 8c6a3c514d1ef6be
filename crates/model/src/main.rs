//! Runs policies over the model and prints a table.

use clap::{Parser, ValueEnum};
use model::report::Report;
use model::sim::run;
use model::site::{Firm, Plan, Scenario, Way};
use std::path::PathBuf;
use std::thread;

/// Weighs policies on the model of one site.
#[derive(Debug, Parser)]
struct Options {
    /// Whose sizes.
    #[arg(long, value_enum, default_value = "pwani")]
    firm: Firm,
    /// What goes wrong.
    #[arg(long, value_enum, default_value = "faults")]
    scenario: Scenario,
    /// Policies; all if none is named.
    #[arg(long, value_enum)]
    policy: Vec<Way>,
    /// Offered load as a share of capacity.
    #[arg(long, default_value_t = 0.7)]
    load: f64,
    /// Entry hosts.
    #[arg(long, default_value_t = 15)]
    hosts: usize,
    /// Seconds measured.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Time that each call is given, in milliseconds.
    #[arg(long, default_value_t = 2000)]
    deadline_ms: u64,
    /// Seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Hedges as a share of first sendings.
    #[arg(long, default_value_t = 0.05)]
    hedge_share: f64,
    /// Control bytes of each host a second.
    #[arg(long, default_value_t = 5000)]
    control_bytes_per_second: u64,
    /// File for the figures as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

impl Options {
    fn plan(&self, way: Way) -> Plan {
        Plan {
            firm: self.firm,
            scenario: self.scenario,
            way,
            load: self.load,
            hosts: self.hosts,
            seconds: self.seconds,
            deadline_ms: self.deadline_ms,
            seed: self.seed,
            hedge_share: self.hedge_share,
            control_bytes_per_second: self.control_bytes_per_second,
        }
    }
}

fn main() -> std::io::Result<()> {
    let options = Options::parse();
    let ways = match options.policy.is_empty() {
        true => Way::value_variants().to_vec(),
        false => options.policy.clone(),
    };
    let reports = run_all(ways.into_iter().map(|way| options.plan(way)).collect());
    println!("{:?} {:?} load {}", options.firm, options.scenario, options.load);
    println!("{}", Report::header());
    for report in &reports {
        println!("{}", report.line());
    }
    if let Some(path) = &options.json {
        std::fs::write(path, serde_json::to_string_pretty(&reports)?)?;
    }
    Ok(())
}

fn run_all(plans: Vec<Plan>) -> Vec<Report> {
    thread::scope(|scope| {
        let runs: Vec<_> = plans.into_iter().map(|plan| scope.spawn(move || run(plan))).collect();
        runs.into_iter().filter_map(|run| run.join().ok()).collect()
    })
}
