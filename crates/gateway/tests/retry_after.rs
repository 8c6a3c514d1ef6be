//! An upstream that turns a request away says for how long it wants nothing from that host.
//!
//! What happened: two upstreams of eight turned away whatever came, and asked each host for three seconds
//! without requests. Callers' reads were late or refused: 131 sendings in two seconds went to the two, nine
//! in ten of them placed by the scheduler, and many a read was refused after both had turned it away.
//!
//! The cause: the time in the refusal was read by nobody. A refusal counted as half a failure, forgotten within
//! three seconds; an upstream that refuses in a millisecond is idle by its own report, so it was the best
//! offer.
//!
//! The evidence: sendings went on for as long as upstreams refused, at the rate at which failures are
//! forgotten; the status of each was in the log, and with the marks that nothing reads told to
//! operators, `retry-after` stood beside it.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};
use support::caller::{Caller, get};
use support::upstream::{Behaviour, StandInUpstream};
use support::{caller_address, fleet, on_one_thread, published};

const REST: Duration = Duration::from_secs(3);

/// What is under way may still arrive within this time, and so many more requests later.
const GRACE: Duration = Duration::from_millis(500);
const ALLOWED: usize = 2;

const HOSTS: usize = 3;
const CALLERS_EACH: usize = 3;
const PAUSE: Duration = Duration::from_millis(5);

/// Time of a request at the upstreams that serve, and the load that they tell: their neighbours slow
/// them down, so that those that refuse look better.
const WORK_MS: u64 = 20;
const SLOWED: &str = "0,0,6,400";

#[test]
fn an_upstream_that_asks_a_host_for_rest_gets_nothing_from_it() {
    on_one_thread(async {
        let resting = [StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await];
        let others = [StandInUpstream::start("i-3").await, StandInUpstream::start("i-4").await];
        let published = published(&[&resting[0], &resting[1], &others[0], &others[1]]);
        let hosts = fleet(HOSTS, &published).await;
        for upstream in &resting {
            upstream.set_extra_headers(&[&format!("retry-after: {}", REST.as_secs())]);
            upstream.add_to_script(std::iter::repeat_n(Behaviour::NotRun, 10_000));
        }
        for upstream in &others {
            upstream.set_load(SLOWED);
            upstream.add_to_script(std::iter::repeat_n(Behaviour::Slow(WORK_MS), 10_000));
        }
        let end = Instant::now() + REST;
        let calling = (0..HOSTS * CALLERS_EACH).map(|number| {
            let (host, address) = (number % HOSTS, caller_address(&hosts[number % HOSTS]));
            tokio::task::spawn_local(async move {
                let mut caller = Caller::connect(address).await;
                let (mut asked, mut served) = (0, 0);
                while Instant::now() < end {
                    asked += 1;
                    let got =
                        caller.exchange(&get("/any/x", &format!("h{host}-{number}-{asked}"))).await;
                    served += usize::from(got.status == 200);
                    tokio::time::sleep(PAUSE).await;
                }
                (asked, served)
            })
        });
        let calling: Vec<_> = calling.collect();
        let (mut asked, mut served) = (0, 0);
        for callers in calling {
            let (more_asked, more_served) = callers.await.unwrap();
            (asked, served) = (asked + more_asked, served + more_served);
        }
        for (upstream, host) in resting.iter().flat_map(|it| (0..HOSTS).map(move |host| (it, host)))
        {
            let name = format!("h{host}-");
            let Some(told) = upstream.first_with_prefix(&name) else { continue };
            let got = upstream.arrived_with_prefix(&name, told + GRACE..told + REST);
            println!("{} from host {host}: {got} of {ALLOWED}", upstream.id());
            assert!(got <= ALLOWED, "host {host}: {got} requests in a rest of {REST:?}");
        }
        assert_eq!(served, asked, "the others have room");
    });
}
