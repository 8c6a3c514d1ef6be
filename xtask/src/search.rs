//! `cargo xtask search`: random scenarios, played until a promise breaks.
//!
//! A failure is made small and printed in the scenario language, ready to be kept as a
//! file under `crates/scenario/tests/scenarios`.

use crate::error::TaskError;
use error_stack::Report;
use scenario::{Breach, Failure};
use std::process::ExitCode;

/// What to search.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// First seed; each seed gives the same scenarios every time.
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 8)]
    seeds: u64,
    /// Scenarios for each seed.
    #[arg(long, default_value_t = 100)]
    cases: u32,
}

/// Plays them all; fails if a promise broke.
pub fn run(args: &Args) -> Result<ExitCode, Report<TaskError>> {
    let seeds = args.first_seed..args.first_seed.saturating_add(args.seeds);
    let failures = seeds.filter(|&seed| !keeps_promises(seed, args.cases)).count();
    println!("{} seeds of {} scenarios each, {failures} with a failure", args.seeds, args.cases);
    Ok(match failures {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}

fn keeps_promises(seed: u64, cases: u32) -> bool {
    let Err(failure) = scenario::search(seed, cases) else {
        println!("seed {seed}: no promise broken");
        return true;
    };
    print_failure(seed, &failure);
    false
}

fn print_failure(seed: u64, failure: &Failure) {
    let breaches: Vec<String> = failure.breaches.iter().map(Breach::to_string).collect();
    println!("# seed {seed}: {}\n{}", breaches.join("; "), failure.scenario);
}
