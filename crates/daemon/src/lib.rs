//! The process of an entry host: IO around the decision core.
//!
//! Nothing is decided here. Whatever happens outside (requests, answers, peer messages,
//! readings, signals, the passing of time) becomes an event of the core, and the core's
//! actions are carried out by these parts:
//!
//! - [`driver`]: owns the core, hands it events one by one and spreads its actions
//! - [`calls`]: the callers' listener
//! - [`attempts`]: sends requests to upstreams; usable without the core
//! - [`peers`]: messages between entry hosts
//! - [`platform`]: reads the configuration service and the host list
//! - [`probes`]: asks upstreams for their health
//! - [`operator`]: the operators' listener
//!
//! The library exists for the tests; the product is the program `jujubedeald`.

pub mod answer;
pub mod attempts;
pub mod calls;
pub mod connection_share;
pub mod connections;
pub mod driver;
pub mod edge;
pub mod error;
pub mod headers;
pub mod listen;
pub mod metrics;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod probes;
pub mod request;
pub mod run;
pub mod send_gate;
pub mod settings;
