//! Each host probes a subset of many upstreams; together the subsets cover all.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::{FleetSize, LOCAL_ZONE_UPSTREAMS, OTHER_ZONE_UPSTREAMS, UpstreamSet, ZoneScope};
use domain::{FastMap, Millis};
use published::{Entry, Evacuations, Upstream};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::sync::Arc;
use support::entry;

const ZONES: [&str; 3] = ["kariakoo", "msasani", "temeke"];

fn upstreams(per_zone: usize) -> Vec<Entry<Arc<Upstream>>> {
    let each =
        |zone: &'static str| (0..per_zone).map(move |at| entry(&format!("{zone}-{at}"), zone));
    ZONES.into_iter().flat_map(each).collect()
}

/// The number of hosts that have each upstream in their subsets.
fn coverage(hosts_per_zone: usize, entries: &[Entry<Arc<Upstream>>]) -> FastMap<String, usize> {
    let mut counts: FastMap<String, usize> = FastMap::default();
    for zone in ZONES {
        for host in 0..hosts_per_zone {
            let name = format!("front-{zone}-{host}");
            let mut set = UpstreamSet::new(name.parse().unwrap(), zone.parse().unwrap());
            set.sync(Millis::ZERO, entries.iter(), &Evacuations::default());
            let mut rng = Pcg64Mcg::seed_from_u64(host as u64);
            let probed = set.choose_probe_targets(
                Millis(1),
                &"parts".parse().unwrap(),
                &[],
                (LOCAL_ZONE_UPSTREAMS + OTHER_ZONE_UPSTREAMS, ZoneScope::Local),
                |_| false,
                &mut rng,
            );
            for id in probed {
                *counts.entry(id.to_string()).or_default() += 1;
            }
        }
    }
    counts
}

#[test]
fn hosts_together_cover_all_upstreams() {
    let entries = upstreams(33);
    let counts = coverage(41, &entries);
    assert_eq!(counts.len(), entries.len());
    let most = counts.values().max().unwrap();
    assert!(*most <= 25, "{most}");
}

#[rstest]
#[case::few_upstreams(3, 6)]
#[case::a_zone_that_fills_a_subset(12, 6)]
#[case::many(33, 41)]
#[case::small_zones(5, 41)]
fn the_number_of_probing_hosts_is_not_underestimated(
    #[case] per_zone: usize,
    #[case] hosts_per_zone: usize,
) {
    let entries = upstreams(per_zone);
    let counts = coverage(hosts_per_zone, &entries);
    let mean = counts.values().sum::<usize>() as f64 / counts.len() as f64;
    let mut set =
        UpstreamSet::new("front-kariakoo-0".parse().unwrap(), "kariakoo".parse().unwrap());
    set.sync(Millis::ZERO, entries.iter(), &Evacuations::default());
    let mut rng = Pcg64Mcg::seed_from_u64(0);
    let probed = set.choose_probe_targets(
        Millis(1),
        &"parts".parse().unwrap(),
        &[],
        (1, ZoneScope::Local),
        |_| false,
        &mut rng,
    );
    let hosts = u32::try_from(hosts_per_zone).unwrap();
    let fleet = FleetSize { hosts: hosts * 3, hosts_in_zone: hosts };
    let probing = set.probing_hosts(&"parts".parse().unwrap(), &probed[0], fleet);
    assert!(probing >= mean * 0.9, "{probing} of {mean}");
}

#[test]
fn a_new_upstream_is_in_some_subsets() {
    let mut entries = upstreams(33);
    entries.push(entry("newcomer", "temeke"));
    assert!(coverage(41, &entries).get("newcomer").is_some_and(|&hosts| hosts >= 3));
}
