//! Each program of an entry host takes its time from this crate, and from nowhere else.
//!
//! A machine that is suspended for seconds goes on as if no time had passed by its steady clock:
//! requests whose callers are gone were still in time, kept connections still fresh, and what
//! was read before still new. That clock is behind `std`'s and `tokio`'s instants and behind
//! every timer of the runtime.
#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

/// Sources of what runs on an entry host.
const ROOMS: [&str; 7] = [
    "crates/core/src",
    "crates/daemon/src",
    "crates/dispatch/src",
    "crates/gateway/src",
    "crates/listener/src",
    "crates/published/src",
    "platform/src",
];

/// What reads the steady clock, or waits by it.
const STEADY: [&str; 3] = ["Instant", "tokio::time", "thread::sleep"];

#[test]
fn no_steady_clock_is_read() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let files = ROOMS.iter().flat_map(|room| sources(&root.join(room)));
    let found: Vec<String> = files.flat_map(|file| steady_lines(&file)).collect();
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

fn steady_lines(file: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(file).unwrap();
    let is_steady = |line: &&str| STEADY.iter().any(|word| line.contains(word));
    let lines = text.lines().filter(|line| !line.trim_start().starts_with("//"));
    lines.filter(is_steady).map(|line| format!("{}: {}", file.display(), line.trim())).collect()
}
