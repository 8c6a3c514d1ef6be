//! Reads the rate limits, backoffs and leaving flags that upstreams state in their responses, and
//! sends them to the other hosts.
//!
//! [`dispatch::backpressure`] decides what follows from them. Only a response that certainly comes
//! from the upstream counts: another upstream may have its address, and a proxy may respond for it.

use crate::event_log::LogEvent;
use crate::fleet_message;
use crate::host::Host;
use crate::http1::{HeadFields, ResponseHead};
use crate::peers::codec::Datagram;
use dispatch::attempts::{self, ResponseSummary};
use dispatch::backpressure::{
    Backpressure, BackpressureChange, BackpressureMessage, BackpressureUpdate, LONGEST_BACKOFF_MS,
    ResponseKind,
};
use domain::{Millis, PerSecond, UpstreamId};
use published::RunStart;
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest delay, drawn at random, before a statement is sent to peers. Several hosts may receive
/// the same statement within some milliseconds; one that has it from a peer by then sends nothing.
const SEND_WITHIN: Duration = Duration::from_millis(20);

/// Times, from the first, at which the same update is sent to peers: a datagram may be lost.
const SEND_AFTER_MS: [Millis; 3] = [Millis::ZERO, Millis(100), Millis(300)];

/// Status of a response by another upstream that has taken over the address.
pub(crate) const MISDIRECTED: u16 = 421;

/// HTTP header with the seconds for which a refused host is to back off.
const RETRY_AFTER: &str = "retry-after";

/// Largest share by which a backoff is extended at random, so that hosts that were refused together
/// don't return together.
const BACKOFF_JITTER: f64 = 0.1;

/// Reads the backpressure that a response to a request states. A response that is delivered to the
/// caller counts with or without a seal; an error or refusal only if it is certainly the upstream's.
pub fn read(
    host: &Host,
    upstream: &UpstreamId,
    head: &ResponseHead,
    summary: ResponseSummary,
) -> Backpressure {
    let is_from_upstream = summary.is_sealed || summary.not_run || attempts::is_final(summary);
    if !is_from_upstream || summary.status == MISDIRECTED {
        return Backpressure::default();
    }
    let backoff_ms = match summary.status {
        429 | 503 => read_backoff(host, upstream, &head.fields),
        _ => None,
    };
    Backpressure { backoff_ms, ..read_fields(host, upstream, &head.fields) }
}

/// Reads the backpressure that a response to a probe states.
pub fn read_fields(host: &Host, upstream: &UpstreamId, fields: &HeadFields) -> Backpressure {
    let rate_limit = read_rate_limit(host, upstream, fields);
    Backpressure { rate_limit, backoff_ms: None, is_leaving: read_leaving(host, upstream, fields) }
}

fn read_leaving(host: &Host, upstream: &UpstreamId, fields: &HeadFields) -> bool {
    let header = host.dialect.leaving;
    let mut values = fields.all(header).map(<[u8]>::trim_ascii);
    values.any(|value| match value {
        b"1" => true,
        b"0" => false,
        other => {
            host.log_malformed_header(upstream, header, other);
            false
        }
    })
}

/// Returns the longest backoff, if several are stated.
fn read_backoff(host: &Host, upstream: &UpstreamId, fields: &HeadFields) -> Option<Millis> {
    let stated_s = read_numbers(host, upstream, fields, RETRY_AFTER).max_by(f64::total_cmp)?;
    let longest_s = LONGEST_BACKOFF_MS.as_f64() / 1_000.0;
    let jitter = 1.0 + BACKOFF_JITTER * host.rng.borrow_mut().random::<f64>();
    Some(Millis((stated_s.min(longest_s) * jitter * 1_000.0) as u64))
}

/// Returns the smallest rate limit, if several are stated.
fn read_rate_limit(host: &Host, upstream: &UpstreamId, fields: &HeadFields) -> Option<PerSecond> {
    let stated = read_numbers(host, upstream, fields, host.dialect.rate_limit);
    stated.min_by(f64::total_cmp).map(PerSecond)
}

/// Returns a header's values that are numbers, and reports the others to operators.
fn read_numbers<'a>(
    host: &'a Host,
    upstream: &'a UpstreamId,
    fields: &'a HeadFields,
    header: &'static str,
) -> impl Iterator<Item = f64> + 'a {
    fields.all(header).filter_map(move |value| {
        let number = read_decimal(value);
        if number.is_none() {
            host.log_malformed_header(upstream, header, value);
        }
        number
    })
}

/// Parses a decimal number of digits with at most one point; no sign, no exponent, not infinite.
pub fn read_decimal(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = text.parse::<f64>().ok().filter(|_| is_plain)?;
    number.is_finite().then_some(number)
}

/// Records the backpressure that a run of an upstream stated, and sends it to peers.
pub fn record(
    host: &Rc<Host>,
    at: (&UpstreamId, RunStart),
    kind: ResponseKind,
    stated: Backpressure,
) {
    let now_ms = host.now_ms();
    let changed = host.upstreams.borrow_mut().record_backpressure(now_ms, at, kind, stated);
    log_changes(host, changed, "upstream");
    if host.upstreams.borrow().backpressure().has_pending()
        && !host.is_backpressure_broadcast_due.replace(true)
    {
        let host = Rc::clone(host);
        tokio::task::spawn_local(async move {
            let share = host.rng.borrow_mut().random::<f64>();
            clock::sleep(SEND_WITHIN.mul_f64(share)).await;
            host.is_backpressure_broadcast_due.set(false);
            send_to_fleet(&host).await;
        });
    }
}

/// Drops expired statements, and offers this host's digest to a peer, which then asks for what it
/// missed. Called periodically.
pub fn run_maintenance(host: &Host) {
    host.upstreams.borrow_mut().forget_backpressure(host.now_ms());
    let digest = host.upstreams.borrow().backpressure().digest();
    if digest != 0 {
        let offer = Datagram::Backpressure(BackpressureMessage::Digest { digest });
        fleet_message::send_to_random_peers(host, &offer, 1);
    }
}

/// Called when peers become known: after a start, asks them for what upstreams stated before.
pub fn catch_up_after_start(host: &Host) {
    let sent = host.backpressure_requests_sent.get();
    if sent < fleet_message::START_REQUESTS {
        host.backpressure_requests_sent.set(sent + 1);
        request_from_peers(host);
    }
}

/// Asks some peers for what this host missed before its start or while it was suspended.
pub fn request_from_peers(host: &Host) {
    let digest = host.upstreams.borrow().backpressure().digest();
    let request = Datagram::Backpressure(BackpressureMessage::Request { digest });
    fleet_message::request_from_random_peers(host, &request);
}

/// Handles a peer's message; true if this host relayed it and is to
/// acknowledge that to the peer.
pub fn handle_message(host: &Host, message: BackpressureMessage, from: SocketAddr) -> bool {
    let own_digest = host.upstreams.borrow().backpressure().digest();
    match message {
        BackpressureMessage::Update { updates, should_relay } => {
            if should_relay {
                fleet_message::forward_in_zone(host, &stated_message(updates.clone(), false));
            }
            let now_ms = host.now_ms();
            let changed = host.upstreams.borrow_mut().merge_backpressure(now_ms, updates);
            log_changes(host, changed, "peer");
            return should_relay;
        }
        BackpressureMessage::Digest { digest } if digest != own_digest => {
            let request = BackpressureMessage::Request { digest: own_digest };
            fleet_message::send(host, &Datagram::Backpressure(request), &[from]);
        }
        BackpressureMessage::Request { digest } if digest != own_digest => {
            let updates = host.upstreams.borrow().backpressure().export(host.now_ms());
            fleet_message::send(host, &stated_message(updates, false), &[from]);
        }
        BackpressureMessage::Digest { .. } | BackpressureMessage::Request { .. } => {}
    }
    false
}

/// Sends pending updates to peers, several times: a host that misses one may send the upstream a
/// request that it refuses.
async fn send_to_fleet(host: &Host) {
    let pending = host.upstreams.borrow_mut().backpressure_mut().take_pending(host.now_ms());
    if pending.is_empty() {
        return;
    }
    let begun_ms = host.now_ms();
    for after_ms in SEND_AFTER_MS {
        host.clock.sleep_until(begun_ms + after_ms).await;
        let later = |update: &BackpressureUpdate| BackpressureUpdate {
            age_ms: update.age_ms + host.now_ms().since(begun_ms),
            ..update.clone()
        };
        let updates: Vec<BackpressureUpdate> = pending.iter().map(later).collect();
        fleet_message::broadcast(host, |should_relay| {
            stated_message(updates.clone(), should_relay)
        });
    }
}

fn stated_message(updates: Vec<BackpressureUpdate>, should_relay: bool) -> Datagram {
    Datagram::Backpressure(BackpressureMessage::Update { updates, should_relay })
}

/// Logs changes for operators.
fn log_changes(host: &Host, changed: impl IntoIterator<Item = BackpressureChange>, from: &str) {
    for BackpressureChange { upstream, limit, backoff_ms, is_leaving } in changed {
        let upstream = &upstream;
        if let Some(change) = limit {
            host.log.write(&LogEvent::RateLimit { upstream, change, from });
        }
        if let Some(for_ms) = backoff_ms {
            host.log.write(&LogEvent::BacksOff { upstream, for_ms });
        }
        if is_leaving {
            host.log.write(&LogEvent::SaysLeaving { upstream, from });
        }
    }
}
