//! An evacuation is state: a host that learns of it late, partly or out of order has it in the end.
#![allow(clippy::unwrap_used)]

mod support;

use domain::Millis;
use published::{
    BootstrapSnapshot, Change, Eligibility, Entry, EvacuationEnd, Item, PublishedState, Revision,
    Snapshot, StateChange, UpstreamMode,
};
use rstest::rstest;
use support::site::{Disabled, Fault, FaultWindow, Site};
use support::{draining, removed, routing, snapshot, upstream, written};

const NOW: Millis = Millis(10_000);

fn evacuated(revision: u64, zone: &str) -> Change {
    let value = Item::Evacuation(zone.parse().unwrap());
    Change::Written(Entry { revision: Revision(revision), value })
}

fn restored(revision: u64, zone: &str) -> Change {
    let (zone, revision) = (zone.parse().unwrap(), Revision(revision));
    Change::EvacuationEnded(EvacuationEnd { zone, revision })
}

fn zones(state: &PublishedState) -> Vec<String> {
    let mut zones: Vec<String> =
        state.evacuations().in_force().map(|(zone, _)| zone.to_string()).collect();
    zones.sort();
    zones
}

/// A state that has everything up to a revision.
fn state_with(revision: u64, items: Vec<Change>) -> PublishedState {
    let mut state = PublishedState::default();
    state.apply_snapshot(NOW, snapshot(revision, items));
    state
}

#[rstest]
#[case::begins(vec![evacuated(1, "a")], &["a"])]
#[case::ends(vec![evacuated(1, "a"), restored(2, "a")], &[])]
#[case::the_end_comes_first(vec![restored(2, "a"), evacuated(1, "a")], &[])]
#[case::received_twice(vec![evacuated(1, "a"), evacuated(1, "a"), restored(2, "a"), restored(2, "a")], &[])]
#[case::again(vec![evacuated(1, "a"), restored(2, "a"), evacuated(3, "a")], &["a"])]
#[case::a_late_end_of_the_first(vec![evacuated(1, "a"), evacuated(3, "a"), restored(2, "a")], &["a"])]
#[case::each_zone_separately(vec![evacuated(1, "a"), evacuated(2, "b"), restored(3, "a")], &["b"])]
#[case::overwritten(vec![evacuated(1, "a"), evacuated(2, "a"), restored(3, "a")], &[])]
fn evacuations_never_go_back(#[case] changes: Vec<Change>, #[case] left: &[&str]) {
    let mut state = PublishedState::default();
    for change in changes {
        state.apply_changes(NOW, Revision(0), Revision(0), vec![change]);
    }
    assert_eq!(zones(&state), left);
}

#[rstest]
#[case::still_there(5, vec![evacuated(2, "a")], &["a"])]
#[case::missing_is_withdrawn(5, vec![], &[])]
#[case::an_old_snapshot_withdraws_nothing(1, vec![], &["a"])]
fn a_snapshot_states_which_zones_are_evacuated(
    #[case] revision: u64,
    #[case] items: Vec<Change>,
    #[case] left: &[&str],
) {
    let mut state = state_with(2, vec![evacuated(2, "a")]);
    state.apply_snapshot(NOW, snapshot(revision, items));
    assert_eq!(zones(&state), left);
}

#[test]
fn a_host_that_missed_it_has_another_digest_and_fetches_it() {
    let mut informed = state_with(1, vec![written(1, "i-1")]);
    let mut behind = state_with(1, vec![written(1, "i-1")]);
    let changes = [evacuated(2, "kariakoo"), evacuated(3, "temeke"), restored(4, "temeke")];
    informed.apply_changes(NOW, Revision(1), Revision(4), changes.to_vec());
    assert_ne!(informed.digest(), behind.digest());
    let catch_up = informed.catch_up(behind.known_revisions());
    let (state_changes, is_gapless) = behind.apply_catch_up(NOW, catch_up);
    assert!(is_gapless);
    assert_eq!((zones(&behind), behind.digest()), (vec!["kariakoo".to_owned()], informed.digest()));
    let zone = "kariakoo".parse().unwrap();
    assert!(state_changes.contains(&StateChange::ZoneEvacuated { zone, revision: Revision(2) }));
}

#[test]
fn a_full_snapshot_contains_evacuations() {
    let informed = state_with(4, vec![written(1, "i-1"), evacuated(2, "kariakoo")]);
    let mut new = PublishedState::default();
    new.apply_snapshot(NOW, informed.snapshot());
    assert_eq!(zones(&new), ["kariakoo"]);
}

#[test]
fn an_end_is_sent_as_a_change_and_later_by_a_full_snapshot() {
    let mut informed = state_with(2, vec![evacuated(2, "kariakoo")]);
    let behind = state_with(2, vec![evacuated(2, "kariakoo")]);
    informed.apply_changes(NOW, Revision(2), Revision(3), vec![restored(3, "kariakoo")]);
    for later_ms in [1_000, 120_000] {
        informed.expire(NOW + Millis(later_ms));
        let mut behind = state_with(2, vec![evacuated(2, "kariakoo")]);
        behind.apply_catch_up(NOW, informed.catch_up(behind.known_revisions()));
        assert!(zones(&behind).is_empty(), "after {later_ms} ms");
    }
    assert_eq!(zones(&behind), ["kariakoo"]);
}

/// A bootstrap snapshot of upstreams in two zones, one of which is evacuated.
fn bootstrap_snapshot(upstreams: usize) -> BootstrapSnapshot {
    let mut items = vec![routing(1, 1), evacuated(2, "kariakoo")];
    for number in 0..upstreams {
        let zone = if number % 2 == 0 { "kariakoo" } else { "temeke" };
        let mut entry = (*upstream(&format!("i-{number}"), UpstreamMode::Ready)).clone();
        entry.availability_zone = zone.parse().unwrap();
        let value = Item::Upstream(entry.into());
        items.push(Change::Written(Entry { revision: Revision(3), value }));
    }
    let host = "front-1".parse().unwrap();
    let state = state_with(3, items);
    state.bootstrap_for(NOW, &host, &"kariakoo".parse().unwrap()).unwrap()
}

#[rstest]
#[case::all_fit(10)]
#[case::the_preferred_ones_only(400)]
fn a_bootstrap_snapshot_contains_evacuations(#[case] upstreams: usize) {
    let snapshot = bootstrap_snapshot(upstreams);
    let mut new = PublishedState::default();
    new.apply_bootstrap(NOW, snapshot);
    assert_eq!(zones(&new), ["kariakoo"]);
    let usable = new
        .upstreams()
        .filter(|entry| entry.value.eligibility(new.evacuations()) == Eligibility::Eligible);
    assert!(usable.count() >= 5);
}

#[rstest]
#[case::eligible(vec![], UpstreamMode::Ready, Eligibility::Eligible)]
#[case::another_zone(vec![evacuated(1, "temeke")], UpstreamMode::Ready, Eligibility::Eligible)]
#[case::evacuated(vec![evacuated(1, "kariakoo")], UpstreamMode::Ready, Eligibility::ZoneEvacuated)]
#[case::leaving(vec![evacuated(1, "kariakoo")], UpstreamMode::Draining, Eligibility::Draining)]
#[case::withdrawn(
    vec![evacuated(1, "kariakoo"), restored(2, "kariakoo")],
    UpstreamMode::Ready,
    Eligibility::Eligible
)]
fn eligibility_depends_on_mode_and_zone(
    #[case] changes: Vec<Change>,
    #[case] mode: UpstreamMode,
    #[case] wanted: Eligibility,
) {
    let mut state = PublishedState::default();
    state.apply_changes(NOW, Revision(0), Revision(2), changes);
    assert_eq!(upstream("i-1", mode).eligibility(state.evacuations()), wanted);
}

#[test]
fn other_changes_keep_an_evacuation() {
    let mut state = state_with(1, vec![evacuated(1, "kariakoo")]);
    let changes = vec![written(2, "i-1"), draining(3, "i-1"), removed(4, "i-1"), routing(5, 1)];
    state.apply_changes(NOW, Revision(1), Revision(5), changes);
    state.apply_snapshot(NOW, Snapshot { revision: Revision(1), ..Snapshot::default() });
    assert_eq!(zones(&state), ["kariakoo"]);
}

/// Evacuations and their ends during faults: in the end all hosts have what is published, and each
/// host that no fault has affected for three seconds has it in time.
#[rstest]
#[case::no_faults(&[])]
#[case::a_zone_is_cut_off(&[(Fault::ZoneCut { zone: 1 }, 9_000, 14_000)])]
#[case::all_are_killed(&[(Fault::Killed { every: 1 }, 9_500, 10_800)])]
#[case::the_source_is_silent(&[(Fault::SourceSilent { every: 1 }, 9_000, 13_000)])]
#[case::half_is_lost(&[(Fault::Lossy { percent: 50 }, 9_000, 14_000)])]
#[case::history_is_lost(&[(Fault::HistoryLost, 10_000, 10_100)])]
fn a_fleet_with_faults_converges(#[case] faults: &[(Fault, u64, u64)]) {
    let window = |&(fault, from_ms, to_ms): &(Fault, u64, u64)| FaultWindow {
        fault,
        from_ms: Millis(from_ms),
        to_ms: Millis(to_ms),
    };
    let windows: Vec<FaultWindow> = faults.iter().map(window).collect();
    for seed in 0..6 {
        let mut site = Site::new((12, 3, 0), seed, &windows, Disabled::Nothing);
        site.run_until(Millis(8_000)).unwrap();
        for (number, until_ms) in [8_900, 9_800, 10_900, 12_000, 20_000].into_iter().enumerate() {
            let next = site.next_revision();
            site.publish(match number % 2 {
                0 => evacuated(next, "z-1"),
                _ => restored(next, "z-1"),
            });
            site.run_until(Millis(until_ms)).unwrap();
        }
        site.check_converged().unwrap();
        assert!(site.all_hosts(|state| zones(state) == ["z-1"]), "seed {seed}");
    }
}
