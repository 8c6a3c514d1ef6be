//! The example configurations are valid, cause no warnings and have the expected sizes.
#![allow(clippy::unwrap_used)]

use config::{Service, SiteConfig, merge_with_warnings};
use rstest::rstest;
use std::fs;
use std::path::Path;

fn load(base: &str, overlay: &str) -> SiteConfig {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let read = |name: &str| fs::read_to_string(examples.join(name)).unwrap();
    let merged = merge_with_warnings(&read(base), Some(&read(overlay))).unwrap();
    assert_eq!(merged.warnings, []);
    merged.config
}

fn check_service(service: &Service, instances: usize, slots: u32, connections: u32, zones: usize) {
    assert_eq!(service.upstreams.len(), instances);
    for upstream in service.upstreams.values() {
        assert_eq!((upstream.slots.0, upstream.connections.0), (slots, connections));
    }
    let mut used: Vec<_> = service.upstreams.values().map(|u| &u.availability_zone).collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), zones, "an availability zone has no instance");
}

#[rstest]
#[case::pwani("pwani/base.json", "pwani/dar-es-salaam.json", 3, (6, 250),
    &[("printer-portal", 15), ("parts-and-invoicing", 6), ("usage-statements", 13)])]
#[case::himal("himal/base.json", "himal/kathmandu-valley.json", 4, (3, 200),
    &[("catalogue", 8), ("ordering-and-invoicing", 8), ("delivery-slots", 10)])]
fn example_has_expected_size(
    #[case] base: &str,
    #[case] overlay: &str,
    #[case] zones: usize,
    #[case] (slots, connections): (u32, u32),
    #[case] services: &[(&str, usize)],
) {
    let config = load(base, overlay);
    assert_eq!(config.availability_zones.len(), zones);
    assert_eq!(config.services.len(), services.len());
    for (name, instances) in services {
        check_service(
            &config.services[&name.parse().unwrap()],
            *instances,
            slots,
            connections,
            zones,
        );
    }
}

#[rstest]
#[case::part_order("pwani/base.json", "pwani/dar-es-salaam.json", "/parts/orders")]
#[case::invoice("pwani/base.json", "pwani/dar-es-salaam.json", "/invoices")]
#[case::pack_order("himal/base.json", "himal/kathmandu-valley.json", "/orders")]
#[case::pack_invoice("himal/base.json", "himal/kathmandu-valley.json", "/invoices")]
fn orders_and_invoices_run_at_most_once(
    #[case] base: &str,
    #[case] overlay: &str,
    #[case] path: &str,
) {
    let config = load(base, overlay);
    let target = config.route("POST", path).unwrap();
    assert_eq!(target.repeat, config::RepeatRule::AtMostOnce);
    let target = config.route("GET", path).unwrap();
    assert_eq!(target.repeat, config::RepeatRule::Idempotent);
}
