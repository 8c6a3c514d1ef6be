//! Weights of split routes.
#![allow(clippy::unwrap_used)]

use dispatch::SplitTable;
use domain::ServiceName;
use published::Destination;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn split(weights: &[u32]) -> Vec<Destination> {
    let destination = |(at, &weight): (usize, &u32)| {
        let service: ServiceName = format!("s{at}").parse().unwrap();
        Destination { service, weight }
    };
    weights.iter().enumerate().map(destination).collect()
}

/// Requests per destination, over several hosts with their own tables.
fn shares(weights: &[u32], hosts: u64, requests: usize) -> Vec<usize> {
    let split = split(weights);
    let mut counts = vec![0; weights.len()];
    for host in 0..hosts {
        let mut rng = Pcg64Mcg::seed_from_u64(host);
        let mut table = SplitTable::default();
        for _ in 0..requests {
            let service = table.next_service("r", &split, &mut rng).unwrap();
            let at = split.iter().position(|part| part.service == service).unwrap();
            counts[at] += 1;
        }
    }
    counts
}

#[rstest]
#[case::one_host(&[90, 10], 1, 300)]
#[case::many_hosts_with_few_requests(&[90, 10], 100, 3)]
#[case::halves(&[1, 1], 17, 20)]
#[case::three(&[70, 20, 10], 17, 30)]
#[case::none_for_a_part(&[5, 0], 17, 20)]
fn shares_follow_weights(#[case] weights: &[u32], #[case] hosts: u64, #[case] requests: usize) {
    let counts = shares(weights, hosts, requests);
    let sum = f64::from(weights.iter().sum::<u32>());
    let all = (hosts as usize * requests) as f64;
    for (count, weight) in counts.iter().zip(weights) {
        let off = *count as f64 / all - f64::from(*weight) / sum;
        assert!(off.abs() < 0.05, "{counts:?} for {weights:?}");
        assert!(*weight > 0 || *count == 0);
    }
}

#[test]
fn changed_weights_take_effect_at_once() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut table = SplitTable::default();
    for _ in 0..10 {
        table.next_service("r", &split(&[100, 0]), &mut rng);
    }
    let after = (0..10).filter(|_| {
        table.next_service("r", &split(&[0, 100]), &mut rng) == Some("s1".parse().unwrap())
    });
    assert_eq!(after.count(), 10);
}

#[test]
fn an_empty_split_has_no_service() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    assert_eq!(SplitTable::default().next_service("r", &[], &mut rng), None);
}
