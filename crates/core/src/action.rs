//! What an entry host wants done.
//!
//! Whoever drives the core carries these out in order. None is ever needed for the
//! core's own consistency: an action that fails comes back as an event.

use crate::event::ConfigKey;
use crate::message::PeerMessage;
use crate::refusal::Refusal;
use domain::{
    AttemptId, CallId, Connections, HostId, Millis, ProbeId, ServiceName, UpstreamId, Version,
};
use serde::Serialize;
use std::net::SocketAddr;

/// Something to be done outside the core.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Action {
    /// Send a call to an upstream.
    Send(Attempt),
    /// Stop an attempt; [`crate::AttemptEnd`] still follows.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Pass this attempt's answer to the caller; later answers find nobody.
    Deliver {
        /// The call.
        call: CallId,
        /// The attempt whose answer it gets.
        attempt: AttemptId,
    },
    /// Answer the caller at once with a refusal.
    Refuse {
        /// The call.
        call: CallId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Ask an upstream's health endpoint.
    Probe {
        /// Comes back in [`crate::Event::ProbeEnded`].
        probe: ProbeId,
        /// Whom.
        upstream: UpstreamId,
        /// Where.
        address: SocketAddr,
        /// Give up after this time.
        timeout_ms: Millis,
    },
    /// Send a message to a peer; may be lost.
    SendPeer {
        /// Receiver.
        to: HostId,
        /// Where it listens.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Read a published value; with `after`, wait until it is newer.
    ReadConfig {
        /// Which.
        key: ConfigKey,
        /// Version that the reader has.
        after: Option<Version>,
        /// Longest wait; zero for a plain read.
        wait_ms: Millis,
    },
    /// Read the host list.
    ReadHostList,
    /// Whether the balancer may send new connections.
    SetReady(bool),
    /// All work is done: the process may end.
    Exit,
}

/// One sending of a call.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Attempt {
    /// Comes back in events.
    pub attempt: AttemptId,
    /// The call.
    pub call: CallId,
    /// Its service.
    pub service: ServiceName,
    /// Receiver.
    pub upstream: UpstreamId,
    /// Where.
    pub address: SocketAddr,
    /// Point in time by which the answer must be here; nothing may be sent after it.
    pub deadline_ms: Millis,
    /// Attempts spent on the call so far, this one included.
    pub spent_attempts: u32,
    /// Depth to tell the upstream.
    pub depth: u32,
    /// This host's share of the upstream's connections.
    pub connections: Connections,
}
