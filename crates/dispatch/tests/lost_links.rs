//! What a scheduler concludes from hosts that can't reach the upstreams on which it places their
//! requests.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::Warmth;
use dispatch::scheduler::{Effect, PlacementMessage, Requester, SchedulerSet, Ticket, Withdrawal};
use domain::Millis;
use published::RunStart;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use support::{entry, id, placed, report, set, submission};

/// Time after which an upstream is probed again.
const PROBE_PAUSE_MS: Millis = Millis(30);

fn peer(port: u16) -> Requester {
    Requester::Peer(([127, 0, 0, 1], port).into())
}

/// Guards against a scheduler that takes a host's lost links for upstreams that are down.
#[test]
fn an_upstream_that_one_host_cannot_reach_is_probed_and_stays_warm() {
    let names = ["i-1", "i-2"];
    let mut upstreams = set(&names.map(|name| entry(name, "kariakoo")));
    let mut schedulers = SchedulerSet::new("front-1".parse().unwrap());
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut now_ms = Millis(10_000);
    let mut checked = Vec::new();
    for number in 0..2 {
        now_ms = now_ms + PROBE_PAUSE_MS;
        for name in names {
            upstreams.record_report(now_ms, (&id(name), RunStart::default()), report(0, 0, 100));
        }
        let submit = PlacementMessage::Submit(submission(number));
        let effects =
            schedulers.handle_message(now_ms, submit, peer(7_000), &mut upstreams, &mut rng);
        let upstream = placed(&effects).unwrap();
        let withdrawn = PlacementMessage::Withdrawn {
            ticket: Ticket(number),
            withdrawal: Withdrawal::Unreachable,
        };
        let effects =
            schedulers.handle_message(now_ms, withdrawn, peer(7_000), &mut upstreams, &mut rng);
        assert!(effects.contains(&Effect::Probe(upstream.clone())), "{effects:?}");
        upstreams.get_mut(&upstream).unwrap().record_probe_success();
        checked.push(upstream);
    }
    for upstream in &checked {
        let state = upstreams.get(upstream).unwrap();
        assert_eq!((state.warmth(now_ms), state.is_excluded(now_ms)), (Warmth::Warm, false));
    }
    let submit = PlacementMessage::Submit(submission(9));
    let effects = schedulers.handle_message(now_ms, submit, peer(7_001), &mut upstreams, &mut rng);
    assert!(placed(&effects).is_some(), "{effects:?}");
}
