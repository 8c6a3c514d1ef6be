//! Which host owns an organisation's quota.

use decision_core::{Job, Role};
use domain::OrganisationName;
use published::Member;
use std::cmp::Reverse;

/// Hosts that may be asked for a quota, in order.
const CANDIDATES: usize = 3;

/// The hosts to ask for an organisation's quota, the owner first: by rendezvous hashing over those
/// with at least the mean capacity, as small ones answer late under load.
pub fn candidates(organisation: &OrganisationName, members: &[Member]) -> Vec<Member> {
    let percent = |member: &Member| u64::from(member.capacity.cpu_percent);
    let sum: u64 = members.iter().map(percent).sum();
    let is_capable = |member: &&Member| percent(member) * members.len() as u64 >= sum;
    let job = Job { role: Role::QuotaOwner, name: organisation.as_str() };
    let mut ranked: Vec<&Member> = members.iter().filter(is_capable).collect();
    ranked.sort_by_key(|member| (Reverse(job.weight(&member.host)), &member.host));
    ranked.into_iter().take(CANDIDATES).cloned().collect()
}
