//! A retry that is reserved in the retry budget until it is sent.

use crate::host::Host;
use domain::ServiceName;
use std::rc::Rc;

/// A reserved retry. Returned to the budget if it is dropped before it is sent.
#[derive(Debug)]
pub(super) struct RetryPermit {
    host: Rc<Host>,
    service: ServiceName,
    is_sent: bool,
}

impl RetryPermit {
    /// Reserves a retry, if one is left.
    pub(super) fn reserve(host: &Rc<Host>, service: &ServiceName) -> Option<RetryPermit> {
        let is_reserved = host.retry_budget().try_reserve(host.now_ms(), service);
        is_reserved.then(|| RetryPermit {
            host: Rc::clone(host),
            service: service.clone(),
            is_sent: false,
        })
    }

    /// Records that the retry is sent.
    pub(super) fn record_sent(mut self) {
        self.is_sent = true;
        self.host.retry_budget().record_sent(self.host.now_ms(), &self.service);
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.is_sent {
            self.host.retry_budget().release(self.host.now_ms(), &self.service);
        }
    }
}
