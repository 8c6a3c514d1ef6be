//! `.ci/without-known-red` leaves out the listed tests, and no others.
#![allow(clippy::unwrap_used)]

use rstest::rstest;
use std::fs;
use std::os::unix::fs::symlink;
use std::path::Path;
use std::process::{Command, Output};

const LIST: &str = "\
a_test | cargo test -p gateway --test fleet | failed | 2
a_test::case_1 | cargo test -p gateway --test fleet | failed | 2
a_test | cargo test -p platform --test soak | failed | 2
";

/// Runs the script for a test binary that prints its arguments.
fn run(list: &str, package: &str, binary: &str) -> Output {
    let dir = tempfile::tempdir().unwrap();
    let (list_path, binary_path) = (dir.path().join("list"), dir.path().join(binary));
    fs::write(&list_path, list).unwrap();
    symlink("/bin/echo", &binary_path).unwrap();
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../.ci/without-known-red");
    let mut command = Command::new(script);
    command.args([&list_path, &binary_path]).arg("--quiet");
    command.env("CARGO_PKG_NAME", package).output().unwrap()
}

/// Guards against leaving out tests whose name contains a listed one, or that have it in another
/// file.
#[rstest]
#[case::listed(
    "gateway",
    "fleet-0123abcd",
    "--exact --skip a_test --skip a_test::case_1 --quiet\n"
)]
#[case::another_package("platform", "soak-0123abcd", "--exact --skip a_test --quiet\n")]
#[case::same_file_of_another_package("published", "fleet-0123abcd", "--quiet\n")]
#[case::another_file("gateway", "keys-0123abcd", "--quiet\n")]
fn only_listed_tests_are_left_out(
    #[case] package: &str,
    #[case] binary: &str,
    #[case] arguments: &str,
) {
    let output = run(LIST, package, binary);
    assert_eq!(String::from_utf8(output.stdout).unwrap(), arguments);
    assert!(output.status.success());
}

#[rstest]
#[case::no_file("a_test | cargo test -p gateway | failed | 2\n")]
#[case::a_filter("a_test | cargo test -p gateway --test fleet a_test | failed | 2\n")]
fn a_list_that_names_no_test_file_is_refused(#[case] list: &str) {
    let output = run(list, "gateway", "fleet-0123abcd");
    assert!(!output.status.success());
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("write 'cargo test -p PACKAGE --test FILE'"), "{error}");
}
