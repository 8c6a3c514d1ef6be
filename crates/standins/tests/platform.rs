//! The contracts of the configuration service and of the host list.

#![allow(clippy::unwrap_used)]

use domain::{Millis, SiteName, Version};
use reqwest::{Client, RequestBuilder};
use rstest::rstest;
use standins::config_service::{
    self, ConfigFaults, ConfigServiceHandle, ConfigServiceSettings, MAX_VALUE_BYTES, PublishError,
    ValueKey,
};
use standins::host_list::{self, HostListFaults, HostListHandle, HostListSettings};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Longer than any test takes.
const FOR_EVER_MS: Millis = Millis(3_600_000);

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn client() -> Client {
    Client::builder().no_proxy().build().unwrap()
}

/// Status, version and text of an answer, in one line; `none` if there is no answer.
async fn answer_to(request: RequestBuilder) -> String {
    let Ok(answer) = request.send().await else { return "none".into() };
    let status = answer.status().as_u16();
    let version = answer.headers().get("x-version").map(|v| v.to_str().unwrap().to_owned());
    match (status, version) {
        (200, Some(version)) => format!("200 v{version} {}", answer.text().await.unwrap()),
        (200, None) => format!("200 {}", answer.text().await.unwrap()),
        _ => status.to_string(),
    }
}

async fn config_service() -> ConfigServiceHandle {
    config_service::start(ConfigServiceSettings { listen: any_port() }).await.unwrap()
}

fn get(service: &ConfigServiceHandle, path: &str) -> RequestBuilder {
    client().get(format!("http://{}{path}", service.address)).header("x-reader", "e1")
}

#[rstest]
#[case::newest("/v1/values/base", "{}", "200 v3 base-3")]
#[case::overlay("/v1/values/overlay/dar", "{}", "200 v1 overlay-1")]
#[case::other_overlay("/v1/values/overlay/ktm", "{}", "404")]
#[case::no_key("/v1/values/elsewhere", "{}", "404")]
#[case::newer_is_there("/v1/values/base?after=2&wait_ms=3600000", "{}", "200 v3 base-3")]
#[case::no_newer("/v1/values/base?after=3&wait_ms=1", "{}", "304")]
#[case::no_newer_no_wait("/v1/values/base?after=3", "{}", "304")]
#[case::never_published("/v1/values/overlay/ktm?after=0&wait_ms=1", "{}", "404")]
#[case::down("/v1/values/base", r#"{"down":true}"#, "none")]
#[case::stale("/v1/values/base", r#"{"stale_at":2}"#, "200 v2 base-2")]
#[case::stale_before_all("/v1/values/base", r#"{"stale_at":0}"#, "404")]
#[case::stale_for_it("/v1/values/base", r#"{"stale_at":1,"stale_reader":"e1"}"#, "200 v1 base-1")]
#[case::stale_for_another(
    "/v1/values/base",
    r#"{"stale_at":1,"stale_reader":"e2"}"#,
    "200 v3 base-3"
)]
#[case::stale_watch("/v1/values/base?after=2&wait_ms=1", r#"{"stale_at":2}"#, "304")]
#[case::late("/v1/values/base", r#"{"delay_ms":1}"#, "200 v3 base-3")]
#[case::too_often("/v1/values/base", r#"{"reads_per_second":0}"#, "429")]
#[tokio::test]
async fn a_value_is_read(#[case] path: &str, #[case] faults: &str, #[case] expected: &str) {
    let service = config_service().await;
    for text in ["base-1", "base-2", "base-3"] {
        service.publish(ValueKey::Base, text).unwrap();
    }
    service.publish(ValueKey::Overlay("dar".parse().unwrap()), "overlay-1").unwrap();
    let url = format!("http://{}/standin/faults", service.address);
    assert_eq!(answer_to(client().post(url).body(faults.to_owned())).await, "200 set");
    assert_eq!(answer_to(get(&service, path)).await, expected);
}

#[tokio::test]
async fn a_watch_wakes_and_counts_once() {
    let service = config_service().await;
    let watch = get(&service, "/v1/values/base?after=0&wait_ms=60000");
    let watch = tokio::spawn(answer_to(watch));
    while service.calls().watches == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let url = format!("http://{}/v1/values/base", service.address);
    assert_eq!(answer_to(client().put(url).body("base-1")).await, "200 v1 1");
    assert_eq!(watch.await.unwrap(), "200 v1 base-1");
    let calls = answer_to(get(&service, "/standin/calls")).await;
    assert_eq!(calls, r#"200 {"calls":1,"watches":1,"refused":0}"#);
}

#[tokio::test]
async fn going_down_cuts_a_watch() {
    let service = config_service().await;
    let watch = get(&service, "/v1/values/base?after=0&wait_ms=60000");
    let watch = tokio::spawn(answer_to(watch));
    while service.calls().watches == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    service.set_faults(ConfigFaults { down: true, ..Default::default() });
    assert_eq!(watch.await.unwrap(), "none");
    assert_eq!(service.publish(ValueKey::Base, "base-1"), Ok(Version(1)));
}

#[rstest]
#[case::largest(MAX_VALUE_BYTES.0, Ok(Version(1)), "200 v2 2")]
#[case::too_large(MAX_VALUE_BYTES.0 + 1, Err(PublishError::TooLarge), "413")]
#[tokio::test]
async fn a_value_has_a_size_limit(
    #[case] bytes: u64,
    #[case] published: Result<Version, PublishError>,
    #[case] answer: &str,
) {
    let service = config_service().await;
    let text = " ".repeat(bytes as usize);
    assert_eq!(service.publish(ValueKey::Base, &text), published);
    let url = format!("http://{}/v1/values/base", service.address);
    assert_eq!(answer_to(client().put(url).body(text)).await, answer);
}

async fn host_list() -> HostListHandle {
    host_list::start(HostListSettings { listen: any_port() }).await.unwrap()
}

const ONE_HOST: &str = r#"{"host":"e1","peer_address":"127.0.0.1:7001","availability_zone":"kariakoo","leaving":false}"#;

#[rstest]
#[case::newest("dar", HostListFaults::default(), &format!(r#"200 {{"version":2,"hosts":[{ONE_HOST}]}}"#))]
#[case::other_site("ktm", HostListFaults::default(), "404")]
#[case::down("dar", HostListFaults { down: true, ..Default::default() }, "none")]
#[case::before_all("dar", HostListFaults { lag_ms: FOR_EVER_MS, ..Default::default() }, "404")]
#[tokio::test]
async fn a_list_is_read(
    #[case] site: &str,
    #[case] faults: HostListFaults,
    #[case] expected: &str,
) {
    let list = host_list().await;
    let url = format!("http://{}/v1/hosts", list.address);
    let dar: SiteName = "dar".parse().unwrap();
    assert_eq!(list.replace(dar, Vec::new()), Version(1));
    let body = format!(r#"{{"hosts":[{ONE_HOST}]}}"#);
    assert_eq!(answer_to(client().put(format!("{url}/dar")).body(body)).await, "200 2");

    list.set_faults(faults);
    assert_eq!(answer_to(client().get(format!("{url}/{site}"))).await, expected);
}

#[tokio::test]
async fn a_lagging_list_catches_up() {
    let list = host_list().await;
    list.set_faults(HostListFaults { lag_ms: Millis(50), ..Default::default() });
    list.replace("dar".parse().unwrap(), Vec::new());
    let url = format!("http://{}/v1/hosts/dar", list.address);
    while answer_to(client().get(&url)).await == "404" {}
    assert_eq!(answer_to(client().get(&url)).await, r#"200 {"version":1,"hosts":[]}"#);
}
