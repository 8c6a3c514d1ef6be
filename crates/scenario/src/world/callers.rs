//! Callers: through which host a request goes, and how it ends.

use super::{CALLER_GRACE_MS, Happening, World};
use crate::ledger::{CallEnd, CallRecord};
use crate::script::{CallSpec, Via};
use config::RepeatRule;
use decision_core::{CallHead, Event};
use domain::{AttemptId, CallId};

impl World {
    pub(super) fn call(&mut self, spec: CallSpec) {
        let call = CallId(self.ledger.calls.len() as u64);
        let host = match &spec.via {
            Via::Host(host) => self.host_index(host).filter(|&h| self.hosts[h].core.is_some()),
            Via::Balancer => self.balanced(),
        };
        let disturbed = host.is_some_and(|h| self.now_ms < self.hosts[h].paused_until_ms);
        self.ledger.calls.push(CallRecord {
            repeat: self.repeat_rule(&spec.path),
            spec: spec.clone(),
            host,
            arrived_ms: self.now_ms,
            runs: 0,
            ends: vec![],
            disturbed,
        });
        let Some(host) = host else {
            self.end_call(call, CallEnd::NoHost);
            return;
        };
        let head = CallHead {
            caller: spec.caller.parse().expect("a scenario's callers are names"),
            method: spec.method,
            path: spec.path,
            idempotency_key: spec.key.map(|key| key.parse().expect("a scenario's keys are names")),
            timeout_ms: Some(spec.timeout_ms),
            spent_attempts: 0,
            depth: 0,
            body_replayable: true,
        };
        let hang_up_ms = self.now_ms + spec.timeout_ms + CALLER_GRACE_MS;
        self.schedule(hang_up_ms, Happening::HangUp { call });
        let incarnation = self.hosts[host].incarnation;
        self.tell(host, incarnation, Event::CallArrived { call, head });
    }

    pub(super) fn balanced(&mut self) -> Option<usize> {
        let count = self.hosts.len();
        self.turn += 1;
        (0..count)
            .map(|step| (self.turn + step) % count)
            .find(|&host| self.hosts[host].in_rotation && self.hosts[host].core.is_some())
    }

    pub(super) fn repeat_rule(&self, path: &str) -> RepeatRule {
        let text = &self.platform.base[0].text;
        let config = config::merge(text, None).ok();
        let route = config.as_ref().and_then(|config| config.route("GET", path));
        route.map_or(RepeatRule::Idempotent, |target| target.repeat)
    }

    pub(super) fn hang_up(&mut self, call: CallId) {
        let record = &self.ledger.calls[call.0 as usize];
        if !record.ends.is_empty() {
            return;
        }
        let host = record.host;
        self.end_call(call, CallEnd::GaveUp);
        if let Some(host) = host {
            let incarnation = self.hosts[host].incarnation;
            self.tell(host, incarnation, Event::CallerGone { call });
        }
    }

    pub(super) fn end_call(&mut self, call: CallId, end: CallEnd) {
        let now_ms = self.now_ms;
        let record = &mut self.ledger.calls[call.0 as usize];
        let hung_up = record.ends.iter().any(|(_, end)| *end == CallEnd::GaveUp);
        if !hung_up {
            record.ends.push((now_ms, end));
        }
    }

    pub(super) fn deliver(
        &mut self,
        host: usize,
        incarnation: u64,
        call: CallId,
        attempt: AttemptId,
    ) {
        let job = self.job_of(host, incarnation, attempt);
        let answered_by = job.and_then(|job| self.jobs[job].answered_by);
        let own = answered_by.is_some_and(|job| self.jobs[job].call == call);
        self.end_call(call, if own { CallEnd::Answered } else { CallEnd::Wrong });
    }
}
