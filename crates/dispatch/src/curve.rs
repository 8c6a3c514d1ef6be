//! How the speed of upstreams depends on the number of requests that they process.
//!
//! Many upstreams get less done with all slots in use than with some free. By how much is learned
//! from service times: a scheduler knows for how long each request ran beside how many others.
//! Samples are classified by the concurrency at a request's start, which its own duration can't
//! have influenced; by the mean concurrency, short requests would seem to have run alone. Beyond
//! the best concurrency it is better to keep a request in the scheduler's queue than to slow down
//! all others.

use domain::Slots;

/// Initial curve: part of the slots from which on upstreams slow down.
const INITIAL_KNEE: f64 = 0.75;

/// Initial curve: relative increase of service time with all slots in use.
const INITIAL_SLOWDOWN: f64 = 0.7;

/// Up to this part of the slots, rounded up, the speed is 1 by definition, so that the baseline can
/// be measured there. With fewer, noise could reduce the best concurrency to a single request.
const BASELINE_SLOT_SHARE: f64 = 0.5;

/// Weight of one sample in a moving average: some thirty count, a second's worth at a busy service.
/// Single durations differ by a third, so a speed is known to a twentieth.
const LEARNING_RATE: f64 = 0.04;

/// Range of learned speeds; above 1, more load would mean faster service.
const SPEED_RANGE: (f64, f64) = (0.1, 1.0);

/// Minimal gain in throughput that makes a higher concurrency better. Smaller ones are noise, as
/// durations show a speed to about a twentieth.
const MIN_GAIN: f64 = 1.05;

/// Speed of an upstream by the number of requests that it processes, relative to its baseline.
#[derive(Debug, Clone, PartialEq)]
pub struct SpeedCurve {
    slots: Slots,
    /// With one request, two requests, and so on up to the number of slots.
    speeds: Vec<f64>,
}

/// For how long a request ran at which concurrency.
#[derive(Debug, Clone, PartialEq)]
pub struct Occupancy {
    initial_concurrency: u32,
    /// Time alone, with one other request, and so on.
    ms_by_concurrency: Vec<f64>,
}

impl Occupancy {
    /// For a request that starts; `initial_concurrency` includes it.
    pub fn new(initial_concurrency: u32) -> Occupancy {
        Occupancy { initial_concurrency, ms_by_concurrency: Vec::new() }
    }

    /// Adds time during which `running` requests ran, this one included.
    pub fn add(&mut self, running: u32, duration_ms: f64) {
        let index = running.max(1) as usize - 1;
        if self.ms_by_concurrency.len() <= index {
            self.ms_by_concurrency.resize(index + 1, 0.0);
        }
        self.ms_by_concurrency[index] += duration_ms;
    }
}

impl SpeedCurve {
    /// The initial curve for upstreams with this number of slots.
    pub fn new(slots: Slots) -> SpeedCurve {
        let slots_count = slots.0.max(1);
        let speed = |running: u32| {
            let used = f64::from(running) / f64::from(slots_count);
            1.0 / (1.0 + INITIAL_SLOWDOWN * ((used - INITIAL_KNEE) / (1.0 - INITIAL_KNEE)).max(0.0))
        };
        SpeedCurve { slots, speeds: (1..=slots_count).map(speed).collect() }
    }

    /// Number of slots of the upstreams that it describes.
    pub fn slots(&self) -> Slots {
        self.slots
    }

    /// Speed at this concurrency; requests beyond the slots wait and slow nobody down.
    pub fn speed(&self, running: f64) -> f64 {
        let running = running.clamp(1.0, self.speeds.len() as f64);
        let below = running.floor();
        let at = |running: f64| self.speeds.get(running as usize - 1).copied();
        let lower = at(below).unwrap_or(SPEED_RANGE.1);
        let upper = at(below + 1.0).unwrap_or(lower);
        lower + (upper - lower) * (running - below)
    }

    /// Concurrency with the highest throughput.
    pub fn best_concurrency(&self) -> u32 {
        let mut best = (1, self.speeds[0]);
        for (running, speed) in (1..).zip(&self.speeds) {
            let done = f64::from(running) * speed;
            if done > best.1 * MIN_GAIN {
                best = (running, done);
            }
        }
        best.0
    }

    /// Whether the request started at a concurrency that defines the baseline.
    pub fn is_baseline(&self, occupancy: &Occupancy) -> bool {
        occupancy.initial_concurrency <= self.baseline_count() as u32
    }

    /// Time that the request would have taken at baseline speed.
    pub fn baseline_ms(&self, occupancy: &Occupancy) -> f64 {
        self.ms_by_speed(occupancy).map(|(index, ms)| ms * self.speeds[index]).sum()
    }

    /// Learns from a request that takes `baseline_ms` at baseline speed.
    pub fn learn(&mut self, occupancy: &Occupancy, baseline_ms: f64) {
        let total_ms: f64 = occupancy.ms_by_concurrency.iter().sum();
        if total_ms <= 0.0 || baseline_ms <= 0.0 {
            return;
        }
        let error = (1.0 - self.baseline_ms(occupancy) / baseline_ms).clamp(-1.0, 1.0);
        let learned_range = self.baseline_count()..;
        let learned_ms: Vec<(usize, f64)> = self
            .ms_by_speed(occupancy)
            .filter(|(index, _)| learned_range.contains(index))
            .collect();
        for (index, ms) in learned_ms {
            let speed = &mut self.speeds[index];
            *speed = (*speed + LEARNING_RATE * error * ms / total_ms)
                .clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        }
    }

    /// Time by index of the speed; beyond the slots the last speed applies.
    fn ms_by_speed(&self, occupancy: &Occupancy) -> impl Iterator<Item = (usize, f64)> {
        let last = self.speeds.len() - 1;
        occupancy
            .ms_by_concurrency
            .iter()
            .enumerate()
            .map(move |(index, ms)| (index.min(last), *ms))
    }

    /// Number of speeds that are 1 by definition.
    fn baseline_count(&self) -> usize {
        (self.speeds.len() as f64 * BASELINE_SLOT_SHARE).ceil().max(1.0) as usize
    }
}
