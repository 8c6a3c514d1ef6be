//! Organisations are identified by their keys, and upstreams get names instead of keys.
#![allow(clippy::unwrap_used)]

mod support;

use domain::Millis;
use gateway::event_log::{EventLog, Out};
use gateway::run::Gateway;
use published::{KeyDigest, Organisation, Routing};
use rstest::rstest;
use std::fs::File;
use std::io::Read;
use std::os::fd::OwnedFd;
use support::caller::{Caller, CallerResponse};
use support::source::Published;
use support::upstream::StandInUpstream;
use support::{
    caller_address, on_one_thread, published, routing, settings, start, start_with_log, wait_until,
};

const KEY: &str = "k3y-of-acme";

fn organisation(name: &str, keys: &[&str]) -> Organisation {
    Organisation {
        name: name.parse().unwrap(),
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority: None,
        quota: None,
    }
}

/// A routing that needs keys for `/once/`, and none for `/any/`.
fn keyed(version: u64, organisations: Vec<Organisation>) -> Routing {
    let mut routing = routing(version);
    routing.routes[0].is_public = true;
    routing.organisations = Some(organisations);
    routing
}

async fn started(upstream: &StandInUpstream, routing: Routing) -> (Gateway, Published) {
    let published = published(&[upstream]);
    published.write_routing(routing);
    let gateway = start(settings(&[]), &published).await;
    wait_until("it is ready", || gateway.host().is_ready()).await;
    // A complete state, not only a sample.
    wait_until("its state is confirmed", || gateway.host().state_age_ms().is_some()).await;
    (gateway, published)
}

fn request(path: &str, headers: &[&str]) -> String {
    let lines: String = headers.iter().map(|line| format!("{line}\r\n")).collect();
    format!(
        "GET {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\nX-Deadline-Ms: 1200\r\n\
         {lines}\r\n"
    )
}

async fn send(gateway: &Gateway, path: &str, headers: &[&str]) -> CallerResponse {
    Caller::connect(caller_address(gateway)).await.exchange(&request(path, headers)).await
}

/// A caller without a valid key is served in the name of an organisation, or one with a valid key
/// is refused for good.
#[rstest]
#[case::valid(&["Authorization: Bearer k3y-of-acme"], 200, "")]
#[case::scheme_in_another_case(&["authorization: bEARER   k3y-of-acme "], 200, "")]
#[case::second_key(&["Authorization: Bearer other-of-acme"], 200, "")]
#[case::unknown(&["Authorization: Bearer k3y-of-acm"], 401, "unknown-key")]
#[case::other_scheme(&["Authorization: Basic k3y-of-acme"], 401, "unknown-key")]
#[case::no_scheme(&["Authorization: k3y-of-acme"], 401, "unknown-key")]
#[case::none(&[], 401, "unknown-key")]
#[case::empty(&["Authorization: Bearer "], 401, "unknown-key")]
#[case::two(
    &["Authorization: Bearer k3y-of-acme", "Authorization: Bearer other-of-acme"],
    401,
    "unknown-key"
)]
#[case::name_only(&["X-Organisation: acme"], 401, "unknown-key")]
fn a_route_that_needs_a_key_serves_those_who_hold_one(
    #[case] headers: &'static [&'static str],
    #[case] status: u16,
    #[case] cause: &'static str,
) {
    on_one_thread(async move {
        let upstream = StandInUpstream::start("i-1").await;
        let acme = organisation("acme", &[KEY, "other-of-acme"]);
        let (gateway, _) = started(&upstream, keyed(2, vec![acme])).await;
        let got = send(&gateway, "/once/x", headers).await;
        assert_eq!((got.status, got.cause.as_str()), (status, cause), "{got:?}");
        assert_eq!(upstream.requests().len(), usize::from(status == 200));
    });
}

/// An upstream sees a key, or a name that the caller chose for itself.
#[rstest]
#[case::key("/once/x", &["Authorization: Bearer k3y-of-acme"], Some("acme"), &[])]
#[case::claimed_names(
    "/once/x",
    &["x-organisation: evil", "X-ORGANISATION: evil", "Authorization: Bearer k3y-of-acme"],
    Some("acme"),
    &[]
)]
#[case::public_with_key("/any/x", &["Authorization: Bearer k3y-of-acme"], Some("acme"), &[])]
#[case::public_without_key("/any/x", &["X-Organisation: evil"], None, &[])]
#[case::public_with_unknown_key("/any/x", &["Authorization: Bearer unknown"], None, &[])]
#[case::public_with_key_in_another_form("/any/x", &["Authorization: k3y-of-acme"], None, &[])]
#[case::public_with_other_credentials(
    "/any/x",
    &["Authorization: Basic dTpw"],
    None,
    &["Basic dTpw"]
)]
fn an_upstream_gets_the_name_and_no_key(
    #[case] path: &'static str,
    #[case] headers: &'static [&'static str],
    #[case] name: Option<&'static str>,
    #[case] forwarded: &'static [&'static str],
) {
    on_one_thread(async move {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, _) = started(&upstream, keyed(2, vec![organisation("acme", &[KEY])])).await;
        let got = send(&gateway, path, headers).await;
        assert_eq!(got.status, 200, "{got:?}");
        let seen = &upstream.requests()[0];
        assert_eq!(seen.organisations, name.into_iter().collect::<Vec<_>>());
        assert_eq!(seen.authorizations, forwarded);
    });
}

/// A revoked key goes on working on an open connection, or a new one isn't accepted there.
#[test]
fn keys_change_on_open_connections() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, published) =
            started(&upstream, keyed(2, vec![organisation("acme", &[KEY])])).await;
        let mut caller = Caller::connect(caller_address(&gateway)).await;
        let with = |key: &str| request("/once/x", &[&format!("Authorization: Bearer {key}")]);
        assert_eq!(caller.exchange(&with(KEY)).await.status, 200);
        assert_eq!(caller.exchange(&with("new-key")).await.status, 401);
        published.write_routing(keyed(3, vec![organisation("acme", &["new-key"])]));
        wait_until("the change is in force", || {
            let table = gateway.host().table.borrow().clone();
            table.is_some_and(|table| table.routing().version.0 == 3)
        })
        .await;
        assert_eq!(caller.exchange(&with("new-key")).await.status, 200);
        assert_eq!(caller.exchange(&with(KEY)).await.status, 401);
    });
}

/// A host that can't tell whether a key is new refuses it for good; callers don't retry after 401.
#[test]
fn a_host_that_lost_its_source_refuses_unknown_keys_for_now_only() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let (gateway, published) =
            started(&upstream, keyed(2, vec![organisation("acme", &[KEY])])).await;
        published.fail(Some(gateway::source::SourceError::Refused { status: 503 }));
        wait_until("its state is old", || {
            gateway.host().state_age_ms().is_some_and(|age_ms| age_ms > Millis(1_600))
        })
        .await;
        let unknown = send(&gateway, "/once/x", &["Authorization: Bearer new"]).await;
        assert_eq!((unknown.status, unknown.cause.as_str()), (503, "key-unconfirmed"));
        assert!(unknown.retry_after.is_some());
        let known = send(&gateway, "/once/x", &[&format!("Authorization: Bearer {KEY}")]).await;
        assert_eq!(known.status, 200);
    });
}

/// A key leaks into the log, the state dump or the metrics.
#[test]
fn no_output_of_a_host_contains_a_key() {
    on_one_thread(async {
        let upstream = StandInUpstream::start("i-1").await;
        let published = published(&[&upstream]);
        published.write_routing(keyed(2, vec![organisation("acme", &[KEY])]));
        let (mut reader, writer) = std::io::pipe().unwrap();
        let out = Out::File(File::from(OwnedFd::from(writer)));
        let settings = settings(&[]);
        let log = EventLog::new(settings.host.clone(), Some(out));
        let gateway = start_with_log(settings, &published, log).await;
        wait_until("its state is confirmed", || gateway.host().state_age_ms().is_some()).await;
        let header = format!("Authorization: Bearer {KEY}");
        for path in ["/once/x", "/any/x", "/none/x"] {
            send(&gateway, path, &[&header]).await;
        }
        send(&gateway, "/once/x", &[&format!("Authorization: Basic {KEY}")]).await;
        let operator = gateway.host().settings.borrow().operator.unwrap();
        let mut text = format!("{:?}", gateway.host().table.borrow());
        for path in ["/state", "/metrics"] {
            text += &Caller::connect(operator).await.exchange(&request(path, &[])).await.body;
        }
        gateway.host().log.flush();
        let mut logged = vec![0; 64 * 1024];
        let read = reader.read(&mut logged).unwrap();
        text += &String::from_utf8_lossy(&logged[..read]);
        assert!(text.contains("unknown-key") && text.contains("i-1"), "{text}");
        assert!(!text.contains(KEY));
    });
}
