//! What operators are told of upstreams' answers.

use super::Host;
use crate::event_log::{LogEvent, ResponseTo};
use crate::http1::HeadFields;
use crate::unread_headers::UnreadHeader;
use domain::UpstreamId;

impl Host {
    /// Tells operators what an upstream's answer says that nothing here reads.
    pub fn log_unread_headers(&self, upstream: &UpstreamId, fields: &HeadFields, on: ResponseTo) {
        let mut unread = self.unread_headers.borrow_mut();
        for mark in unread.headers_to_log(self.now_ms(), upstream, fields, &self.dialect) {
            let (mark, value) = (&mark.name, &mark.value);
            self.log.write(&LogEvent::MarkUnread { upstream, on, mark, value });
        }
    }

    /// Tells operators of a mark on an upstream's answer whose value makes no sense: it is left out, and
    /// what was known holds on.
    pub fn log_malformed_header(&self, upstream: &UpstreamId, name: &str, value: &[u8]) {
        let mark = UnreadHeader::new(name, value);
        if self.malformed_headers.borrow_mut().should_log(self.now_ms(), upstream, &mark) {
            let (mark, value) = (&mark.name, &mark.value);
            self.log.write(&LogEvent::AnswerUnreadable { upstream, mark, value });
        }
    }
}
