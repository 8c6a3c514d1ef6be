//! Requests in upstreams, and probes of them.

use super::{Happening, Job, ONE_WAY_MS, PROBE_FAILURE_MS, World};
use crate::fakes::{Answering, JobId, Reception};
use crate::ledger::Arrival;
use crate::sabotage::Sabotage;
use decision_core::{AnswerHead, Attempt, AttemptEnd, Event, FailureStage, ProbeResult};
use domain::{AttemptId, Millis, ProbeId, UpstreamId};
use rand::RngExt;

impl World {
    pub(super) fn job_of(
        &self,
        host: usize,
        incarnation: u64,
        attempt: AttemptId,
    ) -> Option<JobId> {
        self.jobs.iter().rposition(|job| {
            job.host == host && job.incarnation == incarnation && job.attempt == attempt
        })
    }

    pub(super) fn send(&mut self, host: usize, incarnation: u64, attempt: &Attempt) {
        let clock_ms = self.hosts[host].clock(host, self.now_ms);
        if attempt.deadline_ms <= clock_ms {
            self.ledger.sent_late += 1;
        }
        let found =
            self.upstreams.iter().position(|up| up.spec.upstream == attempt.upstream.as_str());
        let Some(upstream) = found else {
            let end = AttemptEnd::Failed { stage: FailureStage::BeforeSending };
            let event = Event::AttemptEnded { attempt: attempt.attempt, end };
            self.post(self.now_ms + ONE_WAY_MS, host, incarnation, event);
            return;
        };
        let job = Job {
            host,
            incarnation,
            attempt: attempt.attempt,
            call: attempt.call,
            upstream,
            ended: false,
            answered_by: None,
        };
        self.jobs.push(job);
        let job = self.jobs.len() - 1;
        self.schedule(self.now_ms + ONE_WAY_MS, Happening::Arrive { job });
    }

    pub(super) fn cancel(&mut self, host: usize, incarnation: u64, attempt: AttemptId) {
        let Some(job) = self.job_of(host, incarnation, attempt) else { return };
        self.schedule(self.now_ms + ONE_WAY_MS, Happening::CancelJob { job });
        if !self.jobs[job].ended {
            self.end_attempt(job, AttemptEnd::Cancelled { unsent: false });
        }
    }

    pub(super) fn arrive(&mut self, job: JobId) {
        if self.jobs[job].ended {
            return;
        }
        let now_ms = self.now_ms;
        let roll = self.rng.random_range(0..100);
        let upstream = self.jobs[job].upstream;
        let hidden = self.sabotage == Some(Sabotage::HiddenLeaving);
        let reception = self.upstreams[upstream].receive(now_ms, job, roll, hidden);
        if reception != Reception::NoConnection {
            let id = &self.upstreams[upstream].spec.upstream;
            self.ledger.arrivals.push(Arrival {
                at_ms: now_ms,
                upstream: id.parse().expect("a scenario's upstreams are names"),
                host: self.jobs[job].host,
            });
        }
        match reception {
            Reception::NoConnection => {
                let end = AttemptEnd::Failed { stage: FailureStage::BeforeSending };
                self.end_attempt(job, end);
            }
            Reception::Refused => self.answer(job, 503, true),
            Reception::FailsFast => {
                self.count_run(job);
                self.answer(job, 500, false);
            }
            Reception::Runs => self.begin(job),
            Reception::Waits => {}
        }
    }

    pub(super) fn begin(&mut self, job: JobId) {
        self.count_run(job);
        let service_ms = self.upstreams[self.jobs[job].upstream].service_ms(self.now_ms);
        self.schedule(self.now_ms + service_ms, Happening::Work { job });
    }

    pub(super) fn count_run(&mut self, job: JobId) {
        let call = self.jobs[job].call;
        self.ledger.calls[call.0 as usize].runs += 1;
    }

    pub(super) fn finish_work(&mut self, job: JobId) {
        let upstream = self.jobs[job].upstream;
        if !self.upstreams[upstream].running.contains(&job) {
            return;
        }
        let roll = self.rng.random_range(0..100);
        let answering = self.upstreams[upstream].answering(self.now_ms, roll);
        self.release(job);
        match answering {
            Answering::Whole => self.answer(job, 200, false),
            Answering::Lost => self.fail_after_sending(job, FailureStage::AfterSending),
            Answering::Cut => self.fail_after_sending(job, FailureStage::AnswerCut),
        }
    }

    pub(super) fn release(&mut self, job: JobId) {
        let upstream = self.jobs[job].upstream;
        if let Some(next) = self.upstreams[upstream].release(job) {
            self.begin(next);
        }
    }

    pub(super) fn fail_after_sending(&mut self, job: JobId, stage: FailureStage) {
        let stage = match self.sabotage {
            Some(Sabotage::ForgedProof) => FailureStage::BeforeSending,
            _ => stage,
        };
        self.end_attempt(job, AttemptEnd::Failed { stage });
    }

    pub(super) fn end_attempt(&mut self, job: JobId, end: AttemptEnd) {
        if std::mem::replace(&mut self.jobs[job].ended, true) {
            return;
        }
        let Job { host, incarnation, attempt, .. } = self.jobs[job];
        let event = Event::AttemptEnded { attempt, end };
        self.post(self.now_ms + ONE_WAY_MS, host, incarnation, event);
    }

    pub(super) fn answer(&mut self, job: JobId, status: u16, not_run: bool) {
        if self.jobs[job].ended {
            return;
        }
        let upstream = &self.upstreams[self.jobs[job].upstream];
        let hidden = self.sabotage == Some(Sabotage::HiddenLeaving);
        let answer = AnswerHead {
            status,
            is_whole: true,
            not_run,
            load: Some(upstream.load()),
            leaving: upstream.leaving_since_ms.is_some() && !hidden,
        };
        let target = self.answered_job(job);
        self.jobs[target].answered_by = Some(job);
        let Job { host, incarnation, attempt, .. } = self.jobs[target];
        let event = Event::AnswerReady { attempt, answer };
        self.post(self.now_ms + ONE_WAY_MS, host, incarnation, event);
        self.end_attempt(job, AttemptEnd::Completed);
    }

    /// The request that an answer is handed over as the answer of: its own, unless sabotaged.
    pub(super) fn answered_job(&self, job: JobId) -> JobId {
        if self.sabotage != Some(Sabotage::SwappedAnswers) {
            return job;
        }
        let own = &self.jobs[job];
        let other = self.jobs.iter().rposition(|other| {
            other.host == own.host
                && other.incarnation == own.incarnation
                && other.call != own.call
                && !other.ended
        });
        other.unwrap_or(job)
    }

    pub(super) fn probe(
        &mut self,
        host: usize,
        incarnation: u64,
        probe: ProbeId,
        upstream: &UpstreamId,
    ) {
        let now_ms = self.now_ms;
        self.ledger.probes.push(now_ms);
        let found = self.upstreams.iter().find(|up| up.spec.upstream == upstream.as_str());
        let hidden = self.sabotage == Some(Sabotage::HiddenLeaving);
        let (at_ms, result) = match found {
            Some(up) if up.answers_probes(now_ms) => {
                let leaving = up.leaving_since_ms.is_some() && !hidden;
                let latency_ms = Millis(2 * ONE_WAY_MS.0);
                let load = Some(up.load());
                (now_ms + latency_ms, ProbeResult::Alive { load, leaving, latency_ms })
            }
            _ => (now_ms + PROBE_FAILURE_MS, ProbeResult::Failed),
        };
        self.post(at_ms, host, incarnation, Event::ProbeEnded { probe, result });
    }
}
