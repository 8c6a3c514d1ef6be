//! Random scenarios keep every promise; a fixed set of seeds, the same on every run.

use rstest::rstest;
use scenario::{Breach, search};

const CASES: u32 = 30;

#[rstest]
fn promises_hold(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    if let Err(failure) = search(seed, CASES) {
        let printed: Vec<String> = failure.breaches.iter().map(Breach::to_string).collect();
        panic!("{}\nbroken by:\n{}", printed.join("\n"), failure.scenario);
    }
}
