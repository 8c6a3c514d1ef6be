//! Which answers count as right, and what ledgers say against them.

#![allow(clippy::unwrap_used)]

use domain::{ByteCount, Millis, Share};
use load::{
    Answer, Caller, Ledger, LedgerCheck, LoadOutcome, LoadReport, Request, RouteLoad, Verdict,
    body_hash, judge,
};
use rstest::rstest;

const BODY_BYTES: u64 = 40;

fn request() -> Request {
    let caller = Caller { caller: "bank".parse().unwrap(), weight: Share(1.0) };
    let route = RouteLoad {
        path: "/parts/order".to_owned(),
        weight: Share(1.0),
        at_most_once: true,
        body_bytes: ByteCount(BODY_BYTES),
        timeout_ms: Millis(1000),
    };
    Request::new("t", 7, &caller, &route)
}

fn echo(upstream: &str, request: &str, body_bytes: u64, body_hash: &str) -> Vec<u8> {
    let value = serde_json::json!({
        "upstream": upstream, "request": request,
        "body_bytes": body_bytes, "body_hash": body_hash, "padding": "",
    });
    value.to_string().into_bytes()
}

fn right() -> Vec<u8> {
    echo("u1", "t-7", BODY_BYTES, &body_hash(&request().body))
}

fn own(cause: &str, outcome: Option<&str>) -> Answer {
    Answer {
        status: 503,
        cause: Some(cause.to_owned()),
        outcome: outcome.map(str::to_owned),
        ..Answer::default()
    }
}

fn passed_on(status: u16, upstream: Option<&str>, body: Vec<u8>) -> Answer {
    Answer { status, upstream: upstream.map(str::to_owned), body, ..Answer::default() }
}

#[rstest]
#[case::right(passed_on(200, Some("u1"), right()), "answered")]
#[case::right_without_upstream_header(passed_on(200, None, right()), "answered")]
#[case::other_request(passed_on(200, None, echo("u1", "t-8", BODY_BYTES, "0")), "wrong")]
#[case::short_body(passed_on(200, None, echo("u1", "t-7", 39, "0")), "wrong")]
#[case::other_body(passed_on(200, None, echo("u1", "t-7", BODY_BYTES, "0")), "wrong")]
#[case::other_upstream(passed_on(200, Some("u2"), right()), "wrong")]
#[case::cut_json(passed_on(200, Some("u1"), right()[..30].to_vec()), "wrong")]
#[case::empty(passed_on(200, Some("u1"), Vec::new()), "wrong")]
#[case::upstream_error(passed_on(500, Some("u1"), Vec::new()), "failed 500")]
#[case::nobodys_error(passed_on(500, None, Vec::new()), "wrong")]
#[case::refused(own("queue-full", Some("not-run")), "refused queue-full not-run")]
#[case::refused_unknown(own("expired", Some("unknown")), "refused expired unknown")]
#[case::refused_without_outcome(own("expired", None), "wrong")]
#[case::refused_with_bad_outcome(own("expired", Some("maybe")), "wrong")]
fn an_answer_is_judged(#[case] answer: Answer, #[case] expected: &str) {
    let found = match judge(&request(), &answer) {
        Verdict::Answered => "answered".to_owned(),
        Verdict::Failed { status } => format!("failed {status}"),
        Verdict::Refused { cause, outcome } => format!("refused {cause} {outcome}"),
        Verdict::Wrong { .. } => "wrong".to_owned(),
        Verdict::Lost { .. } => "lost".to_owned(),
    };
    assert_eq!(found, expected);
}

#[rstest]
#[case::each_once(vec![vec![("a", 1)], vec![("b", 1)]], 0, 0)]
#[case::twice_on_one(vec![vec![("a", 2)]], 1, 0)]
#[case::once_on_two(vec![vec![("a", 1)], vec![("a", 1)]], 1, 0)]
#[case::repeatable_twice(vec![vec![("r", 2)]], 0, 0)]
#[case::told_not_run_but_ran(vec![vec![("n", 1)]], 0, 1)]
fn ledgers_tell_what_ran_too_often(
    #[case] ledgers: Vec<Vec<(&str, u64)>>,
    #[case] doubled: u64,
    #[case] false_not_run: u64,
) {
    let ids = |ids: &[&str]| ids.iter().map(ToString::to_string).collect::<Vec<_>>();
    let outcome = LoadOutcome {
        report: LoadReport::default(),
        at_most_once: ids(&["a", "b", "n"]),
        told_not_run: ids(&["n"]),
    };
    let ledgers: Vec<Ledger> = ledgers
        .iter()
        .map(|runs| Ledger { runs: runs.iter().map(|(id, n)| (id.to_string(), *n)).collect() })
        .collect();
    let check = LedgerCheck::new(&outcome, &ledgers);
    assert_eq!(check, LedgerCheck { doubled, false_not_run });
}
