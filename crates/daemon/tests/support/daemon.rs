//! The real daemon as a process, with stand-ins for the platform.

use super::{PATIENCE, exchange, header};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Largest request body in the tests' configuration.
pub const MAX_BODY_BYTES: usize = 1000;
/// Largest held answer in the tests' configuration.
pub const HELD_BYTES: usize = 100;

/// One service with one upstream, under `/parts`.
pub fn site_config(upstream: SocketAddr) -> String {
    serde_json::json!({
        "availability_zones": ["kariakoo"],
        "limits": { "max_body_bytes": MAX_BODY_BYTES, "held_answer_bytes": HELD_BYTES },
        "services": { "parts": {
            "deadline_ms": 20000,
            "routes": [{ "path_prefix": "/parts", "repeat": "at-most-once" }],
            "upstreams": { "parts-1": {
                "address": upstream, "availability_zone": "kariakoo", "slots": 6, "connections": 250,
            }},
        }},
    })
    .to_string()
}

/// Serves one base, no overlay and a host list that holds the daemon alone.
pub async fn start_platform(base: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_platform(stream, base.clone()));
        }
    });
    address
}

const HOSTS: &str = r#"{"version":1,"hosts":[{"host":"e1","peer_address":"127.0.0.1:1",
    "availability_zone":"kariakoo","leaving":false}]}"#;

async fn serve_platform(mut stream: TcpStream, base: String) {
    let mut buffer = vec![0; 8192];
    while let Ok(n @ 1..) = stream.read(&mut buffer).await {
        let request = String::from_utf8_lossy(&buffer[..n]).into_owned();
        let path = request.split(' ').nth(1).unwrap_or_default();
        let answer = match path {
            "/v1/values/base" => text(200, &base),
            _ if path.contains("after=") => continue,
            _ if path.starts_with("/v1/hosts/") => text(200, HOSTS),
            _ => text(404, ""),
        };
        stream.write_all(answer.as_bytes()).await.unwrap_or_default();
    }
}

fn text(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nx-version: 1\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// A running daemon; killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    process: Child,
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub operator: SocketAddr,
}

impl Daemon {
    /// Starts it and waits until it is ready.
    pub async fn start(upstream: SocketAddr) -> Daemon {
        let platform = start_platform(site_config(upstream)).await;
        let daemon = Daemon::start_with(platform);
        daemon.wait_ready("200").await;
        daemon
    }

    /// Starts it and waits until it listens.
    pub fn start_with(platform: SocketAddr) -> Daemon {
        let mut process = command(platform).stdout(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(process.stdout.take().unwrap()).lines();
        let mut next = |role: &str| {
            let line = lines.next().unwrap().unwrap();
            line.strip_prefix(&format!("listening {role} ")).unwrap().parse().unwrap()
        };
        Daemon { caller: next("caller"), peer: next("peer"), operator: next("operator"), process }
    }

    pub async fn wait_ready(&self, status: &str) {
        self.wait_for("/readyz", |answer| answer.starts_with(&format!("HTTP/1.1 {status}"))).await;
    }

    /// Asks an operators' path until the answer meets a condition.
    pub async fn wait_for(&self, path: &str, condition: impl Fn(&str) -> bool) -> String {
        let asking = async {
            loop {
                let answer = self.operator("GET", path).await;
                if condition(&answer) {
                    return answer;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(PATIENCE, asking).await.expect("the daemon never said so")
    }

    pub async fn operator(&self, method: &str, path: &str) -> String {
        let request = format!("{method} {path} HTTP/1.1\r\nhost: d\r\nconnection: close\r\n\r\n");
        exchange(self.operator, &request).await
    }

    /// Sends raw bytes as a caller and reads until the connection ends.
    pub async fn call(&self, request: &str) -> String {
        exchange(self.caller, request).await
    }

    pub fn signal(&self, signal: i32) {
        #[allow(unsafe_code)]
        // SAFETY: sends a signal to a child that has not been waited for.
        let sent = unsafe { libc::kill(self.process.id().cast_signed(), signal) };
        assert_eq!(sent, 0);
    }

    pub async fn exit_status(mut self) -> ExitStatus {
        let waiting = async {
            loop {
                if let Some(status) = self.process.try_wait().unwrap() {
                    return status;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(PATIENCE, waiting).await.expect("the daemon never ended")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The daemon's command line with complete settings, and proxies that lead nowhere.
pub fn command(platform: SocketAddr) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jujubedeald"));
    for name in ["caller", "peer", "operator"] {
        command.args([format!("--{name}-address"), "127.0.0.1:0".into()]);
    }
    for name in ["config-service", "host-list"] {
        command.args([format!("--{name}"), platform.to_string()]);
    }
    command.args(["--host", "e1", "--site", "dar", "--availability-zone", "kariakoo"]);
    command.args(["--drain-notice-ms", "200", "--log", "warn"]);
    for name in ["http_proxy", "HTTP_PROXY", "all_proxy", "ALL_PROXY"] {
        command.env(name, "http://127.0.0.1:9");
    }
    command
}

/// Runs a command that ends by itself; its exit code and standard error.
pub fn run(command: &mut Command) -> (i32, String) {
    let mut process = command.stderr(Stdio::piped()).stdout(Stdio::null()).spawn().unwrap();
    let mut errors = String::new();
    process.stderr.take().unwrap().read_to_string(&mut errors).unwrap();
    (process.wait().unwrap().code().unwrap(), errors)
}

/// Status and cause of an answer.
pub fn verdict(answer: &str) -> (u16, Option<&str>) {
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
    (status.unwrap_or_default(), header(answer, "x-cause"))
}
