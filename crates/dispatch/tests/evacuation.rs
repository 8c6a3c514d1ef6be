//! Upstreams of an evacuated availability zone receive no new request, however one is chosen.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::scheduler::{
    Cell, Effect, PlacementMessage, RefusalCause, Requester, SchedulerSet, Submission,
};
use dispatch::{UpstreamSet, ZoneScope};
use domain::{Millis, ServiceName, ZoneName};
use published::{Change, Entry, Evacuations, Item, PublishedState, Revision, RunStart, Upstream};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::sync::Arc;
use support::{entry, id, report, submission};

const NOW: Millis = Millis(10_000);

fn service() -> ServiceName {
    "parts".parse().unwrap()
}

fn zone(name: &str) -> ZoneName {
    name.parse().unwrap()
}

/// The evacuations of these zones.
fn evacuations(zones: &[&str]) -> Evacuations {
    let mut state = PublishedState::default();
    for name in zones {
        let value = Item::Evacuation(zone(name));
        let change = Change::Written(Entry { revision: Revision(1), value });
        state.apply_changes(NOW, Revision(0), Revision(1), vec![change]);
    }
    state.evacuations().clone()
}

/// `each` upstreams in each of three zones.
fn three_zones(each: usize) -> Vec<Entry<Arc<Upstream>>> {
    let in_zone = |zone: &'static str| {
        (0..each).map(move |number| entry(&format!("i-{zone}-{number}"), zone))
    };
    ["kariakoo", "msasani", "temeke"].into_iter().flat_map(in_zone).collect()
}

fn set_of(entries: &[Entry<Arc<Upstream>>], evacuated: &[&str]) -> UpstreamSet {
    let mut set = UpstreamSet::new("front-1".parse().unwrap(), zone("kariakoo"));
    set.sync(NOW, entries.iter(), &evacuations(evacuated));
    set
}

fn submit(ticket: u64, cell: &Cell) -> PlacementMessage {
    PlacementMessage::Submit(Submission { cell: cell.clone(), ..submission(ticket) })
}

#[rstest]
#[case::few(2)]
#[case::more_than_a_subset(12)]
fn no_upstream_there_is_probed(#[case] each: usize) {
    let set = set_of(&three_zones(each), &["kariakoo"]);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for zone_scope in [ZoneScope::Local, ZoneScope::Other] {
        let chosen =
            set.choose_probe_targets(NOW, &service(), &[], (100, zone_scope), |_| false, &mut rng);
        assert_eq!(chosen.len(), 2 * each);
        assert!(chosen.iter().all(|id| !id.as_str().contains("kariakoo")), "{chosen:?}");
    }
}

#[rstest]
#[case::nothing(&[], Some("kariakoo"))]
#[case::another_zone(&["temeke"], Some("kariakoo"))]
#[case::the_own_zone(&["kariakoo", "temeke"], Some("msasani"))]
#[case::all(&["kariakoo", "msasani", "temeke"], None)]
fn a_request_goes_to_the_scheduler_of_a_zone_with_eligible_upstreams(
    #[case] evacuated: &[&str],
    #[case] expected: Option<&str>,
) {
    let set = set_of(&three_zones(12), evacuated);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let cell = Cell::for_request(&service(), &zone("kariakoo"), &set, &mut rng);
    assert_eq!(cell.zone, expected.map(zone));
}

/// Requests move to the remaining zones in proportion to their upstreams.
#[test]
fn requests_of_an_evacuated_zone_spread_in_proportion_to_the_others_upstreams() {
    let mut entries = three_zones(12);
    entries.extend((0..24).map(|number| entry(&format!("i-more-{number}"), "temeke")));
    let set = set_of(&entries, &["kariakoo"]);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let drawn = (0..1_000).filter(|_| {
        let cell = Cell::for_request(&service(), &zone("kariakoo"), &set, &mut rng);
        cell.zone == Some(zone("temeke"))
    });
    assert!((700..800).contains(&drawn.count()));
}

/// A request waits while all upstreams are busy; then the zone is evacuated, and a slot becomes
/// free.
#[test]
fn a_waiting_request_is_not_placed_there() {
    let entries = [entry("i-1", "kariakoo"), entry("i-2", "temeke")];
    let mut set = set_of(&entries, &[]);
    let cell = Cell { service: service(), zone: None };
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut schedulers = SchedulerSet::new("front-1".parse().unwrap());
    for name in ["i-1", "i-2"] {
        set.record_report(NOW, (&id(name), RunStart::default()), report(6, 6, 100));
    }
    let requester = Requester::OwnHost;
    let effects = schedulers.handle_message(NOW, submit(1, &cell), requester, &mut set, &mut rng);
    assert!(placed(&effects).is_empty(), "{effects:?}");
    set.sync(NOW, entries.iter(), &evacuations(&["kariakoo"]));
    set.record_report(NOW, (&id("i-1"), RunStart::default()), report(0, 0, 100));
    assert!(placed(&schedulers.schedule(NOW, &mut set, &mut rng)).is_empty());
    set.record_report(NOW, (&id("i-2"), RunStart::default()), report(0, 0, 100));
    assert_eq!(placed(&schedulers.schedule(NOW, &mut set, &mut rng)), ["i-2"]);
}

fn placed(effects: &[Effect]) -> Vec<String> {
    let upstream = |effect: &Effect| match effect {
        Effect::Send { message: PlacementMessage::Placed { placement, .. }, .. } => {
            Some(placement.upstream.to_string())
        }
        _ => None,
    };
    effects.iter().filter_map(upstream).collect()
}

#[test]
fn a_request_is_refused_at_once_if_all_zones_are_evacuated() {
    let mut set = set_of(&three_zones(2), &["kariakoo", "msasani", "temeke"]);
    assert!(set.is_evacuated(&service()));
    let cell = Cell { service: service(), zone: None };
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut schedulers = SchedulerSet::new("front-1".parse().unwrap());
    let effects =
        schedulers.handle_message(NOW, submit(1, &cell), Requester::OwnHost, &mut set, &mut rng);
    let is_refused = |effect: &Effect| {
        let no_upstream = RefusalCause::NoUpstream;
        matches!(effect, Effect::Send { message: PlacementMessage::Refused { cause, .. }, .. }
            if *cause == no_upstream)
    };
    assert!(effects.iter().any(is_refused), "{effects:?}");
    let part = set_of(&three_zones(2), &["kariakoo"]);
    assert!(!part.is_evacuated(&service()));
}
