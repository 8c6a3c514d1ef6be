//! What a lost availability zone does to calls, and for how long.
//!
//! A third or a quarter of a region's hosts end at once; the host list names them for a
//! while longer. Calls come to the others only, as a balancer that noticed would send them.

use crate::error::SlopesError;
use crate::published::{Published, SiteSize};
use crate::virtual_site::{Counts, Load, VirtualSite};
use domain::Millis;
use serde::Serialize;

const HOSTS: usize = 33;
const ZONES: [usize; 2] = [3, 4];
const LOST_ZONE: usize = 1;
const SIZE: SiteSize = SiteSize { upstreams: 1_182, services: 109 };
/// Half of the calls carry a key.
const LOAD: Load = Load { calls_per_second: 200, keyed_per_second: 100 };
const START_MS: Millis = Millis(30_000);
/// Spans that are counted, one after the other.
const SPANS_MS: [Millis; 5] =
    [Millis(10_000), Millis(10_000), Millis(60_000), Millis(60_000), Millis(20_000)];
/// The span before which the list drops the lost hosts.
const LIST_NOTICES: usize = 2;

/// A span after the loss.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Outage {
    /// Availability zones of the region, one of which is lost.
    pub zones: usize,
    /// Start of the span, since the loss.
    pub from_ms: Millis,
    /// End of the span, since the loss.
    pub until_ms: Millis,
    /// Calls that came.
    pub calls: u64,
    /// Calls refused, of both kinds.
    pub refused: u64,
    /// Bytes a second that a live host sent, claims included.
    pub sent_by_host: f64,
}

/// Runs regions that lose an availability zone under load.
///
/// # Errors
///
/// If a site does not get ready.
pub fn measure() -> Result<Vec<Outage>, SlopesError> {
    let regions: Vec<Vec<Outage>> =
        ZONES.iter().map(|&zones| region(zones)).collect::<Result<_, _>>()?;
    Ok(regions.concat())
}

fn region(zones: usize) -> Result<Vec<Outage>, SlopesError> {
    let mut site = VirtualSite::new(HOSTS, Published::new(SIZE, "load-aware"))?;
    site.run_quiet(START_MS)?;
    if !site.is_ready() {
        return Err(SlopesError::NotReady);
    }
    site.run_loaded(Millis(1000), LOAD)?;
    site.lose_zone(LOST_ZONE, zones);
    let live = HOSTS - (LOST_ZONE..HOSTS).step_by(zones).count();
    let mut from_ms = Millis::ZERO;
    let mut outages = Vec::new();
    for (index, span_ms) in SPANS_MS.into_iter().enumerate() {
        if index == LIST_NOTICES {
            site.drop_lost_from_list();
        }
        site.counts = Counts::default();
        site.run_loaded(span_ms, LOAD)?;
        let Counts { calls, refused, peer_bytes, .. } = site.counts;
        let sent_by_host = peer_bytes / live as f64 / (span_ms.as_f64() / 1000.0);
        let until_ms = from_ms + span_ms;
        outages.push(Outage { zones, from_ms, until_ms, calls, refused, sent_by_host });
        from_ms = until_ms;
    }
    Ok(outages)
}
