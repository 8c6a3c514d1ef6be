//! All measurements, as a table and as JSON.

use crate::error::SlopesError;
use crate::frames::{self, Frame};
use crate::meter::Meter;
use crate::outage::{self, Outage};
use crate::plan::{Plan, plans};
use crate::series::Series;
use crate::{calls, changes, claims, fleet, memory, operator, site};
use serde::Serialize;
use std::fmt;

/// All that was measured.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Quantities and their lines.
    pub series: Vec<Series>,
    /// Messages on the wire.
    pub frames: Vec<Frame>,
    /// A region that loses an availability zone.
    pub outages: Vec<Outage>,
    /// What deployments need.
    pub plans: Vec<Plan>,
}

/// Measures everything; takes a minute or two.
///
/// # Errors
///
/// If one measurement gives nothing.
pub fn measure_all(meter: &Meter) -> Result<Report, SlopesError> {
    let mut series = memory::measure(meter)?;
    series.extend(changes::measure(meter)?);
    series.extend(calls::measure(meter)?);
    series.extend(fleet::measure(meter)?);
    series.extend(operator::measure(meter)?);
    series.extend(claims::measure(meter)?);
    series.extend(site::measure()?);
    let frames = frames::measure(meter)?;
    let mut report = Report { series, frames, outages: outage::measure()?, plans: Vec::new() };
    report.plans = plans(&report)?;
    Ok(report)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for series in &self.series {
            write!(f, "{series}")?;
        }
        writeln!(
            f,
            "\n{:<34} {:>8} {:>8} {:>8} {:>10} {:>10}",
            "message", "frame B", "batch B", "conf. B", "encode us", "decode us"
        )?;
        for frame in &self.frames {
            writeln!(
                f,
                "{:<34} {:>8} {:>8} {:>8} {:>10.2} {:>10.2}",
                frame.message,
                frame.frame_bytes,
                frame.batched_bytes,
                frame.confirmation_bytes,
                frame.encode.cpu_ns / 1e3,
                frame.decode.cpu_ns / 1e3,
            )?;
        }
        writeln!(f, "\nafter the loss of an availability zone")?;
        self.outages.iter().try_for_each(|outage| writeln!(f, "  {outage}"))?;
        self.plans.iter().try_for_each(|plan| write!(f, "{plan}"))
    }
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Series { name, unit, fit, .. } = self;
        write!(f, "\n{name}: {} {unit}", Short(fit.intercept))?;
        for (variable, slope) in self.variables.iter().zip(&fit.slopes) {
            write!(f, " + {} {unit} per {variable}", Short(*slope))?;
        }
        writeln!(f, " (worst residual {:.1}%)", fit.worst_residual_share * 100.0)?;
        for point in &self.points {
            let at = self.variables.iter().zip(&point.at);
            let at: Vec<String> = at.map(|(variable, x)| format!("{variable} {x}")).collect();
            writeln!(f, "  {:<46} {:>14} {unit}", at.join(", "), Short(point.value))?;
        }
        Ok(())
    }
}

/// A number with as many decimals as it needs.
struct Short(f64);

impl fmt::Display for Short {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.abs() {
            size if size >= 1000.0 => write!(f, "{:.0}", self.0),
            size if size >= 10.0 => write!(f, "{:.1}", self.0),
            _ => write!(f, "{:.4}", self.0),
        }
    }
}

impl fmt::Display for Outage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outage { zones, from_ms, until_ms, calls, refused, sent_by_host } = self;
        write!(f, "one of {zones}, {from_ms} to {until_ms}: {refused} of {calls} calls refused, ")?;
        write!(f, "{sent_by_host:.0} B/s sent by a live host")
    }
}
