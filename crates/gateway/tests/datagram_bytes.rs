//! Hosts of two builds exchange these messages during a rollout: renaming a field or variant must
//! not change their bytes.
#![allow(clippy::unwrap_used)]

use dispatch::backpressure::{Backpressure, BackpressureMessage, BackpressureUpdate};
use dispatch::quarantine::{Crash, Quarantine, QuarantineMessage, SuspectUpdate};
use dispatch::quota::{QuotaMessage, Verdict};
use dispatch::scheduler::{
    Cell, Outcome, Placement, PlacementMessage, RefusalCause, Submission, Ticket, Withdrawal,
};
use dispatch::{AttemptFailure, LoadReport, RouteKey, RouteTime};
use domain::{
    ByteCount, Connections, Incarnation, Millis, PerSecond, RequestFingerprint, Slots, UpstreamId,
    Version,
};
use gateway::peers::codec::{Datagram, decode, encode};
use published::{
    Bootstrap, BootstrapSnapshot, CallerLimits, Capacity, CatchUp, Change, Destination, Entry,
    EvacuationEnd, FetchReply, FetchRequest, HelloKind, Idempotency, Item, JoinReply, KeyDigest,
    KnownRevisions, Member, Message, Organisation, Quota, Removal, RemovalCause, Revision, Route,
    Routing, RoutingPatch, RunStart, ServiceSettings, Snapshot, StateUpdate, Upstream,
    UpstreamMode,
};
use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use std::sync::Arc;

// Fields of one type never hold the same value within a message, so that swapped fields show.

fn check<T: Debug + PartialEq + Serialize + DeserializeOwned>(value: &T, expected_hex: &str) {
    let bytes = encode(value).unwrap();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, expected_hex);
    assert_eq!(decode::<T>(&bytes).as_ref(), Ok(value));
}

fn member_1() -> Member {
    Member {
        host: "front-1".parse().unwrap(),
        incarnation: Incarnation(1_001),
        availability_zone: "kariakoo".parse().unwrap(),
        address: "10.0.0.1:7001".parse().unwrap(),
        capacity: Capacity { link_mbps: 20, cpu_percent: 130 },
    }
}

fn member_2() -> Member {
    Member {
        host: "front-2".parse().unwrap(),
        incarnation: Incarnation(200_002),
        availability_zone: "baneshwor".parse().unwrap(),
        address: "[2001:db8::2]:7002".parse().unwrap(),
        capacity: Capacity { link_mbps: 1_000, cpu_percent: 45 },
    }
}

fn ready_upstream() -> Upstream {
    Upstream {
        id: "i-1".parse().unwrap(),
        service: "parts".parse().unwrap(),
        address: "10.0.1.1:8001".parse().unwrap(),
        availability_zone: "chabahil".parse().unwrap(),
        slots: Slots(6),
        mode: UpstreamMode::Ready,
        warmup_left_ms: Millis(1_500),
        run: RunStart(Some(Millis(1_700_000_000_001))),
    }
}

fn draining_upstream() -> Upstream {
    Upstream {
        id: "i-2".parse().unwrap(),
        service: "prices".parse().unwrap(),
        address: "[2001:db8::102]:8002".parse().unwrap(),
        availability_zone: "dharan".parse().unwrap(),
        slots: Slots(300),
        mode: UpstreamMode::Draining,
        warmup_left_ms: Millis(700),
        run: RunStart(None),
    }
}

fn idempotent_route() -> Route {
    Route {
        name: "search".to_owned(),
        host: "shop.example".to_owned(),
        prefix: "/search/".to_owned(),
        idempotency: Idempotency::Idempotent,
        objective_ms: Millis(400),
        timeout_ms: Millis(2_500),
        attempts: 3,
        priority: 1,
        is_public: false,
        split: vec![
            Destination { service: "finder".parse().unwrap(), weight: 90 },
            Destination { service: "finder-next".parse().unwrap(), weight: 10 },
        ],
    }
}

fn at_most_once_route() -> Route {
    Route {
        name: "orders".to_owned(),
        host: "pay.example".to_owned(),
        prefix: "/orders/".to_owned(),
        idempotency: Idempotency::AtMostOnce,
        objective_ms: Millis(800),
        timeout_ms: Millis(5_000),
        attempts: 2,
        priority: 0,
        is_public: false,
        split: vec![Destination { service: "orders".parse().unwrap(), weight: 100 }],
    }
}

fn routing(version: u64, routes: Vec<Route>) -> Routing {
    Routing {
        version: Version(version),
        limits: CallerLimits {
            head_bytes: ByteCount(16_384),
            body_bytes: ByteCount(1_048_576),
            head_timeout_ms: Millis(10_000),
            idle_timeout_ms: Millis(60_000),
        },
        routes,
        services: vec![
            ServiceSettings {
                name: "parts".parse().unwrap(),
                health_path: "/healthz".to_owned(),
                max_connections: Connections(64),
                cold_rate: Some(PerSecond(12.5)),
            },
            ServiceSettings {
                name: "prices".parse().unwrap(),
                health_path: "/status".to_owned(),
                max_connections: Connections(256),
                cold_rate: None,
            },
        ],
        organisations: None,
    }
}

fn routing_entry() -> Entry<Item> {
    let routing = routing(12, vec![idempotent_route(), at_most_once_route()]);
    Entry { revision: Revision(4_001), value: Item::Routing(Arc::new(routing)) }
}

fn upstream_entry(revision: u64, upstream: Upstream) -> Entry<Item> {
    Entry { revision: Revision(revision), value: Item::Upstream(Arc::new(upstream)) }
}

fn evacuation_entry() -> Entry<Item> {
    Entry { revision: Revision(4_004), value: Item::Evacuation("itahari".parse().unwrap()) }
}

fn patch_entry() -> Entry<RoutingPatch> {
    let old = routing(13, vec![at_most_once_route()]);
    let new = routing(14, vec![idempotent_route()]);
    let value = RoutingPatch::between(Revision(4_005), &old, &new).unwrap();
    Entry { revision: Revision(4_006), value }
}

fn deleted() -> Removal {
    Removal {
        upstream: "i-3".parse().unwrap(),
        revision: Revision(4_007),
        cause: RemovalCause::Deleted,
    }
}

fn overwritten() -> Removal {
    Removal {
        upstream: "i-4".parse().unwrap(),
        revision: Revision(4_008),
        cause: RemovalCause::Overwritten,
    }
}

fn evacuation_end() -> EvacuationEnd {
    EvacuationEnd { zone: "janakpur".parse().unwrap(), revision: Revision(4_009) }
}

fn bootstrap_snapshot(is_complete: bool) -> BootstrapSnapshot {
    BootstrapSnapshot {
        age_ms: Millis(35),
        revision: Revision(4_010),
        items: vec![upstream_entry(4_002, ready_upstream()), evacuation_entry()],
        is_complete,
    }
}

fn join_reply(bootstrap: Bootstrap) -> Message {
    Message::JoinReply(Box::new(JoinReply { from: member_1(), host_count: 124, bootstrap }))
}

fn partial() -> Bootstrap {
    Bootstrap::Partial {
        snapshot: bootstrap_snapshot(false),
        rest_from: vec!["10.0.0.8:7008".parse().unwrap(), "[2001:db8::9]:7009".parse().unwrap()],
        after_ms: Millis(150),
    }
}

fn hello(kind: HelloKind) -> Message {
    Message::Hello { from: member_1(), kind, members_digest: u64::MAX - 1 }
}

fn news(changes: Option<Vec<Change>>) -> Message {
    let update = StateUpdate {
        reader: member_1(),
        revision: Revision(4_020),
        age_ms: Millis(25),
        digest: 9_876_543_210,
        after: Revision(4_000),
        changes,
    };
    Message::StateUpdate { update, should_relay: true }
}

#[rstest]
#[case::join(
    Message::Join { from: member_1(), is_redirected: false },
    "0800000766726f6e742d31e907086b617269616b6f6f000a000001d93614820100"
)]
#[case::redirected_join(
    Message::Join { from: member_2(), is_redirected: true },
    "0800000766726f6e742d32c29a0c0962616e657368776f720120010db8000000000000000000000002da36e807\
     2d01"
)]
#[case::not_yet(
    join_reply(Bootstrap::NotReady { is_reading: true }),
    "0800010766726f6e742d31e907086b617269616b6f6f000a000001d9361482017c0001"
)]
#[case::redirect(
    join_reply(Bootstrap::Redirect { to: "10.0.0.7:7007".parse().unwrap() }),
    "0800010766726f6e742d31e907086b617269616b6f6f000a000001d9361482017c01000a000007df36"
)]
#[case::whole(
    join_reply(Bootstrap::Complete(bootstrap_snapshot(true))),
    "0800010766726f6e742d31e907086b617269616b6f6f000a000001d9361482017c0223aa1f02a21f0103692d31\
     057061727473000a000101c13e08636861626168696c0600dc0b0181d095ffbc31a41f02076974616861726901"
)]
#[case::partial(
    join_reply(partial()),
    "0800010766726f6e742d31e907086b617269616b6f6f000a000001d9361482017c0323aa1f02a21f0103692d31\
     057061727473000a000101c13e08636861626168696c0600dc0b0181d095ffbc31a41f02076974616861726900\
     02000a000008e0360120010db8000000000000000000000009e1369601"
)]
#[case::asking(
    hello(HelloKind::Request),
    "0800020766726f6e742d31e907086b617269616b6f6f000a000001d93614820100feffffffffffffffff01"
)]
#[case::answering(
    hello(HelloKind::Reply),
    "0800020766726f6e742d31e907086b617269616b6f6f000a000001d93614820101feffffffffffffffff01"
)]
#[case::present(
    hello(HelloKind::Alive),
    "0800020766726f6e742d31e907086b617269616b6f6f000a000001d93614820102feffffffffffffffff01"
)]
#[case::known(
    Message::Members { members: vec![member_1(), member_2()], should_relay: true },
    "080003020766726f6e742d31e907086b617269616b6f6f000a000001d9361482010766726f6e742d32c29a0c09\
     62616e657368776f720120010db8000000000000000000000002da36e8072d01"
)]
#[case::unread(
    Message::ReadFailed { reader: member_1(), should_relay: true },
    "0800050766726f6e742d31e907086b617269616b6f6f000a000001d93614820101"
)]
#[case::bye(
    Message::Leave { host: "front-3".parse().unwrap(), incarnation: Incarnation(1_003) },
    "0800060766726f6e742d33eb07"
)]
#[case::offered_news(
    news(None),
    "0800040766726f6e742d31e907086b617269616b6f6f000a000001d936148201b41f19eaadc0e524a01f0001"
)]
#[case::routing(
    news(Some(vec![Change::Written(routing_entry())])),
    "0800040766726f6e742d31e907086b617269616b6f6f000a000001d936148201b41f19eaadc0e524a01f010100\
     a11f000c808001808040904ee0d40302067365617263680c73686f702e6578616d706c65082f7365617263682f\
     009003c413030100020666696e6465725a0b66696e6465722d6e6578740a066f72646572730b7061792e657861\
     6d706c65082f6f72646572732f01a006882702000001066f72646572736402057061727473082f6865616c7468\
     7a4001000000000000294006707269636573072f7374617475738002000001"
)]
#[case::ready_upstream(
    news(Some(vec![Change::Written(upstream_entry(4_002, ready_upstream()))])),
    "0800040766726f6e742d31e907086b617269616b6f6f000a000001d936148201b41f19eaadc0e524a01f010100\
     a21f0103692d31057061727473000a000101c13e08636861626168696c0600dc0b0181d095ffbc3101"
)]
#[case::draining_upstream(
    news(Some(vec![Change::Written(upstream_entry(4_003, draining_upstream()))])),
    "0800040766726f6e742d31e907086b617269616b6f6f000a000001d936148201b41f19eaadc0e524a01f010100\
     a31f0103692d32067072696365730120010db8000000000000000000000102c23e0664686172616eac0201bc05\
     0001"
)]
#[case::evacuation(
    news(Some(vec![Change::Written(evacuation_entry())])),
    "0800040766726f6e742d31e907086b617269616b6f6f000a000001d936148201b41f19eaadc0e524a01f010100\
     a41f02076974616861726901"
)]
#[case::patched_routing(
    news(Some(vec![Change::Patched(patch_entry())])),
    "0800040766726f6e742d31e907086b617269616b6f6f000a000001d936148201b41f19eaadc0e524a01f010101\
     a61fa51f0e808001808040904ee0d40302057061727473082f6865616c74687a40010000000000002940067072\
     69636573072f737461747573800200010b7061792e6578616d706c65066f726465727301067365617263680c73\
     686f702e6578616d706c65082f7365617263682f009003c413030100020666696e6465725a0b66696e6465722d\
     6e6578740a0001"
)]
#[case::deleted(
    news(Some(vec![Change::Removed(deleted())])),
    "0800040766726f6e742d31e907086b617269616b6f6f000a000001d936148201b41f19eaadc0e524a01f010102\
     03692d33a71f0001"
)]
#[case::overwritten(
    news(Some(vec![Change::Removed(overwritten())])),
    "0800040766726f6e742d31e907086b617269616b6f6f000a000001d936148201b41f19eaadc0e524a01f010102\
     03692d34a81f0101"
)]
#[case::evacuation_end(
    news(Some(vec![Change::EvacuationEnded(evacuation_end())])),
    "0800040766726f6e742d31e907086b617269616b6f6f000a000001d936148201b41f19eaadc0e524a01f010103\
     086a616e616b707572a91f01"
)]
fn gossip_keeps_its_bytes(#[case] message: Message, #[case] hex: &str) {
    check(&Datagram::Gossip(message), hex);
}

fn fetch_request(routing: Option<Revision>) -> FetchRequest {
    FetchRequest {
        known: KnownRevisions { revision: Revision(4_011), routing },
        min_revision: Revision(4_013),
        members_digest: 9_876_543_211,
    }
}

#[rstest]
#[case::with_routing(fetch_request(Some(Revision(4_012))), "08ab1f01ac1fad1febadc0e524")]
#[case::without_routing(fetch_request(None), "08ab1f00ad1febadc0e524")]
fn a_fetch_request_keeps_its_bytes(#[case] request: FetchRequest, #[case] hex: &str) {
    check(&request, hex);
}

fn changes() -> CatchUp {
    CatchUp::Changes {
        after: Revision(4_014),
        revision: Revision(4_015),
        changes: vec![Change::Removed(deleted()), Change::EvacuationEnded(evacuation_end())],
    }
}

fn whole() -> CatchUp {
    CatchUp::Snapshot(Snapshot {
        revision: Revision(4_016),
        items: vec![routing_entry(), evacuation_entry()],
        overwritten: vec![overwritten()],
    })
}

fn fetch_reply(catch_up: CatchUp) -> FetchReply {
    FetchReply { age_ms: Millis(55), catch_up, members: vec![member_1(), member_2()] }
}

#[rstest]
#[case::changes(
    fetch_reply(changes()),
    "083700ae1faf1f020203692d33a71f0003086a616e616b707572a91f020766726f6e742d31e907086b61726961\
     6b6f6f000a000001d9361482010766726f6e742d32c29a0c0962616e657368776f720120010db8000000000000\
     000000000002da36e8072d"
)]
#[case::whole(
    fetch_reply(whole()),
    "083701b01f02a11f000c808001808040904ee0d40302067365617263680c73686f702e6578616d706c65082f73\
     65617263682f009003c413030100020666696e6465725a0b66696e6465722d6e6578740a066f72646572730b70\
     61792e6578616d706c65082f6f72646572732f01a006882702000001066f72646572736402057061727473082f\
     6865616c74687a4001000000000000294006707269636573072f73746174757380020000a41f02076974616861\
     72690103692d34a81f01020766726f6e742d31e907086b617269616b6f6f000a000001d9361482010766726f6e\
     742d32c29a0c0962616e657368776f720120010db8000000000000000000000002da36e8072d"
)]
fn a_fetch_reply_keeps_its_bytes(#[case] reply: FetchReply, #[case] hex: &str) {
    check(&reply, hex);
}

const TICKET: Ticket = Ticket(9_000_000);

fn submission(zone: Option<&str>, lends_rate_share: bool) -> PlacementMessage {
    let ids = |ids: &[&str]| ids.iter().map(|id| id.parse::<UpstreamId>().unwrap()).collect();
    PlacementMessage::Submit(Submission {
        ticket: TICKET,
        cell: Cell {
            service: "parts".parse().unwrap(),
            zone: zone.map(|zone| zone.parse().unwrap()),
        },
        zone: "kariakoo".parse().unwrap(),
        route: RouteKey::of("orders"),
        route_time: Some(RouteTime { mean_ms: Millis(48), samples: 300 }),
        priority: 2,
        objective_ms: Millis(400),
        age_ms: Millis(3),
        left_ms: Millis(1_200),
        tried: ids(&["i-1", "i-2"]),
        backing_off: ids(&["i-3"]),
        lends_rate_share,
    })
}

fn placed(report_age_ms: Option<Millis>) -> PlacementMessage {
    let upstream = "i-1".parse().unwrap();
    let placement = Placement { upstream, work: 1.25, cost: 2.5, report_age_ms, ahead: 300 };
    PlacementMessage::Placed { ticket: TICKET, placement }
}

fn refused(cause: RefusalCause) -> PlacementMessage {
    PlacementMessage::Refused { ticket: TICKET, cause }
}

fn served() -> Outcome {
    Outcome {
        failure: None,
        took_ms: Millis(180),
        report: Some(LoadReport {
            running: 5,
            waiting: 200,
            slots: Slots(6),
            slowness_percent: 140,
        }),
        backpressure: Backpressure {
            rate_limit: Some(PerSecond(7.5)),
            backoff_ms: Some(Millis(2_000)),
            is_leaving: true,
        },
    }
}

fn failed(failure: AttemptFailure) -> Outcome {
    Outcome {
        failure: Some(failure),
        took_ms: Millis(180),
        report: None,
        backpressure: Backpressure::default(),
    }
}

fn ended(outcome: Outcome) -> PlacementMessage {
    PlacementMessage::Ended { ticket: TICKET, outcome }
}

fn withdrawn(withdrawal: Withdrawal) -> PlacementMessage {
    PlacementMessage::Withdrawn { ticket: TICKET, withdrawal }
}

#[rstest]
#[case::submit(
    submission(None, true),
    "080100c0a8a50405706172747300086b617269616b6f6fecadfa92030130ac0202900303b0090203692d310369\
     2d320103692d3301"
)]
#[case::submit_to_zone(
    submission(Some("baneshwor"), false),
    "080100c0a8a504057061727473010962616e657368776f72086b617269616b6f6fecadfa92030130ac02029003\
     03b0090203692d3103692d320103692d3300"
)]
#[case::queued(PlacementMessage::Queued { ticket: TICKET }, "080101c0a8a504")]
#[case::placed(placed(Some(Millis(75))), "080102c0a8a50403692d310000a03f00002040014bac02")]
#[case::placed_without_report(placed(None), "080102c0a8a50403692d310000a03f0000204000ac02")]
#[case::no_room(
    refused(RefusalCause::NoRoom { retry_after_ms: Millis(60), ahead: 301 }),
    "080103c0a8a504003cad02"
)]
#[case::no_upstream(refused(RefusalCause::NoUpstream), "080103c0a8a50401")]
#[case::cut_off(refused(RefusalCause::CutOff), "080103c0a8a50402")]
#[case::served(ended(served()), "080104c0a8a50400b4010105c801068c01010000000000001e4001d00f01")]
#[case::error_answer(
    ended(failed(AttemptFailure::ErrorResponse)),
    "080104c0a8a5040100b40100000000"
)]
#[case::shed(ended(failed(AttemptFailure::Shed)), "080104c0a8a5040101b40100000000")]
#[case::broken(ended(failed(AttemptFailure::Disconnected)), "080104c0a8a5040102b40100000000")]
#[case::silent(ended(failed(AttemptFailure::TimedOut)), "080104c0a8a5040103b40100000000")]
#[case::not_sent(withdrawn(Withdrawal::NotSent), "080105c0a8a50400")]
#[case::unreachable(withdrawn(Withdrawal::Unreachable), "080105c0a8a50401")]
#[case::sent(withdrawn(Withdrawal::Sent), "080105c0a8a50402")]
fn placement_keeps_its_bytes(#[case] message: PlacementMessage, #[case] hex: &str) {
    check(&Datagram::Placement(message), hex);
}

const FINGERPRINT: RequestFingerprint = RequestFingerprint(0x0123_4567_89ab_cdef);

fn crash(number: u64, run: RunStart) -> Crash {
    Crash {
        upstream: format!("i-{number}").parse().unwrap(),
        run,
        seen_by: format!("front-{number}").parse().unwrap(),
        sent_ms: Millis(number * 1_000),
        crashed_ms: Millis(number * 1_000 + 60),
    }
}

fn crashed_twice() -> Quarantine {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(FINGERPRINT, crash(1, RunStart(Some(Millis(1_700_000_000_001)))));
    quarantine.record_crash(FINGERPRINT, crash(2, RunStart(None)));
    quarantine
}

fn crashed() -> Vec<SuspectUpdate> {
    crashed_twice().take_pending(Millis(4_000)).unwrap()
}

fn cleared() -> Vec<SuspectUpdate> {
    let mut quarantine = crashed_twice();
    quarantine.clear(Millis(3_500), FINGERPRINT);
    quarantine.take_pending(Millis(4_000)).unwrap()
}

fn on_trial_again() -> Vec<SuspectUpdate> {
    let mut quarantine = crashed_twice();
    quarantine.clear(Millis(3_500), FINGERPRINT);
    quarantine.record_crash(FINGERPRINT, crash(4, RunStart(None)));
    quarantine.record_crash(FINGERPRINT, crash(5, RunStart(Some(Millis(1_700_000_000_005)))));
    quarantine.begin_trial(FINGERPRINT, Millis(7_250));
    quarantine.take_pending(Millis(7_000)).unwrap()
}

fn suspects(suspects: Vec<SuspectUpdate>, should_relay: bool) -> QuarantineMessage {
    QuarantineMessage::Suspects { suspects, should_relay }
}

#[rstest]
#[case::crashed(
    suspects(crashed(), true),
    "080200012030303030303030303030303030303030303132333435363738396162636465660203692d310181d0\
     95ffbc310766726f6e742d31b817fc1603692d32000766726f6e742d32d00f940f000001"
)]
#[case::cleared(
    suspects(cleared(), false),
    "080200012030303030303030303030303030303030303132333435363738396162636465660001f4030000"
)]
#[case::on_trial_again(
    suspects(on_trial_again(), true),
    "080200012030303030303030303030303030303030303132333435363738396162636465660203692d34000766\
     726f6e742d34b817fc1603692d350185d095ffbc310766726f6e742d35d00f940f01ac1b01fa0101"
)]
#[case::offer(QuarantineMessage::Digest { digest: 9_876_543_212 }, "080201ecadc0e524")]
#[case::ask(QuarantineMessage::Request { digest: 9_876_543_213 }, "080202edadc0e524")]
fn quarantine_keeps_its_bytes(#[case] message: QuarantineMessage, #[case] hex: &str) {
    check(&Datagram::Quarantine(message), hex);
}

fn limited() -> BackpressureUpdate {
    BackpressureUpdate {
        upstream: "i-1".parse().unwrap(),
        run: RunStart(Some(Millis(1_700_000_000_001))),
        rate_limit: Some(PerSecond(7.5)),
        is_leaving: false,
        age_ms: Millis(85),
    }
}

fn leaving() -> BackpressureUpdate {
    BackpressureUpdate {
        upstream: "i-2".parse().unwrap(),
        run: RunStart(None),
        rate_limit: None,
        is_leaving: true,
        age_ms: Millis(950),
    }
}

#[rstest]
#[case::limited(
    BackpressureMessage::Update { updates: vec![limited()], should_relay: true },
    "0803000103692d310181d095ffbc31010000000000001e40005501"
)]
#[case::leaving(
    BackpressureMessage::Update { updates: vec![leaving()], should_relay: false },
    "0803000103692d32000001b60700"
)]
#[case::offer(BackpressureMessage::Digest { digest: 9_876_543_214 }, "080301eeadc0e524")]
#[case::ask(BackpressureMessage::Request { digest: 9_876_543_215 }, "080302efadc0e524")]
fn backpressure_keeps_its_bytes(#[case] message: BackpressureMessage, #[case] hex: &str) {
    check(&Datagram::Backpressure(message), hex);
}

fn limited_organisation() -> Organisation {
    Organisation {
        name: "acme".parse().unwrap(),
        keys: vec![KeyDigest::of(b"key-1"), KeyDigest::of(b"key-2")],
        priority: Some(3),
        quota: Some(Quota { rate: PerSecond(7.5), burst: 300 }),
    }
}

fn plain_organisation() -> Organisation {
    Organisation { name: "initech".parse().unwrap(), keys: Vec::new(), priority: None, quota: None }
}

fn with_organisations(version: u64, organisations: Vec<Organisation>) -> Routing {
    Routing { organisations: Some(organisations), ..routing(version, Vec::new()) }
}

fn entry_with_organisations() -> Change {
    let value = with_organisations(15, vec![limited_organisation(), plain_organisation()]);
    Change::Written(Entry { revision: Revision(4_021), value: Item::Routing(Arc::new(value)) })
}

fn patched_organisations() -> Change {
    let old = with_organisations(16, vec![plain_organisation()]);
    let new = with_organisations(17, vec![limited_organisation()]);
    let value = RoutingPatch::between(Revision(4_022), &old, &new).unwrap();
    Change::Patched(Entry { revision: Revision(4_023), value })
}

#[rstest]
#[case::written(
    entry_with_organisations(),
    "0800040766726f6e742d31e907086b617269616b6f6f000a000001d936148201b41f19eaadc0e524a01f010100\
     b51f000f808001808040904ee0d4030002057061727473082f6865616c74687a40010000000000002940067072\
     69636573072f73746174757380020001020461636d6502b415dd679707f6b9d353fcf2a578196a3abeba84dce2\
     847a1eaf006f461422d80103010000000000001e40ac0207696e697465636800000001"
)]
#[case::patched(
    patched_organisations(),
    "0800040766726f6e742d31e907086b617269616b6f6f000a000001d936148201b41f19eaadc0e524a01f010101\
     b71fb61f11808001808040904ee0d40302057061727473082f6865616c74687a40010000000000002940067072\
     69636573072f7374617475738002000000010107696e6974656368010461636d6502b415dd679707f6b9d353fc\
     f2a578196a3abeba84dce2847a1eaf006f461422d80103010000000000001e40ac0201"
)]
fn organisations_keep_their_bytes(#[case] change: Change, #[case] hex: &str) {
    check(&Datagram::Gossip(news(Some(vec![change]))), hex);
}

fn question(is_relayed: bool) -> QuotaMessage {
    QuotaMessage::Ask { ticket: TICKET, organisation: "acme".parse().unwrap(), is_relayed }
}

fn verdict(verdict: Verdict) -> QuotaMessage {
    QuotaMessage::Answer { ticket: TICKET, verdict }
}

#[rstest]
#[case::ask(question(false), "080400c0a8a5040461636d6500")]
#[case::relayed(question(true), "080400c0a8a5040461636d6501")]
#[case::granted(verdict(Verdict::Granted), "080401c0a8a50400")]
#[case::refused(verdict(Verdict::Refused { next_in_ms: Millis(850) }), "080401c0a8a50401d206")]
#[case::unknown(verdict(Verdict::Unknown), "080401c0a8a50402")]
#[case::ping(QuotaMessage::Ping { number: 300 }, "080402ac02")]
#[case::pong(QuotaMessage::Pong { number: 301 }, "080403ad02")]
fn quota_keeps_its_bytes(#[case] message: QuotaMessage, #[case] hex: &str) {
    check(&Datagram::Quota(message), hex);
}
