//! Which availability zones' schedulers a request is submitted to, by what they refused before.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::UpstreamSet;
use dispatch::scheduler::{
    Cell, CellChoice, CellReason, CellRequest, CellSelector, RefusalCause, RefusedSubmissions,
};
use domain::{Millis, ServiceName, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use support::{entry, set};

const ZONES: [&str; 3] = ["kariakoo", "ilala", "temeke"];
const SERVICE_TIME_MS: u64 = 60;
const OBJECTIVE_MS: u64 = 200;

/// A host in the first zone, and the upstreams that it knows.
struct Harness {
    service: &'static ServiceName,
    zones: &'static [ZoneName],
    selector: CellSelector,
    upstreams: UpstreamSet,
    rng: Pcg64Mcg,
}

impl Harness {
    fn new(upstreams: [usize; 3]) -> Harness {
        let name = |zone: usize, number: usize| format!("i-{zone}-{number}");
        let entries = (0..3).flat_map(|zone| {
            (0..upstreams[zone]).map(move |number| entry(&name(zone, number), ZONES[zone]))
        });
        Harness {
            service: Box::leak(Box::new("parts".parse().unwrap())),
            zones: Vec::leak(ZONES.map(|zone| zone.parse().unwrap()).to_vec()),
            selector: CellSelector::default(),
            upstreams: set(&entries.collect::<Vec<_>>()),
            rng: Pcg64Mcg::seed_from_u64(3),
        }
    }

    fn request(&self, zone: usize, arrived_ms: u64, objective_ms: u64) -> CellRequest<'static> {
        CellRequest {
            service: self.service,
            zone: &self.zones[zone],
            priority: 1,
            due_ms: Millis(arrived_ms + objective_ms),
            service_time_ms: Millis(SERVICE_TIME_MS),
            is_retry: false,
        }
    }

    fn choose(
        &mut self,
        now_ms: u64,
        request: &CellRequest<'_>,
        refused: &RefusedSubmissions,
    ) -> CellChoice {
        let Harness { selector, upstreams, rng, .. } = self;
        selector.choose(Millis(now_ms), request, refused, upstreams, rng)
    }

    fn first(&mut self, now_ms: u64, request: &CellRequest<'_>) -> CellChoice {
        self.choose(now_ms, request, &RefusedSubmissions::default())
    }

    fn record(
        &mut self,
        now_ms: u64,
        zone: usize,
        (request, submitted_ms): (&CellRequest<'_>, u64),
        result: Result<(), RefusalCause>,
    ) {
        let cell = Cell { service: self.service.clone(), zone: Some(self.zones[zone].clone()) };
        self.selector.record(Millis(now_ms), &cell, (request, Millis(submitted_ms)), result);
    }

    fn refuse_everywhere(&mut self, now_ms: u64, retry_after_ms: [u64; 3]) -> CellRequest<'static> {
        let request = self.request(0, now_ms, OBJECTIVE_MS);
        for (zone, retry_after_ms) in retry_after_ms.into_iter().enumerate() {
            self.record(now_ms, zone, (&request, now_ms), Err(no_room(retry_after_ms)));
        }
        request
    }

    fn zone_of(&self, cell: &Cell) -> usize {
        self.zones.iter().position(|zone| Some(zone) == cell.zone.as_ref()).unwrap()
    }
}

fn no_room(retry_after_ms: u64) -> RefusalCause {
    RefusalCause::NoRoom { retry_after_ms: Millis(retry_after_ms), ahead: 4 }
}

fn reason(choice: &CellChoice) -> Option<CellReason> {
    match choice {
        CellChoice::Submit(_, reason) => Some(*reason),
        CellChoice::Refuse { .. } => None,
    }
}

/// Guards against submissions to a zone that has just stated that it has no room, and against
/// leaving the local zone for a refusal that says nothing about the request.
#[rstest]
#[case::the_same_at_once((1, 200), 100, (1, 200), 0, false)]
#[case::the_same_just_before((1, 200), 100, (1, 200), 99, false)]
#[case::the_same_in_time((1, 200), 100, (1, 200), 100, true)]
#[case::at_most_a_second((1, 200), 60_000, (1, 200), 1_000, true)]
#[case::less_urgent((1, 200), 100, (2, 200), 0, false)]
#[case::more_urgent((1, 200), 100, (0, 200), 0, true)]
#[case::longer_objective((1, 200), 100, (1, 300), 0, true)]
#[case::somewhat_longer_objective((1, 200), 100, (1, 250), 49, false)]
#[case::somewhat_longer_objective_sooner((1, 200), 100, (1, 250), 50, true)]
#[case::shorter_objective((1, 200), 100, (1, 150), 99, false)]
fn a_refusal_covers_what_it_says(
    #[case] (refused_priority, refused_objective_ms): (u32, u64),
    #[case] retry_after_ms: u64,
    #[case] (priority, objective_ms): (u32, u64),
    #[case] after_ms: u64,
    #[case] is_local: bool,
) {
    let mut harness = Harness::new([1, 5, 16]);
    let refused = CellRequest {
        priority: refused_priority,
        ..harness.request(0, 5_000, refused_objective_ms)
    };
    harness.record(5_000, 0, (&refused, 5_000), Err(no_room(retry_after_ms)));
    let at_ms = 5_000 + after_ms;
    let request = CellRequest { priority, ..harness.request(0, at_ms, objective_ms) };
    let choice = harness.first(at_ms, &request);
    let wanted = if is_local { CellReason::LocalZone } else { CellReason::LocalZoneFull };
    assert_eq!(reason(&choice), Some(wanted));
}

/// Guards against a zone that stays avoided though it places requests, and against taking the
/// placement of a request that was ahead of the refused one for such a sign.
#[rstest]
#[case::the_same(1, 5_000, true)]
#[case::less_urgent(2, 5_000, true)]
#[case::more_urgent(0, 5_000, false)]
#[case::submitted_before(1, 4_990, false)]
fn a_placement_ends_a_refusal(#[case] priority: u32, #[case] from_ms: u64, #[case] ends: bool) {
    let mut harness = Harness::new([1, 5, 16]);
    let request = harness.request(0, 5_000, OBJECTIVE_MS);
    harness.record(5_000, 0, (&request, 5_000), Err(no_room(500)));
    let placed = CellRequest { priority, ..request };
    harness.record(5_010, 0, (&placed, from_ms), Ok(()));
    let is_local = reason(&harness.first(5_010, &request)) == Some(CellReason::LocalZone);
    assert_eq!(is_local, ends);
}

/// Guards against submissions that are certain to be refused, and against an outdated refusal that
/// no request corrects.
#[test]
fn with_no_room_anywhere_requests_are_refused_but_for_one_in_20_ms() {
    let mut harness = Harness::new([1, 5, 16]);
    harness.refuse_everywhere(5_000, [900, 300, 600]);
    let mut trials = Vec::new();
    for at_ms in 5_000..5_200 {
        let request = harness.request(0, at_ms, OBJECTIVE_MS);
        match harness.first(at_ms, &request) {
            CellChoice::Submit(cell, reason) => {
                assert_eq!(reason, CellReason::Trial);
                trials.push(harness.zone_of(&cell));
            }
            CellChoice::Refuse { cause, known_for_ms } => {
                assert_eq!(cause, no_room(5_300 - at_ms));
                assert_eq!(known_for_ms, Some(Millis(at_ms - 5_000)));
            }
        }
    }
    // Every 20 ms, each of the three zones gets one.
    assert_eq!(trials.len(), 27);
    assert_eq!(trials.iter().filter(|zone| **zone == 0).count(), 9);
}

/// Guards against a change for services of one cell, for retries and for cells that know no usable
/// upstream: their requests are submitted twice at most, whatever was refused.
#[rstest]
#[case::one_cell([1, 5, 14], false, no_room(500), &[CellReason::WholeService])]
#[case::retry([1, 5, 16], true, no_room(500), &[CellReason::NoneHasRoom, CellReason::Refused])]
#[case::no_upstream(
    [1, 5, 16], false, RefusalCause::NoUpstream, &[CellReason::Trial, CellReason::Refused]
)]
fn others_are_submitted_as_before(
    #[case] upstreams: [usize; 3],
    #[case] is_retry: bool,
    #[case] cause: RefusalCause,
    #[case] wanted: &[CellReason],
) {
    let mut harness = Harness::new(upstreams);
    let request = CellRequest { is_retry, ..harness.refuse_everywhere(5_000, [500; 3]) };
    let (mut refused, mut reasons) = (RefusedSubmissions::default(), Vec::new());
    while let CellChoice::Submit(cell, reason) = harness.choose(5_020, &request, &refused) {
        reasons.push(reason);
        refused.push(cell, cause);
    }
    assert_eq!(reasons, wanted);
    let last = CellChoice::Refuse { cause, known_for_ms: None };
    assert_eq!(harness.choose(5_020, &request, &refused), last);
}

/// A cell that starts requests in the order of their submission.
struct FakeCell {
    free_at_ms: Vec<u64>,
}

impl FakeCell {
    /// When the request starts, or why it is refused.
    fn submit(&mut self, now_ms: u64, start_by_ms: u64) -> Result<u64, RefusalCause> {
        let slot = self.free_at_ms.iter_mut().min().unwrap();
        let start_ms = now_ms.max(*slot);
        if start_ms > start_by_ms {
            return Err(no_room((start_ms - start_by_ms).clamp(30, 1_000)));
        }
        *slot = start_ms + SERVICE_TIME_MS;
        Ok(start_ms)
    }
}

/// Share of its mean to which the demand of a zone differs at this time; the three sum up to 3.
fn demand(zone: usize, now_ms: u64) -> f64 {
    let turns = now_ms as f64 / 3_000.0 + zone as f64 / 3.0;
    1.0 + 0.55 * (turns * std::f64::consts::TAU).sin()
}

/// Guards against requests that are refused while a zone has room, and against those that go to
/// other zones though the local one has room.
#[rstest]
#[case::room_for_all(0.7)]
#[case::hardly_room(0.95)]
#[case::no_room_for_all(1.3)]
fn excess_of_oscillating_demand_goes_where_there_is_room(#[case] load: f64) {
    const HOSTS_IN_ZONE: usize = 4;
    const SLOTS: usize = 2;
    const DURATION_MS: u64 = 9_000;
    let upstreams = [1, 5, 16];
    let mut hosts: Vec<_> = (0..3 * HOSTS_IN_ZONE).map(|_| Harness::new(upstreams)).collect();
    let mut cells = upstreams.map(|count| FakeCell { free_at_ms: vec![0; SLOTS * count] });
    let capacity_per_ms = (SLOTS * 22) as f64 / SERVICE_TIME_MS as f64;
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let (mut all, mut placed, mut refused_with_idle, mut submissions) = (0, 0, 0, 0);
    let (mut low, mut low_local) = (0, 0);
    // Placements that their hosts don't know yet.
    let mut pending: Vec<(u64, usize, usize, u64)> = Vec::new();
    for now_ms in 1_000..1_000 + DURATION_MS {
        for (_, host, zone, submitted_ms) in
            pending.extract_if(.., |(start_ms, ..)| *start_ms <= now_ms)
        {
            let request = hosts[host].request(host % 3, submitted_ms, OBJECTIVE_MS);
            hosts[host].record(now_ms, zone, (&request, submitted_ms), Ok(()));
        }
        for host in 0..hosts.len() {
            let home = host % 3;
            let rate = load * capacity_per_ms * demand(home, now_ms) / hosts.len() as f64;
            if !rng.random_bool(rate) {
                continue;
            }
            let request = hosts[host].request(home, now_ms, OBJECTIVE_MS);
            let start_by_ms = now_ms + OBJECTIVE_MS - 2 * SERVICE_TIME_MS;
            let mut tried = RefusedSubmissions::default();
            let placed_in = loop {
                let CellChoice::Submit(cell, _) = hosts[host].choose(now_ms, &request, &tried)
                else {
                    break None;
                };
                let zone = hosts[host].zone_of(&cell);
                submissions += 1;
                match cells[zone].submit(now_ms, start_by_ms) {
                    Ok(start_ms) => {
                        pending.push((start_ms, host, zone, now_ms));
                        break Some(zone);
                    }
                    Err(cause) => {
                        hosts[host].record(now_ms, zone, (&request, now_ms), Err(cause));
                        tried.push(cell, cause);
                    }
                }
            };
            let is_idle = |cell: &FakeCell| cell.free_at_ms.iter().any(|free| *free <= now_ms);
            all += 1;
            placed += usize::from(placed_in.is_some());
            refused_with_idle += usize::from(placed_in.is_none() && cells.iter().any(is_idle));
            // The second zone alone can take its own demand at its lowest.
            if home == 1 && demand(home, now_ms) < 0.6 {
                low += 1;
                low_local += usize::from(placed_in == Some(home));
            }
        }
    }
    let possible = (capacity_per_ms * DURATION_MS as f64).min(all as f64);
    println!("{placed} of {all}, {submissions} submissions, {low_local} of {low} local at the low");
    assert!(placed as f64 > 0.97 * possible, "{placed} of {possible}");
    assert!(load > 0.9 || placed == all, "{placed} of {all}");
    assert_eq!(refused_with_idle, 0);
    assert!((submissions as f64) < 1.5 * all as f64, "{submissions} for {all}");
    assert!(load > 0.9 || low_local as f64 > 0.9 * low as f64, "{low_local} of {low}");
}
