//! A place that a request wants or has, until it is given back.

use super::tell;
use crate::host::Host;
use dispatch::scheduler::{Outcome, PlacementMessage, Requester, Ticket, Withdrawal};
use domain::HostId;
use published::Member;
use std::rc::Rc;

/// A request's standing at its scheduler. Dropped, the place is given back unused.
#[derive(Debug)]
pub struct PlacementGuard {
    host: Rc<Host>,
    ticket: Ticket,
    scheduler: Requester,
    name: HostId,
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
            name: scheduler.host.clone(),
            withdrawal: Withdrawal::NotSent,
            is_over: false,
        }
    }

    /// Its name at the scheduler.
    pub fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// The host that gave it.
    pub fn scheduler(&self) -> &HostId {
        &self.name
    }

    /// Whether this host gave it, so that what it learns of the request is known here already.
    pub fn is_own(&self) -> bool {
        self.scheduler == Requester::OwnHost
    }

    /// The request leaves for the upstream.
    pub fn note_sent(&mut self) {
        self.withdrawal = Withdrawal::Sent;
    }

    /// The upstream can't be reached; the place is given back as it is dropped.
    pub fn note_unreachable(&mut self) {
        self.withdrawal = Withdrawal::Unreachable;
    }

    /// The request came to its end at the upstream.
    pub fn end(mut self, outcome: Outcome) {
        self.is_over = true;
        self.tell(PlacementMessage::Ended { ticket: self.ticket, outcome });
    }

    /// The scheduler has forgotten it.
    pub(super) fn forget(mut self) {
        self.is_over = true;
    }

    pub(super) fn tell(&self, message: PlacementMessage) {
        tell(&self.host, self.scheduler, message);
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        self.host.placing.awaited.borrow_mut().remove(&self.ticket);
        if !self.is_over {
            self.tell(PlacementMessage::Withdrawn {
                ticket: self.ticket,
                withdrawal: self.withdrawal,
            });
        }
    }
}
