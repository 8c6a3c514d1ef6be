//! The generated sites do what is measured on them.
#![allow(clippy::unwrap_used)]

use config::merge;
use domain::Millis;
use rstest::rstest;
use slopes::{CallLoop, Load, LoadedHost, Published, SiteSize, VirtualSite};

const TODAY: SiteSize = SiteSize { upstreams: 34, services: 3 };

fn published(size: SiteSize) -> Published {
    Published::new(size, "load-aware")
}

#[rstest]
#[case::today(34, 3)]
#[case::one_each(40, 40)]
#[case::target(13_000, 1_200)]
fn a_site_is_valid_and_complete(#[case] upstreams: usize, #[case] services: usize) {
    let published = published(SiteSize { upstreams, services });
    let config = merge(&published.base(), Some(&published.overlay(3))).unwrap();
    assert_eq!(config.services.len(), services);
    let found: usize = config.services.values().map(|service| service.upstreams.len()).sum();
    assert_eq!(found, upstreams);
}

#[rstest]
fn each_change_comes_into_force() {
    let mut host = LoadedHost::start(published(TODAY)).unwrap();
    for _ in 0..3 {
        let before = host.core.versions();
        let change = host.next_change();
        host.tell(change);
        assert!(host.core.versions().overlay > before.overlay);
    }
}

#[rstest]
fn each_call_is_sent() {
    let mut calls = CallLoop::new(published(TODAY)).unwrap();
    (0..1000).for_each(|_| calls.run_one().unwrap());
}

#[rstest]
#[case::one(1)]
#[case::few(4)]
#[case::today(15)]
fn a_virtual_site_serves_and_changes(#[case] hosts: usize) {
    let mut site = VirtualSite::new(hosts, published(TODAY)).unwrap();
    site.run_quiet(Millis::from_secs(30)).unwrap();
    assert!(site.is_ready());
    site.run_loaded(Millis::from_secs(1), Load { calls_per_second: 200, keyed_per_second: 20 })
        .unwrap();
    assert_eq!((site.counts.calls, site.counts.refused), (200, 0));
    site.change(Millis::from_secs(10)).unwrap();
}
