//! What hosts tell each other of upstreams stays within the control budget.
#![allow(clippy::unwrap_used)]

mod support;

use decision_core::{ConfigKey, MAX_NEWS_ITEMS};
use rstest::rstest;
use support::pump::Pump;
use support::upstreams::{Manner, Site};

const HOSTS: usize = 5;
const UPSTREAMS: usize = 30;
const SECS: u64 = 120;
/// More than any item takes.
const ITEM_BYTES: f64 = 200.0;

fn base(control_bytes: u64) -> String {
    let upstreams: Vec<String> = (1..=UPSTREAMS)
        .map(|n| {
            format!(
                r#""shop-{n}": {{"address": "127.0.0.1:{}", "availability_zone": "a",
                    "slots": 2, "connections": 20}}"#,
                9000 + n
            )
        })
        .collect();
    format!(
        r#"{{"availability_zones": ["a"],
            "measurement": {{"probes_per_second": 20, "control_bytes_per_second": {control_bytes},
                "probe_after_silence_ms": 500}},
            "services": {{"shop": {{"probes_per_second": 20,
                "routes": [{{"path_prefix": "/read", "repeat": "idempotent"}}],
                "upstreams": {{{}}}}}}}}}"#,
        upstreams.join(",")
    )
}

fn site(control_bytes: u64) -> Site {
    let mut pump = Pump::new(HOSTS, 9);
    pump.publish(ConfigKey::Base, 1, &base(control_bytes));
    pump.start_all();
    let mut site = Site::new(pump, &[1, 2, 3, 4, 5]);
    site.run_for(2_000);
    site
}

#[rstest]
#[case::tight(400)]
#[case::usual(5_000)]
fn news_stays_within_half_of_the_control_budget(#[case] control_bytes: u64) {
    let mut site = site(control_bytes);
    let manners = [Manner::Leaves, Manner::FailsFast, Manner::Dead, Manner::Serves];
    for round in 0..SECS {
        (1..=UPSTREAMS).filter(|n| n % 3 == round as usize % 3).for_each(|n| {
            let manner = manners[(round as usize / 3 + n) % manners.len()];
            site.set(&format!("shop-{n}"), manner);
        });
        site.run_for(1_000);
    }
    let per_second = control_bytes as f64 / 2.0;
    let round_bytes = (160.0 + MAX_NEWS_ITEMS as f64 * ITEM_BYTES) * (HOSTS - 1) as f64;
    let limit_bytes = per_second * (SECS + 2 + 2 + 2) as f64 + round_bytes;
    for number in 1..=HOSTS {
        let news = site.pump.process(number).host.dump().news;
        assert!(news.sent_messages > 0);
        assert!((news.sent_bytes as f64) < limit_bytes, "{news:?} above {limit_bytes}");
    }
}

#[test]
fn many_that_leave_at_once_are_told_in_time() {
    let mut site = site(5_000);
    site.called = vec![1];
    (1..=10).for_each(|n| site.set(&format!("shop-{n}"), Manner::Leaves));
    let open = |site: &Site, host: usize| {
        (1..=10).filter(|n| site.state(host, &format!("shop-{n}")).is_open()).count()
    };
    while open(&site, 1) > 0 {
        site.run_for(50);
    }
    site.run_for(5_000);
    let still_open: Vec<usize> = (1..=HOSTS).map(|host| open(&site, host)).collect();
    assert_eq!(still_open, [0; HOSTS]);
}
