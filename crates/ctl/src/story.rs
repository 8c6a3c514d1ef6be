//! The story of one request, from the structured logs of any hosts.
//!
//! Lines about the request are merged by time. What its hosts believed and suffered
//! shortly before and meanwhile stands between them, as far as it touches the upstreams
//! that the request met. A line that can't be read is named and passed over.

use crate::error::CtlError;
use crate::output::{Format, Status};
use error_stack::{Report, ResultExt};
use serde::Serialize;
use serde_json::{Map, Value};
use std::fmt::Write as _;
use std::io::Read;
use std::path::{Path, PathBuf};

/// What happened so long before a request still counts as its surroundings.
const BEFORE_MS: u64 = 3_000;

/// Events of a host that bear on every request it serves.
const HOST_EVENTS: [&str; 9] = [
    "started",
    "stopping",
    "stopped",
    "ready",
    "paused",
    "source-lost",
    "source-regained",
    "reading-held",
    "reload-failed",
];

/// Name under which standard input is reported.
const STDIN: &str = "standard input";

/// One line of a log.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    at_ms: u64,
    host: String,
    event: String,
    /// It names the request; the others are what happened around it.
    is_own: bool,
    fields: Map<String, Value>,
}

/// What became of a request.
#[derive(Debug, Serialize)]
pub struct Story {
    id: String,
    lines: Vec<Line>,
    cause: String,
}

/// A line that can't be read.
#[derive(Debug, PartialEq, Eq)]
pub struct BadLine {
    file: String,
    number: usize,
    problem: String,
}

/// Prints the story of a request.
pub fn explain(format: Format, id: &str, files: &[PathBuf]) -> Result<Status, Report<CtlError>> {
    let mut lines = Vec::new();
    for (name, text) in read(files)? {
        let bad = take_lines(&name, &text, &mut lines);
        for BadLine { file, number, problem } in bad {
            eprintln!("{file}:{number}: passed over: {problem}");
        }
    }
    let story = tell(id, lines);
    if !story.lines.iter().any(|line| line.is_own) {
        let path = format!("request {id}");
        let remedy = Some("give the logs of all hosts of that time".to_owned());
        return Err(Report::new(CtlError::NotFound { path, remedy }));
    }
    format.print(&story, &story_text(&story))?;
    Ok(Status::Done)
}

fn read(files: &[PathBuf]) -> Result<Vec<(String, String)>, Report<CtlError>> {
    if files.is_empty() {
        let mut bytes = Vec::new();
        let stdin = std::io::stdin().lock().read_to_end(&mut bytes);
        stdin.change_context_lazy(|| CtlError::UnreadableFile(STDIN.into()))?;
        return Ok(vec![(STDIN.to_owned(), String::from_utf8_lossy(&bytes).into_owned())]);
    }
    files.iter().map(|file| read_file(file)).collect()
}

fn read_file(file: &Path) -> Result<(String, String), Report<CtlError>> {
    let bytes = std::fs::read(file);
    let bytes = bytes.change_context_lazy(|| CtlError::UnreadableFile(file.to_owned()))?;
    Ok((file.display().to_string(), String::from_utf8_lossy(&bytes).into_owned()))
}

fn take_lines(file: &str, text: &str, lines: &mut Vec<Line>) -> Vec<BadLine> {
    let mut bad = Vec::new();
    for (at, text) in text.lines().enumerate().filter(|(_, text)| !text.trim().is_empty()) {
        match read_line(text) {
            Ok(line) => lines.push(line),
            Err(problem) => {
                bad.push(BadLine { file: file.to_owned(), number: at + 1, problem });
            }
        }
    }
    bad
}

/// Whatever carries logs may put something before a line.
fn read_line(text: &str) -> Result<Line, String> {
    let begin = text.find('{').ok_or("no JSON object")?;
    let mut fields: Map<String, Value> =
        serde_json::from_str(&text[begin..]).map_err(|e| e.to_string())?;
    let at_ms = fields.remove("at_ms").and_then(|value| value.as_u64()).ok_or("no `at_ms`")?;
    let mut word = |name: &str| {
        let value = fields.remove(name).and_then(|value| value.as_str().map(str::to_owned));
        value.ok_or_else(|| format!("no `{name}`"))
    };
    let (host, event) = (word("host")?, word("event")?);
    Ok(Line { at_ms, host, event, is_own: false, fields })
}

fn tell(id: &str, mut lines: Vec<Line>) -> Story {
    for line in &mut lines {
        line.is_own = line.fields.get("id").and_then(Value::as_str) == Some(id);
    }
    lines.sort_by_key(|line| line.at_ms);
    let own: Vec<Line> = lines.iter().filter(|line| line.is_own).cloned().collect();
    lines.retain(|line| line.is_own || is_around(line, &own));
    let cause = cause(&own);
    Story { id: id.to_owned(), lines, cause }
}

/// Whether something else that a host logged bears on the request.
fn is_around(line: &Line, own: &[Line]) -> bool {
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return false };
    let is_then = line.at_ms + BEFORE_MS >= first.at_ms && line.at_ms <= last.at_ms;
    let is_there = own.iter().any(|own| own.host == line.host);
    let names_upstream = || {
        let upstream = line.fields.get("upstream");
        upstream.is_some() && own.iter().any(|own| own.fields.get("upstream") == upstream)
    };
    let is_other_request = line.fields.contains_key("id");
    let bears = HOST_EVENTS.contains(&line.event.as_str()) || names_upstream();
    is_then && is_there && !is_other_request && bears
}

/// The last thing that decided about the request, in words.
fn cause(own: &[Line]) -> String {
    let last_failure = own.iter().rev().find(|line| line.event == "send-failed");
    let ending = own
        .iter()
        .rev()
        .find(|line| matches!(line.event.as_str(), "delivered" | "refused" | "caller-gone"));
    let Some(ending) = ending else {
        return "no end is logged: the host ended, or its last lines were lost".to_owned();
    };
    let field = |line: &Line, name: &str| line.fields.get(name).map(plain).unwrap_or_default();
    let mut text = match ending.event.as_str() {
        "delivered" => format!(
            "an answer with status {} of {} was passed on after {} ms (objective {} ms)",
            field(ending, "status"),
            field(ending, "upstream"),
            field(ending, "after_ms"),
            field(ending, "objective_ms"),
        ),
        "refused" => format!(
            "{}: answered {} after {} ms; {}",
            field(ending, "cause"),
            field(ending, "status"),
            field(ending, "after_ms"),
            match ending.fields.get("is_not_run").and_then(Value::as_bool) {
                Some(true) => "it was not run",
                _ => "it may have run",
            },
        ),
        _ => format!("the caller hung up after {} ms", field(ending, "after_ms")),
    };
    if let Some(failure) = last_failure {
        let _ = write!(
            text,
            "; the last failed sending: {} at {} after {} ms",
            field(failure, "failure"),
            field(failure, "upstream"),
            field(failure, "after_ms"),
        );
    }
    text
}

fn story_text(story: &Story) -> String {
    let start_ms = story.lines.iter().find(|line| line.is_own).map_or(0, |line| line.at_ms);
    let mut text = format!("request {}", story.id);
    for line in &story.lines {
        let after_ms = i128::from(line.at_ms) - i128::from(start_ms);
        let mark = if line.is_own { ' ' } else { '~' };
        let _ = write!(text, "\n{after_ms:>+6} ms {mark} {} {}", line.host, line.event);
        for (name, value) in line.fields.iter().filter(|(name, _)| *name != "id") {
            let _ = write!(text, " {name}={}", plain(value));
        }
    }
    let _ = write!(text, "\ncause: {}", story.cause);
    text
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
