//! Logs headers of upstreams' responses that nothing reads, or that can't be parsed.

use super::Host;
use crate::event_log::{LogEvent, ResponseTo};
use crate::http1::HeadFields;
use crate::unread_headers::UnreadHeader;
use domain::UpstreamId;

impl Host {
    /// Logs the headers of an upstream's response that nothing reads.
    pub fn log_unread_headers(&self, upstream: &UpstreamId, fields: &HeadFields, on: ResponseTo) {
        let mut unread = self.unread_headers.borrow_mut();
        for header in unread.headers_to_log(self.now_ms(), upstream, fields, &self.dialect) {
            let (mark, value) = (&header.name, &header.value);
            self.log.write(&LogEvent::MarkUnread { upstream, on, mark, value });
        }
    }

    /// Logs a header of an upstream's response whose value is malformed. The header is ignored,
    /// and the last good value stays in force.
    pub fn log_malformed_header(&self, upstream: &UpstreamId, name: &str, value: &[u8]) {
        let header = UnreadHeader::new(name, value);
        if self.malformed_headers.borrow_mut().should_log(self.now_ms(), upstream, &header) {
            let (mark, value) = (&header.name, &header.value);
            self.log.write(&LogEvent::AnswerUnreadable { upstream, mark, value });
        }
    }
}
