//! What the parts cost as fleet, configuration and calls grow.
//!
//! The core's slopes are measured by a process of its own in a release build, because it
//! counts every allocation of the process; the daemon's on a running site.

mod daemon;

use crate::error::TaskError;
use error_stack::{Report, ResultExt};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::process::Command;

/// What to measure, and where to write it.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Also write the report to this file, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Print the tables of docs/CAPACITY.md instead of all points.
    #[arg(long, conflicts_with = "daemon")]
    markdown: bool,
    /// Measure the daemon on a running site instead of the core.
    #[arg(long)]
    daemon: bool,
}

/// Measures and prints.
///
/// # Errors
///
/// If a process can't be started, or the report can't be written.
pub async fn run(args: &Args) -> Result<ExitCode, Report<TaskError>> {
    match args.daemon {
        true => daemon_slopes(args).await,
        false => core_slopes(args).await,
    }
}

async fn core_slopes(args: &Args) -> Result<ExitCode, Report<TaskError>> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["run", "--quiet", "--release", "--package", "slopes", "--"]);
    if let Some(path) = &args.json {
        command.arg("--json").arg(path);
    }
    if args.markdown {
        command.arg("--markdown");
    }
    let status = command.kill_on_drop(true).status().await;
    let status = status.change_context(TaskError::Cargo)?;
    Ok(if status.success() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn daemon_slopes(args: &Args) -> Result<ExitCode, Report<TaskError>> {
    let series = daemon::run().await?;
    if let Some(path) = &args.json {
        let json = serde_json::to_string_pretty(&series).change_context(TaskError::Results)?;
        std::fs::write(path, json + "\n").change_context(TaskError::Results)?;
    }
    Ok(ExitCode::SUCCESS)
}
