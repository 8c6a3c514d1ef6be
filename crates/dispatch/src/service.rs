//! What is known of a service: its upstreams, their common load, and how long work takes.

use crate::LoadReport;
use crate::curve::{Occupancy, SpeedCurve};
use crate::load::LEAST_SLOWNESS;
use crate::service_load::ServiceLoad;
use crate::subset::Subset;
use domain::{Millis, PerSecond, Slots, UpstreamId};

/// Weight of one answer in the usual working time of a service: some twenty answers count.
const USUAL_WEIGHT: f64 = 0.05;

/// The same where it is known how a request ran, and what made it long or short.
const RUN_WEIGHT: f64 = 0.02;

/// Answers that were expected to take longer than this tell little of the usual time.
const MOST_WORK_LEARNED: f64 = 1.6;

/// Least and most by which one answer of a busy or slow upstream may have taken longer than
/// expected, for what is learned of it. Without learning it 0.008 less was earned where a third
/// of the upstreams is slowed seven times.
const OVERRUN_RANGE: (f64, f64) = (0.5, 4.0);

/// Answers that have to be seen before anything is learned by comparing others with them: the
/// mean of twenty is known to a fifteenth.
const ENOUGH_ANSWERS: u32 = 20;

/// How a request ran on an upstream whose neighbours did not change meanwhile.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceTimeSample {
    /// How long, beside how many others.
    pub spent: Occupancy,
    /// How long work took there, in times of the usual.
    pub slowness: f64,
}

/// One service.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) upstreams: Vec<UpstreamId>,
    pub(crate) subset: Subset,
    pub(crate) load: ServiceLoad,
    /// Requests a second that a cold upstream bears, of the whole fleet; none if none is stated.
    pub(crate) cold_rate: Option<PerSecond>,
    /// One for each number of slots that its upstreams have.
    curves: Vec<SpeedCurve>,
    usual: Usual,
    /// How much longer than expected busy or slow upstreams take.
    overrun: f64,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            upstreams: Vec::new(),
            subset: Subset::default(),
            load: ServiceLoad::default(),
            cold_rate: None,
            curves: Vec::new(),
            usual: Usual::default(),
            overrun: 1.0,
        }
    }
}

impl Service {
    /// Sees to it that there is a curve for upstreams with so many slots.
    pub(crate) fn grow_curve(&mut self, slots: Slots) {
        if self.curve(slots).is_none() {
            self.curves.push(SpeedCurve::new(slots));
        }
    }

    /// How upstreams with so many slots slow down.
    pub(crate) fn curve(&self, slots: Slots) -> Option<&SpeedCurve> {
        self.curves.iter().find(|curve| curve.slots() == slots)
    }

    pub(crate) fn record_report(&mut self, report: &LoadReport, in_flight: u32) {
        self.load.record(report, in_flight);
    }

    /// An answer took so long where so much work was expected, and nothing else is known.
    pub(crate) fn record_duration(&mut self, took_ms: Millis, work: f64) {
        match work > MOST_WORK_LEARNED {
            true => self.record_overrun(took_ms, work),
            false => self.usual.note(took_ms.as_f64() / work.max(1.0), USUAL_WEIGHT),
        }
    }

    /// More or less slow upstreams take longer or shorter than expected.
    pub(crate) fn record_overrun(&mut self, took_ms: Millis, work: f64) {
        let Some(usual_ms) = self.usual.mean_ms.filter(|_| work > MOST_WORK_LEARNED) else {
            return;
        };
        let ratio = took_ms.as_f64() / (usual_ms * work).max(1.0);
        self.overrun +=
            (ratio.clamp(OVERRUN_RANGE.0, OVERRUN_RANGE.1) - self.overrun) * USUAL_WEIGHT;
    }

    /// A request ran on an upstream that was so slow all the while.
    ///
    /// The usual time is learned from requests that began beside few others, the slow-down from
    /// the rest: learned from the same answers each would make up for the other's faults.
    pub(crate) fn record_service_time(&mut self, slots: Slots, sample: &ServiceTimeSample) {
        let Some(curve) = self.curves.iter_mut().find(|curve| curve.slots() == slots) else {
            return;
        };
        let slowness = sample.slowness.max(LEAST_SLOWNESS);
        match (self.usual.mean_ms, curve.is_baseline(&sample.spent)) {
            (_, true) => {
                let told_ms = curve.baseline_ms(&sample.spent) / slowness;
                self.usual.note(told_ms, RUN_WEIGHT);
            }
            (Some(usual_ms), false) if self.usual.answers >= ENOUGH_ANSWERS => {
                curve.learn(&sample.spent, usual_ms * slowness);
            }
            (_, false) => {}
        }
    }

    /// How long so much work is expected to take; none before anything was learned.
    pub(crate) fn expected_ms(&self, work: f64) -> Option<Millis> {
        let overrun = if work > MOST_WORK_LEARNED { self.overrun } else { 1.0 };
        self.usual.mean_ms.map(|usual_ms| Millis((usual_ms * work * overrun) as u64))
    }
}

/// The usual working time.
#[derive(Debug, Default)]
struct Usual {
    mean_ms: Option<f64>,
    answers: u32,
}

impl Usual {
    /// Each of the first answers counts as much as those before it: one that is far off is no
    /// measure for the next fifty.
    fn note(&mut self, told_ms: f64, weight: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = weight.max(1.0 / f64::from(self.answers));
        let mean_ms = self.mean_ms.get_or_insert(told_ms);
        *mean_ms += (told_ms - *mean_ms) * weight;
    }
}
