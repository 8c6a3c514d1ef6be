//! Messages between entry hosts as they stand on the wire.
//!
//! A message is a JSON-RPC call in a WebSocket frame, and its confirmation another. TCP
//! and IP headers are not counted.

use crate::error::SlopesError;
use crate::host::{host_id, host_list, peer_address};
use crate::meter::{Cost, Meter, Times};
use decision_core::{
    ClaimId, ClaimKey, ClaimQuestion, ClaimVerdict, ClaimVote, ConfigKey, Envelope, Heartbeat,
    LentSlot, LoadReport, PROTOCOL_VERSION, PeerMessage, PublishedValue, ReturnedSlot, Splice,
    StandingClaim, StandingClaims, UpstreamFact, UpstreamNews, UpstreamNewsItem, UpstreamRef,
    VersionPair,
};
use domain::{Incarnation, LeaseId, Millis, ServiceName, Slots, Version};
use jsonrpsee::types::{Id, Params, Request};
use serde::Serialize;
use std::hint::black_box;

const TIMES: Times = Times { rounds: 11, repeats: 200 };
const DELIVER: &str = "deliver";
const CALL_ID: u64 = 100_000;
/// A run as the daemon counts them: milliseconds since 1970.
const RUN: Incarnation = Incarnation(1_790_000_000_000);
const VERSION: Version = Version(65_000);
const CONFIRMATION: &str = r#"{"jsonrpc":"2.0","id":100000,"result":null}"#;
/// Bytes of the frame that confirms a message.
pub const CONFIRMATION_FRAME_BYTES: usize = server_frame_bytes(CONFIRMATION.len());
/// Bytes of the value that stands for a published one.
const VALUE_BYTES: usize = 10_000;
/// A key as callers make them.
const IDEMPOTENCY_KEY: &str = "7d444840-9dc0-11d1-b245-5ffdce74fad2";
const MASK_BYTES: usize = 4;
/// Hosts of a fleet of today.
const HOSTS: usize = 15;

/// One kind of message on the wire.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Frame {
    /// Which message.
    pub message: &'static str,
    /// Bytes of the frame that carries it alone.
    pub frame_bytes: usize,
    /// Bytes that it adds to an envelope with others.
    pub batched_bytes: usize,
    /// Bytes of the confirmation's frame.
    pub confirmation_bytes: usize,
    /// Writing it.
    pub encode: Cost,
    /// Reading it.
    pub decode: Cost,
}

/// Every kind of message.
///
/// # Errors
///
/// If a message can't be written as JSON.
pub fn measure(meter: &Meter) -> Result<Vec<Frame>, SlopesError> {
    messages()?.into_iter().map(|(name, message)| frame(meter, name, message)).collect()
}

/// One message of each kind.
///
/// # Errors
///
/// If a generated id is none.
pub fn messages() -> Result<Vec<(&'static str, PeerMessage)>, SlopesError> {
    let mut messages = control_messages()?;
    messages.extend(upstream_messages()?);
    messages.extend(slot_messages()?);
    messages.extend(claim_messages()?);
    Ok(messages)
}

type Named = (&'static str, PeerMessage);

fn control_messages() -> Result<Vec<Named>, SlopesError> {
    let value = PublishedValue { version: VERSION, text: text(VALUE_BYTES) };
    let heartbeat = heartbeat(VersionPair { base: VERSION, overlay: VERSION }, HOSTS);
    let (key, version) = (ConfigKey::Overlay, VERSION);
    let splice = Splice::between(&value.text, &value.text.replacen("slots", "slot", 1));
    let splice = splice.ok_or(SlopesError::Json)?;
    Ok(vec![
        ("heartbeat, 15 hosts", PeerMessage::Heartbeat(heartbeat.clone())),
        ("config wanted", PeerMessage::ConfigWanted { key, version, held: version }),
        ("config offered, 10 kB", PeerMessage::ConfigOffered { key, value }),
        (
            "config changed, one field",
            PeerMessage::ConfigChanged { key, from: version, version, splice },
        ),
        ("versions wanted", PeerMessage::VersionsWanted { round: 1 }),
        ("versions, 15 hosts", PeerMessage::Versions { round: 1, heartbeat }),
        ("host list wanted", PeerMessage::HostListWanted),
        ("host list offered, 15 hosts", PeerMessage::HostListOffered(host_list(2, HOSTS)?)),
    ])
}

fn upstream_messages() -> Result<Vec<Named>, SlopesError> {
    let upstream = UpstreamRef {
        service: "service-0001".parse().map_err(|_| SlopesError::BadId)?,
        id: "up-00001".parse().map_err(|_| SlopesError::BadId)?,
        address: peer_address(1),
    };
    let load = Some(LoadReport { busy: Slots(3), queued: 0 });
    let news = |fact| {
        let item = UpstreamNewsItem { upstream: upstream.clone(), ago_ms: Millis(100), fact };
        PeerMessage::UpstreamNews(UpstreamNews { items: vec![item] })
    };
    let (wanted, seen) = (upstream.clone(), upstream.clone());
    Ok(vec![
        ("upstream news, one leaving", news(UpstreamFact::Leaving)),
        ("upstream news, one probed", news(UpstreamFact::Alive { load })),
        ("serving wanted", PeerMessage::ServingWanted { upstream: wanted, nonce: u64::MAX }),
        (
            "serving seen",
            PeerMessage::ServingSeen { upstream: seen, nonce: u64::MAX, ago_ms: Millis(100) },
        ),
    ])
}

fn slot_messages() -> Result<Vec<Named>, SlopesError> {
    let service: ServiceName = "service-0001".parse().map_err(|_| SlopesError::BadId)?;
    let lease = LeaseId(CALL_ID);
    let load = Some(LoadReport { busy: Slots(3), queued: 0 });
    let returned = ReturnedSlot { lease, latency_ms: Some(Millis(20)), failed: false, load };
    let lent = LentSlot { lease, upstream: "up-00001".parse().map_err(|_| SlopesError::BadId)? };
    let wanted =
        |returned| PeerMessage::SlotsWanted { service: service.clone(), count: 1, returned };
    let answer = PeerMessage::SlotsLent { service: service.clone(), asked: 1, slots: vec![lent] };
    Ok(vec![
        ("slots wanted, none returned", wanted(vec![])),
        ("slots wanted, one returned", wanted(vec![returned])),
        ("slots lent, one", answer),
    ])
}

fn claim_messages() -> Result<Vec<Named>, SlopesError> {
    let claim = ClaimId { host: host_id(1)?, incarnation: RUN, number: CALL_ID };
    let key = ClaimKey {
        caller: "booking-desk".parse().map_err(|_| SlopesError::BadId)?,
        service: "service-0001".parse().map_err(|_| SlopesError::BadId)?,
        key: IDEMPOTENCY_KEY.parse().map_err(|_| SlopesError::BadId)?,
    };
    let committee = (0..HOSTS).map(host_id).collect::<Result<_, _>>()?;
    let question = ClaimQuestion { claim: claim.clone(), key: key.clone(), committee };
    let vote = ClaimVote { claim: claim.clone(), verdict: ClaimVerdict::Yes };
    let (released, released_key) = (claim.clone(), key.clone());
    let standing = StandingClaim { key, claim, left_ms: Millis(60_000) };
    let claims =
        StandingClaims { round: 1, part: 1, parts: 10, electorate: vec![], claims: vec![standing] };
    Ok(vec![
        ("claim asked, 15 voters", PeerMessage::ClaimAsked(question)),
        ("claim voted", PeerMessage::ClaimVoted(vote)),
        ("claim released", PeerMessage::ClaimReleased { claim: released, key: released_key }),
        ("standing wanted", PeerMessage::StandingWanted { round: 1 }),
        ("standing offered, one claim", PeerMessage::StandingOffered(claims)),
    ])
}

/// A heartbeat of a host that has these versions in force and has just heard of all.
pub fn heartbeat(in_force: VersionPair, hosts: usize) -> Heartbeat {
    Heartbeat {
        base: in_force.base,
        overlay: in_force.overlay,
        list: Version(2),
        ages: "1".repeat(hosts),
        ..Heartbeat::default()
    }
}

/// An envelope of host one.
///
/// # Errors
///
/// If the host's id is none.
pub fn envelope(messages: Vec<PeerMessage>) -> Result<Envelope, SlopesError> {
    Ok(Envelope { protocol: PROTOCOL_VERSION, from: host_id(1)?, incarnation: RUN, messages })
}

/// The JSON-RPC call that carries an envelope.
///
/// # Errors
///
/// If it can't be written as JSON.
pub fn encode(envelope: &Envelope) -> Result<String, SlopesError> {
    let params = serde_json::value::to_raw_value(&[envelope]).map_err(|_| SlopesError::Json)?;
    let request = Request::borrowed(DELIVER, Some(&params), Id::Number(CALL_ID));
    serde_json::to_string(&request).map_err(|_| SlopesError::Json)
}

/// The envelope in a JSON-RPC call.
///
/// # Errors
///
/// If there is none.
pub fn decode(call: &str) -> Result<Envelope, SlopesError> {
    let request: Request<'_> = serde_json::from_str(call).map_err(|_| SlopesError::Json)?;
    let params = Params::new(request.params.as_ref().map(|params| params.get()));
    params.one().map_err(|_| SlopesError::Json)
}

/// Bytes of a WebSocket frame from client to server.
pub const fn client_frame_bytes(payload_bytes: usize) -> usize {
    server_frame_bytes(payload_bytes) + MASK_BYTES
}

/// Bytes of a WebSocket frame from server to client.
pub const fn server_frame_bytes(payload_bytes: usize) -> usize {
    let header_bytes = match payload_bytes {
        0..126 => 2,
        126..65_536 => 4,
        _ => 10,
    };
    header_bytes + payload_bytes
}

fn frame(meter: &Meter, name: &'static str, message: PeerMessage) -> Result<Frame, SlopesError> {
    let one = envelope(vec![message.clone()])?;
    let two = envelope(vec![message.clone(), message])?;
    let (call, longer) = (encode(&one)?, encode(&two)?);
    Ok(Frame {
        message: name,
        frame_bytes: client_frame_bytes(call.len()),
        batched_bytes: longer.len() - call.len(),
        confirmation_bytes: CONFIRMATION_FRAME_BYTES,
        encode: meter.cost(TIMES, || (), |()| black_box(encode(&one))),
        decode: meter.cost(TIMES, || (), |()| black_box(decode(&call))),
    })
}

/// JSON text of about so many bytes, with as many quotes as a configuration has.
pub fn text(bytes: usize) -> String {
    let upstream = r#""up-00001":{"address":"10.0.0.1:8080","slots":6},"#;
    upstream.repeat(bytes.div_ceil(upstream.len()))
}

/// The host list's JSON for so many hosts.
///
/// # Errors
///
/// If it can't be written.
pub fn host_list_json(hosts: usize) -> Result<String, SlopesError> {
    serde_json::to_string(&host_list(2, hosts)?).map_err(|_| SlopesError::Json)
}
