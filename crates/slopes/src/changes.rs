//! What a change of configuration costs.

use crate::error::SlopesError;
use crate::host::LoadedHost;
use crate::memory::{SITE_SIZES, variables_of};
use crate::meter::{Cost, Meter, Times};
use crate::published::{Published, SiteSize};
use crate::series::{Point, Series, Unit, Variable};

const TIMES: Times = Times { rounds: 9, repeats: 1 };
const VARIABLES: [Variable; 2] = [Variable::Upstreams, Variable::Services];

/// Cost of taking one change, and of the merge alone.
///
/// # Errors
///
/// If a host does not start, or no line fits.
pub fn measure(meter: &Meter) -> Result<Vec<Series>, SlopesError> {
    let costs: Vec<ChangeCost> =
        SITE_SIZES.iter().map(|size| change(meter, *size)).collect::<Result<_, _>>()?;
    let series = |name, unit, part: fn(&ChangeCost) -> f64| {
        let points = SITE_SIZES.iter().zip(&costs);
        let points =
            points.map(|(size, cost)| Point { at: variables_of(*size), value: part(cost) });
        Series::new(name, unit, &VARIABLES, points.collect())
    };
    Ok(vec![
        series("change.whole", Unit::CpuMicros, |cost| cost.whole.cpu_ns / 1e3)?,
        series("change.merge_only", Unit::CpuMicros, |cost| cost.merge.cpu_ns / 1e3)?,
        series("change.allocated", Unit::Bytes, |cost| cost.whole.allocated_bytes)?,
        series("change.allocations", Unit::Allocations, |cost| cost.whole.allocations)?,
    ])
}

#[derive(Debug)]
struct ChangeCost {
    whole: Cost,
    merge: Cost,
}

fn change(meter: &Meter, size: SiteSize) -> Result<ChangeCost, SlopesError> {
    let mut host = LoadedHost::start(Published::new(size, "load-aware"))?;
    let (base, overlay) = (host.published().base(), host.published().overlay(1));
    let merge = meter.cost(TIMES, || (), |()| config::merge(&base, Some(&overlay)));
    let mut changes: Vec<_> = (0..TIMES.rounds).map(|_| host.next_change()).collect();
    changes.reverse();
    let whole =
        meter.cost(TIMES, || changes.pop(), |change| change.map(|change| host.tell(change)));
    Ok(ChangeCost { whole, merge })
}
