//! What the retry budget is charged for: attempts beyond the first that reach an upstream.
#![allow(clippy::unwrap_used)]

mod support;

use dispatch::retry_budget::RetryAccount;
use domain::Share;
use gateway::run::Gateway;
use rstest::rstest;
use support::caller::{Caller, get};
use support::upstream::{Behaviour, StandInUpstream};
use support::{
    caller_address, on_one_thread, published, ready, service, settings, start, wait_until,
};

fn account(gateway: &Gateway) -> RetryAccount {
    gateway.host().retry_budget().account(gateway.host().now_ms(), &service())
}

#[rstest]
#[case::served(Behaviour::Respond, 0)]
#[case::failed(Behaviour::Status(500), 1)]
#[case::rejected(Behaviour::NotRun, 1)]
#[case::cut(Behaviour::Truncated, 1)]
#[case::garbage(Behaviour::Garbage, 1)]
#[case::reset(Behaviour::Reset, 1)]
#[case::crashed(Behaviour::Crash(1), 1)]
fn a_retry_is_charged_once_it_is_sent(#[case] act: Behaviour, #[case] charged: u32) {
    on_one_thread(async {
        let (first, second) =
            (StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await);
        let (gateway, _published) = ready(&[&first, &second]).await;
        first.add_to_script([act.clone()]);
        second.set_load("5,0,6,100");
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        assert_eq!(caller.exchange(&get("/any/x", "id-1")).await.status, 200, "{act:?}");
        assert_eq!(account(&gateway).retries, charged);
        assert_eq!(first.requests().len() + second.requests().len(), 1 + charged as usize);
    });
}

/// Guards against retries that are charged though no upstream is left to send them to.
#[test]
fn a_retry_that_is_not_sent_is_given_back() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _published) = ready(&[&upstream]).await;
        let before = account(&gateway);
        upstream.add_to_script([Behaviour::Status(500)]);
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        assert_eq!(caller.exchange(&get("/any/x", "id-1")).await.status, 500);
        let after = account(&gateway);
        assert_eq!((after.retries, upstream.requests().len()), (0, 1));
        assert!(after.remaining > before.remaining - 1.0, "{before:?}, {after:?}");
    });
}

/// Guards against attempts beyond the first that are sent without a charge.
#[test]
fn a_request_is_not_retried_once_the_budget_is_spent() {
    on_one_thread(async {
        let (first, second) =
            (StandInUpstream::start("i-1").await, StandInUpstream::start("i-2").await);
        let mut settings = settings(&[]);
        // Otherwise the request's own share may complete a retry, which it is then allowed.
        settings.limits.retries.ratio = Share(0.0);
        settings.limits.retries.slack = 0.0;
        let gateway = start(settings, &published(&[&first, &second])).await;
        wait_until("it is ready", || gateway.host().is_ready()).await;
        let now_ms = gateway.host().now_ms();
        while gateway.host().retry_budget().try_reserve(now_ms, &service()) {}
        for upstream in [&first, &second] {
            upstream.add_to_script([Behaviour::NotRun]);
        }
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let got = caller.exchange(&get("/any/x", "id-1")).await;
        assert_eq!((got.status, got.cause.as_str()), (503, "upstreams-refused"));
        assert_eq!(first.requests().len() + second.requests().len(), 1);
        let text = gateway.host().metrics.render();
        assert!(text.contains("gateway_repeats_denied_total"), "{text}");
    });
}
