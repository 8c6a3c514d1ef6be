//! The process: settings, start, operators, peers, stop.
#![allow(clippy::unwrap_used)]

mod support;

use decision_core::{Envelope, Heartbeat, PROTOCOL_VERSION, PeerMessage};
use domain::Incarnation;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::WsClientBuilder;
use rstest::rstest;
use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::process::Command;
use support::daemon::{Daemon, command, run, verdict};
use support::{Behaviour, PATIENCE, RawUpstream, header, read_to_end};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

const COMPLETE: &str = r#"{"host":"e1","site":"dar","availability_zone":"kariakoo",
    "caller_address":"127.0.0.1:0","peer_address":"127.0.0.1:0",
    "operator_address":"127.0.0.1:0","config_service":"127.0.0.1:1",
    "host_list":"127.0.0.1:1","drain_notice_ms":2000}"#;

#[rstest]
#[case::complete(COMPLETE.into(), &[], 0, "")]
#[case::flag_completes(COMPLETE.replace(r#""host":"e1","#, ""), &["--host", "e2"], 0, "")]
#[case::missing(COMPLETE.replace(r#""host":"e1","#, ""), &[], 2, "the setting `host` is missing")]
#[case::unknown(COMPLETE.replace("host_list", "hosts"), &[], 2, "unknown field `hosts`")]
#[case::truncated(COMPLETE[..60].into(), &[], 2, "EOF")]
#[case::empty(String::new(), &[], 2, "EOF")]
#[case::bad_address(COMPLETE.replace("127.0.0.1:1", "nowhere"), &[], 2, "socket address")]
#[case::bad_id(COMPLETE.replace("e1", "e 1"), &[], 2, "printable ASCII")]
#[case::bad_flag(COMPLETE.into(), &["--drain-notice-ms", "x"], 2, "--drain-notice-ms")]
fn checks_settings(
    #[case] file: String,
    #[case] flags: &[&str],
    #[case] code: i32,
    #[case] message: &str,
) {
    let mut settings = tempfile::NamedTempFile::new().unwrap();
    settings.write_all(file.as_bytes()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_jujubedeald"));
    command.arg("--settings").arg(settings.path()).arg("--check").args(flags);
    let (found, errors) = run(&mut command);
    assert_eq!(found, code, "{errors}");
    assert!(errors.contains(message), "{errors}");
}

#[test]
fn names_a_settings_file_that_is_not_there() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jujubedeald"));
    let (code, errors) = run(command.args(["--settings", "/nowhere.json", "--check"]));
    assert_eq!(code, 2);
    assert!(errors.contains("can't read the settings file /nowhere.json"), "{errors}");
}

#[rstest]
#[case("caller")]
#[case("peer")]
#[case("operator")]
fn names_a_port_in_use(#[case] role: &str) {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let mut command = command("127.0.0.1:1".parse().unwrap());
    command.arg(format!("--{role}-address")).arg(address.to_string());
    let (code, errors) = run(&mut command);
    assert_eq!(code, 3, "{errors}");
    assert!(errors.contains(&format!("can't listen on {address} for the {role}")), "{errors}");
    assert!(errors.contains(&format!("change `{role}_address`")), "{errors}");
}

#[tokio::test]
async fn without_a_platform_it_lives_but_refuses() {
    let daemon = Daemon::start_with("127.0.0.1:1".parse().unwrap());
    assert_eq!(verdict(&daemon.operator("GET", "/livez").await).0, 200);
    assert_eq!(verdict(&daemon.operator("GET", "/readyz").await).0, 503);
    let answer = daemon.call("GET /parts HTTP/1.1\r\nhost: h\r\n\r\n").await;
    assert_eq!(verdict(&answer), (503, Some("not-configured")), "{answer}");
}

#[tokio::test]
async fn operators_see_state_and_metrics() {
    let upstream = RawUpstream::start(vec![Behaviour::ok()]).await;
    let daemon = Daemon::start(upstream.address).await;
    for path in ["/parts", "/nowhere"] {
        daemon.call(&format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")).await;
    }
    let metrics = daemon.operator("GET", "/metrics").await;
    for wanted in [
        "jujubedeal_calls_total{outcome=\"answered\"",
        "jujubedeal_refusals_total{cause=\"no-route\"",
        "jujubedeal_attempts_total{end=\"completed\"",
        "jujubedeal_platform_reads_total",
        "jujubedeal_call_duration_ms_bucket{",
    ] {
        assert!(metrics.contains(wanted), "{wanted}: {metrics}");
    }
    let state = daemon.operator("GET", "/state").await;
    assert_eq!(verdict(&state).0, 200);
    assert!(state.contains("parts-1"), "{state}");
    assert_eq!(verdict(&daemon.operator("GET", "/nowhere").await).0, 404);
}

/// Every answer names its call and its entry host; the host tells what it did with it.
#[tokio::test]
async fn explains_the_call_that_an_answer_names() {
    let forged = "HTTP/1.1 200 OK\r\nx-call: 99\r\nx-entry-host: e9\r\ncontent-length: 0\r\n\r\n";
    let upstream = RawUpstream::start(vec![Behaviour::write(forged)]).await;
    let daemon = Daemon::start(upstream.address).await;
    let mut calls = Vec::new();
    for (path, depth, wanted) in [
        ("/parts", "0", "\"delivered\": {"),
        ("/nowhere", "0", "\"cause\": \"no-route\""),
        ("/parts", "x", "\"error\": \"no call"),
    ] {
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: h\r\nx-depth: {depth}\r\nconnection: close\r\n\r\n"
        );
        let answer = daemon.call(&request).await;
        assert_eq!(header(&answer, "x-entry-host"), Some("e1"), "{answer}");
        let call = header(&answer, "x-call").unwrap().to_owned();
        let explained = daemon.operator("GET", &format!("/explain/call/{call}")).await;
        assert!(explained.contains(wanted), "{explained}");
        calls.push(call);
    }
    calls.dedup();
    assert_eq!(calls.len(), 3);
    let answer = daemon.operator("GET", &format!("/explain/call/{}", calls[0])).await;
    assert!(answer.contains("\"upstream\": \"parts-1\""), "{answer}");
}

#[rstest]
#[case::upstream("/explain/upstream/parts-1", 200, "\"takes_work\": true")]
#[case::encoded("/explain/upstream/parts%2D1", 200, "\"service\": \"parts\"")]
#[case::unknown_upstream("/explain/upstream/ghost", 404, "\"remedy\": \"take an id")]
#[case::no_upstream_id("/explain/upstream/a%20b", 404, "\"remedy\": \"take an id")]
#[case::unknown_call("/explain/call/7", 404, "\"remedy\": \"take the number")]
#[case::no_call_id("/explain/call/x", 404, "\"remedy\": \"take the number")]
#[tokio::test]
async fn explains(#[case] path: &str, #[case] status: u16, #[case] wanted: &str) {
    let upstream = RawUpstream::start(vec![Behaviour::ok()]).await;
    let daemon = Daemon::start(upstream.address).await;
    let answer = daemon.operator("GET", path).await;
    assert_eq!(verdict(&answer).0, status, "{answer}");
    assert!(answer.contains(wanted), "{answer}");
}

fn envelope(protocol: u32) -> serde_json::Value {
    let heartbeat = Heartbeat::default();
    let mut envelope = serde_json::to_value(Envelope {
        protocol: PROTOCOL_VERSION,
        from: "e2".parse().unwrap(),
        incarnation: Incarnation(1),
        messages: vec![PeerMessage::Heartbeat(heartbeat)],
    })
    .unwrap();
    envelope["protocol"] = protocol.into();
    envelope
}

fn with(key: &str, value: serde_json::Value) -> serde_json::Value {
    let mut envelope = envelope(PROTOCOL_VERSION);
    envelope[key] = value;
    envelope
}

#[rstest]
#[case::good(envelope(PROTOCOL_VERSION), None)]
#[case::other_protocol(envelope(PROTOCOL_VERSION + 1), Some("other-protocol"))]
#[case::later_shape(serde_json::json!({ "protocol": 99, "news": [] }), Some("other-protocol"))]
#[case::unknown_message(with("messages", serde_json::json!([{ "gossip": {} }])), Some("malformed"))]
#[case::unknown_field(with("extra", 1.into()), Some("malformed"))]
#[case::bad_sender(with("from", "".into()), Some("malformed"))]
#[case::nothing(serde_json::Value::Null, Some("malformed"))]
#[tokio::test]
async fn judges_peer_messages(#[case] sent: serde_json::Value, #[case] refusal: Option<&str>) {
    let daemon = Daemon::start_with("127.0.0.1:1".parse().unwrap());
    let client = WsClientBuilder::new().build(format!("ws://{}", daemon.peer)).await.unwrap();
    let answer = client.request::<(), _>("deliver", rpc_params![sent]).await;
    assert_eq!(answer.is_err(), refusal.is_some(), "{answer:?}");
    let metrics = daemon.operator("GET", "/metrics").await;
    assert!(metrics.contains("jujubedeal_control_bytes_total{direction=\"in\""), "{metrics}");
    if let Some(cause) = refusal {
        let counted = format!("jujubedeal_peer_messages_refused_total{{cause=\"{cause}\"");
        assert!(metrics.contains(&counted), "{metrics}");
    }
}

#[tokio::test]
async fn refuses_oversize_peer_messages() {
    let daemon = Daemon::start_with("127.0.0.1:1".parse().unwrap());
    let client = WsClientBuilder::new()
        .max_request_size(64 << 20)
        .build(format!("ws://{}", daemon.peer))
        .await
        .unwrap();
    let sent = "x".repeat(9 << 20);
    client.request::<(), _>("deliver", rpc_params![sent]).await.unwrap_err();
    assert_eq!(verdict(&daemon.operator("GET", "/livez").await).0, 200);
}

/// A stop by any way: readiness fails first, the call in flight and one that comes during
/// the notice are answered, a second signal changes nothing, the process ends with 0.
#[rstest]
#[case::terminate(Some(libc::SIGTERM))]
#[case::interrupt(Some(libc::SIGINT))]
#[case::operator(None)]
#[tokio::test]
async fn stops_gracefully(#[case] signal: Option<i32>, #[values(false, true)] streamed: bool) {
    let length = if streamed { 999 } else { 9 };
    let first = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    let slow = Behaviour::WriteThenWait(first.into_bytes(), vec![b'y'; length]);
    let upstream = RawUpstream::start(vec![slow, Behaviour::ok()]).await;
    let daemon = Daemon::start(upstream.address).await;
    let mut caller = TcpStream::connect(daemon.caller).await.unwrap();
    caller.write_all(b"GET /parts HTTP/1.1\r\nhost: h\r\n\r\n").await.unwrap();
    upstream.wait_for(|seen| seen.requests.len() == 1).await;
    match signal {
        Some(signal) => daemon.signal(signal),
        None => assert_eq!(verdict(&daemon.operator("POST", "/drain").await).0, 202),
    }
    daemon.wait_ready("503").await;
    daemon.signal(libc::SIGTERM);
    let late = daemon.call("GET /parts HTTP/1.1\r\nhost: h\r\n\r\n").await;
    assert_eq!(verdict(&late).0, 200, "{late}");
    upstream.release();
    let answer = read_to_end(&mut caller).await;
    let body = answer.split_once("\r\n\r\n").unwrap().1;
    assert_eq!(body, "y".repeat(length));
    assert_eq!(daemon.exit_status().await.code(), Some(0));
}

/// Asks on a new connection again and again, until one is refused; the answers.
async fn ask_until_refused(caller: SocketAddr) -> Vec<String> {
    let mut answers = Vec::new();
    loop {
        let mut stream = match TcpStream::connect(caller).await {
            Ok(stream) => stream,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return answers,
            Err(error) => panic!("neither accepted nor refused: {error}"),
        };
        let request = b"GET /parts HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let answer = match stream.write_all(request).await {
            Ok(()) => read_to_end(&mut stream).await,
            Err(error) => error.to_string(),
        };
        answers.push(answer);
    }
}

/// Callers that connect during the stop are answered or refused at connect, never cut, and
/// one that has connected without a request does not hold the stop up.
#[tokio::test]
async fn a_connection_during_the_stop_is_answered_or_refused() {
    let upstream = RawUpstream::start(vec![Behaviour::ok()]).await;
    let daemon = Daemon::start(upstream.address).await;
    let mut silent = TcpStream::connect(daemon.caller).await.unwrap();
    let mut asking = JoinSet::new();
    for _ in 0..8 {
        asking.spawn(ask_until_refused(daemon.caller));
    }
    upstream.wait_for(|seen| seen.requests.len() > 8).await;
    daemon.signal(libc::SIGTERM);
    let answers = tokio::time::timeout(PATIENCE, asking.join_all()).await.unwrap().concat();
    assert!(answers.len() > 8);
    for answer in answers {
        let (status, cause) = verdict(&answer);
        assert!(status == 200 || cause.is_some(), "{answer:?}");
    }
    assert_eq!(read_to_end(&mut silent).await, "");
    assert_eq!(daemon.exit_status().await.code(), Some(0));
}

#[tokio::test]
async fn a_hangup_changes_nothing() {
    let upstream = RawUpstream::start(vec![Behaviour::ok()]).await;
    let daemon = Daemon::start(upstream.address).await;
    daemon.signal(libc::SIGHUP);
    for _ in 0..5 {
        let answer =
            daemon.call("GET /parts HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").await;
        assert_eq!(verdict(&answer).0, 200, "{answer}");
    }
    daemon.signal(libc::SIGTERM);
    assert_eq!(daemon.exit_status().await.code(), Some(0));
}
