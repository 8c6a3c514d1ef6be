//! The table for people: medians, with the extremes of the rounds behind the tail.

use crate::measure::figures::{Spread, Summary};

const HEAD: [&str; 13] = [
    "policy",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "max ms",
    "others p99",
    "refused %",
    "refusal p99",
    "goodput/s",
    "failed",
    "probes/s/upstr",
    "ctl B/s/node",
    "faults",
];

/// One line per policy.
pub fn render(summaries: &[Summary]) -> String {
    let head = HEAD.map(str::to_owned);
    let rows: Vec<_> = std::iter::once(head).chain(summaries.iter().map(row)).collect();
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..HEAD.len()).map(width).collect();
    let lines: Vec<String> = rows.iter().map(|row| line(row, &widths)).collect();
    lines.join("\n")
}

fn row(summary: &Summary) -> [String; 13] {
    let percent = |s: Spread| format!("{:.2}", s.median * 100.0);
    [
        summary.policy.clone(),
        one_digit(summary.p50_ms),
        with_extremes(summary.p99_ms),
        with_extremes(summary.p999_ms),
        one_digit(summary.max_ms),
        one_digit(summary.modest_p99_ms),
        percent(summary.refused_share),
        one_digit(summary.refusal_p99_ms),
        format!("{:.0}", summary.goodput_per_second.median),
        format!("{:.0}", summary.failed.median),
        format!("{:.2}", summary.probes_per_second_per_upstream.median),
        format!("{:.0}", summary.control_bytes_per_second_per_node.median),
        format!("{:.0}", summary.faults),
    ]
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths).enumerate().map(|(column, (cell, width))| match column {
        0 => format!("{cell:<width$}"),
        _ => format!("{cell:>width$}"),
    });
    padded.collect::<Vec<_>>().join("  ")
}

fn one_digit(spread: Spread) -> String {
    format!("{:.1}", spread.median)
}

fn with_extremes(spread: Spread) -> String {
    format!("{:.1} ({:.1}-{:.1})", spread.median, spread.min, spread.max)
}
