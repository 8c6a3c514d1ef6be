//! One request, from its arrival to its final answer.

mod in_progress;
mod routing;

use crate::ask::{self, Chosen};
use crate::connection::{Answer, Connection, ExchangeError, Expected};
use crate::event_log::LogEvent;
use crate::host::{Host, duration};
use crate::http1::{RequestHead, write_request};
use crate::ingress::Caller;
use dispatch::attempts::{self, Answered, Cause, End, Next, Refusal, Standing};
use dispatch::{Offer, Patience, SendFailure, UpstreamSet, Verdict};
use domain::{Millis, ServiceName, UpstreamId};
use in_progress::InProgress;
use published::{MatchedRoute, Repeat, Route};
use routing::{next_service, wait_for_routing};
use std::cell::Cell;
use std::rc::Rc;

/// Time between the choice and the sending past which the world is looked at again.
const STALE_CHOICE_MS: Millis = Millis(40);

/// Most sendings of one request, whatever becomes of them.
const MAX_SENDINGS: u32 = 8;

/// A request that has arrived whole.
#[derive(Debug)]
pub struct Request {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// When its head was there.
    pub arrived_ms: Millis,
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Reply {
    /// An upstream's.
    Answer(Answer),
    /// The host's own.
    Refused(Refusal),
}

/// What others may see of a request in progress.
#[derive(Debug, Default)]
pub struct Progress {
    /// It was sent and must not be broken off when its caller leaves: it runs at most once,
    /// and an order half done helps nobody.
    pub runs_on: Cell<bool>,
    /// Sendings so far.
    pub sendings: Cell<u32>,
}

struct Serving {
    host: Rc<Host>,
    caller: Rc<Caller>,
    request: Rc<Request>,
    progress: Rc<Progress>,
    id: String,
    matched: MatchedRoute,
    service: ServiceName,
    end_ms: Millis,
}

/// Counts a request as open, and tells when its caller left it.
struct OpenRequest {
    host: Rc<Host>,
    id: String,
    arrived_ms: Millis,
    progress: Rc<Progress>,
    is_answered: bool,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.host.open_requests.set(self.host.open_requests.get().saturating_sub(1));
        if !self.is_answered {
            self.host.metrics.caller_gone();
            self.host.log.write(&LogEvent::CallerGone {
                id: &self.id,
                after_ms: self.host.now_ms().since(self.arrived_ms),
                sendings: self.progress.sendings.get(),
                runs_on: false,
            });
        }
    }
}

/// Serves a request. Dropped midway, everything in progress for it is withdrawn.
pub async fn serve(
    host: Rc<Host>,
    caller: Rc<Caller>,
    request: Rc<Request>,
    progress: Rc<Progress>,
) -> Reply {
    host.open_requests.set(host.open_requests.get() + 1);
    let id = request.head.fields.get(host.dialect.request_id).unwrap_or_default().to_owned();
    let mut open = OpenRequest {
        host: Rc::clone(&host),
        id: id.clone(),
        arrived_ms: request.arrived_ms,
        progress: Rc::clone(&progress),
        is_answered: false,
    };
    wait_for_routing(&host).await;
    let (route, outcome) = match route(&host, &caller, &request, &progress, &id) {
        Ok(serving) => {
            let name = serving.matched.route.name.clone();
            (name, serving.run().await)
        }
        Err(refusal) => (String::new(), Err(refusal)),
    };
    open.is_answered = true;
    match outcome {
        Ok(reply) => reply,
        Err(refusal) => {
            note_refusal(&host, &id, &route, refusal, &request, &progress);
            Reply::Refused(refusal)
        }
    }
}

fn note_refusal(
    host: &Host,
    id: &str,
    route: &str,
    refusal: Refusal,
    request: &Request,
    progress: &Progress,
) {
    host.metrics.refused(route, refusal.cause);
    host.log.write(&LogEvent::Refused {
        id,
        status: refusal.cause.status(),
        refusal,
        after_ms: host.now_ms().since(request.arrived_ms),
        sendings: progress.sendings.get(),
        picture_age_ms: host.picture_age_ms(),
    });
}

fn route(
    host: &Rc<Host>,
    caller: &Rc<Caller>,
    request: &Rc<Request>,
    progress: &Rc<Progress>,
    id: &str,
) -> Result<Serving, Refusal> {
    let table = host.table.borrow().clone();
    let table = table.ok_or(Refusal::not_run(Cause::NotConfigured))?;
    let authority = request.head.fields.get("host").unwrap_or_default();
    let matched = table.find(authority, request.head.path());
    let matched = matched.ok_or(Refusal::not_run(Cause::NoRoute))?;
    let service = next_service(host, &matched.route)?;
    let now_ms = host.now_ms();
    host.repeats.borrow_mut().earn(now_ms, &service, host.hosts());
    let arrived_ms = request.arrived_ms;
    let stated = request.head.fields.get(host.dialect.deadline_ms);
    let stated_ms = stated.and_then(|text| text.parse::<f64>().ok()).filter(|ms| *ms >= 0.0);
    let deadline_ms = stated_ms.map_or(Millis::MAX, |ms| arrived_ms + Millis(ms as u64));
    let end_ms = deadline_ms.min(arrived_ms + matched.route.timeout_ms);
    host.log.write(&LogEvent::Routed {
        id,
        route: &matched.route.name,
        service: &service,
        routing: matched.version,
        left_ms: end_ms.since(now_ms),
        picture_age_ms: host.picture_age_ms(),
    });
    Ok(Serving {
        host: Rc::clone(host),
        caller: Rc::clone(caller),
        request: Rc::clone(request),
        progress: Rc::clone(progress),
        id: id.to_owned(),
        matched,
        service,
        end_ms,
    })
}

/// How a sending ended.
struct Ended {
    upstream: UpstreamId,
    end: End,
    answer: Option<Answer>,
    sent_ms: Millis,
}

/// A request that is about to leave for an upstream.
struct Sending {
    chosen: Chosen,
    connection: Connection,
    bytes: Vec<u8>,
    guard: InProgress,
    sent_ms: Millis,
}

/// What the sendings of a request came to so far.
#[derive(Default)]
struct Tally {
    tried: Vec<UpstreamId>,
    sent: u32,
    arrived: u32,
    not_run: u32,
}

impl Serving {
    fn route(&self) -> &Route {
        &self.matched.route
    }

    async fn run(self) -> Result<Reply, Refusal> {
        let mut tally = Tally::default();
        loop {
            let sending = self.send_next(&mut tally).await?;
            tokio::select! {
                biased;
                ended = self.send(sending) => {
                    if let Some(outcome) = self.settle(ended, &mut tally) {
                        return outcome;
                    }
                }
                () = tokio::time::sleep(self.host.clock.until(self.end_ms)) => {
                    return Err(Refusal::unknown(Cause::TimedOut));
                }
            }
        }
    }

    /// Chooses an upstream and sends; refuses if there is none or no time left.
    async fn send_next(&self, tally: &mut Tally) -> Result<Sending, Refusal> {
        while tally.sent < MAX_SENDINGS {
            let begun_ms = self.host.now_ms();
            self.check_time(begun_ms, tally)?;
            let chosen = ask::choose(&self.host, &self.service, &tally.tried).await;
            let now_ms = self.host.now_ms();
            self.check_time(now_ms, tally)?;
            let Some(mut chosen) = chosen else { break };
            match self.weigh(now_ms, &chosen, tally) {
                Verdict::Take => {}
                Verdict::AskAgain(pause_ms) => {
                    chosen.put_back(&self.host);
                    tokio::time::sleep(duration(pause_ms)).await;
                    continue;
                }
                Verdict::Refuse => return Err(Refusal::not_run(Cause::Overloaded)),
            }
            let Chosen { connection, upstream, .. } = &mut chosen;
            let connection = match connection.take() {
                Some(connection) => connection,
                None => match ask::connect(&self.host, upstream, self.route().repeat).await {
                    Some(connection) => connection,
                    None => {
                        tally.tried.push(chosen.upstream);
                        continue;
                    }
                },
            };
            if self.host.now_ms().since(begun_ms) > STALE_CHOICE_MS {
                self.check_caller().await;
            }
            if self.host.upstreams.borrow().takes_work(&chosen.upstream) {
                return self.dispatch(chosen, connection, tally);
            }
        }
        Err(match tally.sent > tally.not_run {
            true => Refusal::unknown(Cause::UpstreamFailed),
            false => Refusal::not_run(Cause::NoUpstream),
        })
    }

    /// Only a first sending is kept back: what was sent once has lost its time already.
    fn weigh(&self, now_ms: Millis, chosen: &Chosen, tally: &Tally) -> Verdict {
        if tally.sent > 0 {
            return Verdict::Take;
        }
        let patience = Patience {
            arrived_ms: self.request.arrived_ms,
            objective_ms: self.route().objective_ms,
            end_ms: self.end_ms,
        };
        let expected_ms = self.host.upstreams.borrow().expected_ms(&self.service, chosen.work);
        let verdict = patience.weigh(now_ms, Offer { expected_ms });
        if verdict != Verdict::Take {
            self.host.log.write(&LogEvent::Declined {
                id: &self.id,
                upstream: &chosen.upstream,
                expected_ms,
                asked: chosen.asked,
                answered: chosen.answered,
                objective_left_ms: (patience.arrived_ms + patience.objective_ms).since(now_ms),
                verdict,
            });
        }
        verdict
    }

    /// After a pause of this process the caller may be gone without our knowing. It never
    /// returns then: the request is withdrawn by whoever reads the caller's connection.
    async fn check_caller(&self) {
        if self.caller.is_gone_now() && !self.progress.runs_on.get() {
            std::future::pending::<()>().await;
        }
    }

    fn check_time(&self, now_ms: Millis, tally: &Tally) -> Result<(), Refusal> {
        match now_ms < self.end_ms {
            true => Ok(()),
            false if tally.sent > tally.not_run => Err(Refusal::unknown(Cause::TimedOut)),
            false => Err(Refusal::not_run(Cause::Expired)),
        }
    }

    fn dispatch(
        &self,
        chosen: Chosen,
        connection: Connection,
        tally: &mut Tally,
    ) -> Result<Sending, Refusal> {
        let now_ms = self.host.now_ms();
        self.check_time(now_ms, tally)?;
        tally.sent += 1;
        tally.arrived += 1;
        tally.tried.push(chosen.upstream.clone());
        self.progress.sendings.set(tally.sent);
        self.progress.runs_on.set(self.route().repeat == Repeat::AtMostOnce);
        self.note_dispatch(&chosen, now_ms, tally.sent);
        let guard = InProgress::begin(&self.host, &chosen.upstream);
        let bytes = self.encode(&chosen.upstream, now_ms);
        Ok(Sending { chosen, connection, bytes, guard, sent_ms: now_ms })
    }

    fn note_dispatch(&self, chosen: &Chosen, now_ms: Millis, sending: u32) {
        self.host.metrics.sent(sending > 1);
        let upstreams = self.host.upstreams.borrow();
        self.host.log.write(&LogEvent::Chosen {
            id: &self.id,
            upstream: &chosen.upstream,
            expected_work: rounded(chosen.work),
            cost: rounded(chosen.cost),
            asked: chosen.asked,
            answered: chosen.answered,
            report_age_ms: report_age_ms(&upstreams, &chosen.upstream, now_ms),
            is_other_zone: upstreams.is_other_zone(&chosen.upstream),
        });
        self.host.log.write(&LogEvent::Sent {
            id: &self.id,
            upstream: &chosen.upstream,
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
        let Sending { chosen, mut connection, bytes, guard, sent_ms } = sending;
        let expected = Expected {
            has_body: self.request.head.method != "HEAD",
            id: Some((self.host.dialect.request_id, &self.id)),
            silence: None,
        };
        let result = connection.exchange(&bytes, expected).await;
        let upstream = chosen.upstream;
        let (end, answer) = match result {
            Ok(answer) => (End::Answered(self.answered(&answer)), Some(answer)),
            Err(ExchangeError::NotSent) => (End::NotSent, None),
            Err(ExchangeError::Broken | ExchangeError::Garbled) => (End::Broken, None),
        };
        if let Some(answer) = &answer {
            if let Some(report) = ask::read_load(&self.host, &answer.head.fields) {
                ask::note_report(&self.host, &upstream, report);
            }
            self.host.pool.borrow_mut().put(&upstream, connection);
        }
        let failure = failure_of(end);
        guard.end(failure);
        if failure.is_none() {
            let took_ms = self.host.now_ms().since(sent_ms);
            let mut upstreams = self.host.upstreams.borrow_mut();
            upstreams.note_duration(&self.service, took_ms, chosen.work);
        }
        Ended { upstream, end, answer, sent_ms }
    }

    fn answered(&self, answer: &Answer) -> Answered {
        let fields = &answer.head.fields;
        let dialect = &self.host.dialect;
        let status = answer.head.status;
        let not_run = status == 421 || fields.get(dialect.not_run).is_some();
        let is_plain = fields.get("content-encoding").is_none();
        Answered { status, not_run, is_sealed: fields.get(dialect.seal).is_some() && is_plain }
    }

    /// What follows on an ended sending; none to send again.
    fn settle(&self, ended: Ended, tally: &mut Tally) -> Option<Result<Reply, Refusal>> {
        let now_ms = self.host.now_ms();
        if attempts::is_not_run(ended.end) {
            tally.not_run += 1;
        }
        if ended.end == End::NotSent {
            tally.arrived -= 1;
        }
        self.note_failure(&ended, now_ms);
        let needs_repeat = tally.arrived > 0;
        let standing = Standing {
            repeat: self.route().repeat,
            may_have_run: tally.sent - tally.not_run,
            sent: tally.sent,
            attempts: self.route().attempts,
            left_ms: self.end_ms.since(now_ms),
            is_budget_spent: needs_repeat
                && self.host.repeats.borrow().left(self.host.now_ms(), &self.service) < 1.0,
        };
        match attempts::next(standing, ended.end) {
            Next::Deliver => Some(self.deliver(ended, tally, now_ms)),
            Next::SendAgain => {
                if needs_repeat {
                    self.host.repeats.borrow_mut().take(now_ms, &self.service);
                }
                None
            }
            Next::Refuse(refusal) => Some(Err(refusal)),
        }
    }

    fn deliver(&self, ended: Ended, tally: &Tally, now_ms: Millis) -> Result<Reply, Refusal> {
        let Some(answer) = ended.answer else {
            return Err(Refusal::unknown(Cause::UpstreamFailed));
        };
        let after_ms = now_ms.since(self.request.arrived_ms);
        self.host.metrics.answered(&self.route().name, answer.head.status, duration(after_ms));
        self.host.log.write(&LogEvent::Delivered {
            id: &self.id,
            upstream: &ended.upstream,
            status: answer.head.status,
            after_ms,
            objective_ms: self.route().objective_ms,
            sendings: tally.sent,
        });
        Ok(Reply::Answer(answer))
    }

    fn note_failure(&self, ended: &Ended, now_ms: Millis) {
        let Some(failure) = failure_of(ended.end) else { return };
        self.host.log.write(&LogEvent::SendFailed {
            id: &self.id,
            upstream: &ended.upstream,
            failure,
            after_ms: now_ms.since(ended.sent_ms),
            status: ended.answer.as_ref().map(|answer| answer.head.status),
            is_not_run: attempts::is_not_run(ended.end),
            repeats_left: self.host.repeats.borrow().left(self.host.now_ms(), &self.service),
        });
    }
}

/// Two places are enough for logs.
fn rounded(figure: f64) -> f64 {
    (figure * 100.0).round() / 100.0
}

fn report_age_ms(upstreams: &UpstreamSet, id: &UpstreamId, now_ms: Millis) -> Option<Millis> {
    upstreams.get(id)?.report(now_ms).map(|(_, age_ms)| age_ms)
}

fn failure_of(end: End) -> Option<SendFailure> {
    match end {
        End::Answered(answered) if answered.not_run => Some(SendFailure::Shed),
        End::Answered(answered) if answered.status >= 500 || !answered.is_sealed => {
            Some(SendFailure::ErrorAnswer)
        }
        End::Answered(_) => None,
        End::NotSent | End::Broken => Some(SendFailure::Broken),
    }
}
