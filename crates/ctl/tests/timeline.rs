//! The timeline of a request, from log files.
#![allow(clippy::unwrap_used)]

use rstest::rstest;
use std::io::Write;
use std::process::{Command, Output, Stdio};
use tempfile::NamedTempFile;

const FRONT_1: &str = r#"{"at_ms":1000,"host":"front-1","event":"source-lost","problem":"no answer"}
{"at_ms":2000,"host":"front-1","event":"routed","id":"abc","route":"r","service":"parts","left_ms":1200}
{"at_ms":2003,"host":"front-1","event":"chosen","id":"abc","upstream":"i-1","expected_work":1.1}
{"at_ms":2004,"host":"front-1","event":"sent","id":"abc","upstream":"i-1","sending":1}
{"at_ms":2005,"host":"front-1","event":"sent","id":"other","upstream":"i-1","sending":1}
{"at_ms":2100,"host":"front-1","event":"belief","belief":"upstream-gone","upstream":"i-1"}
{"at_ms":2101,"host":"front-1","event":"belief","belief":"upstream-gone","upstream":"i-9"}
{"at_ms":2104,"host":"front-1","event":"send-failed","id":"abc","upstream":"i-1","failure":"broken","after_ms":100}
{"at_ms":2104,"host":"front-1","event":"refused","id":"abc","status":502,"cause":"upstream-failed","is_not_run":false,"after_ms":104}
"#;

const FRONT_2: &str = r#"  12.3 front-2 {"at_ms":1500,"host":"front-2","event":"routed","id":"abc","route":"r"}
{"at_ms":1510,"host":"front-2","event":"refused","id":"abc","status":503,"cause":"overloaded","is_not_run":true,"after_ms":10}
{"at_ms":1511,"host":"fro
not JSON at all
"#;

fn file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    file
}

fn explain(id: &str, files: &[&NamedTempFile]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jujubectl"));
    command.args(["explain", "request", id]);
    command.args(files.iter().map(|file| file.path())).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn files_are_merged_by_time_with_the_cause_last() {
    let (one, two) = (file(FRONT_1), file(FRONT_2));
    let output = explain("abc", &[&one, &two]);
    assert!(output.status.success());
    let printed = text(&output.stdout);
    let lines: Vec<&str> = printed.lines().collect();
    assert!(lines[0].contains("request abc"), "{printed}");
    assert!(lines.last().unwrap().starts_with("cause: upstream-failed: answered 502"), "{printed}");
    assert!(lines.last().unwrap().contains("it may have run"), "{printed}");
    assert!(lines.last().unwrap().contains("broken at i-1"), "{printed}");
    let position_of = |part: &str| lines.iter().position(|line| line.contains(part)).unwrap();
    assert!(position_of("overloaded") < position_of("chosen"), "{printed}");
    // Context lines are included; other requests and other upstreams' lines are not.
    assert!(printed.contains("source-lost"), "{printed}");
    assert!(printed.contains("belief belief=upstream-gone upstream=i-1"), "{printed}");
    assert!(!printed.contains("other"), "{printed}");
    assert!(!printed.contains("i-9"), "{printed}");
}

/// Guards against a request through a peer whose cause is found in one of the two logs only.
#[test]
fn lines_of_a_tunnel_are_shown_from_both_hosts() {
    let own = file(
        r#"{"at_ms":1000,"host":"front-1","event":"links","service":"parts","state":"down"}
{"at_ms":1900,"host":"front-1","event":"tunnel-opened","tunnel":"front-1/7","relay":"front-2","upstream":"i-1"}
{"at_ms":2004,"host":"front-1","event":"sent","id":"abc","upstream":"i-1","tunnel":"front-1/7"}
{"at_ms":2104,"host":"front-1","event":"refused","id":"abc","status":502,"cause":"upstream-failed","is_not_run":false,"after_ms":104}
"#,
    );
    let relay = file(
        r#"{"at_ms":1899,"host":"front-2","event":"relaying","tunnel":"front-1/7","upstream":"i-1"}
{"at_ms":2110,"host":"front-2","event":"relayed","tunnel":"front-1/7","upstream":"i-1","end":"broken"}
{"at_ms":2111,"host":"front-2","event":"relayed","tunnel":"front-1/8","upstream":"i-1","end":"peer-closed"}
"#,
    );
    let printed = text(&explain("abc", &[&own, &relay]).stdout);
    for part in ["front-1 links", "relay=front-2", "front-2 relaying", "end=broken"] {
        assert!(printed.contains(part), "{part}: {printed}");
    }
    assert!(!printed.contains("front-1/8"), "{printed}");
}

/// Guards against a refusal whose cause is the links of its scheduler's host.
#[test]
fn lost_links_of_the_schedulers_host_are_shown() {
    let own = file(
        r#"{"at_ms":2000,"host":"front-1","event":"routed","id":"abc"}
{"at_ms":2004,"host":"front-1","event":"unplaced","id":"abc","scheduler":"front-2","ahead":0}
"#,
    );
    let scheduler = file(
        r#"{"at_ms":1990,"host":"front-2","event":"links","service":"parts","state":"down"}
{"at_ms":1990,"host":"front-3","event":"links","service":"parts","state":"down"}
"#,
    );
    let printed = text(&explain("abc", &[&own, &scheduler]).stdout);
    assert!(printed.contains("front-2 links"), "{printed}");
    assert!(!printed.contains("front-3"), "{printed}");
}

/// Guards against an overflow at a time near the largest number.
#[test]
fn any_time_is_accepted() {
    let late = FRONT_1.replace("\"at_ms\":2", "\"at_ms\":18446744073709551");
    let output = explain("abc", &[&file(&late)]);
    assert!(output.status.success(), "{}", text(&output.stderr));
}

#[test]
fn unparsable_lines_are_reported_and_skipped() {
    let two = file(FRONT_2);
    let output = explain("abc", &[&two]);
    assert!(output.status.success());
    let problems = text(&output.stderr);
    let path = two.path().display().to_string();
    assert!(problems.contains(&format!("{path}:3: passed over")), "{problems}");
    assert!(problems.contains(&format!("{path}:4: passed over: no JSON object")), "{problems}");
}

#[test]
fn reads_standard_input_without_files() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_jujubectl"))
        .args(["--json", "explain", "request", "abc"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(FRONT_1.as_bytes()).unwrap();
    let output = child.wait_with_output().unwrap();
    let timeline: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(timeline["id"], "abc");
    assert_eq!(timeline["lines"][0]["event"], "source-lost");
}

#[rstest]
#[case::unknown_id("nobody", 1, "give the logs of all hosts")]
fn unknown_request_is_an_error_with_remedy(
    #[case] id: &str,
    #[case] code: i32,
    #[case] remedy: &str,
) {
    let one = file(FRONT_1);
    let output = explain(id, &[&one]);
    assert_eq!(output.status.code(), Some(code));
    assert!(text(&output.stderr).contains(remedy), "{}", text(&output.stderr));
}

#[test]
fn missing_file_is_wrong_usage() {
    let output = Command::new(env!("CARGO_BIN_EXE_jujubectl"))
        .args(["explain", "request", "abc", "/nowhere.log"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn request_without_logged_end_is_reported() {
    let cut: String = FRONT_1.lines().take(4).map(|line| format!("{line}\n")).collect();
    let output = explain("abc", &[&file(&cut)]);
    assert!(text(&output.stdout).contains("cause: no end is logged"));
}
