//! The questions to peers after a start and after a pause.

use crate::action::Action;
use crate::adoption::VersionPair;
use crate::confirmation::{Confirmation, PeerVersions, Turnout};
use crate::entry_host::EntryHost;
use crate::message::{Heartbeat, PeerMessage};
use domain::{HostId, Millis};

impl EntryHost {
    pub(super) fn ask_for_versions(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let has_started = self.adoption.has_started();
        let has_candidate = self.adoption.has_candidate();
        let open = match &mut self.control.confirmation {
            None if has_started => return,
            Some(open) if has_started && open.is_given_up(now_ms) => {
                self.control.confirmation = None;
                return;
            }
            open => open.get_or_insert_with(|| Confirmation::open(now_ms)),
        };
        match self.membership.list() {
            None => open.postpone(now_ms),
            Some(_) if has_candidate => open.hurry(now_ms),
            Some(_) => {}
        }
        if open.ask_ms() > now_ms {
            return;
        }
        self.control.rounds = self.control.rounds.wrapping_add(1);
        let round = self.control.rounds;
        open.note_asked(now_ms, round, has_candidate);
        for listed in self.membership.listed_peers(&self.settings.host) {
            if !open.has_lasting_answer(now_ms, &listed.host) {
                let (to, address) = (listed.host.clone(), listed.peer_address);
                let message = PeerMessage::VersionsWanted { round };
                actions.push(Action::SendPeer { to, address, message });
            }
        }
    }

    pub(super) fn versions_wanted(
        &mut self,
        now_ms: Millis,
        from: &HostId,
        round: u64,
        actions: &mut Vec<Action>,
    ) {
        let heartbeat = self.heartbeat(now_ms);
        self.send_peer(from, PeerMessage::Versions { round, heartbeat }, actions);
    }

    pub(super) fn note_versions_answer(
        &mut self,
        from: &HostId,
        round: u64,
        heartbeat: &Heartbeat,
    ) {
        if let Some(open) = &mut self.control.confirmation {
            open.take_answer(from, round, versions_of(heartbeat));
        }
    }

    pub(super) fn note_versions_news(&mut self, from: &HostId, heartbeat: &Heartbeat) {
        if let Some(open) = &mut self.control.confirmation {
            open.take_news(from, versions_of(heartbeat));
        }
    }

    /// Starts serving, or ends the questions, once enough peers have answered.
    pub(super) fn advance_start(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let Some(floors) = self.confirmed_floors(now_ms) else { return };
        if self.adoption.has_started() {
            self.control.confirmation = None;
            return;
        }
        if let Some(config) = self.adoption.start(&floors) {
            self.control.confirmation = None;
            self.put_in_force(now_ms, config, actions);
        }
    }

    /// Pairs to start above, once the peers' answers are enough and what they told is here.
    fn confirmed_floors(&mut self, now_ms: Millis) -> Option<Vec<VersionPair>> {
        let open = self.control.confirmation.as_mut()?;
        let peers = self.membership.listed_peers(&self.settings.host).map(|listed| &listed.host);
        let turnout = match self.membership.list() {
            Some(_) => open.turnout(now_ms, peers),
            None => Turnout::Few,
        };
        let limits = &self.control.limits;
        let waited_ms = open.waited_ms(now_ms);
        let suffices = match turnout {
            Turnout::Enough => true,
            Turnout::Majority => waited_ms >= limits.majority_start_after_ms,
            Turnout::Few => waited_ms >= limits.lone_start_after_ms,
        };
        let is_fetched = open.is_fetched(now_ms, self.adoption.newest());
        (suffices && is_fetched).then(|| open.floors())
    }
}

fn versions_of(heartbeat: &Heartbeat) -> PeerVersions {
    PeerVersions { in_force: heartbeat.in_force(), newest: heartbeat.newest() }
}
