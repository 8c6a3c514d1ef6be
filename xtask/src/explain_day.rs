//! `cargo xtask explain-day`: where a day's worth went, from the player's report and our logs.
//!
//! The report tells what callers got, window by window. The logs of some hosts tell why: each
//! late or refused request gets the cause that its own events show, each start the time until
//! the host was ready, each call to the source the reason for which it was made. Causes are
//! looked for in the order in which [`Cause`] lists them, and the first that holds is taken.

mod cause;
mod log;
mod report;
#[cfg(test)]
mod tests;

use crate::error::TaskError;
use cause::{Cause, Fate, fates};
use domain::FastMap;
use error_stack::{Report, ResultExt};
use log::{HostLog, Line};
use report::DayReport;
use std::path::PathBuf;
use std::process::ExitCode;

/// What is explained.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The player's report of a day (`--report`).
    report: PathBuf,
    /// What the player printed with the logs of some hosts (`--log`).
    log: PathBuf,
}

/// Prints the tables.
pub fn run(args: &Args) -> Result<ExitCode, Report<TaskError>> {
    let report = std::fs::read_to_string(&args.report).change_context(TaskError::Files)?;
    let report: DayReport = serde_json::from_str(&report).change_context(TaskError::Results)?;
    let text = std::fs::read_to_string(&args.log).change_context(TaskError::Files)?;
    let logs = log::read(&text);
    print!("{}", explain(&report, &logs));
    Ok(ExitCode::SUCCESS)
}

/// All tables, as Markdown.
fn explain(report: &DayReport, logs: &[HostLog]) -> String {
    let parts = [windows(report), prices(report), requests(logs), starts(logs), readings(logs)];
    parts.join("\n")
}

fn windows(report: &DayReport) -> String {
    let mut text =
        "| from second | asked | in time | late | refused | failed | credit |\n|---|---|---|---|---|---|---|\n"
            .to_owned();
    for window in &report.windows {
        let figures = [window.asked, window.in_time, window.late, window.refused, window.failed];
        let figures = figures.map(|figure| figure.to_string()).join(" | ");
        text.push_str(&format!("| {} | {figures} | {:.3} |\n", window.name, window.credit));
    }
    text
}

/// What cost a thousandth of the day or more.
fn prices(report: &DayReport) -> String {
    const LEAST: f64 = 0.001;
    let mut text = "| what | how much | of the day |\n|---|---|---|\n".to_owned();
    for price in report.prices.iter().filter(|price| price.cost >= LEAST) {
        text.push_str(&format!("| {} | {:.1} | {:.4} |\n", price.name, price.amount, price.cost));
    }
    text
}

fn requests(logs: &[HostLog]) -> String {
    let fates: Vec<Fate> = logs.iter().flat_map(fates).collect();
    let mut text = format!(
        "{} requests on {} hosts\n\n| late or refused, by cause | requests | of all |\n|---|---|---|\n",
        fates.len(),
        logs.len()
    );
    let mut counts: FastMap<&Cause, usize> = FastMap::default();
    for cause in fates.iter().filter_map(|fate| fate.cause.as_ref()) {
        *counts.entry(cause).or_default() += 1;
    }
    let mut counts: Vec<(&Cause, usize)> = counts.into_iter().collect();
    counts.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.to_string().cmp(&b.0.to_string())));
    for (cause, count) in counts {
        let part = count as f64 / fates.len().max(1) as f64;
        text.push_str(&format!("| {cause} | {count} | {part:.4} |\n"));
    }
    text
}

/// From each start to readiness and to the first placed request; logs are cut at starts.
fn starts(logs: &[HostLog]) -> String {
    let (mut ready, mut placed) = (Vec::new(), Vec::new());
    for run in logs.iter().flat_map(HostLog::runs) {
        let Some(start) = run.first() else { continue };
        let since = |wanted: fn(&Line) -> bool| {
            let found = run.iter().find(|line| wanted(line));
            found.map(|line| line.at_ms.since(start.at_ms))
        };
        ready.extend(since(|line| line.event == "ready"));
        placed.extend(since(|line| line.event == "chosen"));
    }
    let row = |name: &str, spans: &mut Vec<domain::Millis>| {
        spans.sort_unstable();
        let at = |percent: usize| {
            let index = spans.len() * percent / 100;
            spans
                .get(index.min(spans.len().saturating_sub(1)))
                .map_or("-".to_owned(), |s| s.to_string())
        };
        format!("| {name} | {} | {} | {} | {} |\n", spans.len(), at(50), at(90), at(100))
    };
    let head =
        "| from a start to | starts | half within | nine in ten | all |\n|---|---|---|---|---|\n";
    format!(
        "{head}{}{}",
        row("readiness", &mut ready),
        row("the first placed request", &mut placed)
    )
}

/// Who read the source, and why.
fn readings(logs: &[HostLog]) -> String {
    let (mut first, mut took_over, mut lost) = (0, 0, 0);
    for line in logs.iter().flat_map(|log| &log.lines) {
        match line.event.as_str() {
            "reading" if line.is("is_reading") && line.number("picture_age_ms").is_none() => {
                first += 1
            }
            "reading" if line.is("is_reading") => took_over += 1,
            "source-lost" => lost += 1,
            _ => {}
        }
    }
    format!(
        "| hosts began to read the source | times |\n|---|---|\n| nobody had told them a picture | {first} |\n\
         | theirs was not confirmed, or it was their turn | {took_over} |\n| it did not answer | {lost} |\n"
    )
}
