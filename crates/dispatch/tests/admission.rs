//! Admission and order of requests whose service times differ, in virtual time.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::RouteKey;
use dispatch::scheduler::{Effect, PlacementMessage, Requester, SchedulerSet, Submission, Ticket};
use domain::Millis;
use published::RunStart;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use support::queue_simulation::{Conditions, Route, run};
use support::{SLOTS, entry, id, report, set, submission};

/// Least share of a route's requests that is in time where there is room for them. Not all are,
/// since some arrive while requests that take up to a third longer than expected hold the slots.
const IN_TIME: f64 = 0.95;

fn route(priority: u32, service_time_ms: u64, objective_ms: u64, per_second: f64) -> Route {
    Route { priority, service_time_ms, objective_ms, per_second, burst: 0 }
}

/// An urgent short and a less urgent long route; `load` is the work of both in relation to what 24
/// slots complete, as many as [`Conditions::default`] has.
fn routes(urgent_share: f64, load: f64) -> [Route; 2] {
    let mean_ms = urgent_share * 48.0 + (1.0 - urgent_share) * 150.0;
    let per_second = load * 24_000.0 / mean_ms;
    let long_per_second = per_second * (1.0 - urgent_share);
    [route(0, 48, 150, per_second * urgent_share), route(2, 150, 800, long_per_second)]
}

fn shares(conditions: Conditions, routes: &[Route]) -> (f64, f64) {
    let figures = run(conditions, routes, 1);
    (figures[0].share(), figures[1].share())
}

/// Guards against urgent requests that are refused or late while less urgent ones are served.
#[rstest]
#[case::calm(Conditions::default())]
#[case::half_of_the_upstreams_gone(Conditions { loses_upstreams: true, ..Conditions::default() })]
#[case::scheduler_lost(Conditions { loses_scheduler: true, ..Conditions::default() })]
fn urgent_requests_are_in_time(
    #[case] conditions: Conditions,
    #[values(0.01, 0.1, 0.3, 0.6)] urgent_share: f64,
    #[values(0.9, 1.2)] load: f64,
    #[values(0, 60)] long_burst: u32,
) {
    let [urgent, long] = routes(urgent_share, load);
    let (urgent, long) = shares(conditions, &[urgent, Route { burst: long_burst, ..long }]);
    assert!(urgent >= IN_TIME && urgent >= long - 0.02, "{urgent} {long}");
}

/// Guards against keeping slots that nobody needs: below capacity, both routes are in time.
#[rstest]
fn below_capacity_both_routes_are_in_time(
    #[values(0.1, 0.3, 0.6)] urgent_share: f64,
    #[values(1, 2)] schedulers: usize,
) {
    let conditions = Conditions { schedulers, ..Conditions::default() };
    let (urgent, long) = shares(conditions, &routes(urgent_share, 0.8));
    assert!(urgent >= IN_TIME && long >= IN_TIME, "{urgent} {long}");
}

/// Guards against two schedulers whose less urgent requests take the slots that the other one keeps
/// free.
#[rstest]
fn urgent_requests_go_first_with_two_schedulers(
    #[values(0.1, 0.3, 0.6)] urgent_share: f64,
    #[values(1.5, 3.0)] load: f64,
) {
    let conditions = Conditions { schedulers: 2, ..Conditions::default() };
    let (urgent, long) = shares(conditions, &routes(urgent_share, load));
    assert!(urgent >= long, "{urgent} {long}");
}

/// Guards against long requests that hold all slots for longer than an urgent one can wait. Nine in
/// ten urgent requests have to be in time: the kept slot is taken while another one runs.
#[rstest]
fn a_slot_is_free_for_an_urgent_request_beside_long_ones(#[values(5.0, 20.0)] per_second: f64) {
    let conditions = Conditions { upstreams: 6, ..Conditions::default() };
    let long = route(1, 540, 1_500, 60.0);
    let share = |seed| run(conditions, &[route(0, 48, 150, per_second), long], seed)[0].share();
    let urgent = (1..=5).map(share).sum::<f64>() / 5.0;
    assert!(urgent >= 0.9, "{urgent}");
}

/// Guards against slots that are kept free for nobody: without urgent arrivals, on a service with
/// one priority, or where upstreams are too slow for the urgent objective.
#[rstest]
#[case::no_urgent_arrivals(Conditions::default(), 0.0, 1)]
#[case::one_priority(Conditions::default(), 20.0, 0)]
#[case::too_slow(Conditions { upstreams: 1, slowness: 4.0, ..Conditions::default() }, 20.0, 1)]
fn nothing_is_kept_that_no_urgent_request_would_use(
    #[case] conditions: Conditions,
    #[case] urgent_per_second: f64,
    #[case] priority: u32,
) {
    let routes = [route(0, 48, 150, urgent_per_second), route(priority, 540, 1_500, 60.0)];
    let figures = run(conditions, &routes, 1);
    assert_eq!(figures[0].reserved_ms, 0, "{figures:?}");
}

/// Guards against a reserve where enough slots become free by themselves: of 134 that are held for
/// 150 ms each, some fifty become free within the slack of an urgent request. The bound allows a
/// reserve in one of a hundred milliseconds, as arrivals are random.
#[rstest]
fn with_many_slots_hardly_anything_is_kept(#[values(0.1, 0.3)] urgent_share: f64) {
    let conditions = Conditions { upstreams: 67, ..Conditions::default() };
    let figures = run(conditions, &routes(urgent_share, 1.5 * 134.0 / 24.0), 1);
    assert!(figures[0].reserved_ms <= 100, "{figures:?}");
}

/// Guards against bursts of urgent requests for which no slot is free. The burst takes half of the
/// slots, which is what may be kept. The tolerance is needed since the reserve rises only after an
/// urgent route was served less often.
#[rstest]
fn an_urgent_burst_is_not_served_less_often(#[values(0.5, 0.9, 1.5)] load: f64) {
    let [urgent, long] = routes(0.01, load);
    let (urgent, long) = shares(Conditions::default(), &[Route { burst: 12, ..urgent }, long]);
    assert!(urgent >= IN_TIME || urgent >= long - 0.05, "{urgent} {long}");
}

/// Guards against urgent requests that find only slots of slow upstreams.
#[rstest]
fn slow_upstreams_are_left_to_those_that_can_use_them(
    #[values(0.1, 0.3, 0.6)] urgent_share: f64,
    #[values(0.5, 0.9)] load: f64,
) {
    let conditions = Conditions { slowness: 3.0, ..Conditions::default() };
    let (urgent, long) = shares(conditions, &routes(urgent_share, load));
    assert!(urgent >= IN_TIME || urgent >= long, "{urgent} {long}");
}

/// Guards against a less urgent route that gets nothing for as long as urgent requests alone exceed
/// what the upstreams complete.
#[test]
fn a_less_urgent_route_keeps_its_share() {
    let (urgent, long) = shares(Conditions::default(), &routes(0.6, 3.0));
    assert!(long >= 0.04 * urgent && urgent > long, "{urgent} {long}");
}

/// Guards against counting requests instead of their work: a burst of short requests was refused,
/// as if each of them took as long as the mean.
#[test]
fn a_burst_of_short_requests_waits_for_its_own_work() {
    let short = Route { burst: 60, ..route(0, 20, 200, 1.0) };
    let (short, _) = shares(Conditions::default(), &[short, route(0, 400, 2_000, 15.0)]);
    assert!(short >= IN_TIME, "{short}");
}

/// Guards against an order of the queue in which fewer requests are in time than with the shortest
/// first. Distinct priorities give that order here.
#[rstest]
fn the_earliest_objective_first_serves_as_many_as_the_shortest_first(
    #[values(0.3, 0.6)] short_share: f64,
    #[values(0.9, 1.5, 3.0)] load: f64,
) {
    let [short, long] = routes(short_share, load);
    let in_time = |priority| {
        let routes = [short, Route { priority, ..long }];
        run(Conditions::default(), &routes, 1).iter().map(|figures| figures.in_time).sum::<u32>()
    };
    let (earliest, shortest) = (in_time(0), in_time(1));
    assert!(f64::from(earliest) >= 0.95 * f64::from(shortest), "{earliest} {shortest}");
}

/// Guards against a request that has lost its objective and takes the slot of one that has not.
#[test]
fn a_late_request_is_not_ahead_of_one_that_can_be_in_time() {
    let (mut upstreams, mut rng) = (set(&[entry("i-1", "kariakoo")]), Pcg64Mcg::seed_from_u64(1));
    for route in [1, 2].map(RouteKey).into_iter().cycle().take(100) {
        upstreams.record_duration(&submission(0).cell.service, route, Millis(50), 1.0);
    }
    let mut schedulers = SchedulerSet::new("front-1".parse().unwrap());
    let late = Submission { route: RouteKey(1), age_ms: Millis(370), ..submission(1) };
    let timely = Submission { route: RouteKey(2), ..submission(2) };
    for message in [late, timely].map(PlacementMessage::Submit) {
        let (now_ms, peer) = (Millis(10_000), Requester::OwnHost);
        schedulers.handle_message(now_ms, message, peer, &mut upstreams, &mut rng);
    }
    let now_ms = Millis(10_002);
    let one_free = report(SLOTS - 1, 0, 100);
    upstreams.record_report(now_ms, (&id("i-1"), RunStart::default()), one_free);
    let effects = schedulers.schedule(now_ms, &mut upstreams, &mut rng);
    let is_timely = |effect: &Effect| {
        let placed = |ticket: &Ticket| *ticket == Ticket(2);
        matches!(effect, Effect::Send { message: PlacementMessage::Placed { ticket, .. }, .. } if placed(ticket))
    };
    assert!(effects.iter().any(is_timely), "{effects:?}");
}
