//! Heartbeats and the host list.

use crate::action::Action;
use crate::entry_host::EntryHost;
use crate::event::{HostList, ListedHost};
use crate::membership::HEARTBEAT_EVERY_MS;
use crate::message::{Heartbeat, PeerMessage};
use domain::{HostId, Incarnation, Millis, Version};

/// Shortest time between readings of the host list.
const HOST_LIST_EVERY_MS: u64 = 1000;
/// Time between readings of the list by any host of the site: 20 a second.
const HOST_LIST_SITE_EVERY_MS: u64 = 50;
/// Heartbeat rounds between offers of the list to silent hosts, at least.
const LIST_OFFER_ROUNDS: u64 = 5;
/// Listed hosts for each further round between offers: a list of many is long.
const LIST_OFFER_HOSTS: u64 = 4;

impl EntryHost {
    pub(crate) fn host_list_read(
        &mut self,
        now_ms: Millis,
        list: Option<HostList>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(list) = list {
            self.take_list(now_ms, list);
        }
        self.ask_for_versions(now_ms, actions);
        self.advance_start(now_ms, actions);
    }

    pub(super) fn take_list(&mut self, now_ms: Millis, list: HostList) {
        let is_first = self.membership.list().is_none();
        self.membership.take_list(list);
        self.note_listed_voters();
        if let Some(open) = &mut self.control.confirmation
            && is_first
        {
            open.hurry(now_ms);
        }
    }

    pub(super) fn host_list_every_ms(&self) -> Millis {
        let hosts = self.membership.listed_count() as u64;
        Millis(HOST_LIST_EVERY_MS.max(hosts * HOST_LIST_SITE_EVERY_MS))
    }

    pub(super) fn send_heartbeats(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let peers = self.membership.next_heartbeat_peers();
        self.tell(now_ms, &peers, actions);
        self.offer_list_to_a_silent_host(now_ms, actions);
    }

    /// Tells news at once: to a few peers, who pass them on.
    pub(super) fn announce(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let peers = self.membership.news_peers(now_ms);
        self.tell(now_ms, &peers, actions);
    }

    /// Tells every listed host, once: for news that can't wait to be passed on.
    pub(crate) fn tell_all(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let peers: Vec<ListedHost> =
            self.membership.listed_peers(&self.settings.host).cloned().collect();
        self.tell(now_ms, &peers, actions);
    }

    pub(super) fn heartbeat(&self, now_ms: Millis) -> Heartbeat {
        let in_force = self.adoption.in_force();
        let newest = self.adoption.newest();
        Heartbeat {
            base: in_force.base,
            overlay: in_force.overlay,
            newest: (newest != in_force).then_some(newest),
            list: self.membership.list_version(),
            leaving: self.lifecycle.is_leaving(),
            reads_fail: self.control.reads_fail(),
            ages: self.membership.ages(now_ms),
        }
    }

    pub(super) fn heartbeat_received(
        &mut self,
        now_ms: Millis,
        from: &HostId,
        incarnation: Incarnation,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        self.ask_for_newer_list(now_ms, from, heartbeat.list, actions);
        // What arrives right after a pause may be as old as the pause.
        if !self.pauses.resumed_within(now_ms, HEARTBEAT_EVERY_MS) {
            self.membership.take_ages(now_ms, heartbeat.list, &heartbeat.ages);
        }
        self.note_versions_news(from, &heartbeat);
        let (in_force, newest) = (heartbeat.in_force(), heartbeat.newest());
        self.membership.take_heartbeat(now_ms, from, incarnation, heartbeat);
        self.note_peer_versions(now_ms, from, in_force, newest, actions);
    }

    pub(super) fn host_list_wanted(&mut self, from: &HostId, actions: &mut Vec<Action>) {
        if let Some(list) = self.membership.list().cloned() {
            self.send_peer(from, PeerMessage::HostListOffered(list), actions);
        }
    }

    pub(crate) fn send_peer(&self, to: &HostId, message: PeerMessage, actions: &mut Vec<Action>) {
        if let Some(known) = self.membership.known(to) {
            let address = known.peer_address;
            actions.push(Action::SendPeer { to: to.clone(), address, message });
        }
    }

    fn tell(&self, now_ms: Millis, peers: &[ListedHost], actions: &mut Vec<Action>) {
        let heartbeat = self.heartbeat(now_ms);
        for peer in peers {
            self.send_peer(&peer.host, PeerMessage::Heartbeat(heartbeat.clone()), actions);
        }
    }

    fn ask_for_newer_list(
        &mut self,
        now_ms: Millis,
        from: &HostId,
        theirs: Version,
        actions: &mut Vec<Action>,
    ) {
        let is_newer = theirs > self.membership.list_version();
        if is_newer && self.control.start_list_pull(now_ms) {
            self.send_peer(from, PeerMessage::HostListWanted, actions);
        }
    }

    /// A host that started while the list service is down learns the list this way.
    fn offer_list_to_a_silent_host(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let Some(list) = self.membership.list() else { return };
        let rounds = LIST_OFFER_ROUNDS + list.hosts.len() as u64 / LIST_OFFER_HOSTS;
        let round = self.membership.round();
        if !round.is_multiple_of(rounds) {
            return;
        }
        let silent: Vec<&ListedHost> = self
            .membership
            .listed_peers(&self.settings.host)
            .filter(|listed| !self.membership.is_live(now_ms, &listed.host))
            .collect();
        let Some(turn) = (round / rounds).checked_rem(silent.len() as u64) else { return };
        let to = &silent[turn as usize].host;
        self.send_peer(to, PeerMessage::HostListOffered(list.clone()), actions);
    }
}
