//! The binaries under test.
//!
//! Built by cargo in the workspace; `JUJUBEDEALD_BIN` and `STANDIN_BIN` name others, for
//! developers who want to run a build of their own.

use crate::error::FleetError;
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

const DAEMON: &str = "jujubedeald";
const STAND_IN: &str = "standin";
const DAEMON_VARIABLE: &str = "JUJUBEDEALD_BIN";
const STAND_IN_VARIABLE: &str = "STANDIN_BIN";

/// How binaries are built.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Profile {
    /// Quick to build.
    Dev,
    /// As the tests of the workspace are built, so that they find everything built already.
    Tests,
    /// For measurements.
    Release,
}

/// Where the binaries are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Binaries {
    /// The daemon.
    pub daemon: PathBuf,
    /// The stand-ins.
    pub stand_in: PathBuf,
}

#[derive(Debug, Deserialize)]
struct CargoMessage {
    reason: String,
    executable: Option<PathBuf>,
}

impl Binaries {
    /// Builds what the environment does not name.
    ///
    /// # Errors
    /// The build fails.
    pub fn build(profile: Profile) -> Result<Binaries, Report<FleetError>> {
        let named = |variable| std::env::var_os(variable).map(PathBuf::from);
        match (named(DAEMON_VARIABLE), named(STAND_IN_VARIABLE)) {
            (Some(daemon), Some(stand_in)) => Ok(Binaries { daemon, stand_in }),
            (daemon, stand_in) => {
                let built = cargo_build(profile)?;
                Ok(Binaries {
                    daemon: daemon.map_or_else(|| find(&built, DAEMON), Ok)?,
                    stand_in: stand_in.map_or_else(|| find(&built, STAND_IN), Ok)?,
                })
            }
        }
    }
}

fn cargo_build(profile: Profile) -> Result<Vec<PathBuf>, Report<FleetError>> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    // Other packages would be compiled with other features of their libraries, a second time.
    let selection: &[&str] = match profile {
        Profile::Tests => &["--workspace", "--bins", "--tests"],
        Profile::Dev | Profile::Release => {
            &["--package", "daemon", "--package", "standins", "--bins"]
        }
    };
    command
        .arg("build")
        .args(selection)
        .arg("--message-format=json-render-diagnostics")
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")))
        .stderr(Stdio::inherit());
    if profile == Profile::Release {
        command.arg("--release");
    }
    let output = command.output().change_context(FleetError::Build)?;
    if !output.status.success() {
        return Err(Report::new(FleetError::Build));
    }
    let text = String::from_utf8_lossy(&output.stdout);
    Ok(text
        .lines()
        .filter_map(|line| serde_json::from_str::<CargoMessage>(line).ok())
        .filter(|message| message.reason == "compiler-artifact")
        .filter_map(|message| message.executable)
        .collect())
}

fn find(built: &[PathBuf], name: &str) -> Result<PathBuf, Report<FleetError>> {
    let is_named = |path: &&PathBuf| path.file_stem().is_some_and(|stem| stem == name);
    let path = built.iter().find(is_named).cloned();
    path.ok_or_else(|| Report::new(FleetError::Build).attach(format!("no binary {name}")))
}
