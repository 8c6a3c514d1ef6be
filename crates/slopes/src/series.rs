//! A quantity at several sizes, and the line through them.

use crate::error::SlopesError;
use crate::fit::{Fit, fit};
use serde::Serialize;
use std::fmt;

/// What a quantity may grow with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Variable {
    /// Instances of all services in the configuration in force.
    Upstreams,
    /// Services in the configuration in force.
    Services,
    /// Instances of the service that a call is for.
    UpstreamsOfService,
    /// Entry hosts on the list.
    ListedHosts,
    /// Bytes of a published value.
    TextBytes,
    /// Calls a second at one entry host.
    CallsPerSecond,
    /// Calls a second at one entry host that carry an idempotency key.
    KeyedCallsPerSecond,
    /// Keys that a voter remembers.
    KeysHeld,
}

/// What a quantity is counted in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Bytes.
    Bytes,
    /// Bytes a second.
    BytesPerSecond,
    /// Microseconds of processor time.
    CpuMicros,
    /// Microseconds of processor time in each second.
    CpuMicrosPerSecond,
    /// Allocations.
    Allocations,
    /// Milliseconds of virtual time.
    VirtualMillis,
    /// Events a second.
    PerSecond,
    /// Events.
    Count,
    /// A part of a whole, 0 to 1.
    Share,
}

/// A value and the sizes it was measured at.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Point {
    /// Sizes, in the order of the series' variables.
    pub at: Vec<f64>,
    /// The value.
    pub value: f64,
}

/// A quantity at several sizes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Series {
    /// What is measured.
    pub name: &'static str,
    /// What it is counted in.
    pub unit: Unit,
    /// What it may grow with.
    pub variables: Vec<Variable>,
    /// The measured values.
    pub points: Vec<Point>,
    /// The line through them.
    pub fit: Fit,
}

impl Series {
    /// Fits a line through points.
    ///
    /// # Errors
    ///
    /// If the points determine none.
    pub fn new(
        name: &'static str,
        unit: Unit,
        variables: &[Variable],
        points: Vec<Point>,
    ) -> Result<Series, SlopesError> {
        let pairs: Vec<_> = points.iter().map(|point| (point.at.clone(), point.value)).collect();
        let fit = fit(&pairs).map_err(|_| SlopesError::Fit(name))?;
        Ok(Series { name, unit, variables: variables.to_vec(), points, fit })
    }
}

impl fmt::Display for Variable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Variable::Upstreams => "upstream",
            Variable::Services => "service",
            Variable::UpstreamsOfService => "upstream of the service",
            Variable::ListedHosts => "listed host",
            Variable::TextBytes => "byte of text",
            Variable::CallsPerSecond => "call/s of a host",
            Variable::KeyedCallsPerSecond => "keyed call/s of a host",
            Variable::KeysHeld => "key held",
        })
    }
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Unit::Bytes => "B",
            Unit::BytesPerSecond => "B/s",
            Unit::CpuMicros => "us",
            Unit::CpuMicrosPerSecond => "us/s",
            Unit::Allocations => "allocations",
            Unit::VirtualMillis => "ms",
            Unit::PerSecond => "/s",
            Unit::Count => "times",
            Unit::Share => "of 1",
        })
    }
}
