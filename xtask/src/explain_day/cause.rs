//! Why a request was late or refused, by what its host logged of it.

use super::log::{HostLog, Line};
use domain::FastMap;
use std::fmt;

/// Part of the objective that a wait for a place has to take to be the cause.
const LONG_WAIT: f64 = 0.25;

/// Work, in times of the usual, from which an offer is a bad one.
const BAD_OFFER: f64 = 2.0;

/// Age from which what was known of an upstream was old: its neighbours change within 300 ms.
const OLD_REPORT_MS: f64 = 20.0;

/// The first that holds is taken.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Cause {
    /// A final answer of the host's own.
    Refused(String),
    /// The caller hung up.
    CallerGone,
    /// It was sent more than once.
    SentAgain,
    /// It waited long for its place.
    WaitedLong,
    /// Nothing better was offered.
    BadOffer,
    /// What was known of the upstream was old.
    OldReport,
    /// It took longer than expected.
    RanLonger,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Refused(cause) => write!(f, "refused: {cause}"),
            Cause::CallerGone => write!(f, "its caller left"),
            Cause::SentAgain => write!(f, "late: sent more than once"),
            Cause::WaitedLong => write!(f, "late: waited a quarter of its objective for a place"),
            Cause::BadOffer => write!(f, "late: sent on an offer of twice the usual work"),
            Cause::OldReport => write!(f, "late: what was known of the upstream was old"),
            Cause::RanLonger => write!(f, "late: took longer than expected"),
        }
    }
}

/// What became of a request.
#[derive(Debug)]
pub(super) struct Fate {
    /// Why it was late or refused; none if it was in time.
    pub(super) cause: Option<Cause>,
}

/// The fates of all requests that ended within the log of a host.
pub(super) fn fates(log: &HostLog) -> Vec<Fate> {
    let mut chosen: FastMap<&str, &Line> = FastMap::default();
    let mut fates = Vec::new();
    for line in &log.lines {
        let Some(id) = line.text("id") else { continue };
        let cause = match line.event.as_str() {
            "chosen" => {
                chosen.insert(id, line);
                continue;
            }
            "delivered" => late_cause(line, chosen.remove(id)),
            "refused" => Some(Cause::Refused(line.text("cause").unwrap_or("unknown").to_owned())),
            "caller-gone" => Some(Cause::CallerGone),
            _ => continue,
        };
        fates.push(Fate { cause });
    }
    fates
}

fn late_cause(delivered: &Line, chosen: Option<&Line>) -> Option<Cause> {
    let objective_ms = delivered.number("objective_ms")?;
    if delivered.number("after_ms")? <= objective_ms {
        return None;
    }
    let of_choice = |name: &str| chosen.and_then(|line| line.number(name)).unwrap_or(0.0);
    let causes = [
        (delivered.number("sendings").unwrap_or(1.0) > 1.0, Cause::SentAgain),
        (of_choice("waited_ms") >= LONG_WAIT * objective_ms, Cause::WaitedLong),
        (of_choice("expected_work") >= BAD_OFFER, Cause::BadOffer),
        (of_choice("report_age_ms") >= OLD_REPORT_MS, Cause::OldReport),
        (true, Cause::RanLonger),
    ];
    causes.into_iter().find(|(holds, _)| *holds).map(|(_, cause)| cause)
}
