//! Serializes responses to callers.

use crate::host::Host;
use crate::http1::{Framing, HopByHop, ResponseHead, ResponseWriter};
use crate::serve::{Reply, Request};
use dispatch::attempts::{Cause, Refusal};
use rand::RngExt;

/// Largest share by which `retry-after` is extended at random, so that refused callers spread out.
const RETRY_JITTER: f64 = 1.0;

/// Returns the bytes of a response or refusal.
pub(super) fn render(host: &Host, request: &Request, reply: &Reply, should_close: bool) -> Vec<u8> {
    match reply {
        Reply::Refused(refusal) => render_refusal(host, Some(request), *refusal, should_close),
        Reply::Response(response) => {
            let status = response.head.status;
            let fields = &response.head.fields;
            let writer = forwarded_head(&response.head);
            match request.head.method == "HEAD" {
                true => writer.no_body(fields.all("content-length").next(), should_close),
                false => writer.body(status, &response.body, should_close),
            }
        }
    }
}

/// Returns the head of a response whose body is passed on in pieces.
pub(super) fn render_streamed_head(
    head: &ResponseHead,
    framing: Framing,
    should_close: bool,
) -> Vec<u8> {
    forwarded_head(head).streamed(framing, should_close)
}

fn forwarded_head(head: &ResponseHead) -> ResponseWriter {
    let fields = &head.fields;
    let hop_by_hop = HopByHop::of(fields);
    let forwarded = fields.iter().filter(|(name, _)| !hop_by_hop.contains(name));
    forwarded
        .fold(ResponseWriter::new(head.status), |writer, (name, value)| writer.field(name, value))
}

/// Returns the bytes of a refusal; `request` is none if the request could not be read.
pub(super) fn render_refusal(
    host: &Host,
    request: Option<&Request>,
    refusal: Refusal,
    should_close: bool,
) -> Vec<u8> {
    let status = refusal.cause.status();
    let mut writer =
        ResponseWriter::new(status).field(host.dialect.cause, refusal.cause.as_str().as_bytes());
    let id = request.and_then(|request| request.head.fields.get(host.dialect.request_id));
    if let Some(id) = id {
        writer = writer.field(host.dialect.request_id, id.as_bytes());
    }
    if refusal.cause == Cause::UnknownKey {
        writer = writer.field("www-authenticate", host.dialect.key_scheme.as_bytes());
    }
    if let Some(after_ms) = refusal.retry_after_ms {
        let jitter = match refusal.rejection_state {
            // Drawn at random already, within the time that the caller has left.
            Some(_) => 1.0,
            None => 1.0 + RETRY_JITTER * host.rng.borrow_mut().random::<f64>(),
        };
        let seconds = format!("{:.3}", after_ms.as_f64() * jitter / 1000.0);
        writer = writer.field("retry-after", seconds.as_bytes());
    }
    match request.is_some_and(|request| request.head.method == "HEAD") {
        true => writer.no_body(None, should_close),
        false => writer.body(status, b"", should_close),
    }
}
