//! How upstreams slow down as their slots fill.
//!
//! Many upstreams get less done with all slots taken than with some free. Which, and by how
//! much, is learned from the times of answers: whoever schedules a service knows how long each
//! request ran beside how many others. Answers are told apart by how many ran when a request
//! began, which its own length can't have changed: those that stayed alone are the short ones.
//! Requests that wait for their turn in a queue before the upstream are then better off than
//! those that make it slower for all.

use domain::Slots;

/// Before anything is learned: upstreams slow down from this part of their slots on.
const FIRST_KNEE: f64 = 0.75;

/// Before anything is learned: how much slower they are with all slots taken.
const FIRST_SLOWDOWN: f64 = 0.7;

/// Up to this part of the slots, rounded up, an upstream works at its usual speed, by
/// definition: somewhere the usual time has to be measured. Learned down to a single request
/// the limit of upstreams with three slots fell to one now and then.
const USUAL_UP_TO: f64 = 0.5;

/// Weight of one answer: some thirty of them count, a second's worth of a busy service. The
/// times of single answers differ by a third, so a speed is known to a twentieth.
const LEARNING: f64 = 0.04;

/// Least and most speed that is learned. Above 1 would mean faster with more to do.
const SPEEDS: (f64, f64) = (0.1, 1.0);

/// How much more has to get done with one request more before it is worth it: answer times
/// tell the speed to about a twentieth.
const GAIN: f64 = 1.05;

/// Speed of an upstream by the requests that it works on, in parts of its usual speed.
#[derive(Debug, Clone, PartialEq)]
pub struct SpeedCurve {
    slots: Slots,
    /// With one request, with two, and so on up to the slots.
    speeds: Vec<f64>,
}

/// How long a request ran beside how many others.
#[derive(Debug, Clone, PartialEq)]
pub struct Occupancy {
    begun_with: u32,
    /// Time alone, in twos, and so on.
    spent_ms: Vec<f64>,
}

impl Occupancy {
    /// A request that begins; so many run then, itself among them.
    pub fn new(begun_with: u32) -> Occupancy {
        Occupancy { begun_with, spent_ms: Vec::new() }
    }

    /// So long so many requests ran, the own one among them.
    pub fn add(&mut self, running: u32, spent_ms: f64) {
        let index = running.max(1) as usize - 1;
        if self.spent_ms.len() <= index {
            self.spent_ms.resize(index + 1, 0.0);
        }
        self.spent_ms[index] += spent_ms;
    }
}

impl SpeedCurve {
    /// What is believed before anything is learned.
    pub fn new(slots: Slots) -> SpeedCurve {
        let most = slots.0.max(1);
        let speed = |running: u32| {
            let used = f64::from(running) / f64::from(most);
            1.0 / (1.0 + FIRST_SLOWDOWN * ((used - FIRST_KNEE) / (1.0 - FIRST_KNEE)).max(0.0))
        };
        SpeedCurve { slots, speeds: (1..=most).map(speed).collect() }
    }

    /// The slots of the upstreams that it describes.
    pub fn slots(&self) -> Slots {
        self.slots
    }

    /// Speed with so many requests at work; more than the slots wait and slow nobody down.
    pub fn speed(&self, running: f64) -> f64 {
        let running = running.clamp(1.0, self.speeds.len() as f64);
        let below = running.floor();
        let at = |running: f64| self.speeds.get(running as usize - 1).copied();
        let lower = at(below).unwrap_or(SPEEDS.1);
        let upper = at(below + 1.0).unwrap_or(lower);
        lower + (upper - lower) * (running - below)
    }

    /// Requests at once with which an upstream gets most done.
    pub fn best_concurrency(&self) -> u32 {
        let mut best = (1, self.speeds[0]);
        for (running, speed) in (1..).zip(&self.speeds) {
            let done = f64::from(running) * speed;
            if done > best.1 * GAIN {
                best = (running, done);
            }
        }
        best.0
    }

    /// Whether a request that began beside so many others tells the usual time.
    pub fn is_baseline(&self, spent: &Occupancy) -> bool {
        spent.begun_with <= self.fixed() as u32
    }

    /// Time that it would have taken at the usual speed.
    pub fn baseline_ms(&self, spent: &Occupancy) -> f64 {
        self.times(spent).map(|(index, ms)| ms * self.speeds[index]).sum()
    }

    /// A request that usually takes `usual_ms` on this machine spent its time so.
    pub fn learn(&mut self, spent: &Occupancy, usual_ms: f64) {
        let all_ms: f64 = spent.spent_ms.iter().sum();
        if all_ms <= 0.0 || usual_ms <= 0.0 {
            return;
        }
        let error = (1.0 - self.baseline_ms(spent) / usual_ms).clamp(-1.0, 1.0);
        let learned = self.fixed()..;
        let parts: Vec<(usize, f64)> =
            self.times(spent).filter(|(index, _)| learned.contains(index)).collect();
        for (index, ms) in parts {
            let speed = &mut self.speeds[index];
            *speed = (*speed + LEARNING * error * ms / all_ms).clamp(SPEEDS.0, SPEEDS.1);
        }
    }

    /// Times by the index of the speed that they were spent at; what waits is as with all
    /// slots taken.
    fn times(&self, spent: &Occupancy) -> impl Iterator<Item = (usize, f64)> {
        let last = self.speeds.len() - 1;
        spent.spent_ms.iter().enumerate().map(move |(index, ms)| (index.min(last), *ms))
    }

    /// So many of the speeds are the usual one.
    fn fixed(&self) -> usize {
        (self.speeds.len() as f64 * USUAL_UP_TO).ceil().max(1.0) as usize
    }
}
