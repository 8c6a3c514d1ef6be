//! Why a task failed.

use std::fmt;

/// The step that failed; the causes are attached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskError {
    /// The site did not come up.
    Start,
    /// A change of the site while it serves did not work.
    Change,
    /// The load could not be run.
    Load,
    /// The results could not be read or written.
    Results,
    /// A deployment's file can't be read, or days can't be written.
    Files,
    /// An experiment's file can't be read.
    Experiment,
    /// Cargo could not be started.
    Cargo,
    /// Signals can't be received.
    Signals,
}

impl fmt::Display for TaskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TaskError::Start => "the site did not come up: see the causes",
            TaskError::Change => "a change under load did not work: see the causes",
            TaskError::Load => "the load could not be run: see the causes",
            TaskError::Results => "no results: see the causes",
            TaskError::Files => "give a deployment's file and a folder outside of the repository",
            TaskError::Experiment => {
                "give a JSON file with site, loads and seeds, or none: see the causes"
            }
            TaskError::Cargo => "cargo did not start: run the task as `cargo xtask`",
            TaskError::Signals => "signals can't be received: check the limits of the process",
        })
    }
}

impl std::error::Error for TaskError {}
