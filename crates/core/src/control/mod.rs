//! Configuration and fleet: what is read, told to peers and put in force.
//!
//! [`fleet`] keeps the membership, [`reads`] goes to the configuration service, [`spread`]
//! moves values between peers, [`start`] asks peers what is in force, and [`in_force`] puts
//! a configuration to use.

mod fleet;
mod in_force;
mod reads;
mod spread;
mod start;
mod state;

use crate::action::Action;
use crate::confirmation::Confirmation;
use crate::entry_host::EntryHost;
use crate::membership::HEARTBEAT_EVERY_MS;
use crate::message::PeerMessage;
use crate::traffic::RefusedSender;
use domain::{HostId, Incarnation, Millis};

pub(crate) use state::ControlState;

impl EntryHost {
    pub(crate) fn peer_received(
        &mut self,
        now_ms: Millis,
        from: HostId,
        incarnation: Incarnation,
        message: PeerMessage,
        actions: &mut Vec<Action>,
    ) {
        self.claims.note_heard(&from);
        if let Err(why) = self.admit_message(now_ms, &from, incarnation, &message) {
            self.traffic.note_refused(why);
            return;
        }
        self.traffic.note_received(message.kind());
        self.membership.note_heard(now_ms, &from, incarnation);
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.heartbeat_received(now_ms, &from, incarnation, heartbeat, actions);
            }
            PeerMessage::ConfigWanted { key, version, held } => {
                self.config_wanted(&from, key, version, held, actions);
            }
            PeerMessage::ConfigChanged { key, from: held, version, splice } => {
                match self.adoption.spliced(key, held, version, &splice) {
                    Some(value) => self.config_offered(now_ms, key, value, actions),
                    None => self.want_whole(&from, key, version, actions),
                }
            }
            PeerMessage::ConfigOffered { key, value } => {
                self.config_offered(now_ms, key, value, actions);
            }
            PeerMessage::VersionsWanted { round } => {
                self.versions_wanted(now_ms, &from, round, actions);
            }
            PeerMessage::Versions { round, heartbeat } => {
                self.note_versions_answer(&from, round, &heartbeat);
                self.heartbeat_received(now_ms, &from, incarnation, heartbeat, actions);
            }
            PeerMessage::HostListWanted => self.host_list_wanted(&from, actions),
            PeerMessage::HostListOffered(list) => self.take_list(now_ms, list),
            PeerMessage::UpstreamNews(news) => self.news_received(now_ms, &from, news),
            PeerMessage::ServingWanted { upstream, nonce } => {
                self.serving_wanted(now_ms, &from, upstream, nonce, actions);
            }
            PeerMessage::ServingSeen { upstream, nonce, ago_ms } => {
                self.serving_seen(now_ms, &upstream, nonce, ago_ms);
            }
            PeerMessage::SlotsWanted { service, count, returned } => {
                self.slots_wanted(now_ms, &from, service, count, returned, actions);
            }
            PeerMessage::SlotsLent { service, asked, slots } => {
                self.slots_lent(now_ms, from, service, asked, slots, actions);
            }
            message @ (PeerMessage::ClaimAsked(_)
            | PeerMessage::ClaimVoted(_)
            | PeerMessage::ClaimReleased { .. }
            | PeerMessage::StandingWanted { .. }
            | PeerMessage::StandingOffered(_)) => {
                self.claim_received(now_ms, from, incarnation, message, actions);
            }
        }
        self.advance_start(now_ms, actions);
    }

    pub(crate) fn run_control_timers(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        if self.timers.host_list_ms <= now_ms {
            self.timers.host_list_ms = now_ms + self.host_list_every_ms();
            actions.push(Action::ReadHostList);
        }
        if self.timers.heartbeat_ms <= now_ms {
            self.timers.heartbeat_ms = now_ms + HEARTBEAT_EVERY_MS;
            self.send_heartbeats(now_ms, actions);
            self.choose_watchers(now_ms);
        }
        self.read_config_if_due(now_ms, actions);
        self.ask_for_versions(now_ms, actions);
        self.advance_start(now_ms, actions);
        self.end_retired_services(now_ms, actions);
    }

    /// Distrusts the view from before a pause: asks peers and service anew, serves on.
    pub(crate) fn after_pause(&mut self, now_ms: Millis) {
        self.control.confirmation = Some(Confirmation::open(now_ms));
        self.timers.heartbeat_ms = now_ms;
        self.timers.host_list_ms = now_ms;
        self.read_config_soon(now_ms);
    }

    /// A host without any list takes one from whoever it names together with this host.
    fn admit_message(
        &mut self,
        now_ms: Millis,
        from: &HostId,
        incarnation: Incarnation,
        message: &PeerMessage,
    ) -> Result<(), RefusedSender> {
        if let PeerMessage::HostListOffered(list) = message
            && self.membership.list().is_none()
        {
            let names = |host: &HostId| list.hosts.iter().any(|listed| listed.host == *host);
            if names(from) && names(&self.settings.host) {
                self.take_list(now_ms, list.clone());
            }
        }
        self.membership.check_sender(now_ms, from, incarnation)
    }
}
