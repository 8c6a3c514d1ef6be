//! Answers as bytes.

use crate::host::Host;
use crate::http1::{ResponseWriter, is_hop_by_hop};
use crate::serve::{Reply, Request};
use dispatch::attempts::Refusal;
use rand::RngExt;

/// Part by which the time to come back is jittered, so that refused callers spread.
const RETRY_JITTER: f64 = 1.0;

/// An answer's bytes.
pub(super) fn render(host: &Host, request: &Request, reply: &Reply, closes: bool) -> Vec<u8> {
    match reply {
        Reply::Refused(refusal) => render_refusal(host, Some(request), *refusal, closes),
        Reply::Response(answer) => {
            let status = answer.head.status;
            let fields = &answer.head.fields;
            let mut writer = ResponseWriter::new(status);
            for (name, value) in fields.iter().filter(|(name, _)| !is_hop_by_hop(name, fields)) {
                writer = writer.field(name, value);
            }
            match request.head.method == "HEAD" {
                true => writer.no_body(fields.all("content-length").next(), closes),
                false => writer.body(status, &answer.body, closes),
            }
        }
    }
}

/// Bytes of a final answer of the host's own; of no request if it could not be read.
pub(super) fn render_refusal(
    host: &Host,
    request: Option<&Request>,
    refusal: Refusal,
    closes: bool,
) -> Vec<u8> {
    let status = refusal.cause.status();
    let mut writer =
        ResponseWriter::new(status).field(host.dialect.cause, refusal.cause.as_str().as_bytes());
    let id = request.and_then(|request| request.head.fields.get(host.dialect.request_id));
    if let Some(id) = id {
        writer = writer.field(host.dialect.request_id, id.as_bytes());
    }
    if let Some(after_ms) = refusal.retry_after_ms {
        let jitter = 1.0 + RETRY_JITTER * host.rng.borrow_mut().random::<f64>();
        let seconds = format!("{:.3}", after_ms.as_f64() * jitter / 1000.0);
        writer = writer.field("retry-after", seconds.as_bytes());
    }
    match request.is_some_and(|request| request.head.method == "HEAD") {
        true => writer.no_body(None, closes),
        false => writer.body(status, b"", closes),
    }
}
