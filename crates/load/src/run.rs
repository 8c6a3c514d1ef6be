//! The run: sends each request at its time and waits for all answers.

use crate::answer::{Answer, Verdict, judge};
use crate::pacer::{Due, Pacer};
use crate::plan::{LoadPlan, PlanError};
use crate::report::{LoadReport, Tally};
use crate::request::Request;
use crate::schedule::schedule;
use crate::targets::Targets;
use domain::Millis;
use reqwest::header::HeaderMap;
use reqwest::redirect;
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

const MICROS_PER_MILLI: u64 = 1000;

/// What a run gave.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadOutcome {
    /// Its figures.
    pub report: LoadReport,
    /// Ids of requests that may run at most once.
    pub at_most_once: Vec<String>,
    /// Ids of requests whose caller was told that they did not run.
    pub told_not_run: Vec<String>,
}

/// Why a run could not start.
#[derive(Debug)]
pub enum LoadError {
    /// The plan can't be carried out.
    Plan(PlanError),
    /// The HTTP client can't be built.
    Client(reqwest::Error),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadError::Plan(error) => write!(f, "the load plan is unusable: {error}"),
            LoadError::Client(error) => {
                write!(f, "no HTTP client: {error}: check the limits on open files and threads")
            }
        }
    }
}

impl std::error::Error for LoadError {}

#[derive(Debug)]
struct Sender {
    client: reqwest::Client,
    targets: Targets,
    tally: Mutex<Tally>,
    told_not_run: Mutex<Vec<String>>,
    grace_ms: Millis,
}

/// What was sent, and over which time.
#[derive(Debug)]
struct Sent {
    at_most_once: Vec<String>,
    span_ms: Millis,
}

#[derive(Debug)]
enum Failure {
    NotConnected(String),
    Broken(String),
}

/// Carries out a plan over the targets, until its end or until `stop` comes, and returns
/// when every request that was sent has its verdict.
///
/// # Errors
/// The plan is unusable, or the client can't be built.
pub async fn drive(
    plan: &LoadPlan,
    run: &str,
    targets: &Targets,
    stop: impl Future<Output = ()>,
) -> Result<LoadOutcome, LoadError> {
    plan.check().map_err(LoadError::Plan)?;
    let client = build_client().map_err(LoadError::Client)?;
    let watcher = {
        let (targets, client) = (targets.clone(), client.clone());
        tokio::spawn(async move { targets.follow_readiness(client).await })
    };
    let sender = Arc::new(Sender {
        client,
        targets: targets.clone(),
        tally: Mutex::new(Tally::new()),
        told_not_run: Mutex::default(),
        grace_ms: plan.grace_ms,
    });
    let sent = send_all(plan, run, &sender, stop).await;
    watcher.abort();
    let tally = std::mem::replace(&mut *lock(&sender.tally), Tally::new());
    let told_not_run = std::mem::take(&mut *lock(&sender.told_not_run));
    let measured_ms = sent.span_ms - plan.warm_up_ms;
    let at_most_once = sent.at_most_once;
    Ok(LoadOutcome { report: tally.finish(measured_ms), at_most_once, told_not_run })
}

/// A client that sends what it is told, once: no redirects, proxies or retries.
fn build_client() -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .redirect(redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .http1_only()
        .tcp_nodelay(true)
        .build()
}

async fn send_all(
    plan: &LoadPlan,
    run: &str,
    sender: &Arc<Sender>,
    stop: impl Future<Output = ()>,
) -> Sent {
    let mut stop = pin!(stop);
    let mut sent = Sent { at_most_once: Vec::new(), span_ms: plan.span_ms() };
    let mut calls = JoinSet::new();
    let mut pacer = Pacer::start(schedule(plan));
    let mut last_us = 0;
    loop {
        let due = tokio::select! {
            biased;
            () = &mut stop => {
                sent.span_ms = Millis(last_us / MICROS_PER_MILLI);
                break;
            }
            due = pacer.due.recv() => due,
        };
        let Some(Due { number, arrival, at }) = due else {
            break;
        };
        last_us = arrival.at_us;
        let stream = &plan.streams[arrival.stream];
        let caller = &stream.callers[arrival.caller];
        let request = Request::new(run, number, caller, &stream.routes[arrival.route]);
        if request.at_most_once {
            sent.at_most_once.push(request.id.clone());
        }
        let measured = arrival.at_us >= plan.warm_up_ms.0 * MICROS_PER_MILLI;
        let sender = Arc::clone(sender);
        calls.spawn(async move { sender.call(request, at.into(), measured).await });
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
    sent
}

impl Sender {
    async fn call(&self, request: Request, due: Instant, measured: bool) {
        let give_up_ms = request.timeout_ms + self.grace_ms;
        let give_up = due + Duration::from_millis(give_up_ms.0);
        let verdict = match tokio::time::timeout_at(give_up, self.attempt(&request)).await {
            Ok(Ok(answer)) => judge(&request, &answer),
            Ok(Err(Failure::NotConnected(reason) | Failure::Broken(reason))) => {
                Verdict::Lost { reason }
            }
            Err(_) => Verdict::Lost { reason: format!("no answer within {give_up_ms}") },
        };
        let took = due.elapsed();
        if matches!(&verdict, Verdict::Refused { outcome, .. } if outcome == "not-run") {
            lock(&self.told_not_run).push(request.id.clone());
        }
        lock(&self.tally).count(&request, &verdict, took, measured);
    }

    /// Sends to one target; to a second one only if the first refused the connection.
    async fn attempt(&self, request: &Request) -> Result<Answer, Failure> {
        let first = self.pick(None)?;
        match self.send(request, first).await {
            Err(Failure::NotConnected(_)) => {
                lock(&self.tally).count_retarget();
                let second = self.pick(Some(first))?;
                self.send(request, second).await
            }
            result => result,
        }
    }

    fn pick(&self, avoid: Option<SocketAddr>) -> Result<SocketAddr, Failure> {
        let none = || Failure::NotConnected("the list of targets is empty".to_owned());
        self.targets.pick(avoid).ok_or_else(none)
    }

    async fn send(&self, request: &Request, target: SocketAddr) -> Result<Answer, Failure> {
        let url = format!("http://{target}{}", request.path);
        let builder = match request.at_most_once {
            true => self
                .client
                .post(url)
                .header("idempotency-key", &request.id)
                .body(request.body.clone()),
            false => self.client.get(url),
        };
        let response = builder
            .header("x-request", &request.id)
            .header("x-caller", request.caller.as_str())
            .header("x-timeout-ms", request.timeout_ms.0)
            .send()
            .await
            .map_err(|error| failure(target, &error))?;
        let mut answer = read_head(response.status().as_u16(), response.headers());
        let body = response.bytes().await.map_err(|error| failure(target, &error))?;
        answer.body = body.into();
        Ok(answer)
    }
}

fn read_head(status: u16, headers: &HeaderMap) -> Answer {
    let text = |name| headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    Answer {
        status,
        cause: text("x-cause"),
        outcome: text("x-outcome"),
        upstream: text("x-upstream"),
        has_retry_after: headers.contains_key("retry-after"),
        body: Vec::new(),
    }
}

fn failure(target: SocketAddr, error: &reqwest::Error) -> Failure {
    let mut text = format!("{target}: {error}");
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    match error.is_connect() {
        true => Failure::NotConnected(text),
        false => Failure::Broken(text),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
