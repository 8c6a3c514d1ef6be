//! Every scenario file keeps every promise, and each sabotage is noticed.
#![allow(clippy::unwrap_used)]

use rstest::rstest;
use scenario::{Breach, Sabotage, parse, run};
use std::path::PathBuf;

fn check(file: &str, sabotage: Option<Sabotage>) -> Vec<Breach> {
    let scenario = parse(file).unwrap();
    let verdict = run(&scenario, sabotage);
    assert!(verdict.calls > 0, "a scenario without calls shows nothing");
    verdict.breaches
}

#[rstest]
fn promises_hold(#[files("tests/scenarios/*.scenario")] path: PathBuf) {
    let breaches = check(&std::fs::read_to_string(&path).unwrap(), None);
    let printed: Vec<String> = breaches.iter().map(Breach::to_string).collect();
    assert!(breaches.is_empty(), "{}:\n{}", path.display(), printed.join("\n"));
}

#[rstest]
fn the_same_play_gives_the_same_verdict(#[files("tests/scenarios/*.scenario")] path: PathBuf) {
    let scenario = parse(&std::fs::read_to_string(&path).unwrap()).unwrap();
    assert_eq!(run(&scenario, None), run(&scenario, None));
}

#[rstest]
fn what_is_printed_reads_back(#[files("tests/scenarios/*.scenario")] path: PathBuf) {
    let scenario = parse(&std::fs::read_to_string(&path).unwrap()).unwrap();
    assert_eq!(parse(&scenario.to_string()).unwrap(), scenario);
}

#[rstest]
#[case::at_most_once("lost_answers", Sabotage::ForgedProof, |b: &Breach| matches!(b, Breach::Doubled(_)))]
#[case::forged_votes("key_repeated_elsewhere", Sabotage::ForgedVotes, |b: &Breach| matches!(b, Breach::Doubled(_)))]
#[case::not_run("all_answers_lost", Sabotage::ForgedProof, |b: &Breach| matches!(b, Breach::FalseNotRun(_)))]
#[case::graceful("rolling_restart", Sabotage::HastyExit, |b: &Breach| matches!(b, Breach::CutByExit(_)))]
#[case::config("racing_operators", Sabotage::RenumberedConfig, |b: &Breach| matches!(b, Breach::Reverted(_)))]
#[case::own_answer("pause_and_wake", Sabotage::SwappedAnswers, |b: &Breach| matches!(b, Breach::Wrong(_)))]
#[case::leaving("upstream_leaves", Sabotage::HiddenLeaving, |b: &Breach| matches!(b, Breach::WorkWhileLeaving(_)))]
#[case::budget("silent_upstreams_probed", Sabotage::LonelyLists, |b: &Breach| matches!(b, Breach::OverBudget { .. }))]
fn a_broken_mechanism_is_noticed(
    #[case] name: &str,
    #[case] sabotage: Sabotage,
    #[case] expected: fn(&Breach) -> bool,
) {
    let path = format!("{}/tests/scenarios/{name}.scenario", env!("CARGO_MANIFEST_DIR"));
    let breaches = check(&std::fs::read_to_string(path).unwrap(), Some(sabotage));
    assert!(breaches.iter().any(expected), "{sabotage:?} went unnoticed: {breaches:?}");
}
