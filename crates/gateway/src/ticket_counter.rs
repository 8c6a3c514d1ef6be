//! Numbers of this host's questions to other hosts.

use dispatch::scheduler::Ticket;
use std::cell::Cell;

/// A run's first ticket is below this. Small numbers keep messages short; tickets rarely collide
/// with those of an earlier run, which a scheduler remembers for some seconds.
const FIRST_TICKETS: u64 = 1 << 20;

/// Draws tickets in turn.
#[derive(Debug)]
pub struct TicketCounter {
    next: Cell<u64>,
}

impl TicketCounter {
    /// Starts at a ticket that depends on `seed`, so that this run's differ from the last run's.
    pub fn new(seed: u64) -> TicketCounter {
        TicketCounter { next: Cell::new(seed % FIRST_TICKETS) }
    }

    /// The next ticket.
    pub fn draw(&self) -> Ticket {
        let number = self.next.get();
        self.next.set(number.wrapping_add(1));
        Ticket(number)
    }
}
