//! What an operator's look at the whole state costs.

use crate::error::SlopesError;
use crate::host::LoadedHost;
use crate::memory::{SITE_SIZES, variables_of};
use crate::meter::{Meter, Times};
use crate::published::Published;
use crate::series::{Point, Series, Unit, Variable};

const TIMES: Times = Times { rounds: 5, repeats: 1 };
const VARIABLES: [Variable; 2] = [Variable::Upstreams, Variable::Services];

/// Time and bytes of a dump.
///
/// # Errors
///
/// If a host does not start, or no line fits.
pub fn measure(meter: &Meter) -> Result<Vec<Series>, SlopesError> {
    let (mut micros, mut bytes) = (Vec::new(), Vec::new());
    for size in SITE_SIZES {
        let host = LoadedHost::start(Published::new(size, "load-aware"))?;
        let cost = meter.cost(TIMES, || (), |()| serde_json::to_value(host.core.dump()));
        let text =
            serde_json::to_string_pretty(&host.core.dump()).map_err(|_| SlopesError::Json)?;
        let at = variables_of(size);
        micros.push(Point { at: at.clone(), value: cost.cpu_ns / 1e3 });
        bytes.push(Point { at, value: text.len() as f64 });
    }
    Ok(vec![
        Series::new("dump.under_lock", Unit::CpuMicros, &VARIABLES, micros)?,
        Series::new("dump.bytes", Unit::Bytes, &VARIABLES, bytes)?,
    ])
}
