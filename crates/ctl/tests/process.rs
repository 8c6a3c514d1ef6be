//! Commands on a running process, against a mock of its operator address.
#![allow(clippy::unwrap_used)]

use rstest::rstest;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::prelude::*;
use std::path::Path;
use std::process::Output;

const PWANI: &str = "examples/pwani/base.json";
const PWANI_SITE: &str = "examples/pwani/dar-es-salaam.json";

const UPSTREAM: &str = r#"[{"service": "portal", "upstream": "portal-1", "takes_work": false,
    "open_slots": 0, "load": [5, {"busy": 2, "queued": 0}], "heard_ms": null, "new": "a\nb",
    "reasons": ["removed", {"ejected": {"since_ms": 1, "until_ms": 3}}]},
    {"service": "parts", "upstream": "portal-1", "takes_work": true, "reasons": []}]"#;
const CALL: &str = r#"[{"at_ms": 4, "call": 7, "decision": "arrived"},
    {"at_ms": 9, "call": 7, "decision": {"sent": {"upstream": "u1", "seen": {"in_flight": 1}}}}]"#;

/// How the mock server behaves.
#[derive(Debug, Clone, Copy)]
enum Mode {
    /// Ready, with a configuration in force.
    Serving,
    /// Alive but not ready, without a configuration in force.
    Starting,
    /// Another kind of server.
    OtherServer,
    /// Redirects every request.
    Redirecting,
}

#[handler]
impl Mode {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let path = req.uri().path().to_owned();
        match (self, req.method().as_str(), path.as_str()) {
            (Mode::OtherServer, ..) => res.render("hello"),
            (Mode::Redirecting, ..) => res.render(salvo::writing::Redirect::found("/livez")),
            (Mode::Starting, _, "/readyz") => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            }
            (_, "GET", "/livez" | "/readyz") => res.render("ok"),
            (Mode::Starting, _, "/state") => res.render(Text::Json(r#"{"config": null}"#)),
            (Mode::Serving, "GET", "/state") => res.render(Text::Json(state())),
            (_, "GET", "/explain/upstream/portal-1") => {
                res.render(Text::Json(UPSTREAM));
            }
            (_, "GET", "/explain/call/a%20%2Fb") => res.render(Text::Json(CALL)),
            (_, "GET", "/explain/call/7") => {
                res.status_code(StatusCode::NOT_FOUND);
                res.render(Text::Json(r#"{"error": "no call", "remedy": "look at x-call"}"#));
            }
            (_, "GET", "/explain/call/8") => res.render(Text::Json(r#"{"call": 8}"#)),
            (Mode::Serving, "POST", "/drain") => {
                res.status_code(StatusCode::ACCEPTED);
                res.render("draining\n");
            }
            (Mode::Starting, "POST", "/drain") => {
                res.status_code(StatusCode::CONFLICT);
                res.render("not started");
            }
            _ => {
                res.status_code(StatusCode::NOT_FOUND);
            }
        }
    }
}

fn state() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let read = |name: &str| std::fs::read_to_string(root.join(name)).unwrap();
    let mut config = config::merge(&read(PWANI), Some(&read(PWANI_SITE))).unwrap();
    config.callers.max_waiting = 7;
    serde_json::json!({ "versions": { "base": 3, "overlay": 5 }, "config": config }).to_string()
}

async fn run(mode: Mode, args: &[&str]) -> Output {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let acceptor = TcpAcceptor::try_from(listener).unwrap();
    let address = acceptor.local_addr().unwrap().to_string();
    let router = Router::with_path("{**rest}").goal(mode);
    let server = tokio::spawn(Server::new(acceptor).serve(router));
    let output = command(&address, args).await;
    server.abort();
    output
}

async fn command(address: &str, args: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_jujubectl"));
    // A proxy in the environment must not be used.
    command.env("http_proxy", "http://127.0.0.1:1").env("HTTP_PROXY", "http://127.0.0.1:1");
    command.current_dir(root).args(args).args(["--operator", address, "--timeout-ms", "60000"]);
    command.output().await.unwrap()
}

fn check(output: &Output, code: i32, stdout: &str, stderr: &str) {
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert!(std::str::from_utf8(&output.stdout).unwrap().contains(stdout), "{output:?}");
    assert!(std::str::from_utf8(&output.stderr).unwrap().contains(stderr), "{output:?}");
}

#[rstest]
#[case::healthy(Mode::Serving, &["health"], 0, "alive: yes\nready: yes", "")]
#[case::healthy_json(Mode::Serving, &["health", "--json"], 0, "\"ready\": true", "")]
#[case::not_ready(Mode::Starting, &["health"], 1, "ready: no", "")]
#[case::dump(Mode::Serving, &["dump"], 0, "versions:\n  base: 3\n  overlay: 5", "")]
#[case::dump_part(Mode::Serving, &["dump", "versions"], 0, "base: 3\noverlay: 5\n", "")]
#[case::dump_nested_json(Mode::Serving, &["dump", "config.availability_zones.0", "--json"], 0,
    "\"kariakoo\"", "")]
#[case::dump_unknown_part(Mode::Serving, &["dump", "ghost"], 1, "",
    "remedy: use one of: config, versions")]
#[case::explain(Mode::Serving, &["explain", "upstream", "portal-1"], 0,
    "portal-1 of portal: takes no work\n  heard ms: none\n  load: 5, busy 2, queued 0\n  \
     new: \"a\\nb\"\n  open slots: 0\n  because: removed\n  \
     because: ejected: since ms 1, until ms 3\nportal-1 of parts: takes work\n  \
     nothing speaks against it\n", "")]
#[case::explain_json(Mode::Serving, &["explain", "upstream", "portal-1", "--json"], 0,
    "\"since_ms\": 1", "")]
#[case::explain_call(Mode::Serving, &["explain", "call", "a /b"], 0,
    "4 ms  arrived\n9 ms  sent: seen (in flight 1), upstream u1\n", "")]
#[case::explain_call_json(Mode::Serving, &["explain", "call", "a /b", "--json"], 0,
    "\"at_ms\": 9", "")]
#[case::explain_old_call(Mode::Serving, &["explain", "call", "7"], 1, "",
    "remedy: look at x-call")]
#[case::explain_unexpected_response(Mode::Serving, &["explain", "call", "8"], 1, "",
    "of the same release")]
#[case::explain_unknown(Mode::Serving, &["explain", "upstream", "ghost"], 1, "",
    "remedy: check the id")]
#[case::drain(Mode::Serving, &["drain"], 0, "is draining", "")]
#[case::drain_json(Mode::Serving, &["drain", "--json"], 0, "\"draining\": true", "")]
#[case::drain_refused(Mode::Starting, &["drain"], 1, "", "answered 409: not started")]
#[case::diff(Mode::Serving, &["diff", PWANI, PWANI_SITE], 0,
    "setting callers.max_waiting: 7 -> 50\n", "")]
#[case::diff_without_config(Mode::Starting, &["diff", PWANI, PWANI_SITE], 1, "",
    "no configuration in force")]
#[case::other_server(Mode::OtherServer, &["dump"], 1, "",
    "operator address, of the same release")]
#[case::redirect_is_not_followed(Mode::Redirecting, &["dump"], 1, "", "answered 302")]
#[tokio::test]
async fn prints_response_and_exits_with_code(
    #[case] mode: Mode,
    #[case] args: &[&str],
    #[case] code: i32,
    #[case] stdout: &str,
    #[case] stderr: &str,
) {
    check(&run(mode, args).await, code, stdout, stderr);
}

#[rstest]
#[case::text(&["health"], "remedy: check that the process runs")]
#[case::json(&["--json", "drain"], "\"error\": ")]
#[case::diff(&["diff", PWANI, PWANI_SITE], "can't be reached")]
#[tokio::test]
async fn unreachable_process_is_an_error(#[case] args: &[&str], #[case] stderr: &str) {
    // Bound but not listening: reserves the port, and connections to it are refused.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap().to_string();
    check(&command(&address, args).await, 3, "", stderr);
}
