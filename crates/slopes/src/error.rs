//! Why a measurement gave nothing.

use std::fmt;

/// Why a measurement gave nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlopesError {
    /// A generated id is none.
    BadId,
    /// The host never got ready.
    NotReady,
    /// The host refused or held a call that it should have sent.
    CallNotSent,
    /// A value could not be written or read as JSON.
    Json,
    /// The points of a series determine no line.
    Fit(&'static str),
    /// A sum needs a series that was not measured.
    NoSeries(&'static str),
    /// An earlier measurement's peak hides this one's.
    PeakHidden,
    /// The report could not be written.
    Write,
}

impl fmt::Display for SlopesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SlopesError::BadId => f.write_str("a generated id is none: correct the generator"),
            SlopesError::NotReady => {
                f.write_str("the host put no configuration in force: check the generated values")
            }
            SlopesError::CallNotSent => {
                f.write_str("the host sent no attempt: check slots and queue of the generated site")
            }
            SlopesError::Json => f.write_str("a value is no JSON: correct the generator"),
            SlopesError::Fit(name) => write!(f, "no line fits {name}: vary each variable alone"),
            SlopesError::NoSeries(name) => write!(f, "{name} was not measured: add its series"),
            SlopesError::PeakHidden => {
                f.write_str("an earlier peak hides this one: measure the larger site later")
            }
            SlopesError::Write => f.write_str("the report was not written: check its path"),
        }
    }
}

impl std::error::Error for SlopesError {}
