//! A host must send no requests to an upstream for the time that the upstream stated in `retry-after`.
//! An upstream that refuses at once reports no load, so it would otherwise look like the best choice.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};
use support::caller::{Caller, get};
use support::upstream::{Behaviour, StandInUpstream};
use support::{caller_address, fleet, on_one_thread, published};

const BACKOFF: Duration = Duration::from_secs(3);

/// Requests in flight may still arrive within this time.
const GRACE: Duration = Duration::from_millis(500);

/// Most requests that may arrive from a host later in its backoff.
const ALLOWED: usize = 2;

const HOSTS: usize = 3;
const CALLERS_EACH: usize = 3;
const PAUSE: Duration = Duration::from_millis(5);

/// Duration of a request at the upstreams that serve.
const WORK_MS: u64 = 20;

/// Load that these report: they are slowed down, so that the upstreams that refuse look better.
const SLOWED: &str = "0,0,6,400";

#[test]
fn an_upstream_that_states_retry_after_gets_no_requests_from_that_host() {
    on_one_thread(async {
        let refusing = [StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await];
        let others = [StandInUpstream::start("i-3").await, StandInUpstream::start("i-4").await];
        let published = published(&[&refusing[0], &refusing[1], &others[0], &others[1]]);
        let hosts = fleet(HOSTS, &published).await;
        for upstream in &refusing {
            upstream.set_extra_headers(&[&format!("retry-after: {}", BACKOFF.as_secs())]);
            upstream.add_to_script(std::iter::repeat_n(Behaviour::NotRun, 10_000));
        }
        for upstream in &others {
            upstream.set_load(SLOWED);
            upstream.add_to_script(std::iter::repeat_n(Behaviour::Slow(WORK_MS), 10_000));
        }
        let end = Instant::now() + BACKOFF;
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
        for (upstream, host) in
            refusing.iter().flat_map(|it| (0..HOSTS).map(move |host| (it, host)))
        {
            let name = format!("h{host}-");
            let Some(refused) = upstream.first_with_prefix(&name) else { continue };
            let got = upstream.arrived_with_prefix(&name, refused + GRACE..refused + BACKOFF);
            println!("{} from host {host}: {got} of {ALLOWED} allowed", upstream.id());
            assert!(got <= ALLOWED, "host {host}: {got} requests in a backoff of {BACKOFF:?}");
        }
        assert_eq!(served, asked, "the others have capacity");
    });
}
