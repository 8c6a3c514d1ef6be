//! The idle connections of all hosts leave half of what an upstream accepts to requests in flight.

use dispatch::{MAX_IDLE_CONNECTIONS, idle_connections_per_host};
use domain::Connections;
use rstest::rstest;

#[rstest]
#[case::one_host(12, 1, MAX_IDLE_CONNECTIONS)]
#[case::a_few(12, 3, 2)]
#[case::one_each(12, 6, 1)]
#[case::too_many_hosts(12, 7, 0)]
#[case::it_accepts_one(1, 1, 0)]
#[case::it_accepts_nothing(0, 3, 0)]
#[case::it_accepts_more_than_a_host_keeps(u32::MAX, 300, MAX_IDLE_CONNECTIONS)]
#[case::no_other_host_is_known_yet(12, 0, MAX_IDLE_CONNECTIONS)]
fn idle_connections_are_shared_among_hosts(
    #[case] accepted: u32,
    #[case] hosts: u32,
    #[case] expected: usize,
) {
    assert_eq!(idle_connections_per_host(Connections(accepted), hosts), expected);
}

#[test]
fn all_hosts_together_keep_at_most_half_idle() {
    for accepted in 0..400 {
        for hosts in 1..300 {
            let together = idle_connections_per_host(Connections(accepted), hosts) * hosts as usize;
            assert!(together <= accepted as usize / 2, "{hosts} keep {together} of {accepted}");
        }
    }
}
