//! Plays one site at several loads with each policy, and prints what callers get.

use crate::error::TaskError;
use emulator::{Figures, Policy, Site, simulate};
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use std::process::ExitCode;

/// What is played.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// JSON file with `site`, `loads` and `seeds`; each has a default. Fields: `emulator::Site`.
    file: Option<PathBuf>,
    /// Writes the figures here as JSON.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// An experiment's file.
#[derive(Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Experiment {
    site: Site,
    /// In times of what the upstreams can do without neighbours.
    loads: Vec<f64>,
    seeds: Vec<u64>,
}

impl Default for Experiment {
    fn default() -> Experiment {
        let loads = vec![0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0];
        Experiment { site: Site::default(), loads, seeds: vec![1, 2, 3] }
    }
}

/// One play.
#[derive(Debug, Serialize)]
struct Row {
    policy: Policy,
    load: f64,
    seed: u64,
    figures: Figures,
}

/// Plays the experiment; equal files give equal figures.
pub fn run(args: &Args) -> Result<ExitCode, Report<TaskError>> {
    let experiment = match &args.file {
        Some(path) => read(path)?,
        None => Experiment::default(),
    };
    let mut rows = Vec::new();
    println!(
        "| load | policy | in time | again | late | refused | p99 ms | refused after, p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for &load in &experiment.loads {
        for policy in Policy::ALL {
            let played = play_all(&experiment, policy, load);
            print(load, policy, &played);
            rows.extend(played);
        }
    }
    if let Some(out) = &args.out {
        let text = serde_json::to_string_pretty(&rows).change_context(TaskError::Results)?;
        std::fs::write(out, text).change_context(TaskError::Results)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn read(path: &PathBuf) -> Result<Experiment, Report<TaskError>> {
    let text = std::fs::read_to_string(path).change_context(TaskError::Experiment)?;
    serde_json::from_str(&text).change_context(TaskError::Experiment)
}

fn play_all(experiment: &Experiment, policy: Policy, load: f64) -> Vec<Row> {
    let site = Site { load, ..experiment.site.clone() };
    let play_one = |&seed: &u64| Row { policy, load, seed, figures: simulate(&site, policy, seed) };
    experiment.seeds.iter().map(play_one).collect()
}

fn print(load: f64, policy: Policy, rows: &[Row]) {
    let sum = |count: fn(&Figures) -> u64| rows.iter().map(|row| count(&row.figures)).sum::<u64>();
    let most = |time: fn(&Figures) -> u64| rows.iter().map(|row| time(&row.figures)).max();
    let asked = sum(|figures| figures.requests).max(1) as f64;
    let part = |count: fn(&Figures) -> u64| sum(count) as f64 / asked;
    println!(
        "| {load} | {policy:?} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {} |",
        part(|figures| figures.in_time),
        part(|figures| figures.in_time_on_retry),
        part(|figures| figures.late),
        part(|figures| figures.refused),
        most(|figures| figures.response_p99_ms).unwrap_or_default(),
        most(|figures| figures.refusal_p99_ms).unwrap_or_default(),
    );
}
