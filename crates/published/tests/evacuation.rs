//! An evacuation is state: whoever hears of it late, in parts or out of order holds it in the end.
#![allow(clippy::unwrap_used)]

mod support;

use domain::Millis;
use published::{
    BootstrapSnapshot, Change, Eligibility, Entry, EvacuationEnd, Item, PublishedState, Revision,
    Snapshot, StateChange, UpstreamMode,
};
use rstest::rstest;
use support::site::{Broken, Fault, Site, Spell};
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

fn zones(picture: &PublishedState) -> Vec<String> {
    let mut zones: Vec<String> =
        picture.evacuations().in_force().map(|(zone, _)| zone.to_string()).collect();
    zones.sort();
    zones
}

/// Holds everything up to a revision.
fn holding(revision: u64, items: Vec<Change>) -> PublishedState {
    let mut picture = PublishedState::default();
    picture.apply_snapshot(NOW, snapshot(revision, items));
    picture
}

#[rstest]
#[case::begins(vec![evacuated(1, "a")], &["a"])]
#[case::ends(vec![evacuated(1, "a"), restored(2, "a")], &[])]
#[case::the_end_comes_first(vec![restored(2, "a"), evacuated(1, "a")], &[])]
#[case::told_twice(vec![evacuated(1, "a"), evacuated(1, "a"), restored(2, "a"), restored(2, "a")], &[])]
#[case::anew(vec![evacuated(1, "a"), restored(2, "a"), evacuated(3, "a")], &["a"])]
#[case::a_late_end_of_the_first(vec![evacuated(1, "a"), evacuated(3, "a"), restored(2, "a")], &["a"])]
#[case::each_by_itself(vec![evacuated(1, "a"), evacuated(2, "b"), restored(3, "a")], &["b"])]
#[case::written_over(vec![evacuated(1, "a"), evacuated(2, "a"), restored(3, "a")], &[])]
fn evacuations_move_forward_only(#[case] changes: Vec<Change>, #[case] left: &[&str]) {
    let mut picture = PublishedState::default();
    for change in changes {
        picture.apply_changes(NOW, Revision(0), Revision(0), vec![change]);
    }
    assert_eq!(zones(&picture), left);
}

#[rstest]
#[case::still_there(5, vec![evacuated(2, "a")], &["a"])]
#[case::missing_is_taken_back(5, vec![], &[])]
#[case::an_old_reading_takes_nothing_back(1, vec![], &["a"])]
fn a_whole_reading_says_what_is_evacuated(
    #[case] revision: u64,
    #[case] items: Vec<Change>,
    #[case] left: &[&str],
) {
    let mut picture = holding(2, vec![evacuated(2, "a")]);
    picture.apply_snapshot(NOW, snapshot(revision, items));
    assert_eq!(zones(&picture), left);
}

#[test]
fn who_missed_it_finds_out_by_the_digest_and_is_told() {
    let mut knows = holding(1, vec![written(1, "i-1")]);
    let mut missed = holding(1, vec![written(1, "i-1")]);
    let changes = [evacuated(2, "kariakoo"), evacuated(3, "temeke"), restored(4, "temeke")];
    knows.apply_changes(NOW, Revision(1), Revision(4), changes.to_vec());
    assert_ne!(knows.digest(), missed.digest());
    let told = knows.catch_up(missed.known_revisions());
    let (state_changes, is_gapless) = missed.apply_catch_up(NOW, told);
    assert!(is_gapless);
    assert_eq!((zones(&missed), missed.digest()), (vec!["kariakoo".to_owned()], knows.digest()));
    let zone = "kariakoo".parse().unwrap();
    assert!(state_changes.contains(&StateChange::ZoneEvacuated { zone, revision: Revision(2) }));
}

#[test]
fn who_lost_its_history_is_told_with_the_whole() {
    let knows = holding(4, vec![written(1, "i-1"), evacuated(2, "kariakoo")]);
    let mut fresh = PublishedState::default();
    fresh.apply_snapshot(NOW, knows.snapshot());
    assert_eq!(zones(&fresh), ["kariakoo"]);
}

#[test]
fn an_end_is_remembered_for_who_asks_later_and_then_everything_is_told() {
    let mut knows = holding(2, vec![evacuated(2, "kariakoo")]);
    let missed = holding(2, vec![evacuated(2, "kariakoo")]);
    knows.apply_changes(NOW, Revision(2), Revision(3), vec![restored(3, "kariakoo")]);
    for later_ms in [1_000, 120_000] {
        knows.expire(NOW + Millis(later_ms));
        let mut missed = holding(2, vec![evacuated(2, "kariakoo")]);
        missed.apply_catch_up(NOW, knows.catch_up(missed.known_revisions()));
        assert!(zones(&missed).is_empty(), "after {later_ms} ms");
    }
    assert_eq!(zones(&missed), ["kariakoo"]);
}

/// What a host is told that starts, of upstreams in two zones of which one is evacuated.
fn first_page(upstreams: usize) -> BootstrapSnapshot {
    let mut items = vec![routing(1, 1), evacuated(2, "kariakoo")];
    for number in 0..upstreams {
        let zone = if number % 2 == 0 { "kariakoo" } else { "temeke" };
        let mut entry = (*upstream(&format!("i-{number}"), UpstreamMode::Ready)).clone();
        entry.availability_zone = zone.parse().unwrap();
        let value = Item::Upstream(entry.into());
        items.push(Change::Written(Entry { revision: Revision(3), value }));
    }
    let host = "front-1".parse().unwrap();
    let picture = holding(3, items);
    picture.bootstrap_for(NOW, &host, &"kariakoo".parse().unwrap()).unwrap()
}

#[rstest]
#[case::all_fit(10)]
#[case::the_preferred_ones_only(400)]
fn a_host_that_starts_knows_it_with_its_first_page(#[case] upstreams: usize) {
    let snapshot = first_page(upstreams);
    let mut fresh = PublishedState::default();
    fresh.apply_bootstrap(NOW, snapshot);
    assert_eq!(zones(&fresh), ["kariakoo"]);
    let usable = fresh
        .upstreams()
        .filter(|entry| entry.value.eligibility(fresh.evacuations()) == Eligibility::Eligible);
    assert!(usable.count() >= 5);
}

#[rstest]
#[case::eligible(vec![], UpstreamMode::Ready, Eligibility::Eligible)]
#[case::another_zone(vec![evacuated(1, "temeke")], UpstreamMode::Ready, Eligibility::Eligible)]
#[case::evacuated(vec![evacuated(1, "kariakoo")], UpstreamMode::Ready, Eligibility::ZoneEvacuated)]
#[case::leaving(vec![evacuated(1, "kariakoo")], UpstreamMode::Draining, Eligibility::Draining)]
#[case::taken_back(
    vec![evacuated(1, "kariakoo"), restored(2, "kariakoo")],
    UpstreamMode::Ready,
    Eligibility::Eligible
)]
fn one_answer_says_who_gets_new_requests(
    #[case] changes: Vec<Change>,
    #[case] mode: UpstreamMode,
    #[case] wanted: Eligibility,
) {
    let mut picture = PublishedState::default();
    picture.apply_changes(NOW, Revision(0), Revision(2), changes);
    assert_eq!(upstream("i-1", mode).eligibility(picture.evacuations()), wanted);
}

#[test]
fn other_changes_leave_it_alone() {
    let mut picture = holding(1, vec![evacuated(1, "kariakoo")]);
    let changes = vec![written(2, "i-1"), draining(3, "i-1"), removed(4, "i-1"), routing(5, 1)];
    picture.apply_changes(NOW, Revision(1), Revision(5), changes);
    picture.apply_snapshot(NOW, Snapshot { revision: Revision(1), ..Snapshot::default() });
    assert_eq!(zones(&picture), ["kariakoo"]);
}

/// An evacuation and its end while the fleet is harmed: in the end all hold what is published,
/// and each host that nothing harmed for three seconds had it in time.
#[rstest]
#[case::calm(&[])]
#[case::a_zone_is_cut_off(&[(Fault::ZoneCut { zone: 1 }, 9_000, 14_000)])]
#[case::all_are_killed(&[(Fault::Killed { every: 1 }, 9_500, 10_800)])]
#[case::the_source_is_silent(&[(Fault::SourceSilent { every: 1 }, 9_000, 13_000)])]
#[case::half_is_lost(&[(Fault::Lossy { percent: 50 }, 9_000, 14_000)])]
#[case::history_is_lost(&[(Fault::HistoryLost, 10_000, 10_100)])]
fn a_fleet_in_trouble_holds_it(#[case] faults: &[(Fault, u64, u64)]) {
    let spell = |&(fault, from_ms, to_ms): &(Fault, u64, u64)| Spell {
        fault,
        from_ms: Millis(from_ms),
        to_ms: Millis(to_ms),
    };
    let spells: Vec<Spell> = faults.iter().map(spell).collect();
    for seed in 0..6 {
        let mut site = Site::new((12, 3, 0), seed, &spells, Broken::Nothing);
        site.play(Millis(8_000)).unwrap();
        for (number, until_ms) in [8_900, 9_800, 10_900, 12_000, 20_000].into_iter().enumerate() {
            let next = site.next_revision();
            site.publish(match number % 2 {
                0 => evacuated(next, "z-1"),
                _ => restored(next, "z-1"),
            });
            site.play(Millis(until_ms)).unwrap();
        }
        site.check_settled().unwrap();
        assert!(site.all_hold(|picture| zones(picture) == ["z-1"]), "seed {seed}");
    }
}
