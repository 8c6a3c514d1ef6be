//! Asks for the tokens of organisations' quotas, and grants those that this host owns.
//!
//! [`dispatch::quota`] decides who owns a quota, what it grants, and what a host does that reaches no
//! owner. This module carries the messages and waits for the answers.

use crate::event_log::LogEvent;
use crate::fleet_message;
use crate::host::{Host, to_duration};
use crate::peers::codec::Datagram;
use crate::ticket_counter::TicketCounter;
use dispatch::attempts::{Cause, Refusal};
use dispatch::quota::{
    PING_INTERVAL_MS, Ping, QuotaClient, QuotaDump, QuotaMessage, QuotaOwner, Reach, Verdict,
    candidates,
};
use dispatch::scheduler::Ticket;
use domain::{FastMap, HostId, Millis, OrganisationName};
use published::{Member, Organisation, Quota};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Longest wait for an answer: a round trip between regions, and a slow machine.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// Longest wait of a host that asks for another. The first and the second host are asked in turn,
/// so both together stay well below the objectives of requests.
const RELAY_TIMEOUT: Duration = Duration::from_millis(20);

/// `Retry-After` of a request whose quota can't be confirmed: the time in which an unresponsive
/// owner is replaced.
const UNCONFIRMED_RETRY_MS: Millis = Millis(100);

/// The quotas that this host owns, and what it knows of those of others.
#[derive(Debug)]
pub struct QuotaState {
    client: RefCell<QuotaClient>,
    owner: RefCell<QuotaOwner>,
    reach: RefCell<Reach>,
    pending: RefCell<FastMap<Ticket, oneshot::Sender<Verdict>>>,
    tickets: TicketCounter,
    /// Notified when this host decides as an owner.
    decided: Notify,
    /// The hosts to ask, by organisation, for one table of hosts.
    ranking: RefCell<Ranking>,
}

/// Candidates by organisation, as long as the table of hosts has this digest.
#[derive(Debug, Default)]
struct Ranking {
    members_digest: u64,
    candidates: FastMap<OrganisationName, Rc<[Member]>>,
}

impl QuotaState {
    /// The state of a host that has just started; `seed` makes its tickets differ from those of its
    /// last run.
    pub fn new(host: HostId, seed: u64) -> QuotaState {
        QuotaState {
            client: RefCell::new(QuotaClient::new(host)),
            owner: RefCell::default(),
            reach: RefCell::default(),
            pending: RefCell::default(),
            tickets: TicketCounter::new(seed),
            decided: Notify::new(),
            ranking: RefCell::default(),
        }
    }

    /// Records that a peer is up in a new run, so that it is asked again.
    pub fn mark_responsive(&self, peer: &HostId) {
        self.client.borrow_mut().record_responsive(peer);
    }

    /// Returns the token of a request that was refused without having been sent.
    pub fn return_token(&self, now_ms: Millis, organisation: &Organisation) {
        if organisation.quota.is_some() {
            self.client.borrow_mut().return_token(now_ms, &organisation.name);
        }
    }

    /// The buckets that this host owns, for the state dump.
    pub fn dump(&self, now_ms: Millis) -> Vec<QuotaDump> {
        self.owner.borrow().dump(now_ms)
    }

    /// The part that this host reaches of `sharing` hosts, of which it knows `known`.
    pub fn reach(&self, known: u32, sharing: u32) -> f64 {
        self.reach.borrow().part(known, sharing)
    }
}

/// Refuses a request that its organisation's quota doesn't allow.
pub async fn admit(host: &Rc<Host>, organisation: &Organisation, id: &str) -> Result<(), Refusal> {
    let Some(quota) = organisation.quota else { return Ok(()) };
    let begun_ms = host.now_ms();
    let alone = host.quotas.client.borrow_mut().decide_alone(begun_ms, organisation);
    let (verdict, owner) = match alone {
        Some(verdict) => (Some(verdict), None),
        None => ask_owners(host, organisation).await,
    };
    let now_ms = host.now_ms();
    let next_in_ms = match verdict {
        Some(Verdict::Granted) => return Ok(()),
        Some(Verdict::Refused { next_in_ms }) => Some(next_in_ms),
        // The owner has another configuration, or doesn't answer.
        Some(Verdict::Unknown) | None if take_standing(host, organisation, quota) => return Ok(()),
        Some(Verdict::Unknown) | None => None,
    };
    host.log.write(&LogEvent::QuotaRefused {
        id,
        organisation: &organisation.name,
        rate_per_s: quota.rate,
        burst: quota.burst,
        owner: owner.as_ref(),
        waited_ms: now_ms.since(begun_ms),
        next_in_ms,
    });
    Err(match next_in_ms {
        Some(next_in_ms) => Refusal::over_quota(next_in_ms),
        None => Refusal {
            retry_after_ms: Some(UNCONFIRMED_RETRY_MS),
            rejection_state: None,
            ..Refusal::not_run(Cause::QuotaUnconfirmed)
        },
    })
}

/// Asks the candidates in order; returns the verdict and the host that gave it.
async fn ask_owners(
    host: &Rc<Host>,
    organisation: &Organisation,
) -> (Option<Verdict>, Option<HostId>) {
    let candidates = candidates_of(host, &organisation.name);
    let mut asked = Vec::new();
    loop {
        let owner = {
            let client = host.quotas.client.borrow();
            client.next_owner(host.now_ms(), &candidates, &asked).cloned()
        };
        let Some(owner) = owner else { return (None, None) };
        let is_own = owner.host == host.members().own().host;
        let verdict = match is_own {
            true => Some(decide(host, &organisation.name)),
            // The second is given time to ask the first itself.
            false => {
                let relay = if asked.is_empty() { Duration::ZERO } else { RELAY_TIMEOUT };
                ask(host, &owner, &organisation.name, ANSWER_TIMEOUT + relay, false).await
            }
        };
        match verdict {
            Some(verdict) => {
                let now_ms = host.now_ms();
                let mut client = host.quotas.client.borrow_mut();
                client.record_answer(now_ms, &owner.host, &organisation.name, verdict);
                return (Some(verdict), Some(owner.host));
            }
            None => asked.push(owner.host),
        }
    }
}

/// Asks a host, and records if it doesn't answer.
async fn ask(
    host: &Rc<Host>,
    owner: &Member,
    organisation: &OrganisationName,
    within: Duration,
    is_relayed: bool,
) -> Option<Verdict> {
    let ticket = host.quotas.tickets.draw();
    let (sender, answer) = oneshot::channel();
    let pending = PendingGuard { host: Rc::clone(host), ticket };
    host.quotas.pending.borrow_mut().insert(ticket, sender);
    let message = QuotaMessage::Ask { ticket, organisation: organisation.clone(), is_relayed };
    send(host, message, owner.address);
    let verdict = clock::timeout(within, answer).await.ok().and_then(Result::ok);
    drop(pending);
    if verdict.is_none() {
        host.quotas.client.borrow_mut().record_timeout(host.now_ms(), &owner.host);
    }
    verdict
}

/// Forgets a question whose request ended, or that was answered.
struct PendingGuard {
    host: Rc<Host>,
    ticket: Ticket,
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.host.quotas.pending.borrow_mut().remove(&self.ticket);
    }
}

/// Decides as the owner of a quota.
fn decide(host: &Host, organisation: &OrganisationName) -> Verdict {
    let quota = quota_of(host, organisation);
    let Some(quota) = quota else { return Verdict::Unknown };
    let tolerance = host.settings.borrow().limits.quotas;
    let reach = host.quotas.reach(host.host_count(), host.fleet_size().hosts);
    host.quotas.decided.notify_waiters();
    host.quotas.owner.borrow_mut().decide(host.now_ms(), organisation, quota, tolerance, reach)
}

fn quota_of(host: &Host, organisation: &OrganisationName) -> Option<Quota> {
    host.table.borrow().as_ref()?.organisation(organisation)?.quota
}

fn take_standing(host: &Host, organisation: &Organisation, quota: Quota) -> bool {
    let tolerance = host.settings.borrow().limits.quotas;
    let (now_ms, hosts) = (host.now_ms(), host.fleet_size().hosts);
    let mut client = host.quotas.client.borrow_mut();
    client.take_standing(now_ms, &organisation.name, quota, tolerance, hosts)
}

fn candidates_of(host: &Host, organisation: &OrganisationName) -> Rc<[Member]> {
    let members = host.members();
    let mut ranking = host.quotas.ranking.borrow_mut();
    if ranking.members_digest != members.digest() {
        *ranking = Ranking { members_digest: members.digest(), candidates: FastMap::default() };
    }
    let ranked = ranking
        .candidates
        .entry(organisation.clone())
        .or_insert_with(|| candidates(organisation, &members.all()).into());
    Rc::clone(ranked)
}

/// Handles a peer's message.
pub fn handle_message(host: &Rc<Host>, message: QuotaMessage, from: SocketAddr) {
    match message {
        QuotaMessage::Ask { ticket, organisation, is_relayed } => {
            let host = Rc::clone(host);
            tokio::task::spawn_local(async move {
                let verdict = answer(&host, &organisation, is_relayed).await;
                send(&host, QuotaMessage::Answer { ticket, verdict }, from);
            });
        }
        QuotaMessage::Answer { ticket, verdict } => {
            // The request may have ended.
            if let Some(waiting) = host.quotas.pending.borrow_mut().remove(&ticket) {
                let _ = waiting.send(verdict);
            }
        }
        QuotaMessage::Ping { number } => send(host, QuotaMessage::Pong { number }, from),
        QuotaMessage::Pong { number } => {
            host.quotas.reach.borrow_mut().record_pong(host.now_ms(), number);
        }
    }
}

/// The answer to a peer. A host that isn't the owner by its own table asks the owner, and decides
/// only if that one doesn't answer.
async fn answer(host: &Rc<Host>, organisation: &OrganisationName, is_relayed: bool) -> Verdict {
    let candidates = candidates_of(host, organisation);
    let owner = candidates.first().filter(|owner| {
        let is_own = owner.host == host.members().own().host;
        let is_responsive =
            host.quotas.client.borrow().next_owner(host.now_ms(), &candidates[..1], &[]).is_some();
        !is_relayed && !is_own && is_responsive
    });
    let relayed = match owner {
        Some(owner) => ask(host, owner, organisation, RELAY_TIMEOUT, true).await,
        None => None,
    };
    relayed.unwrap_or_else(|| decide(host, organisation))
}

/// Drops what isn't used any more.
pub fn run_maintenance(host: &Host) {
    let now_ms = host.now_ms();
    host.quotas.owner.borrow_mut().expire(now_ms);
    host.quotas.client.borrow_mut().expire(now_ms);
}

/// Pings other hosts while this one owns a quota that is in use. Never returns.
pub async fn run(host: Rc<Host>) {
    loop {
        let now_ms = host.now_ms();
        if !host.quotas.owner.borrow().is_active(now_ms) {
            host.quotas.reach.borrow_mut().reset();
            host.quotas.decided.notified().await;
            continue;
        }
        let ping = {
            let members = host.members();
            let others = members.others().map(|member| member.address);
            let mut rng = host.rng.borrow_mut();
            host.quotas.reach.borrow_mut().next_ping(now_ms, others, &mut rng)
        };
        if let Some(Ping { number, to }) = ping {
            send(&host, QuotaMessage::Ping { number }, to);
        }
        clock::sleep(to_duration(PING_INTERVAL_MS)).await;
    }
}

fn send(host: &Host, message: QuotaMessage, to: SocketAddr) {
    // Not retried: a host that gets no answer asks another one.
    fleet_message::send(host, &Datagram::Quota(message), &[to]);
}
