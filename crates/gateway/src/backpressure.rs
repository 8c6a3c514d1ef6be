//! Reads what upstreams say of the load that they bear, and tells the other hosts.
//!
//! What follows from it is decided by [`dispatch::backpressure`]. Only what an upstream surely said is
//! taken: an answer of another that has its address, or of something on the way, tells nothing of it.

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

/// Longest pause before peers are told. Several hosts hear of the same within some milliseconds;
/// who was told meanwhile tells nobody.
const TELL_WITHIN: Duration = Duration::from_millis(20);

/// When peers are told of the same: a datagram may be lost.
const TELL_AFTER_MS: [Millis; 3] = [Millis::ZERO, Millis(100), Millis(300)];

/// Status of an answer by another upstream that has the address.
const MISDIRECTED: u16 = 421;

/// Seconds for which a refused host is to stay away, as HTTP names it.
const RETRY_AFTER: &str = "retry-after";

/// Part by which a backoff is drawn out: hosts that were refused together don't come back together.
const BACKOFF_SPREAD: f64 = 0.1;

/// What the answer to a request says. What is passed on to the caller counts, with or without its
/// seal; of failures and refusals only those that the upstream surely made.
pub fn read(
    host: &Host,
    upstream: &UpstreamId,
    head: &ResponseHead,
    answered: ResponseSummary,
) -> Backpressure {
    let is_its_own = answered.is_sealed || answered.not_run || attempts::is_final(answered);
    if !is_its_own || answered.status == MISDIRECTED {
        return Backpressure::default();
    }
    let backoff_ms = match answered.status {
        429 | 503 => read_backoff(host, upstream, &head.fields),
        _ => None,
    };
    Backpressure { backoff_ms, ..read_fields(host, upstream, &head.fields) }
}

/// What an answer to a health check says.
pub fn read_fields(host: &Host, upstream: &UpstreamId, fields: &HeadFields) -> Backpressure {
    let rate_limit = read_rate_limit(host, upstream, fields);
    Backpressure { rate_limit, backoff_ms: None, is_leaving: read_leaving(host, upstream, fields) }
}

fn read_leaving(host: &Host, upstream: &UpstreamId, fields: &HeadFields) -> bool {
    let mark = host.dialect.leaving;
    let mut words = fields.all(mark).map(<[u8]>::trim_ascii);
    words.any(|word| match word {
        b"1" => true,
        b"0" => false,
        other => {
            host.log_malformed_header(upstream, mark, other);
            false
        }
    })
}

/// The longest, if several are named.
fn read_backoff(host: &Host, upstream: &UpstreamId, fields: &HeadFields) -> Option<Millis> {
    let named_s = read_numbers(host, upstream, fields, RETRY_AFTER).max_by(f64::total_cmp)?;
    let longest_s = LONGEST_BACKOFF_MS.as_f64() / 1_000.0;
    let drawn_out = 1.0 + BACKOFF_SPREAD * host.rng.borrow_mut().random::<f64>();
    Some(Millis((named_s.min(longest_s) * drawn_out * 1_000.0) as u64))
}

/// The smallest, if several are named.
fn read_rate_limit(host: &Host, upstream: &UpstreamId, fields: &HeadFields) -> Option<PerSecond> {
    let named = read_numbers(host, upstream, fields, host.dialect.rate_limit);
    named.min_by(f64::total_cmp).map(PerSecond)
}

/// Values of a mark; operators are told of those that are no number.
fn read_numbers<'a>(
    host: &'a Host,
    upstream: &'a UpstreamId,
    fields: &'a HeadFields,
    mark: &'static str,
) -> impl Iterator<Item = f64> + 'a {
    fields.all(mark).filter_map(move |value| {
        let number = read_decimal(value);
        if number.is_none() {
            host.log_malformed_header(upstream, mark, value);
        }
        number
    })
}

/// A number of digits with at most one point: no sign, no exponent, nothing that is no number.
pub fn read_decimal(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = text.parse::<f64>().ok().filter(|_| is_plain)?;
    number.is_finite().then_some(number)
}

/// A run of an upstream answered and said so.
pub fn note(host: &Rc<Host>, at: (&UpstreamId, RunStart), kind: ResponseKind, said: Backpressure) {
    let now_ms = host.now_ms();
    let changed = host.upstreams.borrow_mut().record_backpressure(now_ms, at, kind, said);
    announce(host, changed, "upstream");
    if host.upstreams.borrow().backpressure().has_pending()
        && !host.is_backpressure_broadcast_due.replace(true)
    {
        let host = Rc::clone(host);
        tokio::task::spawn_local(async move {
            let part = host.rng.borrow_mut().random::<f64>();
            clock::sleep(TELL_WITHIN.mul_f64(part)).await;
            host.is_backpressure_broadcast_due.set(false);
            tell_fleet(&host).await;
        });
    }
}

/// What is due now and then: forgets, and offers a peer what it may have missed.
pub fn run_maintenance(host: &Host) {
    host.upstreams.borrow_mut().forget_backpressure(host.now_ms());
    let digest = host.upstreams.borrow().backpressure().digest();
    if digest != 0 {
        let offer = Datagram::Backpressure(BackpressureMessage::Digest { digest });
        fleet_message::send_to_random_peers(host, &offer, 1);
    }
}

/// Peers were heard of. After the start they are asked for what upstreams said before.
pub fn catch_up_after_start(host: &Host) {
    let asked = host.backpressure_requests_sent.get();
    if asked < fleet_message::START_REQUESTS {
        host.backpressure_requests_sent.set(asked + 1);
        request_from_peers(host);
    }
}

/// Asks some peers for what this host missed: it has just started, or stood still.
pub fn request_from_peers(host: &Host) {
    let digest = host.upstreams.borrow().backpressure().digest();
    let ask = Datagram::Backpressure(BackpressureMessage::Request { digest });
    fleet_message::request_from_random_peers(host, &ask);
}

/// Takes a peer's message; true if the peer waits to hear that this host is there.
pub fn handle_message(host: &Host, message: BackpressureMessage, from: SocketAddr) -> bool {
    let own_digest = host.upstreams.borrow().backpressure().digest();
    match message {
        BackpressureMessage::Update { updates, should_relay } => {
            if should_relay {
                fleet_message::forward_in_zone(host, &stated(updates.clone(), false));
            }
            let now_ms = host.now_ms();
            let changed = host.upstreams.borrow_mut().merge_backpressure(now_ms, updates);
            announce(host, changed, "peer");
            return should_relay;
        }
        BackpressureMessage::Digest { digest } if digest != own_digest => {
            let ask = BackpressureMessage::Request { digest: own_digest };
            fleet_message::send(host, &Datagram::Backpressure(ask), &[from]);
        }
        BackpressureMessage::Request { digest } if digest != own_digest => {
            let updates = host.upstreams.borrow().backpressure().export(host.now_ms());
            fleet_message::send(host, &stated(updates, false), &[from]);
        }
        BackpressureMessage::Digest { .. } | BackpressureMessage::Request { .. } => {}
    }
    false
}

/// Tells what is untold, and again: who missed it would send one request too many.
async fn tell_fleet(host: &Host) {
    let untold = host.upstreams.borrow_mut().backpressure_mut().take_pending(host.now_ms());
    if untold.is_empty() {
        return;
    }
    let begun_ms = host.now_ms();
    for after_ms in TELL_AFTER_MS {
        host.clock.sleep_until(begun_ms + after_ms).await;
        let later = |update: &BackpressureUpdate| BackpressureUpdate {
            age_ms: update.age_ms + host.now_ms().since(begun_ms),
            ..update.clone()
        };
        let updates: Vec<BackpressureUpdate> = untold.iter().map(later).collect();
        fleet_message::broadcast(host, |should_relay| stated(updates.clone(), should_relay));
    }
}

fn stated(updates: Vec<BackpressureUpdate>, should_relay: bool) -> Datagram {
    Datagram::Backpressure(BackpressureMessage::Update { updates, should_relay })
}

/// Tells operators.
fn announce(host: &Host, changed: impl IntoIterator<Item = BackpressureChange>, from: &str) {
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
