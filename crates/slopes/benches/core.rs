//! The core's work that a call or a change waits for.
#![allow(clippy::unwrap_used, missing_docs)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use slopes::{CallLoop, LoadedHost, Published, SiteSize};

const SIZES: [SiteSize; 4] = [
    SiteSize { upstreams: 34, services: 3 },
    SiteSize { upstreams: 1_000, services: 100 },
    SiteSize { upstreams: 4_000, services: 300 },
    SiteSize { upstreams: 13_000, services: 1_200 },
];

fn merge(c: &mut Criterion) {
    let mut group = c.benchmark_group("merge");
    group.sample_size(10);
    for size in SIZES {
        let published = Published::new(size, "load-aware");
        let (base, overlay) = (published.base(), published.overlay(1));
        group.bench_function(BenchmarkId::from_parameter(size.upstreams), |b| {
            b.iter(|| config::merge(&base, Some(&overlay)));
        });
    }
}

fn change(c: &mut Criterion) {
    let mut group = c.benchmark_group("change");
    group.sample_size(10);
    for size in SIZES {
        let mut host = LoadedHost::start(Published::new(size, "load-aware")).unwrap();
        group.bench_function(BenchmarkId::from_parameter(size.upstreams), |b| {
            b.iter(|| {
                let change = host.next_change();
                host.tell(change)
            });
        });
    }
}

fn call(c: &mut Criterion) {
    let mut group = c.benchmark_group("call");
    for size in SIZES {
        let mut calls = CallLoop::new(Published::new(size, "load-aware")).unwrap();
        group.bench_function(BenchmarkId::from_parameter(size.upstreams), |b| {
            b.iter(|| calls.run_one().unwrap());
        });
    }
}

criterion_group!(benches, merge, change, call);
criterion_main!(benches);
