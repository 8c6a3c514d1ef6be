//! The report as the tables of the capacity page.

use crate::frames::Frame;
use crate::outage::Outage;
use crate::plan::{Plan, Sum, Verdict};
use crate::report::Report;
use crate::series::Series;
use std::fmt;

/// Writes a report as Markdown tables.
#[derive(Debug, Clone, Copy)]
pub struct Markdown<'a>(pub &'a Report);

impl fmt::Display for Markdown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { series, frames, outages, plans } = self.0;
        write_sums(f, plans)?;
        write_frames(f, frames)?;
        write_outages(f, outages)?;
        write_series(f, series)
    }
}

fn write_sums(f: &mut fmt::Formatter<'_>, plans: &[Plan]) -> fmt::Result {
    write!(f, "| sum | unit | limit |")?;
    plans.iter().try_for_each(|plan| write!(f, " {} |", plan.deployment.name))?;
    writeln!(f, "\n|---|---|---:|{}", "---:|".repeat(plans.len()))?;
    let rows = plans.first().map_or(0, |plan| plan.sums.len());
    for row in 0..rows {
        let sums: Vec<&Sum> = plans.iter().filter_map(|plan| plan.sums.get(row)).collect();
        let Some(first) = sums.first() else { continue };
        let limit = first.limit.map_or(String::new(), |limit| Short(limit).to_string());
        write!(f, "| {} | {} | {limit} |", first.name, first.unit)?;
        sums.iter().try_for_each(|sum| write!(f, " {} |", Marked(sum)))?;
        writeln!(f)?;
    }
    writeln!(f)
}

fn write_frames(f: &mut fmt::Formatter<'_>, frames: &[Frame]) -> fmt::Result {
    writeln!(f, "| message | frame, B | in a shared frame, B | encode, us | decode, us |")?;
    writeln!(f, "|---|---:|---:|---:|---:|")?;
    for frame in frames {
        let Frame { message, frame_bytes, batched_bytes, encode, decode, .. } = frame;
        let (encode_us, decode_us) = (encode.cpu_ns / 1e3, decode.cpu_ns / 1e3);
        let times = format!("{encode_us:.1} | {decode_us:.1}");
        writeln!(f, "| {message} | {frame_bytes} | {batched_bytes} | {times} |")?;
    }
    writeln!(f)
}

fn write_outages(f: &mut fmt::Formatter<'_>, outages: &[Outage]) -> fmt::Result {
    writeln!(f, "| lost | time since | calls | refused | sent by a live host, B/s |")?;
    writeln!(f, "|---|---|---:|---:|---:|")?;
    for Outage { zones, from_ms, until_ms, calls, refused, sent_by_host } in outages {
        let sent = Short(*sent_by_host);
        writeln!(f, "| one of {zones} | {from_ms} to {until_ms} | {calls} | {refused} | {sent} |")?;
    }
    writeln!(f)
}

fn write_series(f: &mut fmt::Formatter<'_>, series: &[Series]) -> fmt::Result {
    writeln!(f, "| series | unit | intercept | slopes | worst residual |")?;
    writeln!(f, "|---|---|---:|---|---:|")?;
    for series in series {
        let fit = &series.fit;
        let slopes = series.variables.iter().zip(&fit.slopes);
        let slopes = slopes.filter(|(_, slope)| Short(**slope).to_string() != ZERO);
        let slopes: Vec<String> =
            slopes.map(|(variable, slope)| format!("{} per {variable}", Short(*slope))).collect();
        let (name, unit, intercept) = (series.name, series.unit, Short(fit.intercept));
        let residual = fit.worst_residual_share * 100.0;
        let slopes = slopes.join(", ");
        writeln!(f, "| `{name}` | {unit} | {intercept} | {slopes} | {residual:.0}% |")?;
    }
    Ok(())
}

/// A value that breaks its limit stands out.
struct Marked<'a>(&'a Sum);

impl fmt::Display for Marked<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.verdict() {
            Verdict::DoesNotYet => write!(f, "**{}**", Short(self.0.value)),
            Verdict::Holds | Verdict::NoLimit => write!(f, "{}", Short(self.0.value)),
        }
    }
}

const ZERO: &str = "0";

/// A number in three digits or so, thousands set apart.
struct Short(f64);

impl fmt::Display for Short {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.abs() {
            size if size >= 1000.0 => f.write_str(&thousands(self.0)),
            size if size >= 10.0 => write!(f, "{:.0}", self.0),
            size if size >= 1.0 => write!(f, "{:.1}", self.0),
            size if size >= 0.000_05 => write!(f, "{:.4}", self.0),
            _ => f.write_str(ZERO),
        }
    }
}

fn thousands(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (place, digit) in digits.chars().enumerate() {
        if place > 0 && (digits.len() - place).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 { format!("-{text}") } else { text }
}
