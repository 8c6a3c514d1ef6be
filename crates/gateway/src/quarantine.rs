//! Detects requests that crash upstreams, and sends the findings to the other hosts.
//!
//! [`dispatch::quarantine`] decides what follows from a crash. A broken connection alone is no
//! crash: upstreams send malformed responses, some reset connections when they are full, and links
//! break. After a crash the port refuses connections, which one round trip shows, and no other
//! connection to the upstream is open. A port may outlive its process for a moment, so one that
//! accepts has to answer a probe; while it doesn't, it is looked at again. A port that refuses only
//! this host, as a peer can connect to it, is no crash. A crash that takes the machine off the
//! network isn't detected.

use crate::connection::Connection;
use crate::event_log::{CrashEvidence, LogEvent};
use crate::fleet_message;
use crate::host::Host;
use crate::links;
use crate::peers::codec::Datagram;
use crate::probe::{Responder, find_responder};
use crate::tunnel::{self, TunnelFailure};
use clock::Moment;
use dispatch::quarantine::{Crash, MAX_SUSPECTS_PER_MESSAGE, QuarantineMessage, SuspectChange};
use domain::{Millis, RequestFingerprint, UpstreamId};
use published::{Eligibility, RunStart, Upstream};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Longest look at an upstream that broke a connection: some round trips between availability
/// zones. The request waits for it, so that its next attempt takes a crash into account.
const CHECK_LIMIT: Duration = Duration::from_millis(60);

/// For how long an upstream is looked at again that accepts connections and doesn't answer, that
/// resets a connection, or at which a look took too long, as on a host that is held up.
const RECHECK_LIMIT: Duration = Duration::from_millis(700);

/// Time between two looks.
const RECHECK_PAUSE: Duration = Duration::from_millis(50);

/// An attempt whose connection broke after the request was sent.
#[derive(Debug)]
pub struct BrokenAttempt {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Entry of the upstream that it was sent to.
    pub upstream: Arc<Upstream>,
    /// When it was sent.
    pub sent_ms: Millis,
    /// When its connection broke.
    pub broke_ms: Millis,
}

/// Checks whether the upstream crashed, and records it; true if it did. The check goes on until it
/// completes: a trial waits for that, any other request for one look, as it is mostly a bystander.
pub async fn examine(host: &Rc<Host>, broken: BrokenAttempt, is_trial: bool) -> bool {
    let checking = check(host, broken);
    let longest = if is_trial { RECHECK_LIMIT + CHECK_LIMIT } else { CHECK_LIMIT };
    // A failed task is a fault in this process, not evidence of a crash.
    matches!(clock::timeout(longest, checking).await, Ok(Ok(true)))
}

fn check(host: &Rc<Host>, broken: BrokenAttempt) -> JoinHandle<bool> {
    let host = Rc::clone(host);
    tokio::task::spawn_local(async move {
        let (begun_ms, begun) = (host.now_ms(), Moment::now());
        let evidence = find_evidence(&host, &broken.upstream).await;
        let has_crashed = evidence.is_crash();
        host.metrics.upstream_broke_off(has_crashed);
        host.log.write(&LogEvent::CrashChecked {
            upstream: &broken.upstream.id,
            fingerprint: broken.fingerprint,
            evidence,
            has_crashed,
            took_ms: host.now_ms().since(begun_ms),
        });
        if has_crashed {
            let fingerprint = broken.fingerprint;
            record_crash(&host, broken);
            if begun.elapsed() >= CHECK_LIMIT {
                // The request didn't wait for this.
                record_final_response(&host, fingerprint);
            }
        }
        has_crashed
    })
}

/// Finds out whether the process behind an entry is gone without having announced that it leaves.
async fn find_evidence(host: &Rc<Host>, entry: &Upstream) -> CrashEvidence {
    let until = Moment::now() + RECHECK_LIMIT;
    loop {
        let look = clock::timeout(CHECK_LIMIT, look_at(host, entry)).await;
        match look.unwrap_or(CrashEvidence::TooLate) {
            CrashEvidence::Silent | CrashEvidence::Reset | CrashEvidence::TooLate
                if Moment::now() < until =>
            {
                clock::sleep(RECHECK_PAUSE).await;
            }
            evidence => return evidence,
        }
    }
}

async fn look_at(host: &Rc<Host>, entry: &Upstream) -> CrashEvidence {
    match state_of(host, &entry.id, entry.run) {
        EntryState::Restarted => return CrashEvidence::Restarted,
        EntryState::Leaving => return CrashEvidence::Leaves,
        EntryState::Ready => {}
    }
    host.metrics.connection_opened();
    match Connection::open(entry.address, Some(host.own_ip()), CHECK_LIMIT).await {
        Ok(connection) => match find_responder(host, entry, connection.with_run(entry.run)).await {
            Responder::Published => CrashEvidence::Accepts,
            Responder::Other => CrashEvidence::Replaced,
            Responder::Nobody => CrashEvidence::Silent,
        },
        Err(e) => match e.kind() {
            ErrorKind::ConnectionRefused if is_connected(host, entry) => CrashEvidence::OnlyFull,
            ErrorKind::ConnectionRefused => {
                links::record_unreached(host, &entry.id);
                match Box::pin(tunnel::open(host, entry)).await {
                    Ok(_) => {
                        links::record_reached_by_peer(host, &entry.id);
                        CrashEvidence::ReachedByPeer
                    }
                    Err(TunnelFailure::NoRelay) if links::are_down(host, &entry.service) => {
                        CrashEvidence::Unreachable
                    }
                    Err(_) => CrashEvidence::Refused,
                }
            }
            ErrorKind::TimedOut => CrashEvidence::TooLate,
            // A port that closes resets the connections that nobody accepted.
            ErrorKind::ConnectionReset => CrashEvidence::Reset,
            _ => CrashEvidence::Unreachable,
        },
    }
}

/// Whether a pooled connection to the upstream is still open: then the upstream is full, and
/// refuses only new connections. Called after a round trip, by which time connections that a crash
/// closed are seen to be closed.
fn is_connected(host: &Host, entry: &Upstream) -> bool {
    let pooled = host.pool.borrow_mut().take(&entry.id, entry.run);
    let is_open = pooled.is_some();
    pooled.into_iter().for_each(|pooled| host.pool.borrow_mut().put(&entry.id, pooled));
    is_open
}

/// The published state of a run of an upstream.
enum EntryState {
    Ready,
    /// It drains, has announced that it leaves, or its entry was removed: its end is no crash.
    Leaving,
    /// A later run has replaced it.
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

fn record_crash(host: &Rc<Host>, broken: BrokenAttempt) {
    let crash = Crash {
        upstream: broken.upstream.id.clone(),
        run: broken.upstream.run,
        seen_by: host.settings.borrow().host.clone(),
        sent_ms: broken.sent_ms,
        crashed_ms: broken.broke_ms,
    };
    let changed = host.quarantine.borrow_mut().record_crash(broken.fingerprint, crash);
    log_changes(host, changed);
    send_to_fleet(host);
}

/// Records that an upstream served a request, which clears the request.
pub fn record_served(host: &Host, fingerprint: RequestFingerprint) {
    clear(host, fingerprint);
}

/// Records that a request that crashed an upstream has its final response.
pub fn record_final_response(host: &Host, fingerprint: RequestFingerprint) {
    host.quarantine.borrow_mut().record_final_answer(fingerprint);
    send_to_fleet(host);
}

/// A trial of this host, which ends when it is dropped: the request is the only one with its
/// fingerprint that the fleet has in flight.
#[derive(Debug)]
pub struct Trial {
    host: Rc<Host>,
    fingerprint: RequestFingerprint,
}

impl Trial {
    /// Begins a trial that ends at `until_ms` at the latest.
    pub fn begin(host: &Rc<Host>, fingerprint: RequestFingerprint, until_ms: Millis) -> Trial {
        host.quarantine.borrow_mut().begin_trial(fingerprint, until_ms);
        send_to_fleet(host);
        Trial { host: Rc::clone(host), fingerprint }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.host.quarantine.borrow_mut().end_trial(self.fingerprint);
        self.host.quarantine_changed.notify_waiters();
        send_to_fleet(&self.host);
    }
}

/// Lifts the quarantine of a request, for an operator; false if there is none.
pub fn lift(host: &Host, fingerprint: RequestFingerprint) -> bool {
    clear(host, fingerprint)
}

/// Clears the crashes recorded for a request, on all hosts; false if there are none.
fn clear(host: &Host, fingerprint: RequestFingerprint) -> bool {
    let changed = host.quarantine.borrow_mut().clear(host.now_ms(), fingerprint);
    let is_cleared = changed.is_some();
    log_changes(host, changed);
    send_to_fleet(host);
    is_cleared
}

/// Drops what has expired, and offers this host's digest to a peer, which then asks for what it
/// missed. Called periodically.
pub fn run_maintenance(host: &Host) {
    let now_ms = host.now_ms();
    host.quarantine.borrow_mut().expire(now_ms);
    let Some(digest) = host.quarantine.borrow_mut().digest_if_due(now_ms) else { return };
    let offer = Datagram::Quarantine(QuarantineMessage::Digest { digest });
    fleet_message::send_to_random_peers(host, &offer, 1);
}

/// Called when peers become known: after a start, asks them for what this host missed. Limited to a
/// few times, since hosts that start together learn of each other in dozens of messages.
pub fn catch_up_after_start(host: &Host) {
    let sent = host.quarantine_requests_sent.get();
    if sent < fleet_message::START_REQUESTS && host.quarantine.borrow().is_empty() {
        host.quarantine_requests_sent.set(sent + 1);
        request_from_peers(host);
    }
}

/// Asks some peers for what this host missed before its start or while it was suspended.
pub fn request_from_peers(host: &Host) {
    let digest = host.quarantine.borrow().digest();
    let request = Datagram::Quarantine(QuarantineMessage::Request { digest });
    fleet_message::request_from_random_peers(host, &request);
}

/// Handles a peer's message; true if this host relayed it and is to
/// acknowledge that to the peer.
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
            log_changes(host, changed);
            send_to_fleet(host);
            return should_relay;
        }
        QuarantineMessage::Digest { digest } if digest != own_digest => {
            send(host, QuarantineMessage::Request { digest: own_digest }, from);
        }
        QuarantineMessage::Request { digest } if digest != own_digest => {
            let suspects = host.quarantine.borrow().export(now_ms);
            for suspects in suspects.chunks(MAX_SUSPECTS_PER_MESSAGE) {
                let suspects = suspects.to_vec();
                send(host, QuarantineMessage::Suspects { suspects, should_relay: false }, from);
            }
        }
        QuarantineMessage::Digest { .. } | QuarantineMessage::Request { .. } => {}
    }
    false
}

/// Sends pending changes to all hosts.
fn send_to_fleet(host: &Host) {
    let take_pending = || host.quarantine.borrow_mut().take_pending(host.now_ms());
    while let Some(suspects) = take_pending() {
        fleet_message::broadcast(host, |should_relay| {
            let suspects = suspects.clone();
            Datagram::Quarantine(QuarantineMessage::Suspects { suspects, should_relay })
        });
    }
}

fn send(host: &Host, message: QuarantineMessage, to: SocketAddr) {
    fleet_message::send(host, &Datagram::Quarantine(message), &[to]);
}

/// Logs changes for operators, and wakes requests that wait for the end of a trial.
fn log_changes(host: &Host, changed: impl IntoIterator<Item = SuspectChange>) {
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
