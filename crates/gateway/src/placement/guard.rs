//! Guard of a request's placement, or of its submission to a scheduler.

use super::send;
use crate::host::Host;
use dispatch::scheduler::{Outcome, PlacementMessage, Requester, Ticket, Withdrawal};
use domain::HostId;
use published::Member;
use std::rc::Rc;

/// A request that was submitted to a scheduler. Dropping it withdraws the request, and releases its
/// placement.
#[derive(Debug)]
pub struct PlacementGuard {
    host: Rc<Host>,
    ticket: Ticket,
    scheduler: Requester,
    scheduler_host: HostId,
    withdrawal: Withdrawal,
    is_over: bool,
}

impl PlacementGuard {
    pub(super) fn new(host: &Rc<Host>, ticket: Ticket, scheduler: &Member) -> PlacementGuard {
        let is_own = scheduler.host == host.members().own().host;
        PlacementGuard {
            host: Rc::clone(host),
            ticket,
            scheduler: if is_own { Requester::OwnHost } else { Requester::Peer(scheduler.address) },
            scheduler_host: scheduler.host.clone(),
            withdrawal: Withdrawal::NotSent,
            is_over: false,
        }
    }

    /// The number that identifies the request at the scheduler.
    pub fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// The scheduler's host.
    pub fn scheduler(&self) -> &HostId {
        &self.scheduler_host
    }

    /// Whether this host is the scheduler, so that the request's outcome is recorded here already.
    pub fn is_own(&self) -> bool {
        self.scheduler == Requester::OwnHost
    }

    /// Records that the request is sent to the upstream.
    pub fn record_sent(&mut self) {
        self.withdrawal = Withdrawal::Sent;
    }

    /// Records that the upstream can't be reached; sent to the scheduler on drop.
    pub fn record_unreachable(&mut self) {
        self.withdrawal = Withdrawal::Unreachable;
    }

    /// Reports the request's outcome at the upstream.
    pub fn end(mut self, outcome: Outcome) {
        self.is_over = true;
        self.send(PlacementMessage::Ended { ticket: self.ticket, outcome });
    }

    /// Drops the guard without a message: the scheduler no longer knows the request.
    pub(super) fn forget(mut self) {
        self.is_over = true;
    }

    pub(super) fn send(&self, message: PlacementMessage) {
        send(&self.host, self.scheduler, message);
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        self.host.placement.pending.borrow_mut().remove(&self.ticket);
        if !self.is_over {
            self.send(PlacementMessage::Withdrawn {
                ticket: self.ticket,
                withdrawal: self.withdrawal,
            });
        }
    }
}
