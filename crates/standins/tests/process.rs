//! Each stand-in as a process: says where it listens, and ends with 0 on SIGTERM.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

/// Ends the process also when the test fails.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(arguments: &str) -> (Process, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_standin"))
        .args(arguments.split(' '))
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    (Process(child), line.trim_end().to_owned())
}

fn terminate(process: &mut Process) -> Option<i32> {
    let kill = format!("kill {}", process.0.id());
    let kill = Command::new("sh").args(["-c", &kill]).status().unwrap();
    assert!(kill.success());
    process.0.wait().unwrap().code()
}

#[rstest]
#[case::upstream(
    "upstream --listen 127.0.0.1:0 --id portal-1 --zone kariakoo --slots 6 --service-ms 5 \
     --service-dist exponential --queue 12 --cold-start-ms 0 --zone-delay-ms 0 \
     --drain-notice-ms 1 --seed 7",
    "upstream"
)]
#[case::config_service("config-service --listen 127.0.0.1:0", "config")]
#[case::host_list("host-list --listen 127.0.0.1:0", "hosts")]
#[case::balancer(
    "balancer --listen 127.0.0.1:0 --entry e1=127.0.0.1:1=127.0.0.1:2 e2=127.0.0.1:1=127.0.0.1:2 \
     --entry e3=127.0.0.1:1=127.0.0.1:2",
    "balancer"
)]
fn a_stand_in_starts_and_ends(#[case] arguments: &str, #[case] role: &str) {
    let (mut process, line) = start(arguments);
    let address = line.strip_prefix(&format!("listening {role} ")).unwrap();
    assert_ne!(address.parse::<SocketAddr>().unwrap().port(), 0);
    assert_eq!(terminate(&mut process), Some(0));
}
