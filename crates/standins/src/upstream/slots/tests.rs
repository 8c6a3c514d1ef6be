#![allow(clippy::unwrap_used)]

use super::*;
use rstest::rstest;

/// What happens to slots of which there are two, with two places in the queue.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A request comes.
    Admit,
    /// The oldest running request ends.
    End,
    /// The oldest waiting request is given up.
    GiveUp,
}

fn load_after(steps: &[Step]) -> String {
    let slots = Slots::new(SlotCount(2), 2);
    let mut permits = VecDeque::new();
    let mut places = VecDeque::new();
    for step in steps {
        match step {
            Step::Admit => match slots.admit() {
                Admission::Run(permit) => permits.push_back(permit),
                Admission::Wait(place) => places.push_back(place),
                Admission::Shed => {}
            },
            Step::End => drop(permits.pop_front().unwrap()),
            Step::GiveUp => drop(places.pop_front().unwrap()),
        }
    }
    slots.load().to_string()
}

#[rstest]
#[case::idle(&[], "0/0")]
#[case::one_runs(&[Step::Admit], "1/0")]
#[case::full(&[Step::Admit; 2], "2/0")]
#[case::one_waits(&[Step::Admit; 3], "2/1")]
#[case::the_fifth_is_shed(&[Step::Admit; 5], "2/2")]
#[case::an_end_frees_a_slot(&[Step::Admit, Step::End], "0/0")]
#[case::a_waiter_takes_over(&[Step::Admit, Step::Admit, Step::Admit, Step::End], "2/0")]
#[case::a_waiter_gives_up(&[Step::Admit, Step::Admit, Step::Admit, Step::GiveUp], "2/0")]
#[case::a_grant_is_given_up(
    &[Step::Admit, Step::Admit, Step::Admit, Step::End, Step::GiveUp],
    "1/0"
)]
fn counts_are_exact(#[case] steps: &[Step], #[case] load: &str) {
    assert_eq!(load_after(steps), load);
}
