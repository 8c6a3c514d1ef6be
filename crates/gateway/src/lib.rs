//! The process of a host, for systems in which upstreams register themselves and no list of hosts
//! is published.
//!
//! It does the IO for two pure crates: [`published`] (the published state and how it spreads) and
//! [`dispatch`] (which upstream gets a request, and what may be retried). One thread runs
//! everything, so state is shared without locks.
//!
//! - [`http1`]: the framing of requests and responses, with the `httparse` library
//! - [`ingress`]: callers' connections; [`serve`]: one request from arrival to response
//! - [`placement`]: placements of requests at upstreams, by the scheduler of a service
//! - [`memory`]: the memory that is held for callers and upstreams; [`long_routes`]
//! - [`request_body`]: bodies of requests, collected whole or passed on while they arrive
//! - [`connection`], [`pool`], [`probe`]: connections to upstreams, and probes before sending
//! - [`links`], [`tunnel`]: whether this host reaches upstreams, and connections through peers that do
//! - [`quarantine`]: detects requests that crash upstreams, and informs the other hosts
//! - [`source_reader`], [`peers`], [`fleet_message`]: the published state, read from the source or
//!   received from peers, and other messages between hosts
//! - [`backpressure`]: upstreams' rate limits and backoffs, read from responses and from peers
//! - [`unread_headers`]: headers of upstreams' responses that nothing reads
//! - [`event_log`], [`metrics`], [`operator`]: logs, metrics and the state dump, for operators
//! - [`run`], [`shutdown`]: start and reload, and stop
//!
//! A program that embeds it provides a [`source::Source`] and a [`dialect::Dialect`].

pub mod backpressure;
pub mod connection;
pub mod dialect;
pub mod event_log;
pub mod fleet_message;
pub mod host;
pub mod http1;
pub mod ingress;
pub mod links;
pub mod long_routes;
pub mod memory;
pub mod metrics;
pub mod operator;
pub mod peers;
pub mod placement;
pub mod pool;
pub mod probe;
pub mod quarantine;
pub mod quota;
pub mod request_body;
pub mod run;
pub mod serve;
pub mod settings;
pub mod shutdown;
pub mod source;
pub mod source_reader;
pub mod ticket_counter;
pub mod tunnel;
pub mod unread_headers;
