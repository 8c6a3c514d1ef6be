//! Command-line arguments. Doc comments in this file are the help text.

use clap::{ArgGroup, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const EXIT_CODES: &str = "Exit codes:
  0  done, nothing wrong
  1  problems found: a configuration is refused, a process isn't ready or refused the request
  2  wrong usage: bad arguments or an unreadable file
  3  the process can't be reached";

/// Checks and compares configurations, and asks running processes.
#[derive(Debug, Parser)]
#[command(name = "jujubectl", version, after_help = EXIT_CODES)]
pub struct Args {
    /// Print JSON instead of text.
    #[arg(long, global = true)]
    pub json: bool,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a base, alone or with each overlay in turn.
    Check {
        /// File of the base.
        base: PathBuf,
        /// Files of overlays, one for each site.
        overlays: Vec<PathBuf>,
    },
    /// Print what is in force after the overlay is merged into the base, defaults included.
    Render {
        /// File of the base.
        base: PathBuf,
        /// File of the site's overlay.
        overlay: Option<PathBuf>,
    },
    /// Print what publishing these files would change.
    Diff(Diff),
    /// Print the state of a process.
    Dump {
        #[command(flatten)]
        target: Target,
        /// Only this part: a field of the state, nested ones joined by dots.
        part: Option<String>,
    },
    /// Say why an upstream or a call was treated so.
    Explain {
        #[command(subcommand)]
        what: ExplainTarget,
    },
    /// Ask a process to stop gracefully.
    Drain {
        #[command(flatten)]
        target: Target,
    },
    /// Say whether a process is alive and ready.
    Health {
        #[command(flatten)]
        target: Target,
    },
}

#[derive(Debug, clap::Args)]
#[command(group = ArgGroup::new("other").required(true).args(["against", "operator"]))]
pub struct Diff {
    /// Files of the new base and, if any, its overlay.
    #[arg(required = true, num_args = 1..=2, value_names = ["BASE", "OVERLAY"])]
    pub files: Vec<PathBuf>,
    /// Compare with these files: a base and, if any, its overlay.
    #[arg(long, num_args = 1..=2, value_names = ["BASE", "OVERLAY"])]
    pub against: Option<Vec<PathBuf>>,
    /// Compare with what the process at this operator address has in force.
    #[arg(long, value_name = "IP:PORT")]
    pub operator: Option<SocketAddr>,
    /// Longest wait for the process, in milliseconds.
    #[arg(long, default_value = "5000", value_parser = parse_timeout)]
    pub timeout_ms: Duration,
    /// Exit with 1 if anything differs.
    #[arg(long)]
    pub exit_code: bool,
}

#[derive(Debug, Subcommand)]
pub enum ExplainTarget {
    /// Why an upstream receives work or doesn't.
    Upstream {
        /// Its id.
        id: String,
        #[command(flatten)]
        target: Target,
    },
    /// What was decided about a call.
    Call {
        /// Its id.
        id: String,
        #[command(flatten)]
        target: Target,
    },
    /// What hosts logged about a request, merged by time, with its cause.
    Request {
        /// Its id, as the caller set it.
        id: String,
        /// Log files of any hosts; standard input if none is named.
        files: Vec<PathBuf>,
    },
}

/// A running process.
#[derive(Debug, Clone, clap::Args)]
pub struct Target {
    /// Operator address of the process.
    #[arg(long, value_name = "IP:PORT")]
    pub operator: SocketAddr,
    /// Longest wait for the process, in milliseconds.
    #[arg(long, default_value = "5000", value_parser = parse_timeout)]
    pub timeout_ms: Duration,
}

fn parse_timeout(text: &str) -> Result<Duration, String> {
    match text.parse() {
        Ok(0) | Err(_) => Err("write a whole number of milliseconds, at least 1".to_owned()),
        Ok(timeout_ms) => Ok(Duration::from_millis(timeout_ms)),
    }
}
