//! Where requests go: the ready ones of a list, in turn, as a balancer does it.

use domain::Millis;
use reqwest::Client;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

const READINESS_INTERVAL_MS: Millis = Millis(50);
const READINESS_TIMEOUT_MS: Millis = Millis(250);

/// One address that takes callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where `/readyz` is asked; none for an address that is always used.
    pub readiness_address: Option<SocketAddr>,
}

#[derive(Debug)]
struct Member {
    target: Target,
    ready: AtomicBool,
}

/// The list, shared between the run and whoever changes it meanwhile.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    members: Arc<RwLock<Vec<Arc<Member>>>>,
    turn: Arc<AtomicUsize>,
}

impl Targets {
    /// A list whose members count as ready until asked.
    pub fn new(targets: impl IntoIterator<Item = Target>) -> Targets {
        let list = Targets::default();
        list.replace(targets);
        list
    }

    /// Puts another list in the place of the present one.
    pub fn replace(&self, targets: impl IntoIterator<Item = Target>) {
        let members = targets
            .into_iter()
            .map(|target| Arc::new(Member { target, ready: AtomicBool::new(true) }))
            .collect();
        *self.members.write().unwrap_or_else(PoisonError::into_inner) = members;
    }

    /// The next ready address, other than `avoid` where there is a choice; if none is
    /// ready, any.
    pub fn pick(&self, avoid: Option<SocketAddr>) -> Option<SocketAddr> {
        let members = self.members();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let in_turn = || (0..members.len()).map(|i| &members[(turn + i) % members.len()]);
        let is_other = |m: &&Arc<Member>| Some(m.target.caller_address) != avoid;
        let is_ready = |m: &&Arc<Member>| m.ready.load(Ordering::Relaxed);
        in_turn()
            .find(|m| is_ready(m) && is_other(m))
            .or_else(|| in_turn().find(is_other))
            .or_else(|| in_turn().next())
            .map(|m| m.target.caller_address)
    }

    /// Asks each member's `/readyz` again and again; never returns.
    pub async fn follow_readiness(&self, client: Client) {
        let mut interval = tokio::time::interval(Duration::from_millis(READINESS_INTERVAL_MS.0));
        loop {
            interval.tick().await;
            let asks = self.members().into_iter().map(|m| ask(client.clone(), m));
            futures_util::future::join_all(asks).await;
        }
    }

    fn members(&self) -> Vec<Arc<Member>> {
        self.members.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn ask(client: Client, member: Arc<Member>) {
    let Some(address) = member.target.readiness_address else {
        return;
    };
    let answer = client
        .get(format!("http://{address}/readyz"))
        .timeout(Duration::from_millis(READINESS_TIMEOUT_MS.0))
        .send()
        .await;
    let ready = answer.is_ok_and(|answer| answer.status().is_success());
    member.ready.store(ready, Ordering::Relaxed);
}
