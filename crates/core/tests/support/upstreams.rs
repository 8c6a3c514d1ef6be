//! Upstreams that answer what a fleet sends them.
#![allow(clippy::unwrap_used, dead_code)]

use super::pump::{ProcessState, Pump};
use super::{answer, head};
use decision_core::{
    Action, AnswerHead, AttemptEnd, Event, FailureStage, LoadReport, ProbeResult, UpstreamState,
};
use domain::{AttemptId, CallId, HostId, Millis, Slots, UpstreamId};
use std::collections::BTreeMap;

/// Time between calls at each host.
const CALL_EVERY_MS: u64 = 50;

/// How an upstream answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Manner {
    #[default]
    Serves,
    /// Says on answers and to probes that it is leaving.
    Leaves,
    /// Says so on answers only; its health endpoint lags.
    LeavesUnknownToProbes,
    /// Answers with an error at once; its health endpoint sees nothing.
    FailsFast,
    /// Nothing connects.
    Dead,
    /// Refuses work that it has not run.
    Sheds,
}

/// One sending that was seen.
#[derive(Debug, Clone, PartialEq)]
pub struct Sending {
    pub at_ms: Millis,
    pub host: HostId,
    pub upstream: UpstreamId,
    pub manner: Manner,
}

/// A fleet and its upstreams.
pub struct Site {
    pub pump: Pump,
    pub manners: BTreeMap<UpstreamId, Manner>,
    /// Time that an upstream takes; zero if not named.
    pub latency_ms: BTreeMap<UpstreamId, u64>,
    pub sent: Vec<Sending>,
    pub probes: usize,
    /// Hosts that get calls.
    pub called: Vec<usize>,
    /// Answers under way: due time, host, attempt, answer.
    answers: Vec<(Millis, usize, AttemptId, AnswerHead)>,
    last_call: u64,
}

impl Site {
    pub fn new(pump: Pump, called: &[usize]) -> Site {
        Site {
            pump,
            manners: BTreeMap::new(),
            latency_ms: BTreeMap::new(),
            sent: Vec::new(),
            probes: 0,
            called: called.to_vec(),
            answers: Vec::new(),
            last_call: 0,
        }
    }

    pub fn set(&mut self, upstream: &str, manner: Manner) {
        self.manners.insert(upstream.parse().unwrap(), manner);
    }

    /// Runs with a call at each called host every now and then.
    pub fn run_for(&mut self, span_ms: u64) {
        for _ in 0..span_ms / CALL_EVERY_MS {
            for number in self.called.clone() {
                self.last_call += 1;
                let call = CallId(self.last_call);
                self.pump.inject(number, Event::CallArrived { call, head: head("/read/1") });
            }
            self.respond();
            self.pump.run_for(CALL_EVERY_MS);
            self.respond();
        }
    }

    /// Sendings to an upstream from some time on.
    pub fn sent_since(&self, upstream: &str, since_ms: Millis) -> usize {
        let to = |sending: &&Sending| sending.upstream.as_str() == upstream;
        self.sent.iter().filter(to).filter(|sending| sending.at_ms >= since_ms).count()
    }

    pub fn state(&self, host: usize, upstream: &str) -> UpstreamState {
        let dump = self.pump.process(host).host.dump();
        let mut all = dump.services.iter().flat_map(|service| service.upstreams);
        all.find(|state| state.id.as_str() == upstream).unwrap().clone()
    }

    fn respond(&mut self) {
        loop {
            let outbox = std::mem::take(&mut self.pump.outbox);
            if outbox.is_empty() {
                break;
            }
            for (_, host, action) in outbox {
                let number: usize = host.as_str()[1..].parse().unwrap();
                self.respond_to(number, host, action);
            }
        }
        let now_ms = self.pump.now_ms;
        let (due, later) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|&(at_ms, ..): &(Millis, _, _, _)| at_ms <= now_ms);
        self.answers = later;
        let due: Vec<_> = due;
        for (_, number, attempt, answer) in due {
            self.pump.inject(number, Event::AnswerReady { attempt, answer });
            self.pump.inject(number, Event::AttemptEnded { attempt, end: AttemptEnd::Completed });
        }
    }

    fn respond_to(&mut self, number: usize, host: HostId, action: Action) {
        let now_ms = self.pump.now_ms;
        match action {
            Action::Send(sent) if self.pump.process(number).state != ProcessState::Down => {
                let manner = self.manner(&sent.upstream);
                let latency_ms = self.latency_ms.get(&sent.upstream).copied().unwrap_or(0);
                let attempt = sent.attempt;
                let upstream = sent.upstream;
                self.sent.push(Sending { at_ms: now_ms, host, upstream, manner });
                match answer_of(manner) {
                    Some(answer) => {
                        self.answers.push((now_ms + Millis(latency_ms), number, attempt, answer));
                    }
                    None => {
                        let end = AttemptEnd::Failed { stage: FailureStage::BeforeSending };
                        self.pump.inject(number, Event::AttemptEnded { attempt, end });
                    }
                }
            }
            Action::Probe { probe, upstream, .. } => {
                self.probes += 1;
                let result = self.probe_result(&upstream);
                self.pump.inject(number, Event::ProbeEnded { probe, result });
            }
            _ => {}
        }
    }

    fn probe_result(&self, upstream: &UpstreamId) -> ProbeResult {
        let load = Some(LoadReport { busy: Slots(0), queued: 0 });
        let latency_ms = Millis(1);
        match self.manner(upstream) {
            Manner::Dead => ProbeResult::Failed,
            manner => ProbeResult::Alive { load, leaving: manner == Manner::Leaves, latency_ms },
        }
    }

    fn manner(&self, upstream: &UpstreamId) -> Manner {
        self.manners.get(upstream).copied().unwrap_or_default()
    }
}

fn answer_of(manner: Manner) -> Option<AnswerHead> {
    match manner {
        Manner::Serves => Some(answer(200)),
        Manner::Leaves | Manner::LeavesUnknownToProbes => {
            Some(AnswerHead { leaving: true, ..answer(200) })
        }
        Manner::FailsFast => Some(answer(500)),
        Manner::Sheds => Some(super::refused_answer()),
        Manner::Dead => None,
    }
}
