//! `jujubectl`, the operators' tool.
//!
//! Checks, merges and compares configuration files offline, and queries running processes at
//! their operator address. Results go to stdout, problems and remedies to stderr.

mod args;
mod configuration;
mod error;
mod explain;
mod operator;
mod output;
mod timeline;

use args::{Args, Command, ExplainTarget};
use clap::Parser;
use error::CtlError;
use error_stack::Report;
use operator::ExplainKind;
use output::{Format, Status};
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = Args::parse();
    let format = Format::new(args.json);
    match run(args.command, format).await {
        Ok(status) => status.into(),
        Err(report) => {
            output::print_error(format, &report);
            report.current_context().status().into()
        }
    }
}

async fn run(command: Command, format: Format) -> Result<Status, Report<CtlError>> {
    match command {
        Command::Check { base, overlays } => configuration::check(format, &base, &overlays),
        Command::Render { base, overlay } => {
            configuration::render(format, &base, overlay.as_deref())
        }
        Command::Diff(diff) => configuration::diff(format, diff).await,
        Command::Dump { target, part } => {
            operator::Client::new(&target)?.dump(format, part.as_deref()).await
        }
        Command::Explain { what: ExplainTarget::Upstream { id, target } } => {
            operator::Client::new(&target)?.explain(format, ExplainKind::Upstream, &id).await
        }
        Command::Explain { what: ExplainTarget::Call { id, target } } => {
            operator::Client::new(&target)?.explain(format, ExplainKind::Call, &id).await
        }
        Command::Explain { what: ExplainTarget::Request { id, files } } => {
            timeline::explain(format, &id, &files)
        }
        Command::Drain { target } => operator::Client::new(&target)?.drain(format).await,
        Command::Health { target } => operator::Client::new(&target)?.health(format).await,
    }
}
