//! What the head of a response says about the next exchange on its connection.

use super::{Expected, Sent};
use crate::http1::ResponseHead;
use std::time::Duration;

/// Idle time after which a connection isn't reused, if the upstream states no `keep-alive` timeout.
pub(super) const DEFAULT_IDLE: Duration = Duration::from_secs(8);

/// Share of a stated idle time for which a connection is reused. One that was idle for long is
/// probed first, so an early close costs no request.
const IDLE_SHARE: f64 = 0.9;

/// What was answered on a connection so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Answered {
    Nothing,
    /// Requests without an id.
    Probes,
    /// A request, by a response that names it.
    Named,
}

/// What the head of a response says about the next exchange on its connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExchangeEnd {
    /// How long the connection may be idle.
    pub(super) idle_limit: Duration,
    /// What was answered on the connection, including this response.
    pub(super) answered: Answered,
    /// Whether this is the response to a probe, and names nobody.
    pub(super) is_unnamed: bool,
    /// Whether nothing in the head prevents another exchange.
    pub(super) may_reuse: bool,
    /// Whether the status is an error.
    pub(super) is_doubtful: bool,
}

impl ExchangeEnd {
    pub(super) fn new(
        head: &ResponseHead,
        expected: &Expected<'_>,
        before: Answered,
    ) -> ExchangeEnd {
        let request = expected.naming.filter(|naming| naming.sent != Sent::Probe);
        let is_named = request.is_none_or(|naming| head.fields.get(naming.header).is_some());
        let probe = expected.naming.filter(|naming| naming.sent == Sent::Probe);
        let is_unnamed = probe.is_some_and(|naming| head.fields.get(naming.probe_header).is_none());
        let answered = match (request, before) {
            (Some(_), _) => Answered::Named,
            (None, Answered::Nothing) => Answered::Probes,
            (None, answered) => answered,
        };
        ExchangeEnd {
            idle_limit: stated_idle(head).unwrap_or(DEFAULT_IDLE),
            answered,
            is_unnamed,
            may_reuse: head.keeps_alive && is_named,
            is_doubtful: head.status >= 400,
        }
    }
}

fn stated_idle(head: &ResponseHead) -> Option<Duration> {
    let value = head.fields.get("keep-alive")?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: f64 = seconds.trim().parse().ok()?;
    (0.0..1e6).contains(&seconds).then(|| Duration::from_secs_f64(seconds * IDLE_SHARE))
}
