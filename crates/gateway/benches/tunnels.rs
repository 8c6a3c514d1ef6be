//! Cost of a request that reaches its upstream through a peer, beside a direct one. Caller, host,
//! peer and upstream share a thread, so the difference is what the tunnel adds to all of them. The
//! thread's processor time is measured, as most of a request's time is spent waiting.
#![allow(clippy::unwrap_used)]

#[path = "../tests/support/mod.rs"]
mod support;

use criterion::{Criterion, criterion_group, criterion_main};
use gateway::run::Gateway;
use support::caller::{Caller, get};
use support::thread_time::processor_time;
use support::upstream::{Cut, StandInUpstream};
use support::{caller_address, fleet, published, wait_until};
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

/// Two hosts, of which the first may be cut off.
struct Bench {
    runtime: Runtime,
    tasks: LocalSet,
    _hosts: Vec<Gateway>,
    caller: Caller,
    sent: u64,
}

impl Bench {
    fn new(is_cut: bool) -> Bench {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let tasks = LocalSet::new();
        let (hosts, caller) = tasks.block_on(&runtime, async {
            let upstreams =
                [StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await];
            let published = published(&upstreams.iter().collect::<Vec<_>>());
            let hosts = fleet(2, &published).await;
            wait_until("they are ready", || hosts.iter().all(|host| host.host().is_ready())).await;
            let first = hosts[0].host().own_ip();
            let cut = is_cut.then_some(Cut::Reset);
            upstreams.iter().for_each(|upstream| upstream.set_cut(first, cut));
            let caller = Caller::connect(caller_address(&hosts[0])).await;
            (hosts, caller)
        });
        let mut bench = Bench { runtime, tasks, _hosts: hosts, caller, sent: 0 };
        // Until it has noticed that it is cut off, and has connections.
        (0..200).for_each(|_| bench.exchange());
        bench
    }

    fn exchange(&mut self) {
        self.sent += 1;
        let request = get("/any/x", &format!("r-{}", self.sent));
        let exchanging = self.caller.exchange(&request);
        self.tasks.block_on(&self.runtime, exchanging);
    }
}

fn requests(criterion: &mut Criterion) {
    for (name, is_cut) in [("direct", false), ("through a peer", true)] {
        let mut bench = Bench::new(is_cut);
        criterion.bench_function(name, |bencher| {
            bencher.iter_custom(|count| {
                let before = processor_time();
                (0..count).for_each(|_| bench.exchange());
                processor_time().saturating_sub(before)
            });
        });
    }
}

criterion_group!(benches, requests);
criterion_main!(benches);
