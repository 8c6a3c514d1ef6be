//! An upstream that is leaving gets no new work, and a late word never brings it back.
#![allow(clippy::unwrap_used)]

mod support;

use decision_core::{
    Action, ConfigKey, Event, HOLD_MS, Heartbeat, MISLED_HOLD_MS, PeerMessage, SETTLE_MS,
    UpstreamFact, UpstreamNews, UpstreamNewsItem, UpstreamRef,
};
use domain::{Incarnation, Millis, UpstreamId};
use rstest::rstest;
use support::pump::{Pump, host_id, host_list};
use support::upstreams::{Manner, Site};
use support::{BASE, Bench};

const HOSTS: usize = 5;
const GONE: &str = "shop-1";
/// Time after the first word by which every host has stopped.
const STOPPED_WITHIN_MS: u64 = 5_000;
/// Time after the hold by which every host uses a replaced instance.
const COMES_BACK_WITHIN_MS: u64 = 60_000;

/// A fleet that has run for a while.
fn site(lost_percent: u32) -> Site {
    let mut pump = Pump::new(HOSTS, 5);
    pump.publish(ConfigKey::Base, 1, BASE);
    pump.start_all();
    pump.network.lost_percent = lost_percent;
    pump.network.doubled_percent = lost_percent;
    let mut site = Site::new(pump, &[1, 2, 3, 4, 5]);
    site.run_for(2_000);
    site
}

/// The upstream says once that it is leaving, to one host; later answers don't.
fn say_once(site: &mut Site) {
    site.called = vec![1];
    site.set(GONE, Manner::Leaves);
    let words = |site: &Site| site.sent.iter().filter(|s| s.manner == Manner::Leaves).count();
    while words(site) == 0 {
        site.run_for(50);
    }
    site.set(GONE, Manner::Serves);
    site.called = (1..=HOSTS).collect();
}

fn marked(site: &Site) -> usize {
    (1..=HOSTS).filter(|&number| !site.state(number, GONE).is_open()).count()
}

#[rstest]
#[case::reliable(0, &[], true)]
#[case::half_lost_and_doubled(50, &[], true)]
#[case::heals_within_seconds(0, &[3_000], true)]
#[case::broken_peers_are_not_told(0, &[60_000], false)]
fn every_host_stops_soon_after_the_first_word(
    #[case] lost_percent: u32,
    #[case] cut_ms: &[u64],
    #[case] stops: bool,
) {
    let mut site = site(lost_percent);
    if !cut_ms.is_empty() {
        site.pump.cut(&[1], &[2, 3, 4, 5]);
    }
    say_once(&mut site);
    let said_ms = site.pump.now_ms;
    let healed_ms = cut_ms.first().copied().unwrap_or(0);
    site.run_for(healed_ms.min(STOPPED_WITHIN_MS));
    if healed_ms <= STOPPED_WITHIN_MS {
        site.pump.heal();
    }
    let limit_ms = said_ms + Millis(STOPPED_WITHIN_MS + healed_ms.min(STOPPED_WITHIN_MS));
    site.run_for(15_000);
    assert_eq!(site.sent_since(GONE, limit_ms) == 0, stops);
    assert_eq!(marked(&site) == HOSTS, stops);
}

#[rstest]
#[case::cut_from_the_first_to_know(|site: &mut Site| site.pump.cut(&[1], &[3]), |_: &mut Site| {})]
#[case::cut_and_paused_meanwhile(
    |site: &mut Site| {
        site.pump.cut(&[3], &[1, 2, 4, 5]);
        site.pump.pause(3);
    },
    |site: &mut Site| {
        site.pump.heal();
        site.pump.resume(3);
    },
)]
#[case::restarted_meanwhile(|_: &mut Site| {}, |site: &mut Site| site.pump.start(3))]
fn a_host_that_missed_the_word_stops_soon_after(
    #[case] before: fn(&mut Site),
    #[case] after: fn(&mut Site),
) {
    let mut site = site(0);
    before(&mut site);
    say_once(&mut site);
    site.called = vec![1];
    site.run_for(15_000);
    after(&mut site);
    let back_ms = site.pump.now_ms;
    site.called = vec![3];
    site.run_for(STOPPED_WITHIN_MS + 5_000);
    assert_eq!(site.sent_since(GONE, back_ms + Millis(STOPPED_WITHIN_MS)), 0);
    assert!(!site.state(3, GONE).is_open());
}

#[rstest]
#[case::by_configuration(|site: &mut Site| {
    site.pump.publish(ConfigKey::Base, 2, &BASE.replacen("\"slots\": 2,", "\"slots\": 2, \"leaving\": true,", 1));
})]
#[case::by_removal(|site: &mut Site| {
    site.pump.publish(ConfigKey::Base, 2, &without_gone());
})]
#[case::by_probes(|site: &mut Site| {
    site.pump.run_for(SETTLE_MS.0 + 10_000);
    site.set(GONE, Manner::Leaves);
})]
fn every_host_stops_whichever_tells_first(#[case] tell: fn(&mut Site)) {
    let mut site = site(0);
    site.called = vec![];
    tell(&mut site);
    site.run_for(20_000);
    let told_ms = site.pump.now_ms;
    site.called = (1..=HOSTS).collect();
    site.run_for(3_000);
    assert_eq!(site.sent_since(GONE, told_ms), 0);
}

fn without_gone() -> String {
    let start = BASE.find("\"shop-1\"").unwrap();
    let end = BASE.find("\"shop-2\"").unwrap();
    format!("{}{}", &BASE[..start], &BASE[end..])
}

fn news(fact: UpstreamFact) -> PeerMessage {
    let item = UpstreamNewsItem { upstream: upstream_ref(GONE), ago_ms: Millis::ZERO, fact };
    PeerMessage::UpstreamNews(UpstreamNews { items: vec![item] })
}

fn serving_seen(nonce: u64) -> PeerMessage {
    PeerMessage::ServingSeen { upstream: upstream_ref(GONE), nonce, ago_ms: Millis::ZERO }
}

fn from_peer(message: PeerMessage) -> Event {
    Event::PeerReceived { from: host_id(2), incarnation: Incarnation(1), message }
}

#[rstest]
#[case::late_configuration(0, |site: &mut Site| {
    site.pump.publish(ConfigKey::Base, 2, &BASE.replacen("\"slots\": 2", "\"slots\": 3", 1));
})]
#[case::late_news(0, |site: &mut Site| {
    site.pump.inject(1, from_peer(news(UpstreamFact::Alive { load: None })));
})]
#[case::answer_to_another_question(0, |site: &mut Site| {
    (1..=HOSTS).for_each(|number| site.pump.inject(number, from_peer(serving_seen(0))));
})]
#[case::other_hosts_restart(STOPPED_WITHIN_MS, |site: &mut Site| {
    (2..=HOSTS).for_each(|number| site.pump.start(number));
})]
fn nothing_late_brings_it_back(#[case] within_ms: u64, #[case] late: fn(&mut Site)) {
    let mut site = site(0);
    site.set(GONE, Manner::Leaves);
    site.run_for(5_000);
    assert_eq!(marked(&site), HOSTS);
    site.run_for(2 * HOLD_MS.0);
    let told_ms = site.pump.now_ms;
    late(&mut site);
    site.run_for(200_000);
    assert_eq!(site.sent_since(GONE, told_ms + Millis(within_ms)), 0);
    assert_eq!(marked(&site), HOSTS);
}

#[rstest]
#[case::endpoint_tells(0, Manner::Leaves, HOLD_MS)]
#[case::endpoint_goes_down(0, Manner::Dead, HOLD_MS)]
#[case::endpoint_lies(0, Manner::Serves, MISLED_HOLD_MS)]
#[case::a_fifth_lost_and_doubled(20, Manner::Leaves, HOLD_MS)]
fn a_replaced_instance_comes_back_in_bounded_time(
    #[case] lost_percent: u32,
    #[case] meanwhile: Manner,
    #[case] hold_ms: Millis,
) {
    let mut site = site(lost_percent);
    site.pump.run_for(SETTLE_MS.0);
    say_once(&mut site);
    let said_ms = site.pump.now_ms;
    site.set(GONE, meanwhile);
    site.run_for(20_000);
    site.set(GONE, Manner::Serves);
    site.run_for(hold_ms.0 - 21_000);
    assert_eq!(marked(&site), HOSTS, "held for the whole time");
    site.run_for(COMES_BACK_WITHIN_MS);
    assert_eq!(marked(&site), 0);
    assert!(site.sent_since(GONE, said_ms + hold_ms) > 0);
}

#[test]
fn a_health_endpoint_that_lies_does_not_bring_it_back() {
    let mut site = site(0);
    site.pump.run_for(SETTLE_MS.0);
    site.set(GONE, Manner::LeavesUnknownToProbes);
    site.run_for(STOPPED_WITHIN_MS);
    let stopped_ms = site.pump.now_ms;
    site.run_for(MISLED_HOLD_MS.0 - STOPPED_WITHIN_MS - 1_000);
    assert_eq!(site.sent_since(GONE, stopped_ms), 0);
    assert_eq!(marked(&site), HOSTS);
}

#[rstest]
#[case::another_address(&[BASE.replace("9001", "9003")])]
#[case::removed_and_added(&[without_gone(), BASE.to_owned()])]
fn published_anew_it_comes_back_at_once(#[case] texts: &[String]) {
    let mut site = site(0);
    say_once(&mut site);
    site.run_for(5_000);
    for (index, text) in texts.iter().enumerate() {
        site.pump.publish(ConfigKey::Base, 2 + index as u64, text);
        site.run_for(4_000);
    }
    assert_eq!(marked(&site), 0);
}

/// A host that heard that both upstreams are leaving, and asks the prober of one of them.
struct Asker {
    bench: Bench,
    now_ms: u64,
    question: Option<(UpstreamRef, u64)>,
}

impl Asker {
    fn new() -> Asker {
        let mut asker = Asker { bench: Bench::configured(), now_ms: 0, question: None };
        asker.bench.handle(0, Event::HostListRead(Some(host_list(2, HOSTS))));
        asker.hear_leaving();
        asker
    }

    fn hear(&mut self, message: PeerMessage) {
        self.bench.handle(self.now_ms, from_peer(message));
    }

    fn hear_alive(&mut self, number: usize) {
        let message = PeerMessage::Heartbeat(Heartbeat::default());
        let from = host_id(number);
        let event = Event::PeerReceived { from, incarnation: Incarnation(1), message };
        self.bench.handle(self.now_ms, event);
    }

    fn hear_leaving(&mut self) {
        for id in ["shop-1", "shop-2"] {
            let upstream = upstream_ref(id);
            let item =
                UpstreamNewsItem { upstream, ago_ms: Millis::ZERO, fact: UpstreamFact::Leaving };
            self.hear(PeerMessage::UpstreamNews(UpstreamNews { items: vec![item] }));
        }
    }

    /// Lets time pass, with a heartbeat of each peer each second.
    fn pass(&mut self, span_ms: u64) {
        for _ in 0..span_ms / 1000 {
            self.now_ms += 1000;
            (2..=HOSTS).for_each(|number| self.hear_alive(number));
            for action in self.bench.tick(self.now_ms) {
                if let Action::SendPeer { message, .. } = action
                    && let PeerMessage::ServingWanted { upstream, nonce } = message
                {
                    self.question = Some((upstream, nonce));
                }
            }
        }
    }

    fn is_open(&self, id: &UpstreamId) -> bool {
        let dump = self.bench.host.dump();
        let state = dump.services[0].upstreams.iter().find(|state| state.id == *id);
        state.unwrap().is_open()
    }
}

fn upstream_ref(id: &str) -> UpstreamRef {
    let address = if id == "shop-1" { "127.0.0.1:9001" } else { "127.0.0.1:9002" };
    UpstreamRef {
        service: "shop".parse().unwrap(),
        id: id.parse().unwrap(),
        address: address.parse().unwrap(),
    }
}

#[rstest]
#[case::in_time(0, false, 0, 0, true)]
#[case::seen_before_the_hold_was_over(5_000, false, 0, 0, false)]
#[case::to_another_question(0, false, 1, 0, false)]
#[case::after_a_newer_word_of_leaving(0, true, 0, 0, false)]
#[case::after_the_next_question(0, false, 0, 5_000, false)]
fn an_answer_counts_from_the_time_of_asking(
    #[case] ago_ms: u64,
    #[case] heard_again: bool,
    #[case] nonce_off: u64,
    #[case] late_ms: u64,
    #[case] open: bool,
) {
    let mut asker = Asker::new();
    asker.pass(HOLD_MS.0 - 1_000);
    assert_eq!(asker.question, None, "nothing is asked before the hold is over");
    asker.pass(3_000);
    let (upstream, nonce) = asker.question.clone().unwrap();
    asker.pass(late_ms);
    if heard_again {
        asker.hear_leaving();
    }
    let nonce = nonce.wrapping_add(nonce_off);
    let id = upstream.id.clone();
    asker.hear(PeerMessage::ServingSeen { upstream, nonce, ago_ms: Millis(ago_ms) });
    assert_eq!(asker.is_open(&id), open);
}
