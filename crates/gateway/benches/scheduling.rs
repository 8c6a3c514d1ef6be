//! Cost of scheduling: one evaluation of a cell's queue, and one request from its submission to its
//! end.

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use dispatch::backpressure::Backpressure;
use dispatch::scheduler::{
    Cell, Outcome, PlacementMessage, Requester, SchedulerSet, Submission, Ticket,
};
use dispatch::{LoadReport, RouteKey, UpstreamSet};
use domain::{Millis, Slots};
use published::{Entry, Evacuations, Revision, RunStart, Upstream, UpstreamMode};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::hint::black_box;
use std::sync::Arc;

const UPSTREAMS: u64 = 40;

const SLOTS: Slots = Slots(2);

const NOW_MS: Millis = Millis(10_000);

/// An urgent short route, and a less urgent long one.
const ROUTES: [(RouteKey, u32, Millis); 2] =
    [(RouteKey(1), 0, Millis(150)), (RouteKey(2), 2, Millis(800))];

/// A scheduler and what it knows.
struct Bench {
    schedulers: SchedulerSet,
    upstreams: UpstreamSet,
    rng: Pcg64Mcg,
}

fn cell() -> Option<Cell> {
    Some(Cell { service: "parts".parse().ok()?, zone: None })
}

fn entry(number: u64) -> Option<Entry<Arc<Upstream>>> {
    let value = Upstream {
        id: format!("i-{number}").parse().ok()?,
        service: "parts".parse().ok()?,
        address: "127.0.0.1:8080".parse().ok()?,
        availability_zone: "kariakoo".parse().ok()?,
        slots: SLOTS,
        mode: UpstreamMode::Ready,
        warmup_left_ms: Millis::ZERO,
        run: RunStart::default(),
    };
    Some(Entry { revision: Revision(1), value: Arc::new(value) })
}

fn submission(ticket: u64) -> Option<PlacementMessage> {
    let (route, priority, objective_ms) = ROUTES[usize::from(!ticket.is_multiple_of(4))];
    Some(PlacementMessage::Submit(Submission {
        ticket: Ticket(ticket),
        cell: cell()?,
        zone: "kariakoo".parse().ok()?,
        route,
        route_time: None,
        priority,
        objective_ms,
        age_ms: Millis::ZERO,
        left_ms: Millis(1_500),
        tried: Vec::new(),
        backing_off: Vec::new(),
        lends_rate_share: true,
    }))
}

/// Upstreams of which all slots are taken if `is_full`, and a queue of this length.
fn bench(is_full: bool, waiting: u64) -> Option<Bench> {
    let entries: Option<Vec<_>> = (0..UPSTREAMS).map(entry).collect();
    let entries = entries?;
    let mut upstreams = UpstreamSet::new("front-1".parse().ok()?, "kariakoo".parse().ok()?);
    upstreams.sync(Millis::ZERO, entries.iter(), &Evacuations::default());
    let service = "parts".parse().ok()?;
    for (route, _, objective_ms) in ROUTES {
        for _ in 0..100 {
            upstreams.record_duration(&service, route, Millis(objective_ms.0 / 5), 1.0);
        }
    }
    let running = if is_full { SLOTS.0 } else { 0 };
    let report = LoadReport { running, waiting: 0, slots: SLOTS, slowness_percent: 100 };
    for entry in &entries {
        upstreams.record_report(NOW_MS, (&entry.value.id, RunStart::default()), report);
    }
    let (schedulers, rng) =
        (SchedulerSet::new("front-1".parse().ok()?), Pcg64Mcg::seed_from_u64(1));
    let mut bench = Bench { schedulers, upstreams, rng };
    for ticket in 0..waiting {
        bench.handle(submission(ticket)?);
    }
    Some(bench)
}

impl Bench {
    fn handle(&mut self, message: PlacementMessage) {
        let Bench { schedulers, upstreams, rng } = self;
        black_box(schedulers.handle_message(NOW_MS, message, Requester::OwnHost, upstreams, rng));
    }
}

fn scheduling(criterion: &mut Criterion) {
    for waiting in [10, 100] {
        criterion.bench_function(&format!("evaluate a queue of {waiting}"), |bencher| {
            let Some(Bench { mut schedulers, mut upstreams, mut rng }) = bench(true, waiting)
            else {
                return;
            };
            bencher.iter(|| schedulers.schedule(NOW_MS, &mut upstreams, &mut rng));
        });
    }
    criterion.bench_function("place and end a request", |bencher| {
        let outcome = Outcome {
            failure: None,
            took_ms: Millis(40),
            report: None,
            backpressure: Backpressure::default(),
        };
        bencher.iter_batched(
            || bench(false, 0).zip(submission(1)),
            |ready| {
                let Some((mut bench, message)) = ready else { return };
                bench.handle(message);
                bench.handle(PlacementMessage::Ended { ticket: Ticket(1), outcome });
            },
            BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, scheduling);
criterion_main!(benches);
