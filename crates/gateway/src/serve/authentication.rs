//! Identifies the organisation that sent a request, and keeps its key from upstreams.
//!
//! What a host answers to a key that it doesn't know depends on how fresh its knowledge is. A
//! caller doesn't retry after 401, so a host that may have missed a new key answers 503 instead.

use crate::dialect::Dialect;
use crate::host::Host;
use crate::http1::RequestHead;
use dispatch::attempts::{Cause, Refusal};
use domain::Millis;
use published::{Organisation, Route, RouteTable};
use std::sync::Arc;

/// Header with an organisation's key.
const AUTHORIZATION: &str = "authorization";

/// Age of the published state up to which an unknown key is refused for good: twice the interval at
/// which a host in touch has its state confirmed.
const FRESH_STATE_MS: Millis = Millis(1_500);

/// Returns the organisation that holds the request's key; none if the route needs no key and the
/// request has no known one.
pub(super) fn authenticate(
    host: &Host,
    table: &RouteTable,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<Arc<Organisation>>, Refusal> {
    if !table.has_keys() {
        return Ok(None);
    }
    let key = sent_key(head, host.dialect.key_scheme);
    let organisation = key.and_then(|key| table.organisation_of(key)).cloned();
    let is_fresh = || host.state_age_ms().is_some_and(|age_ms| age_ms <= FRESH_STATE_MS);
    match organisation {
        Some(organisation) => Ok(Some(organisation)),
        None if !table.requires_key(route) => Ok(None),
        None if is_fresh() => Err(Refusal::not_run(Cause::UnknownKey)),
        None => Err(Refusal::not_run(Cause::KeyUnconfirmed)),
    }
}

/// The key that a request carries; none if it carries several, as they may differ.
fn sent_key<'h>(head: &'h RequestHead, scheme: &str) -> Option<&'h [u8]> {
    let mut values = head.fields.all(AUTHORIZATION);
    let value = values.next()?;
    match values.next() {
        None => key_in(value, scheme),
        Some(_) => None,
    }
}

/// The key in a value of the form `SCHEME KEY`.
fn key_in<'v>(value: &'v [u8], scheme: &str) -> Option<&'v [u8]> {
    let value = value.trim_ascii();
    let (sent_scheme, rest) = value.split_at_checked(scheme.len())?;
    let is_separated = rest.first().is_some_and(u8::is_ascii_whitespace);
    let has_scheme = sent_scheme.eq_ignore_ascii_case(scheme.as_bytes()) && is_separated;
    has_scheme.then(|| rest.trim_ascii())
}

/// Whether a header isn't forwarded: an organisation that the caller names itself, and a key, however
/// it is written.
pub(super) fn is_withheld(table: &RouteTable, dialect: &Dialect, name: &str, value: &[u8]) -> bool {
    if name.eq_ignore_ascii_case(dialect.organisation) {
        return true;
    }
    let is_key = |value: &[u8]| {
        key_in(value, dialect.key_scheme).is_some()
            || value
                .split(|byte| byte.is_ascii_whitespace() || *byte == b',')
                .any(|part| table.organisation_of(part).is_some())
    };
    table.has_keys() && name.eq_ignore_ascii_case(AUTHORIZATION) && is_key(value)
}
