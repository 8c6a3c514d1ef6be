//! The planned stop of the process.
//!
//! A stop is graceful: readiness fails first, and requests are accepted until the platform had
//! time to notice. Then idle connections are closed, and the process ends when no request is
//! open, or just before it would be killed.

use crate::event_log::LogEvent;
use crate::host::Host;
use crate::peers::Peers;
use crate::serve::RequestProgress;
use dispatch::ShutdownSchedule;
use domain::Millis;
use published::Gossip;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Time between two checks whether a stop can be completed.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How far the stop of this process is.
#[derive(Debug)]
pub struct Shutdown {
    schedule: watch::Sender<Option<ShutdownSchedule>>,
    closing_idle: watch::Sender<bool>,
    has_ended: Cell<bool>,
}

impl Default for Shutdown {
    fn default() -> Shutdown {
        Shutdown {
            schedule: watch::Sender::new(None),
            closing_idle: watch::Sender::new(false),
            has_ended: Cell::new(false),
        }
    }
}

impl Shutdown {
    /// Begins the stop.
    pub fn begin(&self, schedule: ShutdownSchedule) {
        self.schedule.send_replace(Some(schedule));
    }

    /// Has callers' connections closed as soon as they are idle, and new ones refused.
    pub fn close_idle(&self) {
        self.closing_idle.send_replace(true);
    }

    /// The schedule of the stop, if it has begun.
    pub fn schedule(&self) -> Option<ShutdownSchedule> {
        *self.schedule.borrow()
    }

    /// Changes once the stop begins.
    pub fn subscribe(&self) -> watch::Receiver<Option<ShutdownSchedule>> {
        self.schedule.subscribe()
    }

    /// Whether the stop has begun.
    pub fn has_begun(&self) -> bool {
        self.schedule.borrow().is_some()
    }

    /// Changes once idle connections are to be closed.
    pub fn closing_idle(&self) -> watch::Receiver<bool> {
        self.closing_idle.subscribe()
    }

    /// Whether the process no longer serves anything.
    pub fn has_ended(&self) -> bool {
        self.has_ended.get()
    }
}

/// Stops the process gracefully; returns when it may end.
pub(crate) async fn stop(host: &Rc<Host>, peers: &Rc<Peers>) {
    let time_to_kill_ms = host.settings.borrow().limits.stop_ms;
    let schedule = ShutdownSchedule::begin(host.now_ms(), time_to_kill_ms);
    let open_requests = host.open_requests.get();
    host.log.write(&LogEvent::Stopping { open_requests });
    host.log.write(&LogEvent::Ready { is_ready: false, reason: "stopping" });
    host.shutdown.begin(schedule);
    peers.run_gossip(Gossip::leave);
    host.placement.schedulers.borrow_mut().stop_accepting();
    host.clock.sleep_until(schedule.closes_idle_ms).await;
    host.shutdown.close_idle();
    while is_busy(host) && host.now_ms() < schedule.ends_ms {
        clock::sleep(CHECK_INTERVAL).await;
    }
    // There is no await from here on, so no request can be read that would get no response.
    host.shutdown.has_ended.set(true);
    host.log.write(&LogEvent::Stopped { open_requests: host.open_requests.get() });
    host.log.flush();
}

fn is_busy(host: &Host) -> bool {
    let open = [&host.open_requests, &host.open_caller_connections, &host.open_tunnels];
    open.into_iter().any(|open| open.get() > 0)
}

/// Logs a request that gets no final response as the process has ended.
pub(crate) fn log_cut(host: &Host, id: &str, arrived_ms: Millis, progress: &RequestProgress) {
    let now_ms = host.now_ms();
    let begun_ms = host.shutdown.schedule().map_or(now_ms, |schedule| schedule.begun_ms);
    host.log.write(&LogEvent::CutByStop {
        id,
        after_ms: now_ms.since(arrived_ms),
        sendings: progress.attempts.get(),
        sent_before_ms: progress.sent_ms.get().map(|sent_ms| now_ms.since(sent_ms)),
        stopping_for_ms: now_ms.since(begun_ms),
    });
}
