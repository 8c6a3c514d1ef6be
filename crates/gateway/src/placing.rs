//! Places at upstreams, from the scheduler of a service.
//!
//! Who schedules, and what a scheduler decides, is [`dispatch::scheduler`]'s matter; this module
//! carries the messages, waits for the answer, and asks upstreams for the schedulers of this
//! host. A scheduler that says nothing in time is done without: its requests are placed by
//! asking upstreams ([`crate::ask`]).

mod guard;
mod scheduling;

pub use guard::PlacementGuard;
pub use scheduling::{note_order, run, turn};

use crate::event_log::LogEvent;
use crate::fleet_message;
use crate::host::Host;
use crate::metrics::Metrics;
use crate::peers::codec::Datagram;
use dispatch::budget::ProbeBudget;
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

/// Longest wait for a scheduler's first reply: it tells after 10 ms who waits, and the way there
/// and back and a slow machine take some milliseconds more.
const FIRST_REPLY: Duration = Duration::from_millis(25);

/// Longest wait for its next one, told every 10 ms: four may be lost.
const NEXT_REPLY: Duration = Duration::from_millis(50);

/// How long a service counts as busy after one of its requests had to wait for its place: some
/// requests of a host.
const BUSY_MS: Millis = Millis(300);

/// A run's first ticket is below this. Small numbers are short messages; a scheduler remembers
/// those of a former run for some seconds, which rarely lie in its way.
const FIRST_TICKETS: u64 = 1 << 20;

/// This host's part in scheduling, for others and for itself.
#[derive(Debug)]
pub struct Placing {
    socket: Rc<UdpSocket>,
    /// What this host schedules.
    pub schedulers: RefCell<SchedulerSet>,
    /// Health checks that its schedulers may spend.
    pub asks: RefCell<ProbeBudget>,
    directory: RefCell<Directory>,
    awaited: RefCell<FastMap<Ticket, mpsc::UnboundedSender<SchedulerReply>>>,
    next_ticket: std::cell::Cell<u64>,
    /// Services whose requests wait for places, until it is looked again.
    busy_until: RefCell<FastMap<ServiceName, Millis>>,
    /// Woken when requests wait for a place.
    is_waiting: Notify,
}

/// What a scheduler says of a request.
#[derive(Debug)]
enum SchedulerReply {
    Queued,
    Placed(Placement),
    Refused(RefusalCause),
}

/// What came of submitting a request.
#[derive(Debug)]
pub enum PlacementResult {
    /// It has a place.
    Placed(PlacementGuard, Placement),
    /// It gets none.
    Refused(RefusalCause),
    /// Nobody said anything in time.
    Unanswered,
}

impl Placing {
    /// Speaks through the peers' socket; `seed` sets this run's tickets apart from those of the last.
    pub fn new(socket: Rc<UdpSocket>, host: HostId, asks: ProbeBudget, seed: u64) -> Placing {
        Placing {
            socket,
            schedulers: RefCell::new(SchedulerSet::new(host)),
            asks: RefCell::new(asks),
            directory: RefCell::default(),
            awaited: RefCell::default(),
            next_ticket: std::cell::Cell::new(seed % FIRST_TICKETS),
            busy_until: RefCell::default(),
            is_waiting: Notify::new(),
        }
    }

    /// Whether requests for a service waited for their places just now: who sends without
    /// asking the scheduler would go before them.
    pub fn is_busy(&self, service: &ServiceName, now_ms: Millis) -> bool {
        self.busy_until.borrow().get(service).is_some_and(|&until_ms| now_ms < until_ms)
    }

    fn note_wait(&self, service: &ServiceName, now_ms: Millis) {
        self.busy_until.borrow_mut().insert(service.clone(), now_ms + BUSY_MS);
    }

    /// A peer is there in a new run.
    pub fn forget_silence(&self, peer: &HostId) {
        self.directory.borrow_mut().record_response(peer);
    }

    /// Sends a datagram to peers. Lost is lost: whoever needs to know finds it missing.
    pub fn send_to_peers(&self, metrics: &Metrics, datagram: &[u8], to: &[SocketAddr]) {
        for &address in to {
            if self.socket.try_send_to(datagram, address).is_ok() {
                metrics.peer_bytes_sent(datagram.len());
            }
        }
    }

    fn draw_ticket(&self) -> Ticket {
        let number = self.next_ticket.get();
        self.next_ticket.set(number.wrapping_add(1));
        Ticket(number)
    }

    fn deliver(&self, ticket: Ticket, reply: SchedulerReply) {
        // A reply on a request that is over or was placed otherwise is of no use.
        if let Some(awaited) = self.awaited.borrow().get(&ticket) {
            let _ = awaited.send(reply);
        }
    }
}

/// Submits a request to the scheduler of its cell, and waits for its reply.
pub async fn place(
    host: &Rc<Host>,
    cell: Cell,
    submission: impl FnOnce(Ticket, Cell) -> Submission,
) -> PlacementResult {
    let Some(scheduler) = choose_scheduler(host, &cell) else { return PlacementResult::Unanswered };
    let ticket = host.placing.draw_ticket();
    let (replies, mut received) = mpsc::unbounded_channel();
    host.placing.awaited.borrow_mut().insert(ticket, replies);
    let held = PlacementGuard::new(host, ticket, &scheduler);
    let lends_rate_share =
        host.rate_limiter.borrow_mut().lend(host.now_ms(), &cell, &scheduler.host);
    let submission = Submission { lends_rate_share, ..submission(ticket, cell.clone()) };
    held.tell(PlacementMessage::Submit(submission));
    let mut longest = FIRST_REPLY;
    loop {
        match clock::timeout(longest, received.recv()).await {
            Ok(Some(reply)) => {
                host.placing.directory.borrow_mut().record_response(&scheduler.host);
                match reply {
                    SchedulerReply::Queued => {
                        host.placing.note_wait(&cell.service, host.now_ms());
                        longest = NEXT_REPLY;
                    }
                    SchedulerReply::Placed(placement) => {
                        return PlacementResult::Placed(held, placement);
                    }
                    SchedulerReply::Refused(cause) => {
                        host.placing.note_wait(&cell.service, host.now_ms());
                        held.forget();
                        return PlacementResult::Refused(cause);
                    }
                }
            }
            Ok(None) | Err(_) => {
                note_silent(host, &scheduler.host, &cell);
                return PlacementResult::Unanswered;
            }
        }
    }
}

fn choose_scheduler(host: &Host, cell: &Cell) -> Option<Member> {
    let members = host.members();
    let all = members.others().chain(std::iter::once(members.own()));
    let directory = host.placing.directory.borrow();
    directory.choose(host.now_ms(), cell, all).cloned()
}

fn note_silent(host: &Host, scheduler: &HostId, cell: &Cell) {
    let now_ms = host.now_ms();
    let is_passed_over = host.placing.directory.borrow_mut().record_timeout(now_ms, scheduler);
    host.log.write(&LogEvent::SchedulerSilent { scheduler, cell, is_passed_over });
}

/// Takes a peer's message on a place.
pub fn take(host: &Rc<Host>, message: PlacementMessage, requester: Requester) {
    match message {
        PlacementMessage::Queued { ticket } => host.placing.deliver(ticket, SchedulerReply::Queued),
        PlacementMessage::Placed { ticket, placement } => {
            host.placing.deliver(ticket, SchedulerReply::Placed(placement));
        }
        PlacementMessage::Refused { ticket, cause } => {
            host.placing.deliver(ticket, SchedulerReply::Refused(cause));
        }
        // Its few upstreams would be taken for all; the asker asks by itself.
        PlacementMessage::Submit(Submission { ticket, .. }) if host.is_partial() => {
            let cause = RefusalCause::NoUpstream;
            tell(host, requester, PlacementMessage::Refused { ticket, cause });
        }
        PlacementMessage::Submit(_)
        | PlacementMessage::Ended { .. }
        | PlacementMessage::Withdrawn { .. } => scheduling::take(host, message, requester),
    }
}

/// Tells a host.
fn tell(host: &Rc<Host>, to: Requester, message: PlacementMessage) {
    let address = match to {
        Requester::OwnHost => return take(host, message, Requester::OwnHost),
        Requester::Peer(address) => address,
    };
    // Lost is lost: whoever waits in vain asks upstreams by itself.
    fleet_message::send(host, &Datagram::Placement(message), &[address]);
}
