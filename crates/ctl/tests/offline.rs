//! Commands on files: output, exit codes and remedies.
#![allow(clippy::unwrap_used)]

use rstest::rstest;
use std::path::Path;
use std::process::{Command, Output};

const PWANI: &str = "examples/pwani/base.json";
const PWANI_SITE: &str = "examples/pwani/dar-es-salaam.json";
const HIMAL: &str = "examples/himal/base.json";
const HIMAL_SITE: &str = "examples/himal/kathmandu-valley.json";

fn run(args: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    Command::new(env!("CARGO_BIN_EXE_jujubectl")).current_dir(root).args(args).output().unwrap()
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

/// Checks the exit code, and that stdout and stderr contain these texts.
fn check(args: &[&str], code: i32, stdout: &str, stderr: &str) {
    let output = run(args);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert!(text(&output.stdout).contains(stdout), "{output:?}");
    assert!(text(&output.stderr).contains(stderr), "{output:?}");
}

#[rstest]
#[case::valid(&["check", PWANI, PWANI_SITE], 0, "dar-es-salaam.json: ok", "")]
#[case::valid_json(&["check", "--json", HIMAL, HIMAL_SITE], 0, "\"problems\": []", "")]
#[case::incomplete_base(
    &["check", HIMAL], 1, "problem(s)",
    "base.json: availability_zones: missing field: state it in the base or the overlay"
)]
#[case::one_overlay_of_two_is_invalid(
    &["check", PWANI, PWANI_SITE, HIMAL_SITE], 1, "dar-es-salaam.json: ok",
    "services.catalogue.routes: missing field"
)]
#[case::problems_as_json(&["--json", "check", PWANI], 1, "\"kind\": \"missing-field\"", "")]
#[case::render(&["render", PWANI, PWANI_SITE], 0, "\"slow_start_ms\": 5000", "")]
#[case::render_invalid(&["render", PWANI], 1, "", "remedy: mend the fields named above")]
#[case::render_invalid_json(&["render", "--json", PWANI], 1, "", "\"remedy\": \"mend the fields")]
#[case::no_difference(
    &["diff", PWANI, PWANI_SITE, "--against", PWANI, PWANI_SITE], 0, "no differences", ""
)]
#[case::difference(
    &["diff", PWANI, PWANI_SITE, "--against", HIMAL, HIMAL_SITE], 0,
    "setting retry.max_attempts: 3 -> 2\nservice catalogue removed", ""
)]
#[case::difference_as_exit_code(
    &["diff", "--exit-code", PWANI, PWANI_SITE, "--against", HIMAL, HIMAL_SITE], 1, "added", ""
)]
#[case::difference_as_json(
    &["--json", "diff", PWANI, PWANI_SITE, "--against", HIMAL, HIMAL_SITE], 0,
    "\"change\": \"service-added\"", ""
)]
#[case::no_such_file(&["check", "nowhere.json"], 2, "", "remedy: check the path")]
#[case::diff_without_other_side(&["diff", PWANI, PWANI_SITE], 2, "", "--against")]
#[case::host_name(&["health", "--operator", "localhost:1"], 2, "", "IP:PORT")]
#[case::no_command(&[], 2, "", "Usage")]
#[case::help(&["--help"], 0, "Exit codes:", "")]
fn prints_result_and_exits_with_code(
    #[case] args: &[&str],
    #[case] code: i32,
    #[case] stdout: &str,
    #[case] stderr: &str,
) {
    check(args, code, stdout, stderr);
}

#[rstest]
#[case::difference(r#"{"callers": {"max_waiting": 9}}"#, 0, "")]
#[case::restated(
    r#"{"callers": {"max_waiting": 50}}"#,
    0,
    "warning: {overlay}: callers.max_waiting: the base says the same, found 50: leave it out"
)]
#[case::truncated("{\"services\": {", 1, "{overlay}: (whole document): no JSON (EOF")]
#[case::zero_slots(
    r#"{"services": {"printer-portal": {"upstreams": {"portal-1": {"slots": 0}}}}}"#,
    1,
    "{overlay}: services.printer-portal.upstreams.portal-1.slots: must not be zero, found 0: give"
)]
#[case::fewer_connections_than_slots(
    r#"{"services": {"printer-portal": {"upstreams": {"portal-1": {"connections": 5}}}}}"#,
    1,
    "{base} + {overlay}: services.printer-portal.upstreams.portal-1.connections: fewer"
)]
fn problems_and_warnings_name_their_file(
    #[case] overlay_text: &str,
    #[case] code: i32,
    #[case] expected: &str,
) {
    let folder = tempfile::tempdir().unwrap();
    let (base, overlay) = (folder.path().join("base.json"), folder.path().join("overlay.json"));
    std::fs::write(&base, run(&["render", PWANI, PWANI_SITE]).stdout).unwrap();
    std::fs::write(&overlay, overlay_text).unwrap();
    let (base, overlay) = (base.to_str().unwrap(), overlay.to_str().unwrap());
    let output = run(&["check", base, overlay]);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let expected = expected.replace("{base}", base).replace("{overlay}", overlay);
    assert!(text(&output.stderr).starts_with(&expected), "{output:?}");
    assert_eq!(text(&output.stderr).is_empty(), expected.is_empty(), "{output:?}");
}

#[test]
fn rendered_configuration_is_a_complete_base() {
    let folder = tempfile::tempdir().unwrap();
    let rendered = folder.path().join("whole.json");
    std::fs::write(&rendered, run(&["render", HIMAL, HIMAL_SITE]).stdout).unwrap();
    let rendered = rendered.to_str().unwrap();
    check(&["diff", rendered, "--against", HIMAL, HIMAL_SITE], 0, "no differences", "");
}
