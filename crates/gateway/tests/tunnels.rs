//! Requests that reach their upstream through a peer: what holds on a direct connection holds there.
#![allow(clippy::unwrap_used)]

mod support;

use domain::{Millis, RequestFingerprint};
use gateway::http1::Framing;
use gateway::quarantine::{BrokenAttempt, examine};
use gateway::run::Gateway;
use published::Upstream;
use rstest::rstest;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::caller::{Caller, get, post};
use support::network::next_stand_in;
use support::upstream::{Behaviour, BodyEnd, Cut, LongBody, StandInUpstream};
use support::{LogsOnFailure, caller_address, fleet, on_one_thread, published, wait_until};

/// A response that ends with its connection, which is reset after half of it.
const RESET_MIDWAY: LongBody =
    LongBody { bytes: 30_000, framing: Framing::UntilClose, end: BodyEnd::Reset };

/// Hosts, of which the first reaches no upstream, and two upstreams.
struct CutOff {
    hosts: Vec<Gateway>,
    upstreams: Vec<StandInUpstream>,
    _logs: LogsOnFailure,
}

impl CutOff {
    /// A fleet whose first host has noticed that it is cut off.
    async fn start(size: usize) -> CutOff {
        let upstreams =
            vec![StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await];
        let published = published(&upstreams.iter().collect::<Vec<_>>());
        let hosts = fleet(size, &published).await;
        wait_until("all are ready", || hosts.iter().all(|host| host.host().is_ready())).await;
        let logs = LogsOnFailure::of(&hosts);
        let cut_off = CutOff { hosts, upstreams, _logs: logs };
        cut_off.set_cut(0, Some(Cut::Reset));
        let mut caller = Caller::connect(caller_address(&cut_off.hosts[0])).await;
        for number in 0.. {
            caller.exchange(&get("/any/x", &format!("warm-{number}"))).await;
            if cut_off.hosts[0].host().links.borrow().down_count() == 1 {
                break;
            }
            assert!(number < 200, "it doesn't notice that it is cut off");
        }
        cut_off
    }

    fn set_cut(&self, at: usize, cut: Option<Cut>) {
        let ip = self.hosts[at].host().own_ip();
        self.upstreams.iter().for_each(|upstream| upstream.set_cut(ip, cut));
    }

    /// Has both upstreams do the same with their next request.
    fn script(&self, behaviour: &Behaviour) {
        self.upstreams.iter().for_each(|upstream| upstream.add_to_script([behaviour.clone()]));
    }

    async fn caller(&self) -> Caller {
        Caller::connect(caller_address(&self.hosts[0])).await
    }

    /// How often a request arrived at an upstream.
    fn runs(&self, id: &str) -> usize {
        let received = self.upstreams.iter().flat_map(StandInUpstream::requests);
        received.filter(|request| request.id == id).count()
    }

    fn relayed(&self) -> usize {
        self.hosts[1..].iter().map(|host| host.host().open_tunnels.get()).sum()
    }
}

/// Guards against a request that runs twice as its tunnel breaks.
#[test]
fn a_request_that_breaks_in_a_tunnel_runs_at_most_once() {
    on_one_thread(async {
        let cut_off = CutOff::start(2).await;
        cut_off.script(&Behaviour::Reset);
        let got = cut_off.caller().await.exchange(&post("/once/x", "r", "{}")).await;
        assert_eq!((got.status, got.cause.as_str()), (502, "upstream-failed"));
        assert_eq!(cut_off.runs("r"), 1);
    });
}

/// Guards against work that goes on at the upstream after the caller left.
#[test]
fn a_caller_that_leaves_ends_the_work_behind_the_tunnel() {
    on_one_thread(async {
        let cut_off = CutOff::start(2).await;
        cut_off.script(&Behaviour::NoResponse);
        let mut caller = cut_off.caller().await;
        caller.send(&get("/any/x", "r")).await;
        wait_until("it runs", || cut_off.runs("r") == 1).await;
        drop(caller);
        let abandoned = || cut_off.upstreams.iter().map(StandInUpstream::abandoned).sum::<u32>();
        wait_until("the upstream is told", || abandoned() == 1).await;
    });
}

/// Guards against a reset that looks like the orderly end of a response without a length.
#[rstest]
#[case::closed(Behaviour::Unframed, (200, "whole"))]
#[case::reset(Behaviour::Long(RESET_MIDWAY), (502, ""))]
fn only_an_orderly_end_behind_the_tunnel_completes_a_response(
    #[case] behaviour: Behaviour,
    #[case] expected: (u16, &str),
) {
    on_one_thread(async {
        let cut_off = CutOff::start(2).await;
        cut_off.script(&behaviour);
        let got = cut_off.caller().await.exchange(&post("/once/x", "r", "{}")).await;
        assert_eq!((got.status, got.body.as_str()), expected);
    });
}

/// Guards against a stop of the relay that cuts a request.
#[test]
fn a_relay_that_stops_completes_what_it_relays() {
    on_one_thread(async {
        let cut_off = CutOff::start(3).await;
        cut_off.script(&Behaviour::Slow(700));
        let mut caller = cut_off.caller().await;
        caller.send(&post("/once/x", "r", "{}")).await;
        wait_until("it runs", || cut_off.runs("r") == 1).await;
        let relay = cut_off.hosts[1..].iter().find(|host| host.host().open_tunnels.get() > 0);
        let stopping = relay.unwrap().stop();
        let (response, ()) = tokio::join!(caller.receive(), stopping);
        assert_eq!(response.unwrap().status, 200);
        let got = cut_off.caller().await.exchange(&post("/once/x", "later", "{}")).await;
        assert_eq!((got.status, cut_off.runs("later")), (200, 1));
    });
}

/// Guards against requests that wait though no host can serve them, and against hosts that don't
/// notice that their links work again.
#[test]
fn a_fleet_without_links_refuses_at_once_until_they_are_back() {
    on_one_thread(async {
        let cut_off = CutOff::start(2).await;
        cut_off.set_cut(1, Some(Cut::Reset));
        let mut caller = cut_off.caller().await;
        let mut answered = Vec::new();
        for number in 0..8 {
            let begun = Instant::now();
            let got = caller.exchange(&get("/any/x", &format!("r-{number}"))).await;
            answered.push((got.status, got.cause, got.retry_after, begun.elapsed()));
        }
        let (status, cause, retry_after, took) = answered.last().unwrap();
        assert_eq!((*status, cause.as_str()), (503, "no-path"), "{answered:?}");
        assert!(retry_after.is_some_and(|after| after > 0.0), "{answered:?}");
        assert!(*took < Duration::from_millis(50), "{answered:?}");
        cut_off.set_cut(0, None);
        let healed = Instant::now();
        for number in 0.. {
            let got = caller.exchange(&get("/any/x", &format!("healed-{number}"))).await;
            if got.status == 200 {
                break;
            }
            assert!(healed.elapsed() < Duration::from_secs(2), "{}", got.cause);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        wait_until("tunnels are closed", || cut_off.relayed() == 0).await;
    });
}

/// Guards against a host that takes its own lost link for a crash, and the request for its cause.
#[test]
fn an_upstream_that_refuses_only_one_host_has_not_crashed() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let hosts = fleet(2, &published(&[&upstream])).await;
        wait_until("all are ready", || hosts.iter().all(|host| host.host().is_ready())).await;
        let host = hosts[0].host();
        let known = host.upstreams.borrow().get(&"i-1".parse().unwrap()).unwrap().entry.clone();
        // Nothing listens there; the peer goes by the published address.
        let entry = Arc::new(Upstream { address: next_stand_in(), ..(*known).clone() });
        let broken = BrokenAttempt {
            fingerprint: RequestFingerprint(7),
            upstream: entry,
            sent_ms: host.now_ms() - Millis(5),
            broke_ms: host.now_ms(),
        };
        assert!(!examine(host, broken, true).await);
        let log = host.log.take_buffered();
        assert!(log.contains("reached-by-peer"), "{log}");
    });
}
