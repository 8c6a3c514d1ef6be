//! Starts the slopes' measurement in a release build.
//!
//! It runs as a process of its own, because it counts every allocation of the process.

use crate::error::TaskError;
use error_stack::{Report, ResultExt};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::process::Command;

/// What to do with the slopes.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Also write the report to this file, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Measures and prints; the exit code is the measurement's.
///
/// # Errors
///
/// If cargo can't be started.
pub async fn run(args: &Args) -> Result<ExitCode, Report<TaskError>> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["run", "--quiet", "--release", "--package", "slopes", "--"]);
    if let Some(path) = &args.json {
        command.arg("--json").arg(path);
    }
    let status = command.kill_on_drop(true).status().await;
    let status = status.change_context(TaskError::Cargo)?;
    Ok(if status.success() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
