//! What this host tells its peers of upstreams.
//!
//! The first word of a leaving upstream goes out at once and is repeated for
//! [`REPEAT_MS`], as any message may be lost; everything else is told once, with the
//! next round. Rounds spend from half of the control budget. Where that is short, the
//! oldest facts wait or are replaced by newer ones, and repetitions are left out; only a
//! word of leaving not yet told may overdraw, by [`MAX_SAVED_SECS`] and one round. A word
//! that a peer told is passed on once, for hosts that the peer can't reach.

use crate::action::Action;
use crate::entry_host::EntryHost;
use crate::leaving::LeavingSource;
use crate::message::{PeerMessage, UpstreamFact, UpstreamNews, UpstreamNewsItem, UpstreamRef};
use domain::{ByteCount, HostId, Millis, ServiceName, UpstreamId};
use serde::Serialize;
use std::collections::BTreeMap;

/// Most items in one message; a receiver ignores more.
pub const MAX_NEWS_ITEMS: usize = 16;
/// Time for which a word of leaving is repeated.
const REPEAT_MS: Millis = Millis(10_000);
/// Time for which a word of leaving that a peer told is passed on.
const PASS_ON_MS: Millis = Millis(1_500);
/// Time between rounds.
pub(crate) const ROUND_MS: Millis = Millis(1_000);
/// Part of the control budget that news may spend; heartbeats and the rest need the other.
const BUDGET_SHARE: f64 = 0.5;
/// Most that is saved up or overdrawn, in seconds of that part.
const MAX_SAVED_SECS: f64 = 2.0;
/// Bytes around the items of a message, on the wire.
const FRAME_BYTES: usize = 160;

/// An upstream of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    service: ServiceName,
    id: UpstreamId,
}

/// Something to be told once.
#[derive(Debug, Clone, Copy)]
struct Fact {
    learned_ms: Millis,
    fact: UpstreamFact,
}

/// A word of leaving.
#[derive(Debug, Clone, Copy)]
struct Repeat {
    until_ms: Millis,
    /// It went out once.
    told: bool,
}

/// News not yet told.
#[derive(Debug, Default)]
pub struct News {
    /// The newest fact of each upstream.
    facts: BTreeMap<Key, Fact>,
    /// Upstreams whose leaving is told.
    leaving: BTreeMap<Key, Repeat>,
    saved_bytes: f64,
    filled_ms: Millis,
    pub(crate) due_ms: Millis,
    counts: NewsCounts,
}

/// What news cost so far.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct NewsCounts {
    /// Bytes sent, frames included.
    pub sent_bytes: u64,
    /// Messages sent.
    pub sent_messages: u64,
    /// Facts replaced by newer ones before they were told.
    pub dropped_facts: u64,
}

impl News {
    /// What news cost so far.
    pub fn counts(&self) -> NewsCounts {
        self.counts
    }

    fn note_told(&mut self, items: &[UpstreamNewsItem]) {
        for item in items {
            let key = Key { service: item.upstream.service.clone(), id: item.upstream.id.clone() };
            match item.fact {
                UpstreamFact::Leaving => {
                    if let Some(repeat) = self.leaving.get_mut(&key) {
                        repeat.told = true;
                    }
                }
                _ => drop(self.facts.remove(&key)),
            }
        }
    }

    /// Fills the budget. Returns how far it may be overdrawn.
    fn fill(&mut self, now_ms: Millis, budget: ByteCount) -> f64 {
        let per_second = budget.0 as f64 * BUDGET_SHARE;
        let earned = per_second * now_ms.since(self.filled_ms).as_f64() / 1000.0;
        self.saved_bytes = (self.saved_bytes + earned).min(per_second * MAX_SAVED_SECS);
        self.filled_ms = now_ms;
        per_second * MAX_SAVED_SECS
    }
}

impl EntryHost {
    /// Notes something to be told with the next round.
    pub(crate) fn note_news(
        &mut self,
        now_ms: Millis,
        service: &ServiceName,
        id: &UpstreamId,
        fact: UpstreamFact,
    ) {
        let key = Key { service: service.clone(), id: id.clone() };
        let before = self.news.facts.insert(key, Fact { learned_ms: now_ms, fact });
        self.news.counts.dropped_facts += u64::from(before.is_some());
    }

    /// Tells all peers at once that an upstream is leaving.
    pub(crate) fn tell_leaving(
        &mut self,
        now_ms: Millis,
        service: &ServiceName,
        id: &UpstreamId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(state) = self.services.get_mut(service) {
            state.settle_health(now_ms);
        }
        let key = Key { service: service.clone(), id: id.clone() };
        let until_ms = now_ms + REPEAT_MS;
        self.news.leaving.insert(key, Repeat { until_ms, told: false });
        self.send_news(now_ms, actions);
    }

    /// Repeats all words of leaving: a peer has come that may not have heard them.
    pub(crate) fn repeat_leaving(&mut self, now_ms: Millis) {
        for (name, state) in &self.services {
            for upstream in state.upstreams.iter().filter(|upstream| upstream.leaving.is_some()) {
                let key = Key { service: name.clone(), id: upstream.id.clone() };
                let until_ms = now_ms + REPEAT_MS;
                self.news
                    .leaving
                    .entry(key)
                    .and_modify(|repeat| repeat.until_ms = until_ms)
                    .or_insert(Repeat { until_ms, told: true });
            }
        }
    }

    /// Sends a round of news, as far as the budget goes.
    pub(crate) fn send_news(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let Some(in_force) = &self.in_force else { return };
        let budget = in_force.config.measurement.control_bytes_per_second;
        let overdraft = self.news.fill(now_ms, budget);
        self.news.leaving.retain(|_, repeat| now_ms < repeat.until_ms);
        let peers = self.membership.listed_peers(&self.settings.host).count();
        let mut items = self.leaving_items(now_ms, false);
        let urgent = if self.news.saved_bytes > -overdraft { items.len() } else { 0 };
        items.extend(self.leaving_items(now_ms, true));
        items.extend(self.fact_items(now_ms));
        items.truncate(MAX_NEWS_ITEMS);
        while items.len() > urgent && round_bytes(&items, peers) > self.news.saved_bytes {
            items.pop();
        }
        if items.is_empty() {
            return;
        }
        self.news.note_told(&items);
        self.news.saved_bytes -= round_bytes(&items, peers);
        self.news.counts.sent_bytes += round_bytes(&items, peers) as u64;
        self.news.counts.sent_messages += peers as u64;
        let message = PeerMessage::UpstreamNews(UpstreamNews { items });
        for peer in self.membership.listed_peers(&self.settings.host) {
            actions.push(Action::SendPeer {
                to: peer.host.clone(),
                address: peer.peer_address,
                message: message.clone(),
            });
        }
    }

    /// Pays for a question about an upstream, unless the budget is spent.
    pub(crate) fn pay_question(&mut self, upstream: &UpstreamRef) -> bool {
        let affordable = self.news.saved_bytes > 0.0;
        if affordable {
            let upstream_bytes = serde_json::to_string(upstream).map_or(0, |text| text.len());
            let bytes = (FRAME_BYTES + upstream_bytes) as f64;
            self.news.saved_bytes -= bytes;
            self.news.counts.sent_bytes += bytes as u64;
            self.news.counts.sent_messages += 1;
        }
        affordable
    }

    pub(crate) fn news_received(&mut self, now_ms: Millis, from: &HostId, news: UpstreamNews) {
        for item in news.items.into_iter().take(MAX_NEWS_ITEMS) {
            let learned_ms = now_ms - item.ago_ms;
            let Some(state) = self.services.get_mut(&item.upstream.service) else { continue };
            let Some(upstream) = state.upstream_mut(&item.upstream.id) else { continue };
            if upstream.published.address != item.upstream.address {
                continue;
            }
            match item.fact {
                UpstreamFact::Leaving => {
                    let source = LeavingSource::Peer(from.clone());
                    let believed = upstream.believes_leaving(learned_ms);
                    if believed && upstream.mark_leaving(learned_ms, source) {
                        state.settle_health(now_ms);
                        self.pass_on_leaving(now_ms, item.upstream);
                    }
                }
                UpstreamFact::Alive { load } => upstream.note_peer_report(learned_ms, load),
                UpstreamFact::ProbeFailed | UpstreamFact::Ejected => {
                    upstream.note_peer_report(learned_ms, None);
                    upstream.health.suspect(now_ms);
                }
            }
        }
    }

    /// Tells what a peer told once more: there may be hosts that the peer can't reach.
    fn pass_on_leaving(&mut self, now_ms: Millis, upstream: UpstreamRef) {
        let key = Key { service: upstream.service, id: upstream.id };
        let until_ms = now_ms + PASS_ON_MS;
        self.news.leaving.entry(key).or_insert(Repeat { until_ms, told: true });
    }

    /// How peers name an upstream.
    pub(crate) fn upstream_ref(
        &self,
        service: &ServiceName,
        id: &UpstreamId,
    ) -> Option<UpstreamRef> {
        let address = self.services.get(service)?.upstream(id)?.published.address;
        Some(UpstreamRef { service: service.clone(), id: id.clone(), address })
    }

    fn leaving_items(&self, now_ms: Millis, told: bool) -> Vec<UpstreamNewsItem> {
        let wanted = self.news.leaving.iter().filter(|(_, repeat)| repeat.told == told);
        let mut newest_first: Vec<(&Key, &Repeat)> = wanted.collect();
        newest_first.sort_by_key(|(_, repeat)| std::cmp::Reverse(repeat.until_ms));
        let items = newest_first.into_iter().filter_map(|(key, _)| {
            let upstream = self.services.get(&key.service)?.upstream(&key.id)?;
            let ago_ms = now_ms.since(upstream.leaving.as_ref()?.heard_ms);
            self.item(key, ago_ms, UpstreamFact::Leaving)
        });
        items.take(MAX_NEWS_ITEMS).collect()
    }

    fn fact_items(&self, now_ms: Millis) -> Vec<UpstreamNewsItem> {
        let mut newest_first: Vec<(&Key, &Fact)> = self.news.facts.iter().collect();
        newest_first.sort_by_key(|(_, fact)| std::cmp::Reverse(fact.learned_ms));
        let items = newest_first
            .into_iter()
            .filter_map(|(key, fact)| self.item(key, now_ms.since(fact.learned_ms), fact.fact));
        items.collect()
    }

    fn item(&self, key: &Key, ago_ms: Millis, fact: UpstreamFact) -> Option<UpstreamNewsItem> {
        let upstream = self.upstream_ref(&key.service, &key.id)?;
        Some(UpstreamNewsItem { upstream, ago_ms, fact })
    }
}

/// Bytes of a round to that many peers.
fn round_bytes(items: &[UpstreamNewsItem], peers: usize) -> f64 {
    let items_bytes = serde_json::to_string(items).map_or(0, |text| text.len());
    ((FRAME_BYTES + items_bytes) * peers) as f64
}
