//! Runs this host's schedulers, for its own requests and for those of other hosts.

use super::send;
use crate::event_log::LogEvent;
use crate::host::Host;
use crate::probe;
use dispatch::UpstreamSet;
use dispatch::scheduler::{Cell, Directory, Effect, PlacementMessage, Requester, SchedulerSet};
use domain::{Millis, ServiceName};
use rand_pcg::Pcg64Mcg;
use std::rc::Rc;

/// Handles a host's message to a scheduler.
pub(super) fn handle_message(host: &Rc<Host>, message: PlacementMessage, requester: Requester) {
    decide_and_apply(host, |schedulers, now_ms, upstreams, rng| {
        schedulers.handle_message(now_ms, message, requester, upstreams, rng)
    });
}

/// Decides again on all waiting requests, after new information or as time has passed.
pub fn reschedule(host: &Rc<Host>) {
    decide_and_apply(host, SchedulerSet::schedule);
}

/// Refuses all requests for a service that wait, so that their hosts submit them elsewhere.
pub fn hand_over(host: &Rc<Host>, service: &ServiceName) {
    let effects = host.placement.schedulers.borrow_mut().hand_over(service);
    carry_out(host, effects);
}

/// Updates for which cells this host is the primary scheduler.
pub fn update_primary_cells(host: &Host) {
    let members = host.members();
    let is_primary = |cell: &Cell| {
        let all = members.others().chain(std::iter::once(members.own()));
        Directory::primary(cell, all).is_some_and(|first| first.host == members.own().host)
    };
    host.placement.schedulers.borrow_mut().set_primary(is_primary);
}

/// Has the schedulers decide, and carries out the effects.
fn decide_and_apply(
    host: &Rc<Host>,
    decide: impl FnOnce(&mut SchedulerSet, Millis, &mut UpstreamSet, &mut Pcg64Mcg) -> Vec<Effect>,
) {
    host.placement.schedulers.borrow_mut().set_fleet(host.fleet_sharing_rates());
    let effects = decide(
        &mut host.placement.schedulers.borrow_mut(),
        host.now_ms(),
        &mut host.upstreams.borrow_mut(),
        &mut host.rng.borrow_mut(),
    );
    if host.placement.schedulers.borrow().has_unknown_primary() {
        update_primary_cells(host);
    }
    carry_out(host, effects);
}

/// Reschedules waiting requests whenever it is due; never returns.
pub async fn run(host: Rc<Host>) {
    loop {
        let next_ms = host.placement.schedulers.borrow().next_schedule_ms(host.now_ms());
        match next_ms {
            Some(next_ms) => {
                host.clock.sleep_until(next_ms).await;
                reschedule(&host);
            }
            None => host.placement.requests_waiting.notified().await,
        }
    }
}

fn carry_out(host: &Rc<Host>, effects: Vec<Effect>) {
    for effect in effects {
        match effect {
            Effect::Send { to, message } => send(host, to, message),
            Effect::LogUnreachable { requester, upstream } => {
                let requester = match requester {
                    Requester::OwnHost => None,
                    Requester::Peer(address) => Some(address.to_string()),
                };
                host.log.write(&LogEvent::PlacedUnreachable { upstream: &upstream, requester });
            }
            Effect::Probe(upstream) => {
                let host = Rc::clone(host);
                tokio::task::spawn_local(async move {
                    if probe::refresh(&host, &upstream).await {
                        reschedule(&host);
                    }
                });
            }
        }
    }
    if host.placement.schedulers.borrow().waiting_count() > 0 {
        host.placement.requests_waiting.notify_one();
    }
}
