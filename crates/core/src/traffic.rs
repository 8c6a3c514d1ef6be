//! How many control messages went and came, by kind.

use crate::action::Action;
use crate::message::MessageKind;
use serde::Serialize;
use std::collections::BTreeMap;

/// Messages between entry hosts since the start.
#[derive(Debug, Default, Serialize)]
pub struct ControlTraffic {
    sent: BTreeMap<MessageKind, u64>,
    received: BTreeMap<MessageKind, u64>,
    refused: BTreeMap<RefusedSender, u64>,
}

/// Why a message was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusedSender {
    /// The host list never named the sender.
    NeverListed,
    /// A later run of the sender was heard before.
    EarlierRun,
    /// Another process uses this host's id.
    OwnId,
}

impl ControlTraffic {
    /// Counts the messages among actions.
    pub fn note_sent(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::SendPeer { message, .. } = action {
                *self.sent.entry(message.kind()).or_default() += 1;
            }
        }
    }

    /// Counts a message that was taken.
    pub fn note_received(&mut self, kind: MessageKind) {
        *self.received.entry(kind).or_default() += 1;
    }

    /// Counts a message that was not taken.
    pub fn note_refused(&mut self, why: RefusedSender) {
        *self.refused.entry(why).or_default() += 1;
    }

    /// Messages sent of a kind.
    pub fn sent(&self, kind: MessageKind) -> u64 {
        self.sent.get(&kind).copied().unwrap_or(0)
    }

    /// Messages not taken for a reason.
    pub fn refused(&self, why: RefusedSender) -> u64 {
        self.refused.get(&why).copied().unwrap_or(0)
    }
}
