//! The sendings of a request, until it has its final answer.

use super::finding::Found;
use super::in_progress::InProgress;
use super::settling::{Ended, KeptFailure, failure_of};
use super::{Reply, Serving};
use crate::ask;
use crate::backpressure;
use crate::connection::{Answer, Connection, ExchangeError, Expected};
use crate::event_log::{AnswerTo, LogEvent};
use crate::http1::write_request;
use crate::quarantine::{self, BrokenOff};
use dispatch::attempts::{AttemptResult, Cause, Refusal, ResponseSummary};
use dispatch::backpressure::Backpressure;
use dispatch::scheduler::Outcome;
use domain::{Millis, UpstreamId};
use published::{Idempotency, Route};

/// A request that is about to leave for an upstream.
struct Sending {
    found: Found,
    connection: Connection,
    bytes: Vec<u8>,
    guard: InProgress,
    sent_ms: Millis,
    /// The only one of its kind in the fleet.
    is_trial: bool,
}

/// What the sendings of a request came to so far.
#[derive(Debug, Default)]
pub(super) struct SendingCounts {
    /// Upstreams that had it, or could not be reached.
    pub(super) tried: Vec<UpstreamId>,
    /// Sendings.
    pub(super) sent: u32,
    /// Those that reached an upstream.
    pub(super) arrived: u32,
    /// Those that surely did not run.
    pub(super) not_run: u32,
    /// Those under which the upstream crashed.
    pub(super) crashes: u32,
}

impl SendingCounts {
    /// Sendings after which it may have run.
    pub(super) fn may_have_run(&self) -> u32 {
        self.sent - self.not_run
    }
}

impl Serving {
    pub(super) fn route(&self) -> &Route {
        &self.matched.route
    }

    pub(super) async fn run(self) -> Result<Reply, Refusal> {
        let mut counts = SendingCounts::default();
        let mut kept = None;
        let outcome = self.send_until_answered(&mut counts, &mut kept).await;
        if counts.crashes > 0 {
            quarantine::note_over(&self.host, self.fingerprint());
        }
        match (outcome, kept) {
            // What an upstream answered says more than a failure of ours in its place.
            (Err(refusal), Some(KeptFailure { upstream, answer })) if !refusal.is_not_run => {
                Ok(self.deliver(&upstream, answer, &counts))
            }
            (outcome, _) => outcome,
        }
    }

    async fn send_until_answered(
        &self,
        counts: &mut SendingCounts,
        kept: &mut Option<KeptFailure>,
    ) -> Result<Reply, Refusal> {
        loop {
            self.wait_for_trial(counts).await?;
            let (found, connection) = self.find_in_time(counts).await?;
            let sending = self.begin(found, connection, counts)?;
            tokio::select! {
                biased;
                ended = self.send(sending) => {
                    if let Some(outcome) = self.settle(ended, counts, kept) {
                        return outcome;
                    }
                }
                () = self.host.clock.sleep_until(self.end_ms) => {
                    return Err(Refusal::may_have_run(Cause::TimedOut));
                }
            }
        }
    }

    fn begin(
        &self,
        mut found: Found,
        connection: Connection,
        counts: &mut SendingCounts,
    ) -> Result<Sending, Refusal> {
        let now_ms = self.host.now_ms();
        self.check_time(now_ms, counts)?;
        let is_trial = match self.admit(counts) {
            Ok(is_trial) => is_trial,
            Err(refusal) => {
                self.host.pool.borrow_mut().put(&found.upstream, connection);
                return Err(refusal);
            }
        };
        if is_trial {
            quarantine::begin_trial(&self.host, self.fingerprint(), self.end_ms);
        }
        counts.sent += 1;
        counts.arrived += 1;
        counts.tried.push(found.upstream.clone());
        self.progress.sendings.set(counts.sent);
        self.progress.runs_on.set(self.route().idempotency == Idempotency::AtMostOnce);
        self.note_begin(&found, now_ms, counts.sent);
        if found.held.is_none() {
            self.host.note_sent_rated(&found.upstream);
        }
        let guard = InProgress::begin(&self.host, &found.upstream, found.held.take());
        let bytes = self.encode(&found.upstream, now_ms);
        Ok(Sending { found, connection, bytes, guard, sent_ms: now_ms, is_trial })
    }

    fn note_begin(&self, found: &Found, now_ms: Millis, sending: u32) {
        self.host.metrics.sent(sending > 1);
        let (is_other_zone, warmth) = {
            let upstreams = self.host.upstreams.borrow();
            let known = upstreams.get(&found.upstream);
            (upstreams.is_in_other_zone(&found.upstream), known.map(|known| known.warmth(now_ms)))
        };
        self.host.log.write(&LogEvent::Chosen {
            id: &self.id,
            upstream: &found.upstream,
            expected_work: rounded(found.work),
            cost: rounded(found.cost),
            by: found.by.clone(),
            report_age_ms: found.report_age_ms,
            waited_ms: now_ms.since(found.sought_ms),
            is_other_zone,
            warmth,
        });
        self.host.log.write(&LogEvent::Sent {
            id: &self.id,
            upstream: &found.upstream,
            sending,
            left_ms: self.end_ms.since(now_ms),
        });
    }

    fn encode(&self, upstream: &UpstreamId, now_ms: Millis) -> Vec<u8> {
        let left_ms = self.end_ms.since(now_ms).0.max(1).to_string();
        let marks = [
            (self.host.dialect.deadline_ms, left_ms.as_str()),
            (self.host.dialect.expected_upstream, upstream.as_str()),
        ];
        write_request(&self.request.head, &self.request.body, &marks)
    }

    async fn send(&self, sending: Sending) -> Ended {
        let Sending { found, mut connection, bytes, guard, sent_ms, is_trial } = sending;
        let expected = Expected {
            has_body: self.request.head.method != "HEAD",
            id: Some((self.host.dialect.request_id, &self.id)),
            silence: None,
        };
        let result = tokio::select! {
            // What has come by then is an answer all the same.
            biased;
            result = connection.exchange(&bytes, expected) => result,
            () = guard.run_over() => Err(ExchangeError::Broken),
        };
        let Found { upstream, work, .. } = found;
        let (end, answer) = match result {
            Ok(answer) => (AttemptResult::Answered(self.answered(&answer)), Some(answer)),
            Err(ExchangeError::NotSent) => (AttemptResult::NotSent, None),
            Err(ExchangeError::Broken | ExchangeError::Silent | ExchangeError::Garbled) => {
                (AttemptResult::Broken, None)
            }
        };
        let fields = answer.as_ref().map(|answer| &answer.head.fields);
        if let Some(fields) = fields {
            self.host.note_unread(&upstream, fields, AnswerTo::Request);
        }
        let report = fields.and_then(|fields| ask::read_load(&self.host, fields));
        let backpressure = match (&answer, end) {
            (Some(answer), AttemptResult::Answered(answered)) => {
                backpressure::read(&self.host, &upstream, &answer.head, answered)
            }
            _ => Backpressure::default(),
        };
        if answer.is_some() {
            self.host.pool.borrow_mut().put(&upstream, connection);
        }
        let broke_ms = self.host.now_ms();
        let took_ms = broke_ms.since(sent_ms);
        let failure = failure_of(end);
        let entry = guard.entry();
        guard.end(&self.service, work, Outcome { failure, took_ms, report, backpressure });
        let has_crashed = match entry {
            Some(upstream) if end == AttemptResult::Broken => {
                let fingerprint = self.fingerprint();
                let broken = BrokenOff { fingerprint, upstream, sent_ms, broke_ms };
                // A look that failed is a fault of ours, and says nothing of the upstream.
                quarantine::examine(&self.host, broken).await.unwrap_or(false)
            }
            _ => false,
        };
        Ended { upstream, end, answer, sent_ms, has_crashed, is_trial }
    }

    fn answered(&self, answer: &Answer) -> ResponseSummary {
        let fields = &answer.head.fields;
        let dialect = &self.host.dialect;
        let status = answer.head.status;
        let not_run = status == 421 || fields.get(dialect.not_run).is_some();
        let is_plain = fields.get("content-encoding").is_none();
        ResponseSummary {
            status,
            not_run,
            is_sealed: fields.get(dialect.seal).is_some() && is_plain,
        }
    }
}

/// Two places are enough for logs.
fn rounded(figure: f64) -> f64 {
    (figure * 100.0).round() / 100.0
}
