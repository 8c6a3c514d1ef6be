//! Why the process can't start, and what to do about it.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Which listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Callers' requests.
    Caller,
    /// Messages of peer entry hosts.
    Peer,
    /// Operators.
    Operator,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Role::Caller => "caller",
            Role::Peer => "peer",
            Role::Operator => "operator",
        })
    }
}

/// Why the process can't start or go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartError {
    /// The settings file can't be read.
    UnreadableSettings {
        /// The file.
        path: PathBuf,
    },
    /// The settings file is no valid settings.
    InvalidSettings {
        /// The file.
        path: PathBuf,
    },
    /// A setting is neither in the file nor on the command line.
    MissingSetting {
        /// Its name in the file.
        field: &'static str,
    },
    /// An address can't be listened on.
    Bind {
        /// For whom.
        role: Role,
        /// The address.
        address: SocketAddr,
    },
    /// Something that the process needs of the machine is not to be had.
    Machine {
        /// What.
        what: &'static str,
    },
}

impl StartError {
    /// The process's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            StartError::UnreadableSettings { .. }
            | StartError::InvalidSettings { .. }
            | StartError::MissingSetting { .. } => EXIT_SETTINGS,
            StartError::Bind { .. } => EXIT_BIND,
            StartError::Machine { .. } => EXIT_MACHINE,
        }
    }
}

/// Exit code for settings that are missing or wrong.
pub const EXIT_SETTINGS: u8 = 2;
/// Exit code for an address that can't be listened on.
pub const EXIT_BIND: u8 = 3;
/// Exit code for everything else that hinders the start.
pub const EXIT_MACHINE: u8 = 4;

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::UnreadableSettings { path } => {
                let path = path.display();
                write!(f, "can't read the settings file {path}: check the path and its permissions")
            }
            StartError::InvalidSettings { path } => {
                let path = path.display();
                write!(f, "the settings file {path} is not valid: correct the field named below")
            }
            StartError::MissingSetting { field } => {
                let flag = field.replace('_', "-");
                write!(f, "the setting `{field}` is missing: add it to the file or give --{flag}")
            }
            StartError::Bind { role, address } => write!(
                f,
                "can't listen on {address} for the {role} listener: \
                 stop what uses the port or change `{role}_address`"
            ),
            StartError::Machine { what } => {
                write!(f, "can't get {what} from the machine: check its limits")
            }
        }
    }
}

impl std::error::Error for StartError {}
