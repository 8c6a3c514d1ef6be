//! What goes wrong with child processes.

use domain::Millis;
use std::fmt;

/// Why a step with the fleet failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetError {
    /// The binaries can't be built.
    Build,
    /// A process can't be started.
    Start {
        /// Its name.
        process: String,
    },
    /// A process ended when it should not have.
    Ended {
        /// Its name.
        process: String,
        /// The end of its log.
        log: String,
    },
    /// A process ended with an error.
    BadExit {
        /// Its name.
        process: String,
        /// How it ended.
        status: String,
        /// The end of its log.
        log: String,
    },
    /// A process can't be signalled.
    Signal {
        /// Its name.
        process: String,
    },
    /// A condition did not come true.
    TimedOut {
        /// The condition.
        condition: String,
        /// How long it was waited for.
        limit_ms: Millis,
    },
    /// A request to a process failed.
    Request {
        /// Its URL.
        url: String,
    },
    /// Files of the fleet can't be written.
    Files,
    /// No process has this name.
    Unknown {
        /// The name.
        name: String,
    },
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetError::Build => write!(f, "the binaries can't be built: see cargo's output"),
            FleetError::Start { process } => {
                write!(f, "{process} can't be started: check its binary and its settings")
            }
            FleetError::Ended { process, log } => {
                write!(f, "{process} ended unasked: read the end of its log:\n{log}")
            }
            FleetError::BadExit { process, status, log } => {
                write!(f, "{process} ended with {status}: read the end of its log:\n{log}")
            }
            FleetError::Signal { process } => {
                write!(f, "{process} can't be signalled: it has ended")
            }
            FleetError::TimedOut { condition, limit_ms } => {
                write!(f, "not within {limit_ms}: {condition}: look at the processes' state")
            }
            FleetError::Request { url } => write!(f, "no good answer from {url}"),
            FleetError::Files => write!(f, "the temporary files can't be written: check the disk"),
            FleetError::Unknown { name } => write!(f, "nothing here is named {name}"),
        }
    }
}

impl std::error::Error for FleetError {}
