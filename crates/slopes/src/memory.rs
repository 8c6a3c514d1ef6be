//! What a host holds with a configuration in force.

use crate::error::SlopesError;
use crate::host::LoadedHost;
use crate::meter::Meter;
use crate::published::{Published, SiteSize};
use crate::series::{Point, Series, Unit, Variable};

const VARIABLES: [Variable; 2] = [Variable::Upstreams, Variable::Services];

/// Sizes of a site, each variable also varied alone.
///
/// In the order of the heap that a change needs, because the allocator's peak only grows.
pub const SITE_SIZES: [SiteSize; 6] = [
    SiteSize { upstreams: 34, services: 3 },
    SiteSize { upstreams: 1_000, services: 100 },
    SiteSize { upstreams: 4_000, services: 300 },
    SiteSize { upstreams: 1_200, services: 1_200 },
    SiteSize { upstreams: 8_000, services: 100 },
    SiteSize { upstreams: 13_000, services: 1_200 },
];

/// Heap held, heap at the peak of a change, and the texts' sizes.
///
/// # Errors
///
/// If a host does not start, or no line fits.
pub fn measure(meter: &Meter) -> Result<Vec<Series>, SlopesError> {
    let sizes: Vec<HeldBytes> =
        SITE_SIZES.iter().map(|size| held(meter, *size)).collect::<Result<_, _>>()?;
    let series = |name, part: fn(&HeldBytes) -> f64| {
        let points = SITE_SIZES.iter().zip(&sizes);
        let points =
            points.map(|(size, held)| Point { at: variables_of(*size), value: part(held) });
        Series::new(name, Unit::Bytes, &VARIABLES, points.collect())
    };
    Ok(vec![
        series("config.text", |held| held.text)?,
        series("memory.after_start", |held| held.after_start)?,
        series("memory.after_changes", |held| held.after_changes)?,
        series("memory.peak_of_change", |held| held.peak)?,
    ])
}

/// The size as a series states it.
pub fn variables_of(size: SiteSize) -> Vec<f64> {
    vec![size.upstreams as f64, size.services as f64]
}

#[derive(Debug)]
struct HeldBytes {
    text: f64,
    after_start: f64,
    after_changes: f64,
    peak: f64,
}

/// Changes after which the heap is read again: more than a host keeps versions of.
const CHANGES: usize = 6;

fn held(meter: &Meter, size: SiteSize) -> Result<HeldBytes, SlopesError> {
    let published = Published::new(size, "load-aware");
    let text = published.base().len() + published.overlay(0).len();
    let (before, peak_before) = (meter.heap().live_bytes, meter.heap().peak_bytes);
    let mut host = LoadedHost::start(published)?;
    let after_start = meter.heap().live_bytes - before;
    for _ in 0..CHANGES {
        let change = host.next_change();
        host.tell(change);
    }
    let heap = meter.heap();
    if heap.peak_bytes == peak_before {
        return Err(SlopesError::PeakHidden);
    }
    Ok(HeldBytes {
        text: text as f64,
        after_start: after_start as f64,
        after_changes: heap.live_bytes.saturating_sub(before) as f64,
        peak: heap.peak_bytes.saturating_sub(before) as f64,
    })
}
