//! What belonging to a fleet costs one host: its heartbeats and the host list.

use crate::error::SlopesError;
use crate::frames::{self, heartbeat, host_list_json};
use crate::host::{LoadedHost, host_id, host_list};
use crate::meter::{Cost, Meter, Times};
use crate::published::{Published, SiteSize};
use crate::series::{Point, Series, Unit, Variable};
use decision_core::{ConfigKey, Event, HostList, PeerMessage, PublishedValue};
use domain::{Incarnation, Version};

const TIMES: Times = Times { rounds: 11, repeats: 50 };
const LISTED: [usize; 4] = [15, 35, 100, 1_000];
const TEXT_BYTES: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];
const SMALL_SITE: SiteSize = SiteSize { upstreams: 34, services: 3 };

/// Costs of heartbeats, host lists and values from peers.
///
/// # Errors
///
/// If a host does not start, or no line fits.
pub fn measure(meter: &Meter) -> Result<Vec<Series>, SlopesError> {
    let mut series = host_series(meter)?;
    series.extend(value_series(meter)?);
    Ok(series)
}

#[derive(Debug)]
struct HostCosts {
    heartbeat: Cost,
    list: Cost,
    list_bytes: usize,
}

fn host_series(meter: &Meter) -> Result<Vec<Series>, SlopesError> {
    let costs: Vec<HostCosts> =
        LISTED.iter().map(|&hosts| host_costs(meter, hosts)).collect::<Result<_, _>>()?;
    let series = |name, unit, part: fn(&HostCosts) -> f64| {
        let points = LISTED.iter().zip(&costs);
        let points =
            points.map(|(&hosts, cost)| Point { at: vec![hosts as f64], value: part(cost) });
        Series::new(name, unit, &[Variable::ListedHosts], points.collect())
    };
    Ok(vec![
        series("heartbeat.take", Unit::CpuMicros, |cost| cost.heartbeat.cpu_ns / 1e3)?,
        series("host_list.read", Unit::CpuMicros, |cost| cost.list.cpu_ns / 1e3)?,
        series("host_list.bytes", Unit::Bytes, |cost| cost.list_bytes as f64)?,
    ])
}

fn host_costs(meter: &Meter, hosts: usize) -> Result<HostCosts, SlopesError> {
    let mut host = listed_host(hosts)?;
    let (from, json) = (host_id(1)?, host_list_json(hosts)?);
    let in_force = host.core.versions();
    let message = || PeerMessage::Heartbeat(heartbeat(in_force, hosts));
    let received = || Event::PeerReceived {
        from: from.clone(),
        incarnation: Incarnation(2),
        message: message(),
    };
    let heartbeat = meter.cost(TIMES, received, |event| host.tell(event));
    let list = meter.cost(
        TIMES,
        || (),
        |()| {
            let list = serde_json::from_str::<HostList>(&json).ok();
            host.tell(Event::HostListRead(list))
        },
    );
    Ok(HostCosts { heartbeat, list, list_bytes: json.len() })
}

fn listed_host(hosts: usize) -> Result<LoadedHost, SlopesError> {
    let mut host = LoadedHost::start(Published::new(SMALL_SITE, "load-aware"))?;
    host.tell(Event::HostListRead(Some(host_list(2, hosts)?)));
    Ok(host)
}

fn value_series(meter: &Meter) -> Result<Vec<Series>, SlopesError> {
    let costs: Vec<ValueCosts> =
        TEXT_BYTES.iter().map(|&bytes| value_costs(meter, bytes)).collect::<Result<_, _>>()?;
    let series = |name, unit, part: fn(&ValueCosts) -> f64| {
        let points =
            costs.iter().map(|cost| Point { at: vec![cost.text_bytes], value: part(cost) });
        Series::new(name, unit, &[Variable::TextBytes], points.collect())
    };
    Ok(vec![
        series("offer.frame", Unit::Bytes, |cost| cost.frame_bytes)?,
        series("offer.encode", Unit::CpuMicros, |cost| cost.encode.cpu_ns / 1e3)?,
        series("offer.decode", Unit::CpuMicros, |cost| cost.decode.cpu_ns / 1e3)?,
    ])
}

#[derive(Debug)]
struct ValueCosts {
    text_bytes: f64,
    frame_bytes: f64,
    encode: Cost,
    decode: Cost,
}

const VALUE_TIMES: Times = Times { rounds: 11, repeats: 5 };

fn value_costs(meter: &Meter, bytes: usize) -> Result<ValueCosts, SlopesError> {
    let value = PublishedValue { version: Version(1), text: frames::text(bytes) };
    let text_bytes = value.text.len() as f64;
    let offer = PeerMessage::ConfigOffered { key: ConfigKey::Overlay, value };
    let envelope = frames::envelope(vec![offer.clone()])?;
    let call = frames::encode(&envelope)?;
    Ok(ValueCosts {
        text_bytes,
        frame_bytes: frames::client_frame_bytes(call.len()) as f64,
        encode: meter.cost(VALUE_TIMES, || (), |()| frames::encode(&envelope)),
        decode: meter.cost(VALUE_TIMES, || (), |()| frames::decode(&call)),
    })
}
