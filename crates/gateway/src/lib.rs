//! The entry host's process where upstreams register themselves and no list of hosts is
//! published.
//!
//! The IO shell around two pure crates: [`published`] (what is believed, who reads it) and
//! [`dispatch`] (where requests go, what may be repeated). One thread runs everything, so
//! state is shared without locks.
//!
//! - [`http1`]: the framing of requests and answers, around the `httparse` library
//! - [`ingress`]: callers' connections; [`serve`]: one request from arrival to answer
//! - [`placement`]: places at upstreams, from whoever schedules a service
//! - [`connection`], [`pool`], [`probe`]: upstreams' connections, and asking before sending
//! - [`quarantine`]: requests that crash upstreams, seen and told
//! - [`source_reader`], [`peers`], [`fleet_message`]: what is published, from the source or from peers, and
//!   what else hosts tell each other
//! - [`backpressure`]: what upstreams say of the load that they bear, read and told
//! - [`unread_headers`]: what upstreams say that nothing reads
//! - [`event_log`], [`metrics`], [`operator`]: what it tells operators
//! - [`run`]: start, reload, stop
//!
//! Whoever embeds it hands over a [`source::Source`] and a [`dialect::Dialect`].

pub mod backpressure;
pub mod connection;
pub mod dialect;
pub mod event_log;
pub mod fleet_message;
pub mod host;
pub mod http1;
pub mod ingress;
pub mod metrics;
pub mod operator;
pub mod peers;
pub mod placement;
pub mod pool;
pub mod probe;
pub mod quarantine;
pub mod run;
pub mod serve;
pub mod settings;
pub mod source;
pub mod source_reader;
pub mod unread_headers;
