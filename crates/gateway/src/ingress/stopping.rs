//! Requests that have arrived in part when the host stops.

use super::Session;
use crate::serve::latest_end_ms;
use clock::Moment;
use dispatch::attempts::{Cause, Refusal};
use domain::Millis;

impl Session {
    /// Until when the rest of a request is waited for, if the stop of the host ends that.
    pub(super) fn stop_ends_wait_at(&self) -> Option<Moment> {
        let schedule = self.host.shutdown.schedule()?;
        let until_ms = match &self.partial {
            Some(partial) => {
                let due_ms = latest_end_ms(&self.host, &partial.head, partial.arrived_ms);
                let send_by_ms = schedule.send_by_ms(due_ms, None);
                (send_by_ms < due_ms).then_some(send_by_ms)?
            }
            None if self.head_started.is_some() => schedule.last_response_ms(),
            None => return None,
        };
        Some(self.moment(until_ms))
    }

    /// The refusal of a request whose rest did not arrive in time.
    pub(super) fn late_refusal(&self) -> Refusal {
        match self.stop_ends_wait_at() {
            Some(until) if until <= Moment::now() => Refusal::stopping(),
            Some(_) | None => Refusal::not_run(Cause::SlowRequest),
        }
    }

    fn moment(&self, point_ms: Millis) -> Moment {
        Moment::now() + self.host.clock.time_until(point_ms)
    }
}
