//! Child processes: listeners, ends and signals, with a shell as the child.

#![allow(clippy::unwrap_used)]

use fleet::{FleetError, LIMIT, Process, ProcessSpec, Relay, Role, Signal, wait_until};
use rstest::rstest;
use std::path::PathBuf;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const WORKS: &str = "echo listening upstream 127.0.0.1:9; while :; do sleep 0.05; done";
const ENDS_WELL: &str = "trap 'exit 0' TERM; echo listening upstream 127.0.0.1:9; \
    while :; do sleep 0.05; done";
const ENDS_BADLY: &str = "trap 'echo broken pipe >&2; exit 3' TERM; \
    echo listening upstream 127.0.0.1:9; while :; do sleep 0.05; done";

fn start(dir: &TempDir, script: &str) -> Process {
    let spec = ProcessSpec {
        name: "child".to_owned(),
        program: "/bin/sh".into(),
        args: vec!["-c".into(), script.into()],
    };
    Process::start(spec, dir.path()).unwrap()
}

#[tokio::test]
async fn a_printed_listener_is_found() {
    let dir = TempDir::new().unwrap();
    let process = start(&dir, WORKS);
    let address = process.address(Role::Upstream).await.unwrap();
    assert_eq!(address, "127.0.0.1:9".parse().unwrap());
}

#[tokio::test]
async fn an_early_end_shows_the_log() {
    let dir = TempDir::new().unwrap();
    let process = start(&dir, "echo the port is in use >&2; exit 3");
    let report = process.address(Role::Upstream).await.unwrap_err();
    let expected =
        FleetError::Ended { process: "child".to_owned(), log: "the port is in use".to_owned() };
    assert_eq!(*report.current_context(), expected);
}

#[rstest]
#[case::well(ENDS_WELL, true)]
#[case::badly(ENDS_BADLY, false)]
#[case::by_the_signal(WORKS, false)]
#[tokio::test]
async fn only_code_0_is_a_good_stop(#[case] script: &str, #[case] good: bool) {
    let dir = TempDir::new().unwrap();
    let mut process = start(&dir, script);
    process.address(Role::Upstream).await.unwrap();
    assert_eq!(process.stop().await.is_ok(), good);
    assert!(!process.is_running());
}

#[tokio::test]
async fn a_paused_process_runs_on_and_can_be_killed() {
    let dir = TempDir::new().unwrap();
    let mut process = start(&dir, WORKS);
    process.address(Role::Upstream).await.unwrap();
    process.signal(Signal::SIGSTOP).unwrap();
    assert!(process.is_running());
    process.signal(Signal::SIGCONT).unwrap();
    process.signal(Signal::SIGSTOP).unwrap();
    process.kill().await.unwrap();
    assert!(!process.is_running());
    assert!(process.signal(Signal::SIGCONT).is_err());
}

#[tokio::test]
async fn a_dropped_process_is_killed() {
    let dir = TempDir::new().unwrap();
    let process = start(&dir, WORKS);
    process.address(Role::Upstream).await.unwrap();
    let entry = PathBuf::from(format!("/proc/{}", process.id().unwrap()));
    assert!(entry.exists());
    drop(process);
    wait_until("the child is gone", LIMIT, async || !entry.exists()).await.unwrap();
}

#[tokio::test]
async fn a_relay_loses_nothing_over_a_cut() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = Relay::start(listener.local_addr().unwrap()).await.unwrap();
    let mut near = TcpStream::connect(relay.address).await.unwrap();
    let (mut far, _) = listener.accept().await.unwrap();
    near.write_all(b"before").await.unwrap();
    let mut buffer = [0; 6];
    far.read_exact(&mut buffer).await.unwrap();

    relay.set_cut(true);
    near.write_all(b"during").await.unwrap();
    assert!(far.try_read(&mut buffer).is_err());

    relay.set_cut(false);
    far.read_exact(&mut buffer).await.unwrap();
    assert_eq!(&buffer, b"during");
}
