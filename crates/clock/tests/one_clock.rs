//! Each program that runs on a host takes the time from this crate only.
//!
//! The monotonic clock, which `std`, `tokio` and the runtime's timers use, does not count a
//! suspension of the machine: after one, expired requests, stale connections and outdated
//! values would pass as fresh.
#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

/// Sources of what runs on a host.
const SOURCE_DIRS: [&str; 7] = [
    "crates/core/src",
    "crates/daemon/src",
    "crates/dispatch/src",
    "crates/gateway/src",
    "crates/listener/src",
    "crates/published/src",
    "platform/src",
];

/// Names whose use reads the monotonic clock or sets a timer on it.
const MONOTONIC_USES: [&str; 3] = ["Instant", "tokio::time", "thread::sleep"];

#[test]
fn monotonic_clock_is_not_used() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let files = SOURCE_DIRS.iter().flat_map(|dir| sources(&root.join(dir)));
    let found: Vec<String> = files.flat_map(|file| monotonic_lines(&file)).collect();
    assert!(found.is_empty(), "{} places:\n{}", found.len(), found.join("\n"));
}

fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let inside = |path: PathBuf| match path.is_dir() {
        true => sources(&path),
        false => vec![path],
    };
    entries.flat_map(inside).collect()
}

fn monotonic_lines(file: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(file).unwrap();
    let is_monotonic = |line: &&str| MONOTONIC_USES.iter().any(|word| line.contains(word));
    let lines = text.lines().filter(|line| !line.trim_start().starts_with("//"));
    lines.filter(is_monotonic).map(|line| format!("{}: {}", file.display(), line.trim())).collect()
}
