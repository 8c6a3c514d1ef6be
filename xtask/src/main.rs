//! Repetitive work on the project.
//!
//! `cargo xtask demo` runs the main job end to end on loopback, `cargo xtask measure`
//! compares policies on running processes, `cargo xtask search` plays random scenarios,
//! `cargo xtask days` random days of the users' deployments, `cargo xtask experiment` a
//! service in virtual time; `cargo xtask explain-day` draws where a day's worth went.
//! Every process that is started belongs to a value that kills it when dropped, so errors,
//! signals and panics leave none behind.

mod days;
mod demo;
mod error;
mod experiment;
mod explain_day;
mod measure;
mod search;
mod slopes;

use clap::{Parser, Subcommand};
use error::TaskError;
use error_stack::{Report, ResultExt};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

const INTERRUPTED: u8 = 130;

/// Repetitive work on the project.
#[derive(Debug, Parser)]
#[command(name = "xtask")]
struct Args {
    #[command(subcommand)]
    task: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Play random days on changed copies of a deployment with the users' player.
    Days(days::Args),
    /// Build and run the main job end to end: entry hosts, upstreams, callers, changes.
    Demo(demo::Args),
    /// Play a site in virtual time at several loads, beside a queue that sees all.
    Experiment(experiment::Args),
    /// Draw where a day's worth went, from the users' player's report and our logs.
    ExplainDay(explain_day::Args),
    /// Measure policies side by side on running processes.
    Measure(measure::Args),
    /// Play random scenarios until a promise breaks.
    Search(search::Args),
    /// Measure what the core costs as fleet and configuration grow.
    Slopes(slopes::Args),
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let ended = tokio::select! {
        ended = run(args.task) => ended,
        ended = interrupted() => ended,
    };
    match ended {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

async fn run(task: Task) -> Result<ExitCode, Report<TaskError>> {
    match task {
        Task::Days(args) => days::run(&args).await,
        Task::Demo(args) => demo::run(&args).await,
        Task::Experiment(args) => experiment::run(&args),
        Task::ExplainDay(args) => explain_day::run(&args),
        Task::Measure(args) => measure::run(&args).await,
        Task::Search(args) => search::run(&args),
        Task::Slopes(args) => slopes::run(&args).await,
    }
}

/// Ends when the process is told to stop.
async fn interrupted() -> Result<ExitCode, Report<TaskError>> {
    let mut interrupt = signal(SignalKind::interrupt()).change_context(TaskError::Signals)?;
    let mut terminate = signal(SignalKind::terminate()).change_context(TaskError::Signals)?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    eprintln!("xtask: stopped by a signal; all processes that it started are killed");
    Ok(ExitCode::from(INTERRUPTED))
}
