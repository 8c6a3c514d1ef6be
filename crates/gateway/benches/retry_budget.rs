//! Cost of the retry budget: a request that succeeds, and one that is retried, of 1,200 services.

use criterion::{Criterion, criterion_group, criterion_main};
use dispatch::retry_budget::{FleetRetryLimits, RetryBudget};
use domain::{Millis, ServiceName, Share};
use std::hint::black_box;

const SERVICES: usize = 1_200;

const HOSTS: u32 = 3_000;

const ALLOWED: FleetRetryLimits =
    FleetRetryLimits { ratio: Share(0.2), slack: 4_000.0, window_ms: Millis(10_000) };

fn services() -> Vec<ServiceName> {
    (0..SERVICES).filter_map(|number| format!("service-{number}").parse().ok()).collect()
}

fn retry_budget(c: &mut Criterion) {
    let services = services();
    let mut budget = RetryBudget::new(ALLOWED, Millis::ZERO, 1);
    budget.set_hosts(Some(HOSTS));
    let mut number = 0;
    let mut next = || {
        number += 1;
        (Millis(number as u64 / 10), &services[number % SERVICES])
    };
    c.bench_function("a request", |b| {
        b.iter(|| {
            let (now_ms, service) = next();
            budget.record_request(now_ms, black_box(service));
        });
    });
    c.bench_function("a request that is retried, if a retry is left", |b| {
        b.iter(|| {
            let (now_ms, service) = next();
            budget.record_request(now_ms, black_box(service));
            if budget.try_reserve(now_ms, service) {
                budget.record_sent(now_ms, service);
            }
        });
    });
}

criterion_group!(benches, retry_budget);
criterion_main!(benches);
