//! What a voter holds of the keys that it was asked about, and what a question costs.

use crate::error::SlopesError;
use crate::host::{LoadedHost, host_id, host_list};
use crate::meter::{Cost, Meter, Times};
use crate::published::{Published, SiteSize};
use crate::series::{Point, Series, Unit, Variable};
use decision_core::{ClaimId, ClaimKey, ClaimQuestion, Event, PeerMessage};
use domain::{HostId, Incarnation, Millis};

const KEYS: [usize; 4] = [1_000, 5_000, 15_000, 30_000];
const HOSTS: usize = 15;
const SMALL_SITE: SiteSize = SiteSize { upstreams: 34, services: 3 };
const TIMES: Times = Times { rounds: 11, repeats: 50 };
/// Until a host that has just started votes.
const JOIN_STEPS: usize = 200;
const JOIN_STEP_MS: Millis = Millis(100);
const PEER: usize = 1;

/// Memory and time of a voter.
///
/// # Errors
///
/// If a host does not start, or no line fits.
pub fn measure(meter: &Meter) -> Result<Vec<Series>, SlopesError> {
    let mut memory = Vec::new();
    let mut time = Vec::new();
    for keys in KEYS {
        let (held_bytes, question) = voter(meter, keys)?;
        let at = vec![keys as f64];
        memory.push(Point { at: at.clone(), value: held_bytes });
        time.push(Point { at, value: question.cpu_ns / 1e3 });
    }
    Ok(vec![
        Series::new("claim.held", Unit::Bytes, &[Variable::KeysHeld], memory)?,
        Series::new("claim.vote", Unit::CpuMicros, &[Variable::KeysHeld], time)?,
    ])
}

fn voter(meter: &Meter, keys: usize) -> Result<(f64, Cost), SlopesError> {
    let mut host = LoadedHost::start(Published::new(SMALL_SITE, "load-aware"))?;
    host.tell(Event::HostListRead(Some(host_list(2, HOSTS)?)));
    for _ in 0..JOIN_STEPS {
        host.now_ms = host.now_ms + JOIN_STEP_MS;
        host.tell(Event::Tick);
    }
    let committee: Vec<HostId> = (0..HOSTS).map(host_id).collect::<Result<_, _>>()?;
    let before = meter.heap().live_bytes;
    for number in 0..keys {
        let event = question(&committee, number)?;
        host.tell(event);
    }
    let held_bytes = (meter.heap().live_bytes.saturating_sub(before)) as f64;
    let mut questions: Vec<Event> = (0..TIMES.rounds * TIMES.repeats)
        .map(|number| question(&committee, keys + number))
        .collect::<Result<_, _>>()?;
    let cost = meter.cost(
        TIMES,
        || questions.pop(),
        |question| question.map(|question| host.tell(question)),
    );
    Ok((held_bytes, cost))
}

fn question(committee: &[HostId], number: usize) -> Result<Event, SlopesError> {
    let (from, incarnation) = (host_id(PEER)?, Incarnation(2));
    let key = ClaimKey {
        caller: "booking-desk".parse().map_err(|_| SlopesError::BadId)?,
        service: "service-0001".parse().map_err(|_| SlopesError::BadId)?,
        key: format!("order-{number:032}").parse().map_err(|_| SlopesError::BadId)?,
    };
    let claim = ClaimId { host: from.clone(), incarnation, number: number as u64 };
    let committee = committee.to_vec();
    let message = PeerMessage::ClaimAsked(ClaimQuestion { claim, key, committee });
    Ok(Event::PeerReceived { from, incarnation, message })
}
