//! Sends a request to upstreams until it has its final response.

use super::attempt_end::{EndedAttempt, ErrorResponse, failure_of};
use super::attempt_guard::AttemptGuard;
use super::response_stream::{ResponseStream, StreamedAttempt, UpstreamResponse};
use super::retry_permit::RetryPermit;
use super::selection::Selected;
use super::time_left::stopping_refusal;
use super::{Reply, RoutedRequest};
use crate::backpressure;
use crate::connection::{
    Connection, ExchangeError, Expected, LongBody, LongResponse, MAX_BODY_BYTES, Path, Received,
    Response, Sent, Streaming, Unsent,
};
use crate::event_log::{ResponseTo, RetryCharge};
use crate::host::to_duration;
use crate::links;
use crate::memory::{HeldBytes, HeldFor};
use crate::probe;
use crate::quarantine::{self, BrokenAttempt, Trial};
use dispatch::MAX_SILENCE_MS;
use dispatch::attempts::{AttemptResult, Cause, Refusal};
use dispatch::backpressure::Backpressure;
use dispatch::scheduler::Outcome;
use domain::{Millis, UpstreamId};
use published::{Idempotency, Route};
use std::rc::Rc;

/// One attempt, ready to be sent.
struct Attempt {
    selected: Selected,
    connection: Connection,
    unsent: Unsent,
    /// Accounts for what `unsent` holds of its own.
    held: HeldBytes,
    guard: AttemptGuard,
    sent_ms: Millis,
    /// Set if it is a trial: the only request with its fingerprint that the fleet has in flight.
    trial: Option<Trial>,
}

/// Outcomes of a request's attempts so far.
#[derive(Debug, Default)]
pub(super) struct AttemptCounts {
    /// Upstreams that it was sent to, or that could not be used.
    pub(super) tried: Vec<UpstreamId>,
    /// All attempts, also those of which no byte was sent.
    pub(super) sent: u32,
    /// Attempts of which any byte was sent.
    pub(super) arrived: u32,
    /// Attempts that certainly did not run.
    pub(super) not_run: u32,
    /// Attempts during which the upstream crashed.
    pub(super) crashes: u32,
    /// The reserved retry, from its decision until it is sent.
    pub(super) permit: Option<RetryPermit>,
    /// Whether the last attempt was charged to the retry budget.
    pub(super) charge: RetryCharge,
}

impl AttemptCounts {
    /// Attempts that may have run.
    pub(super) fn may_have_run(&self) -> u32 {
        self.sent - self.not_run
    }
}

impl RoutedRequest {
    pub(super) fn route(&self) -> &Route {
        &self.matched.route
    }

    pub(super) async fn run(self) -> Result<Reply, Refusal> {
        let mut counts = AttemptCounts::default();
        let mut error_response = None;
        let outcome = self.send_until_answered(&mut counts, &mut error_response).await;
        if counts.crashes > 0 {
            quarantine::record_final_response(&self.host, self.fingerprint());
        }
        match (outcome, error_response) {
            // An upstream's error response tells the caller more than a refusal by this host.
            (Err(refusal), Some(ErrorResponse { upstream, response })) if !refusal.is_not_run => {
                Ok(self.deliver(&upstream, response, &counts))
            }
            (outcome, _) => outcome,
        }
    }

    async fn send_until_answered(
        &self,
        counts: &mut AttemptCounts,
        error_response: &mut Option<ErrorResponse>,
    ) -> Result<Reply, Refusal> {
        loop {
            let (selected, connection) = tokio::select! {
                biased;
                selected = self.select_after_trial(counts) => selected?,
                () = self.stop_forbids_sending() => return Err(stopping_refusal(counts)),
            };
            let attempt = self.begin(selected, connection, counts)?;
            tokio::select! {
                biased;
                ended = self.send(attempt) => {
                    if let Some(outcome) = self.handle_end(ended, counts, error_response) {
                        return outcome;
                    }
                }
                failure = self.request.body.failed() => {
                    return Err(Refusal::may_have_run(failure.cause()));
                }
                () = self.host.clock.sleep_until(self.end_ms) => {
                    return Err(Refusal::may_have_run(Cause::TimedOut));
                }
            }
        }
    }

    async fn select_after_trial(
        &self,
        counts: &mut AttemptCounts,
    ) -> Result<(Selected, Connection), Refusal> {
        self.wait_for_trial(counts).await?;
        self.select_in_time(counts).await
    }

    /// Admits an attempt and records its start; refuses if time is up or the request is
    /// quarantined.
    fn begin(
        &self,
        mut selected: Selected,
        connection: Connection,
        counts: &mut AttemptCounts,
    ) -> Result<Attempt, Refusal> {
        let now_ms = self.host.now_ms();
        self.check_time(now_ms, counts)?;
        let is_trial = match self.admit(counts) {
            Ok(is_trial) => is_trial,
            Err(refusal) => {
                self.host.pool.borrow_mut().put(&selected.upstream, connection);
                return Err(refusal);
            }
        };
        let trial = is_trial.then(|| Trial::begin(&self.host, self.fingerprint(), self.end_ms));
        counts.sent += 1;
        counts.arrived += 1;
        counts.charge = match counts.permit.take() {
            Some(permit) => {
                permit.record_sent();
                RetryCharge::Charged
            }
            None => RetryCharge::Free,
        };
        counts.tried.push(selected.upstream.clone());
        self.progress.attempts.set(counts.sent);
        self.progress.sent_ms.set(Some(now_ms));
        self.progress
            .continues_without_caller
            .set(self.route().idempotency == Idempotency::AtMostOnce);
        self.log_attempt(&selected, &connection, now_ms, counts);
        if selected.placement.is_none() {
            self.host.record_rated_send(&selected.upstream);
        }
        let guard = AttemptGuard::begin(
            &self.host,
            &selected.upstream,
            &self.request,
            selected.placement.take(),
        );
        let (head, body) = self.encode(&selected.upstream, now_ms);
        let held = self.host.memory.hold(HeldFor::Attempts);
        held.set(head.len());
        let unsent = Unsent::of_request(head, body);
        Ok(Attempt { selected, connection, unsent, held, guard, sent_ms: now_ms, trial })
    }

    async fn send(&self, attempt: Attempt) -> EndedAttempt {
        let Attempt {
            selected,
            mut connection,
            unsent,
            held: _held,
            mut guard,
            sent_ms,
            mut trial,
        } = attempt;
        let expected = Expected {
            has_body: self.request.head.method != "HEAD",
            max_body_bytes: MAX_BODY_BYTES,
            naming: Some(self.host.dialect.naming(Sent::Request(&self.id))),
            read_timeouts: None,
        };
        if self.request.body.is_awaited() {
            guard.release_slot();
        }
        // Where it can be sent again, another upstream may read it faster.
        if unsent.has_long_body() && self.route().idempotency == Idempotency::AtMostOnce {
            connection.await_window(self.host.clock.time_until(self.end_ms));
        }
        let held = self.host.memory.hold(HeldFor::Responses);
        let streaming = Streaming { held: &held };
        let is_direct = *connection.path() == Path::Direct;
        let exchange = connection.exchange_streaming(unsent, expected, streaming);
        let result = self.watch(exchange, &mut guard, is_direct).await;
        let Selected { upstream, work, .. } = selected;
        let (end, received) = self.attempt_result(&upstream, result);
        match end {
            AttemptResult::Answered(_) => {
                links::record_response(&self.host, &upstream, &connection)
            }
            AttemptResult::Broken if *connection.path() == Path::Direct => {
                links::record_unreached(&self.host, &upstream);
            }
            AttemptResult::Broken | AttemptResult::NotSent => {}
        }
        let head = received.as_ref().map(Received::head);
        let fields = head.map(|head| &head.fields);
        if let Some(fields) = fields {
            self.host.log_unread_headers(&upstream, fields, ResponseTo::Request);
        }
        let report = fields.and_then(|fields| probe::read_load(&self.host, fields));
        let backpressure = match (head, end) {
            (Some(head), AttemptResult::Answered(summary)) => {
                backpressure::read(&self.host, &upstream, head, summary)
            }
            _ => Backpressure::default(),
        };
        self.record_length(received.as_ref(), end);
        // Of a long response: when its head was complete.
        let ended_ms = self.host.now_ms();
        let took_ms = self.request.body.since_sent_ms().unwrap_or(Millis::MAX);
        let took_ms = took_ms.min(ended_ms.since(sent_ms));
        let failure = failure_of(end);
        let entry = guard.entry();
        let outcome = Outcome { failure, took_ms, report, backpressure };
        let response = match received {
            Some(Received::Long(response)) => {
                guard.record_head(&outcome);
                let attempt = StreamedAttempt {
                    host: Rc::clone(&self.host),
                    id: self.id.clone(),
                    upstream: upstream.clone(),
                    service: self.service.clone(),
                    route: self.route_key,
                    work,
                    outcome,
                    sent_ms,
                    head_ms: ended_ms,
                    due_ms: self.end_ms,
                    guard: Some(guard),
                    request: Rc::clone(&self.request),
                    entry: entry.clone(),
                    trial: trial.take(),
                };
                Some(streamed_response(connection, response, attempt, held))
            }
            Some(Received::Whole(response)) => {
                self.host.pool.borrow_mut().put(&upstream, connection);
                guard.end(&self.service, self.route_key, work, outcome);
                let Response { head, body } = response;
                held.set(body.len());
                Some(UpstreamResponse { head, body, held, rest: None })
            }
            None => {
                guard.end(&self.service, self.route_key, work, outcome);
                None
            }
        };
        let has_crashed = match entry {
            Some(upstream) if end == AttemptResult::Broken => {
                let fingerprint = self.fingerprint();
                let broken = BrokenAttempt { fingerprint, upstream, sent_ms, broke_ms: ended_ms };
                quarantine::examine(&self.host, broken, trial.is_some()).await
            }
            _ => false,
        };
        EndedAttempt { upstream, result: end, response, sent_ms, has_crashed, trial }
    }

    /// Waits for the result of an exchange, unless the upstream restarts or its link is lost. A
    /// request that runs at most once waits on behind a lost link, but without its placement.
    async fn watch(
        &self,
        exchange: impl Future<Output = Result<Received, ExchangeError>>,
        guard: &mut AttemptGuard,
        is_direct: bool,
    ) -> Result<Received, ExchangeError> {
        let mut exchange = std::pin::pin!(exchange);
        loop {
            tokio::select! {
                // A response that arrived completely counts even if the upstream has restarted since.
                biased;
                result = &mut exchange => return result,
                () = guard.upstream_restarted() => return Err(ExchangeError::Broken),
                () = links::lost(&self.host, &self.service), if is_direct => break,
                () = clock::sleep(to_duration(MAX_SILENCE_MS)), if is_direct => {
                    links::check_if_silent(&self.host, &self.service);
                }
            }
        }
        guard.release_placement();
        if self.route().idempotency == Idempotency::Idempotent {
            return Err(ExchangeError::Broken);
        }
        tokio::select! {
            biased;
            result = &mut exchange => result,
            () = guard.upstream_restarted() => Err(ExchangeError::Broken),
        }
    }
}

/// A long response, whose rest is read while it is passed on.
fn streamed_response(
    connection: Connection,
    response: LongResponse,
    attempt: StreamedAttempt,
    held: HeldBytes,
) -> UpstreamResponse {
    let head = response.head.clone();
    let (body, first) = LongBody::new(connection, response);
    UpstreamResponse { head, body: first, held, rest: Some(ResponseStream::new(body, attempt)) }
}
