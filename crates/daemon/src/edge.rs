//! Refusals at the edge: requests that never reach the core.
//!
//! Nothing of them was sent, so their outcome is always "not run".

use decision_core::{Refusal, RunOutcome};
use http::StatusCode;
use http::header::HeaderName;
use serde::Serialize;
use std::fmt;

/// Why a request is refused before the core sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EdgeRefusal {
    /// The body is larger than allowed.
    BodyTooLarge {
        /// The limit.
        max_bytes: u64,
    },
    /// The body broke off; its caller is most likely gone.
    BodyCut,
    /// A header that decides about the call is malformed.
    Header(HeaderName),
    /// The target can't be passed on unchanged.
    Target,
    /// Neither HTTP/1.1 nor HTTP/2.
    HttpVersion,
    /// Another protocol is asked for.
    Upgrade,
    /// The entry host lost track of the call; whether it ran is unknown.
    Internal,
}

impl EdgeRefusal {
    /// HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            EdgeRefusal::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            EdgeRefusal::BodyCut | EdgeRefusal::Header(_) | EdgeRefusal::Target => {
                StatusCode::BAD_REQUEST
            }
            EdgeRefusal::HttpVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            EdgeRefusal::Upgrade => StatusCode::NOT_IMPLEMENTED,
            EdgeRefusal::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// The cause as it stands in the header.
    pub fn cause(&self) -> &'static str {
        match self {
            EdgeRefusal::BodyTooLarge { .. } => "body-too-large",
            EdgeRefusal::BodyCut => "body-cut",
            EdgeRefusal::Header(_) => "bad-header",
            EdgeRefusal::Target => "bad-target",
            EdgeRefusal::HttpVersion => "http-version",
            EdgeRefusal::Upgrade => "upgrade",
            EdgeRefusal::Internal => "internal",
        }
    }

    /// Whether the request ran.
    pub fn outcome(&self) -> RunOutcome {
        match self {
            EdgeRefusal::Internal => RunOutcome::Unknown,
            _ => RunOutcome::NotRun,
        }
    }

    /// Whether the connection can't be used further, because a body on it was not read.
    pub fn leaves_body_unread(&self) -> bool {
        !matches!(self, EdgeRefusal::Internal)
    }

    fn remedy(&self) -> String {
        match self {
            EdgeRefusal::BodyTooLarge { max_bytes } => {
                format!("send at most {max_bytes} bytes or raise limits.max_body_bytes")
            }
            EdgeRefusal::BodyCut => "send the whole body".into(),
            EdgeRefusal::Header(name) => format!("correct the header {name} or leave it out"),
            EdgeRefusal::Target => {
                "send a path without dot segments and with reserved characters encoded".into()
            }
            EdgeRefusal::HttpVersion => "use HTTP/1.1 or HTTP/2".into(),
            EdgeRefusal::Upgrade => "send a plain request: upgrades and tunnels end here".into(),
            EdgeRefusal::Internal => "report it: the log of the entry host names the call".into(),
        }
    }

    /// The body of the answer.
    pub fn body(&self) -> RefusalBody {
        RefusalBody {
            cause: self.cause().to_owned(),
            outcome: self.outcome(),
            remedy: self.remedy(),
        }
    }
}

impl fmt::Display for EdgeRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.cause(), self.remedy())
    }
}

/// JSON body of an answer that is the entry host's own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RefusalBody {
    /// Why.
    pub cause: String,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// What the caller can do.
    pub remedy: String,
}

impl From<&Refusal> for RefusalBody {
    fn from(refusal: &Refusal) -> RefusalBody {
        RefusalBody {
            cause: refusal.cause.to_string(),
            outcome: refusal.outcome,
            remedy: refusal.cause.remedy().to_owned(),
        }
    }
}
