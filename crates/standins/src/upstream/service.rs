//! One request to an upstream, from its head to its answer.

use crate::server::{
    close_connection, header, parsed_header, read_json, set_header, write_json, write_text,
};
use crate::upstream::slots::{Admission, Permit, Place};
use crate::upstream::{Answer, Health, Totals, UpstreamFaults, UpstreamState, lock, span};
use bytes::Bytes;
use domain::{ByteCount, Millis};
use futures_util::stream;
use salvo::handler;
use salvo::http::ResBody;
use salvo::http::{Method, Request, Response, StatusCode};
use serde::Serialize;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Answers everything that comes to an upstream.
pub(super) struct UpstreamService {
    pub(super) state: Arc<UpstreamState>,
}

/// What a request is for.
enum Endpoint {
    Health,
    Runs,
    Totals,
    Faults,
    SetFaults,
    Unknown,
    Work,
}

impl Endpoint {
    fn of(req: &Request) -> Endpoint {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/health") => Endpoint::Health,
            (&Method::GET, "/standin/runs") => Endpoint::Runs,
            (&Method::GET, "/standin/totals") => Endpoint::Totals,
            (&Method::GET, "/standin/faults") => Endpoint::Faults,
            (&Method::POST, "/standin/faults") => Endpoint::SetFaults,
            (_, path) if path.starts_with("/standin/") => Endpoint::Unknown,
            _ => Endpoint::Work,
        }
    }
}

#[derive(Debug, Serialize)]
struct HealthReport {
    state: Health,
    busy: domain::Slots,
    queued: u32,
}

/// A request for work.
struct Work {
    request: Option<String>,
    deadline: Option<Instant>,
    padding: ByteCount,
    body: Bytes,
}

/// How a request for work ends.
enum Reply {
    Answered(Answer),
    FailedFast,
    Redirected(String),
    Refused(Refused),
    Closed,
}

/// Why a request did not run.
enum Refused {
    QueueFull,
    Expired,
}

#[handler]
impl UpstreamService {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let state = &self.state;
        match Endpoint::of(req) {
            Endpoint::Health => self.health(req, res).await,
            Endpoint::Runs => write_json(res, StatusCode::OK, &*lock(&state.runs)),
            Endpoint::Totals => write_json(res, StatusCode::OK, &*lock(&state.totals)),
            Endpoint::Faults => write_json(res, StatusCode::OK, &state.faults()),
            Endpoint::SetFaults => self.set_faults(req, res).await,
            Endpoint::Unknown => {
                write_text(res, StatusCode::NOT_FOUND, "ask for runs, totals or faults");
            }
            Endpoint::Work => self.work(req, res).await,
        }
    }
}

impl UpstreamService {
    async fn set_faults(&self, req: &mut Request, res: &mut Response) {
        if let Some(faults) = read_json(req, res).await {
            self.state.set_faults(faults);
            write_text(res, StatusCode::OK, "set");
        }
    }

    async fn health(&self, req: &Request, res: &mut Response) {
        self.count(|totals| totals.health_calls += 1);
        let delay = self.zone_delay(req);
        pass_time(delay).await;
        let faults = self.state.faults();
        let health = self.state.health(&faults);
        let load = self.state.reported_load(&faults);
        let status = match health {
            Health::Unhealthy => StatusCode::INTERNAL_SERVER_ERROR,
            Health::Serving | Health::Starting | Health::Leaving => StatusCode::OK,
        };
        let report = HealthReport { state: health, busy: load.busy, queued: load.queued };
        write_json(res, status, &report);
        pass_time(delay).await;
    }

    async fn work(&self, req: &mut Request, res: &mut Response) {
        let arrived = Instant::now();
        let Some(work) = read_work(req, res, arrived).await else { return };
        self.count(|totals| totals.received += 1);
        let delay = self.zone_delay(req);
        pass_time(delay).await;
        let faults = self.state.faults();
        let reply = self.reply(&work, &faults).await;
        if matches!(reply, Reply::Closed) {
            return close_connection(req).await;
        }
        self.write_load(res, &faults);
        self.write_reply(res, reply, &faults);
        pass_time(delay).await;
    }

    async fn reply(&self, work: &Work, faults: &UpstreamFaults) -> Reply {
        if let Some(location) = &faults.redirect {
            return Reply::Redirected(location.clone());
        }
        if self.state.hits(faults.fail_fast_share) {
            self.start_run(work);
            return Reply::FailedFast;
        }
        let admission = self.state.slots.admit();
        self.state.note_load(faults);
        match admission {
            Admission::Run(permit) => self.run(work, permit, faults).await,
            Admission::Wait(place) => self.wait(work, place, faults).await,
            Admission::Shed => {
                self.count(|totals| totals.shed += 1);
                Reply::Refused(Refused::QueueFull)
            }
        }
    }

    async fn wait(&self, work: &Work, mut place: Place, faults: &UpstreamFaults) -> Reply {
        let granted = match work.deadline {
            Some(deadline) => {
                tokio::time::timeout_at(deadline.into(), place.granted()).await.ok().flatten()
            }
            None => place.granted().await,
        };
        drop(place);
        match granted {
            Some(permit) => self.run(work, permit, faults).await,
            None => self.expire(faults),
        }
    }

    /// Runs a request unless its deadline has passed; the slot is free before the answer.
    async fn run(&self, work: &Work, permit: Permit, faults: &UpstreamFaults) -> Reply {
        if work.deadline.is_some_and(|deadline| deadline <= Instant::now()) {
            drop(permit);
            return self.expire(faults);
        }
        self.start_run(work);
        tokio::time::sleep(self.state.service_time(faults)).await;
        drop(permit);
        self.state.note_load(faults);
        self.count(|totals| totals.completed += 1);
        if self.state.hits(faults.close_before_answer_share) {
            return Reply::Closed;
        }
        let id = self.state.settings.id.clone();
        Reply::Answered(Answer::new(id, work.request.as_deref(), &work.body, work.padding))
    }

    fn start_run(&self, work: &Work) {
        self.count(|totals| totals.started += 1);
        if let Some(request) = &work.request {
            lock(&self.state.runs).add(request);
        }
    }

    fn expire(&self, faults: &UpstreamFaults) -> Reply {
        self.state.note_load(faults);
        self.count(|totals| totals.expired += 1);
        Reply::Refused(Refused::Expired)
    }

    fn write_load(&self, res: &mut Response, faults: &UpstreamFaults) {
        set_header(res, "x-load", &self.state.reported_load(faults).to_string());
        if self.state.health(faults) == Health::Leaving {
            set_header(res, "x-leaving", "1");
        }
    }

    fn write_reply(&self, res: &mut Response, reply: Reply, faults: &UpstreamFaults) {
        match reply {
            Reply::Answered(answer) => self.write_answer(res, &answer, faults),
            Reply::FailedFast => {
                write_text(res, StatusCode::INTERNAL_SERVER_ERROR, "failing fast");
            }
            Reply::Redirected(location) => {
                set_header(res, "location", &location);
                write_text(res, StatusCode::FOUND, "elsewhere");
            }
            Reply::Refused(refused) => {
                set_header(res, "x-outcome", "not-run");
                let text = match refused {
                    Refused::QueueFull => "the queue is full",
                    Refused::Expired => "the deadline passed in the queue",
                };
                write_text(res, StatusCode::SERVICE_UNAVAILABLE, text);
            }
            Reply::Closed => {}
        }
    }

    fn write_answer(&self, res: &mut Response, answer: &Answer, faults: &UpstreamFaults) {
        write_json(res, StatusCode::OK, answer);
        let ResBody::Once(whole) = res.take_body() else { return };
        let half = whole.slice(..whole.len() / 2);
        let sent = match () {
            () if self.state.hits(faults.truncated_content_share) => half.clone(),
            () => whole,
        };
        let is_cut = self.state.hits(faults.cut_answer_share);
        if !is_cut && !faults.chunked {
            res.body(sent);
            return;
        }
        if !faults.chunked {
            set_header(res, "content-length", &sent.len().to_string());
        }
        res.body(match is_cut {
            true => cut_body(half),
            false => ResBody::stream(stream::iter([Ok::<_, io::Error>(sent)])),
        });
    }

    /// One-way delay between the request's entry host and this upstream.
    fn zone_delay(&self, req: &Request) -> Duration {
        let settings = &self.state.settings;
        match header(req, "x-entry-zone") {
            Some(zone) if zone != settings.zone.as_str() => span(settings.zone_delay_ms),
            _ => Duration::ZERO,
        }
    }

    fn count(&self, change: impl FnOnce(&mut Totals)) {
        change(&mut lock(&self.state.totals));
    }
}

/// Reads the whole request; answers 413 or 400 if that fails.
async fn read_work(req: &mut Request, res: &mut Response, arrived: Instant) -> Option<Work> {
    let request = header(req, "x-request").map(str::to_owned);
    let deadline_ms: Option<Millis> = parsed_header(req, "x-deadline-ms");
    let deadline = deadline_ms.and_then(|time_ms| arrived.checked_add(span(time_ms)));
    let padding = parsed_header(req, "x-answer-bytes").unwrap_or_default();
    let body = match req.payload_with_max_size(MAX_BODY_BYTES).await {
        Ok(body) => body.clone(),
        Err(error) => {
            set_header(res, "x-outcome", "not-run");
            write_text(res, StatusCode::BAD_REQUEST, format!("the body can't be read: {error}"));
            return None;
        }
    };
    Some(Work { request, deadline, padding, body })
}

/// A body that stops: its bytes leave first, then the connection is closed.
fn cut_body(sent: Bytes) -> ResBody {
    ResBody::stream(stream::unfold(Some(sent), |rest| async move {
        match rest {
            Some(bytes) => Some((Ok(bytes), None)),
            None => {
                // The server flushes what it has while the body is pending.
                tokio::task::yield_now().await;
                Some((Err(io::Error::other("cut on request")), None))
            }
        }
    }))
}

async fn pass_time(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
