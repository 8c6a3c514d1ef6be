//! One child process: its listeners, its signals and its end.

use crate::error::FleetError;
use crate::wait::LIMIT;
use domain::Millis;
use error_stack::{Report, ResultExt};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::ffi::OsString;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::str::FromStr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdout, Command};
use tokio::sync::watch;

/// Each process is to stand for a small machine: dozens share this one.
const WORKER_THREADS_VARIABLE: &str = "TOKIO_WORKER_THREADS";
const WORKER_THREADS: &str = "2";
const LOG_TAIL_LINES: usize = 20;

/// What a listener is for, as a process prints it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Callers of an entry host.
    Caller,
    /// Peers of an entry host.
    Peer,
    /// Operators of an entry host.
    Operator,
    /// An upstream stand-in.
    Upstream,
    /// The configuration service's stand-in.
    Config,
    /// The host list's stand-in.
    Hosts,
    /// The balancer's stand-in.
    Balancer,
}

impl FromStr for Role {
    type Err = ();

    fn from_str(text: &str) -> Result<Role, ()> {
        match text {
            "caller" => Ok(Role::Caller),
            "peer" => Ok(Role::Peer),
            "operator" => Ok(Role::Operator),
            "upstream" => Ok(Role::Upstream),
            "config" => Ok(Role::Config),
            "hosts" => Ok(Role::Hosts),
            "balancer" => Ok(Role::Balancer),
            _ => Err(()),
        }
    }
}

/// One `listening <role> <address>` line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listener {
    /// What for.
    pub role: Role,
    /// Where.
    pub address: SocketAddr,
}

impl Listener {
    /// Reads a line of a process's output; other lines give nothing.
    pub fn parse(line: &str) -> Option<Listener> {
        let mut words = line.split_whitespace();
        match (words.next(), words.next(), words.next()) {
            (Some("listening"), Some(role), Some(address)) => {
                Some(Listener { role: role.parse().ok()?, address: address.parse().ok()? })
            }
            _ => None,
        }
    }
}

/// What to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessSpec {
    /// Name in messages, and of the log file.
    pub name: String,
    /// Binary.
    pub program: PathBuf,
    /// Arguments.
    pub args: Vec<OsString>,
}

/// A running child; killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
    listeners: watch::Receiver<Vec<Listener>>,
}

impl Process {
    /// Starts a process whose log goes to a file in `dir`.
    ///
    /// # Errors
    /// The log can't be written or the binary can't be run.
    pub fn start(spec: ProcessSpec, dir: &Path) -> Result<Process, Report<FleetError>> {
        let fail = || FleetError::Start { process: spec.name.clone() };
        let log = dir.join(format!("{}.log", spec.name));
        let stderr = File::options().create(true).append(true).open(&log);
        let mut child = Command::new(&spec.program)
            .args(&spec.args)
            .env(WORKER_THREADS_VARIABLE, WORKER_THREADS)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr.change_context_lazy(fail)?)
            // A terminal's Ctrl-C is for the parent, which then ends its children.
            .process_group(0)
            .kill_on_drop(true)
            .spawn()
            .change_context_lazy(fail)
            .attach_with(|| spec.program.display().to_string())?;
        let (sender, listeners) = watch::channel(Vec::new());
        if let Some(stdout) = child.stdout.take() {
            tokio::spawn(read_listeners(stdout, sender));
        }
        Ok(Process { name: spec.name, child, log, listeners })
    }

    /// Name in messages.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process id, as long as it has not been waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Waits until the process listens in a role.
    ///
    /// # Errors
    /// The process ends first, or says nothing for a long time.
    pub async fn address(&self, role: Role) -> Result<SocketAddr, Report<FleetError>> {
        let mut listeners = self.listeners.clone();
        let has_role = |list: &Vec<Listener>| list.iter().any(|l| l.role == role);
        let waited = tokio::time::timeout(LIMIT, listeners.wait_for(has_role)).await;
        let found = match waited {
            Ok(Ok(list)) => list.iter().find(|l| l.role == role).map(|l| l.address),
            Ok(Err(_)) | Err(_) => None,
        };
        found.ok_or_else(|| self.ended())
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// The process has ended.
    pub fn signal(&self, signal: Signal) -> Result<(), Report<FleetError>> {
        let fail = || FleetError::Signal { process: self.name.clone() };
        let id = self.id().ok_or_else(fail)?;
        kill(Pid::from_raw(id as i32), signal).change_context_lazy(fail)
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process ends with code 0.
    ///
    /// # Errors
    /// It ends otherwise, or not within the limit.
    pub async fn exited(&mut self, limit: Duration) -> Result<(), Report<FleetError>> {
        let timed_out = FleetError::TimedOut {
            condition: format!("{} has ended", self.name),
            limit_ms: Millis(limit.as_millis() as u64),
        };
        match tokio::time::timeout(limit, self.child.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => Err(Report::new(FleetError::BadExit {
                process: self.name.clone(),
                status: status.to_string(),
                log: self.log_tail(),
            })),
            Ok(Err(error)) => Err(Report::new(error).change_context(timed_out)),
            Err(_) => Err(Report::new(timed_out)),
        }
    }

    /// SIGTERM, then waits for exit code 0.
    ///
    /// # Errors
    /// As [`Process::signal`] and [`Process::exited`].
    pub async fn stop(&mut self) -> Result<(), Report<FleetError>> {
        self.signal(Signal::SIGTERM)?;
        self.exited(LIMIT).await
    }

    /// SIGKILL, then waits for the end.
    ///
    /// # Errors
    /// The process has ended already.
    pub async fn kill(&mut self) -> Result<(), Report<FleetError>> {
        let fail = FleetError::Signal { process: self.name.clone() };
        self.child.kill().await.change_context(fail)
    }

    /// The last lines of the process's log.
    pub fn log_tail(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }

    fn ended(&self) -> Report<FleetError> {
        Report::new(FleetError::Ended { process: self.name.clone(), log: self.log_tail() })
    }
}

async fn read_listeners(stdout: ChildStdout, sender: watch::Sender<Vec<Listener>>) {
    let mut lines = BufReader::new(stdout).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some(listener) = Listener::parse(&line) {
            sender.send_modify(|list| list.push(listener));
        }
    }
}
