//! Sees which requests crash upstreams, and tells the other hosts.
//!
//! What follows from it is decided by [`dispatch::quarantine`]. A broken connection alone is no
//! crash: upstreams spoil answers, some reset when they are full, and links break. After a crash
//! the port refuses connections, which one round trip shows, and no other connection to the
//! upstream is open. A crash that cuts the machine off or leaves it dark is not recognised.

use crate::connection::Connection;
use crate::event_log::LogEvent;
use crate::fleet_message;
use crate::host::Host;
use crate::peers::codec::Datagram;
use dispatch::quarantine::{Crash, QuarantineMessage, SuspectChange};
use domain::{Millis, RequestFingerprint, UpstreamId};
use published::{Eligibility, RunStart, Upstream};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Longest look at an upstream that broke off a request: some round trips between availability
/// zones. The request waits for it, so that what follows knows of the crash.
const LOOK: Duration = Duration::from_millis(60);

/// A request whose connection broke after it had left.
#[derive(Debug)]
pub struct BrokenOff {
    /// What it asks.
    pub fingerprint: RequestFingerprint,
    /// Where it was sent.
    pub upstream: Arc<Upstream>,
    /// When.
    pub sent_ms: Millis,
    /// When its connection broke.
    pub broke_ms: Millis,
}

/// Looks whether the upstream crashed, and notes it; true if it did. Goes on if nobody waits.
pub fn examine(host: &Rc<Host>, broken: BrokenOff) -> JoinHandle<bool> {
    let host = Rc::clone(host);
    tokio::task::spawn_local(async move {
        let looking = has_crashed(&host, &broken.upstream);
        let has_crashed = clock::timeout(LOOK, looking).await.unwrap_or(false);
        host.metrics.upstream_broke_off(has_crashed);
        if has_crashed {
            note_crash(&host, broken);
        }
        has_crashed
    })
}

/// Whether the process behind an entry is gone though it did not say that it would leave.
async fn has_crashed(host: &Rc<Host>, entry: &Upstream) -> bool {
    match state_of(host, &entry.id, entry.run) {
        EntryState::Restarted => return true,
        EntryState::Leaving => return false,
        EntryState::Ready => {}
    }
    host.metrics.connection_opened();
    match Connection::open(entry.address, LOOK).await {
        Ok(connection) => {
            host.pool.borrow_mut().put(&entry.id, connection.belonging_to(entry.run));
            false
        }
        Err(e) => e.kind() == ErrorKind::ConnectionRefused && !is_connected(host, entry),
    }
}

/// Whether a kept connection to an upstream is open: it is full, and refuses new ones only. Asked
/// after a round trip: ends of connections that come together are noticed together by then.
fn is_connected(host: &Host, entry: &Upstream) -> bool {
    let kept = host.pool.borrow_mut().take(&entry.id, entry.run);
    let is_open = kept.is_some();
    kept.into_iter().for_each(|kept| host.pool.borrow_mut().put(&entry.id, kept));
    is_open
}

/// What is published of a run of an upstream.
enum EntryState {
    Ready,
    /// It drains, said that it is leaving, or its entry was removed: its end is no crash.
    Leaving,
    /// A later run has its place.
    Restarted,
}

fn state_of(host: &Host, upstream: &UpstreamId, run: RunStart) -> EntryState {
    let upstreams = host.upstreams.borrow();
    let Some(known) = upstreams.get(upstream) else { return EntryState::Leaving };
    match known.eligibility {
        _ if known.entry.run.is_after(run) => EntryState::Restarted,
        Eligibility::Eligible | Eligibility::ZoneEvacuated => EntryState::Ready,
        Eligibility::Draining | Eligibility::SaysLeaving => EntryState::Leaving,
    }
}

fn note_crash(host: &Rc<Host>, broken: BrokenOff) {
    let crash = Crash {
        upstream: broken.upstream.id.clone(),
        run: broken.upstream.run,
        seen_by: host.settings.borrow().host.clone(),
        sent_ms: broken.sent_ms,
        crashed_ms: broken.broke_ms,
    };
    let changed = host.quarantine.borrow_mut().record_crash(broken.fingerprint, crash);
    announce(host, changed);
    tell_fleet(host);
}

/// An upstream ran a request to its end.
pub fn note_answered(host: &Host, fingerprint: RequestFingerprint) {
    clear(host, fingerprint);
}

/// A request that an upstream crashed under got its final answer.
pub fn note_over(host: &Host, fingerprint: RequestFingerprint) {
    host.quarantine.borrow_mut().record_final_answer(fingerprint);
    tell_fleet(host);
}

/// A request leaves as the only one of its kind in the fleet.
pub fn begin_trial(host: &Host, fingerprint: RequestFingerprint, until_ms: Millis) {
    host.quarantine.borrow_mut().begin_trial(fingerprint, until_ms);
    tell_fleet(host);
}

/// A trial of this host ended.
pub fn end_trial(host: &Host, fingerprint: RequestFingerprint) {
    host.quarantine.borrow_mut().end_trial(fingerprint);
    host.quarantine_changed.notify_waiters();
}

/// An operator lifts the verdict on a request; false if there is none.
pub fn lift(host: &Host, fingerprint: RequestFingerprint) -> bool {
    clear(host, fingerprint)
}

/// What was held against a request is void, here and on all hosts; false if nothing was.
fn clear(host: &Host, fingerprint: RequestFingerprint) -> bool {
    let changed = host.quarantine.borrow_mut().clear(host.now_ms(), fingerprint);
    let is_cleared = changed.is_some();
    announce(host, changed);
    tell_fleet(host);
    is_cleared
}

/// What is due now and then: forgets, and offers a peer what it may have missed.
pub fn run_maintenance(host: &Host) {
    let now_ms = host.now_ms();
    host.quarantine.borrow_mut().expire(now_ms);
    let Some(digest) = host.quarantine.borrow_mut().digest_if_due(now_ms) else { return };
    let offer = Datagram::Quarantine(QuarantineMessage::Digest { digest });
    fleet_message::send_to_random_peers(host, &offer, 1);
}

/// Peers were heard of. After the start they are asked for what this host missed, a few times only:
/// hundreds of hosts that start together hear of each other in dozens of messages.
pub fn catch_up_after_start(host: &Host) {
    let asked = host.quarantine_requests_sent.get();
    if asked < fleet_message::START_REQUESTS && host.quarantine.borrow().is_empty() {
        host.quarantine_requests_sent.set(asked + 1);
        request_from_peers(host);
    }
}

/// Asks some peers for what this host missed: it has just started, or stood still.
pub fn request_from_peers(host: &Host) {
    let digest = host.quarantine.borrow().digest();
    let ask = Datagram::Quarantine(QuarantineMessage::Request { digest });
    fleet_message::request_from_random_peers(host, &ask);
}

/// Takes a peer's message; true if the peer waits to hear that this host is there.
pub fn handle_message(host: &Host, message: QuarantineMessage, from: SocketAddr) -> bool {
    let now_ms = host.now_ms();
    let own_digest = host.quarantine.borrow().digest();
    match message {
        QuarantineMessage::Suspects { suspects, should_relay } => {
            if should_relay {
                let passed =
                    QuarantineMessage::Suspects { suspects: suspects.clone(), should_relay: false };
                fleet_message::forward_in_zone(host, &Datagram::Quarantine(passed));
            }
            let changed = host.quarantine.borrow_mut().merge(now_ms, suspects);
            announce(host, changed);
            tell_fleet(host);
            return should_relay;
        }
        QuarantineMessage::Digest { digest } if digest != own_digest => {
            send(host, QuarantineMessage::Request { digest: own_digest }, from);
        }
        QuarantineMessage::Request { digest } if digest != own_digest => {
            let suspects = host.quarantine.borrow().export(now_ms);
            send(host, QuarantineMessage::Suspects { suspects, should_relay: false }, from);
        }
        QuarantineMessage::Digest { .. } | QuarantineMessage::Request { .. } => {}
    }
    false
}

fn tell_fleet(host: &Host) {
    let untold = host.quarantine.borrow_mut().take_pending(host.now_ms());
    let Some(suspects) = untold else { return };
    fleet_message::broadcast(host, |should_relay| {
        let suspects = suspects.clone();
        Datagram::Quarantine(QuarantineMessage::Suspects { suspects, should_relay })
    });
}

fn send(host: &Host, message: QuarantineMessage, to: SocketAddr) {
    fleet_message::send(host, &Datagram::Quarantine(message), &[to]);
}

/// Tells operators, and whoever waits for what comes of a trial.
fn announce(host: &Host, changed: impl IntoIterator<Item = SuspectChange>) {
    let now_ms = host.now_ms();
    for changed in changed {
        host.quarantine_changed.notify_waiters();
        host.log.write(&LogEvent::Quarantine {
            fingerprint: changed.fingerprint,
            change: changed.status,
            crashes: changed.crashes.len(),
            upstreams: changed.crashes.iter().map(|crash| &crash.upstream).collect(),
            seen_by: changed.crashes.iter().map(|crash| &crash.seen_by).collect(),
            ages_ms: changed.crashes.iter().map(|crash| now_ms.since(crash.crashed_ms)).collect(),
        });
    }
}
