//! Placements of requests at upstreams, by the scheduler of a service.
//!
//! [`dispatch::scheduler`] decides which host schedules, and where a request is placed. This module
//! carries the messages, waits for the reply, and probes upstreams for this host's schedulers. If a
//! scheduler doesn't reply in time, the host chooses an upstream by itself ([`crate::probe`]).

mod guard;
mod scheduling;

pub use guard::PlacementGuard;
pub use scheduling::{hand_over, reschedule, run, update_primary_cells};

use crate::event_log::LogEvent;
use crate::fleet_message;
use crate::host::Host;
use crate::links;
use crate::metrics::Metrics;
use crate::peers::codec::Datagram;
use crate::ticket_counter::TicketCounter;
use dispatch::probe_budget::ProbeBudget;
use dispatch::scheduler::{
    Cell, Directory, Placement, PlacementMessage, RefusalCause, Requester, SchedulerSet,
    Submission, Ticket,
};
use domain::{FastMap, HostId, Millis, ServiceName};
use published::Member;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};

/// Longest wait for a scheduler's first reply: it reports a request as queued after 10 ms; the rest
/// is for the round trip and a slow machine.
const FIRST_REPLY: Duration = Duration::from_millis(25);

/// Longest wait for the next reply. One is sent every 10 ms, so four may be lost.
const NEXT_REPLY: Duration = Duration::from_millis(50);

/// Most schedulers that a request is submitted to, one after the other, if their hosts reach no
/// upstream.
const MAX_SCHEDULERS: usize = 4;

/// How long a service counts as busy after one of its requests had to wait for a placement.
const BUSY_MS: Millis = Millis(300);

/// The schedulers that run on this host, and its own requests' submissions to schedulers.
#[derive(Debug)]
pub struct PlacementState {
    socket: Rc<UdpSocket>,
    /// Schedulers that run on this host.
    pub schedulers: RefCell<SchedulerSet>,
    /// Probes that its schedulers may send.
    pub probe_budget: RefCell<ProbeBudget>,
    directory: RefCell<Directory>,
    pending: RefCell<FastMap<Ticket, mpsc::UnboundedSender<SchedulerReply>>>,
    tickets: TicketCounter,
    /// Services whose requests had to wait, until when they count as busy.
    busy_until: RefCell<FastMap<ServiceName, Millis>>,
    /// Notified when requests wait for a placement.
    requests_waiting: Notify,
}

/// A scheduler's reply to a submitted request.
#[derive(Debug)]
enum SchedulerReply {
    Queued,
    Placed(Placement),
    Refused(RefusalCause),
}

/// The result of submitting a request.
#[derive(Debug)]
pub enum PlacementResult {
    /// The request was placed.
    Placed(PlacementGuard, Placement),
    /// A scheduler refused it.
    Refused {
        /// Host of the scheduler.
        scheduler: HostId,
        /// Why.
        cause: RefusalCause,
    },
    /// No scheduler replied in time.
    Unanswered,
}

impl PlacementState {
    /// Sends through the peers' socket; `seed` makes this run's tickets differ from the last run's.
    pub fn new(
        socket: Rc<UdpSocket>,
        host: HostId,
        probe_budget: ProbeBudget,
        seed: u64,
    ) -> PlacementState {
        PlacementState {
            socket,
            schedulers: RefCell::new(SchedulerSet::new(host)),
            probe_budget: RefCell::new(probe_budget),
            directory: RefCell::default(),
            pending: RefCell::default(),
            tickets: TicketCounter::new(seed),
            busy_until: RefCell::default(),
            requests_waiting: Notify::new(),
        }
    }

    /// Whether requests for a service had to wait recently. A request that bypasses the scheduler
    /// would overtake them.
    pub fn is_busy(&self, service: &ServiceName, now_ms: Millis) -> bool {
        self.busy_until.borrow().get(service).is_some_and(|&until_ms| now_ms < until_ms)
    }

    fn record_wait(&self, service: &ServiceName, now_ms: Millis) {
        self.busy_until.borrow_mut().insert(service.clone(), now_ms + BUSY_MS);
    }

    /// Records that a peer is up in a new run, so that it is used as a scheduler again.
    pub fn mark_responsive(&self, peer: &HostId) {
        self.directory.borrow_mut().record_response(peer);
    }

    /// Sends a datagram to peers, without a retry: receivers notice by themselves what they missed.
    pub fn send_to_peers(&self, metrics: &Metrics, datagram: &[u8], to: &[SocketAddr]) {
        for &address in to {
            if self.socket.try_send_to(datagram, address).is_ok() {
                metrics.peer_bytes_sent(datagram.len());
            }
        }
    }

    fn deliver(&self, ticket: Ticket, reply: SchedulerReply) {
        // Replies to requests that have ended or were placed otherwise are ignored.
        if let Some(replies) = self.pending.borrow().get(&ticket) {
            let _ = replies.send(reply);
        }
    }
}

/// Submits a request to the scheduler of its cell, and waits for the reply. Goes on to the next host
/// in order as long as schedulers' hosts reach no upstream.
pub async fn place(
    host: &Rc<Host>,
    cell: Cell,
    submission: impl Fn(Ticket, Cell) -> Submission,
) -> PlacementResult {
    for _ in 0..MAX_SCHEDULERS {
        match submit(host, cell.clone(), &submission).await {
            PlacementResult::Refused { scheduler, cause: RefusalCause::CutOff } => {
                let now_ms = host.now_ms();
                host.placement.directory.borrow_mut().record_cut_off(now_ms, &scheduler);
            }
            result => return result,
        }
    }
    PlacementResult::Unanswered
}

async fn submit(
    host: &Rc<Host>,
    cell: Cell,
    submission: impl Fn(Ticket, Cell) -> Submission,
) -> PlacementResult {
    let Some(scheduler) = choose_scheduler(host, &cell) else { return PlacementResult::Unanswered };
    let ticket = host.placement.tickets.draw();
    let (replies, mut received) = mpsc::unbounded_channel();
    host.placement.pending.borrow_mut().insert(ticket, replies);
    let guard = PlacementGuard::new(host, ticket, &scheduler);
    let lends_rate_share =
        host.rate_limiter.borrow_mut().lend(host.now_ms(), &cell, &scheduler.host);
    let submission = Submission { lends_rate_share, ..submission(ticket, cell.clone()) };
    guard.send(PlacementMessage::Submit(submission));
    let mut longest = FIRST_REPLY;
    loop {
        match clock::timeout(longest, received.recv()).await {
            Ok(Some(reply)) => {
                host.placement.directory.borrow_mut().record_response(&scheduler.host);
                match reply {
                    SchedulerReply::Queued => {
                        host.placement.record_wait(&cell.service, host.now_ms());
                        longest = NEXT_REPLY;
                    }
                    SchedulerReply::Placed(placement) => {
                        return PlacementResult::Placed(guard, placement);
                    }
                    SchedulerReply::Refused(cause) => {
                        host.placement.record_wait(&cell.service, host.now_ms());
                        guard.forget();
                        return PlacementResult::Refused { scheduler: scheduler.host, cause };
                    }
                }
            }
            Ok(None) | Err(_) => {
                record_unresponsive(host, &scheduler.host, &cell);
                return PlacementResult::Unanswered;
            }
        }
    }
}

fn choose_scheduler(host: &Host, cell: &Cell) -> Option<Member> {
    let members = host.members();
    let all = members.others().chain(std::iter::once(members.own()));
    let directory = host.placement.directory.borrow();
    directory.choose(host.now_ms(), cell, all).cloned()
}

fn record_unresponsive(host: &Host, scheduler: &HostId, cell: &Cell) {
    let now_ms = host.now_ms();
    let is_passed_over = host.placement.directory.borrow_mut().record_timeout(now_ms, scheduler);
    host.log.write(&LogEvent::SchedulerSilent { scheduler, cell, is_passed_over });
}

/// Handles a peer's message about a placement.
pub fn handle_message(host: &Rc<Host>, message: PlacementMessage, requester: Requester) {
    match message {
        PlacementMessage::Queued { ticket } => {
            host.placement.deliver(ticket, SchedulerReply::Queued)
        }
        PlacementMessage::Placed { ticket, placement } => {
            host.placement.deliver(ticket, SchedulerReply::Placed(placement));
        }
        PlacementMessage::Refused { ticket, cause } => {
            host.placement.deliver(ticket, SchedulerReply::Refused(cause));
        }
        PlacementMessage::Submit(Submission { ticket, cell, .. })
            if links::are_down(host, &cell.service) =>
        {
            let cause = RefusalCause::CutOff;
            send(host, requester, PlacementMessage::Refused { ticket, cause });
        }
        // This host knows only some upstreams and must not schedule; the sender probes instead.
        PlacementMessage::Submit(Submission { ticket, .. }) if host.is_partial() => {
            let cause = RefusalCause::NoUpstream;
            send(host, requester, PlacementMessage::Refused { ticket, cause });
        }
        PlacementMessage::Submit(_)
        | PlacementMessage::Ended { .. }
        | PlacementMessage::Withdrawn { .. } => {
            scheduling::handle_message(host, message, requester)
        }
    }
}

/// Sends a message to a host, or handles it here if it is for this host.
fn send(host: &Rc<Host>, to: Requester, message: PlacementMessage) {
    let address = match to {
        Requester::OwnHost => return handle_message(host, message, Requester::OwnHost),
        Requester::Peer(address) => address,
    };
    // Not retried: a host that waits in vain probes upstreams by itself.
    fleet_message::send(host, &Datagram::Placement(message), &[address]);
}
