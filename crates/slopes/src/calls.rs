//! What one call costs the core, from its arrival to the end of its attempt.

use crate::error::SlopesError;
use crate::host::LoadedHost;
use crate::meter::{Meter, Times};
use crate::published::{Published, SiteSize};
use crate::series::{Point, Series, Unit, Variable};
use decision_core::{Action, AnswerHead, AttemptEnd, CallHead, Event, LoadReport};
use domain::{CallId, Millis, Slots};

const TIMES: Times = Times { rounds: 21, repeats: 1000 };
const VARIABLES: [Variable; 2] = [Variable::UpstreamsOfService, Variable::Services];
/// Upstreams of each service, and services.
const SIZES: [(usize, usize); 7] =
    [(11, 3), (100, 3), (1_000, 3), (11, 100), (11, 400), (3, 1_200), (11, 1_200)];

/// Cost of a call that is sent at once and answered well.
///
/// # Errors
///
/// If a host does not send a call, or no line fits.
pub fn measure(meter: &Meter) -> Result<Vec<Series>, SlopesError> {
    Ok(vec![
        policy(meter, "call.random", "random")?,
        policy(meter, "call.two_choices", "two-choices")?,
        policy(meter, "call.load_aware", "load-aware")?,
    ])
}

fn policy(meter: &Meter, name: &'static str, policy: &'static str) -> Result<Series, SlopesError> {
    let point = |&(upstreams_of_service, services): &(usize, usize)| {
        let size = SiteSize { upstreams: upstreams_of_service * services, services };
        let mut calls = CallLoop::new(Published::new(size, policy))?;
        calls.run_one()?;
        let cost = meter.cost(TIMES, || (), |()| calls.run_one());
        let at = vec![upstreams_of_service as f64, services as f64];
        Ok(Point { at, value: cost.cpu_ns / 1e3 })
    };
    let points: Vec<Point> = SIZES.iter().map(point).collect::<Result<_, SlopesError>>()?;
    Series::new(name, Unit::CpuMicros, &VARIABLES, points)
}

/// Calls one after the other, to all services in turn.
#[derive(Debug)]
pub struct CallLoop {
    host: LoadedHost,
    last_call: u64,
}

impl CallLoop {
    /// A host ready for calls.
    ///
    /// # Errors
    ///
    /// If the host does not get ready.
    pub fn new(published: Published) -> Result<CallLoop, SlopesError> {
        Ok(CallLoop { host: LoadedHost::start(published)?, last_call: 0 })
    }

    /// One call: arrives, is sent, answered and done.
    ///
    /// # Errors
    ///
    /// If the host does not send it.
    pub fn run_one(&mut self) -> Result<(), SlopesError> {
        self.last_call += 1;
        let path = self.host.published().read_path(self.last_call as usize);
        let arrived = Event::CallArrived { call: CallId(self.last_call), head: head(path) };
        let sent = self.host.tell(arrived).into_iter().find_map(|action| match action {
            Action::Send(attempt) => Some(attempt.attempt),
            _ => None,
        });
        let attempt = sent.ok_or(SlopesError::CallNotSent)?;
        self.host.tell(Event::AnswerReady { attempt, answer: answer() });
        self.host.tell(Event::AttemptEnded { attempt, end: AttemptEnd::Completed });
        Ok(())
    }
}

/// A read without a key.
pub fn head(path: String) -> CallHead {
    CallHead {
        caller: "desk".parse().unwrap_or_else(|_| unreachable!("a constant id")),
        method: "GET".to_owned(),
        path,
        idempotency_key: None,
        timeout_ms: Some(Millis(2000)),
        spent_attempts: 0,
        depth: 0,
        body_replayable: true,
    }
}

/// An order with a key that no other call has.
///
/// # Errors
///
/// If the generated key is none.
pub fn keyed_head(path: String, number: u64) -> Result<CallHead, SlopesError> {
    let key = format!("order-{number:012}").parse().map_err(|_| SlopesError::BadId)?;
    Ok(CallHead { method: "POST".to_owned(), idempotency_key: Some(key), ..head(path) })
}

/// A whole answer of an upstream with one slot in use.
pub fn answer() -> AnswerHead {
    AnswerHead {
        status: 200,
        is_whole: true,
        not_run: false,
        load: Some(LoadReport { busy: Slots(1), queued: 0 }),
        leaving: false,
    }
}
