//! What the hosts keep idle at an upstream leaves half of what it accepts to what is under way.

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
#[case::it_accepts_more_than_anybody_needs(u32::MAX, 300, MAX_IDLE_CONNECTIONS)]
#[case::nobody_else_is_known_yet(12, 0, MAX_IDLE_CONNECTIONS)]
fn check(#[case] accepted: u32, #[case] hosts: u32, #[case] kept: usize) {
    assert_eq!(idle_connections_per_host(Connections(accepted), hosts), kept);
}

#[test]
fn all_hosts_together_keep_half_at_most() {
    for accepted in 0..400 {
        for hosts in 1..300 {
            let together = idle_connections_per_host(Connections(accepted), hosts) * hosts as usize;
            assert!(together <= accepted as usize / 2, "{hosts} keep {together} of {accepted}");
        }
    }
}
