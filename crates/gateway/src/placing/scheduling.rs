//! What this host schedules for others and for itself.

use super::tell;
use crate::ask;
use crate::host::Host;
use dispatch::UpstreamSet;
use dispatch::scheduler::{Cell, Directory, Effect, PlacementMessage, Requester, SchedulerSet};
use domain::Millis;
use rand_pcg::Pcg64Mcg;
use std::rc::Rc;

/// Takes a host's message to a scheduler.
pub(super) fn take(host: &Rc<Host>, message: PlacementMessage, requester: Requester) {
    act(host, |schedulers, now_ms, upstreams, rng| {
        schedulers.handle_message(now_ms, message, requester, upstreams, rng)
    });
}

/// Looks again at all that waits: something was learned, or time has passed.
pub fn turn(host: &Rc<Host>) {
    act(host, SchedulerSet::schedule);
}

/// Looks for which cells no other host comes before this one.
pub fn note_order(host: &Host) {
    let members = host.members();
    let is_primary = |cell: &Cell| {
        let all = members.others().chain(std::iter::once(members.own()));
        Directory::primary(cell, all).is_some_and(|first| first.host == members.own().host)
    };
    host.placing.schedulers.borrow_mut().set_primary(is_primary);
}

/// Has the schedulers decide, and carries out what they decided.
fn act(
    host: &Rc<Host>,
    decide: impl FnOnce(&mut SchedulerSet, Millis, &mut UpstreamSet, &mut Pcg64Mcg) -> Vec<Effect>,
) {
    host.placing.schedulers.borrow_mut().set_fleet(host.rate_fleet());
    let effects = decide(
        &mut host.placing.schedulers.borrow_mut(),
        host.now_ms(),
        &mut host.upstreams.borrow_mut(),
        &mut host.rng.borrow_mut(),
    );
    if host.placing.schedulers.borrow().has_unknown_primary() {
        note_order(host);
    }
    carry_out(host, effects);
}

/// Looks at what waits as often as it has to be; never ends.
pub async fn run(host: Rc<Host>) {
    loop {
        let next_ms = host.placing.schedulers.borrow().next_schedule_ms(host.now_ms());
        match next_ms {
            Some(next_ms) => {
                host.clock.sleep_until(next_ms).await;
                turn(&host);
            }
            None => host.placing.is_waiting.notified().await,
        }
    }
}

fn carry_out(host: &Rc<Host>, effects: Vec<Effect>) {
    for effect in effects {
        match effect {
            Effect::Send { to, message } => tell(host, to, message),
            Effect::Probe(upstream) => {
                let host = Rc::clone(host);
                tokio::task::spawn_local(async move {
                    if ask::refresh(&host, &upstream).await {
                        turn(&host);
                    }
                });
            }
        }
    }
    if host.placing.schedulers.borrow().waiting_count() > 0 {
        host.placing.is_waiting.notify_one();
    }
}
