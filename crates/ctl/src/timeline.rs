//! Timeline of one request, built from the structured logs of several hosts.
//!
//! Merges the lines about the request by time. Adds context lines: events shortly before or during
//! the request that affect its whole host, the host of its scheduler or an upstream that the
//! request's lines name; and all lines about the tunnels that it was sent through, of both hosts.
//! Reports and skips lines that can't be parsed.

use crate::error::CtlError;
use crate::output::{Format, Status};
use error_stack::{Report, ResultExt};
use serde::Serialize;
use serde_json::{Map, Value};
use std::fmt::Write as _;
use std::io::Read;
use std::path::{Path, PathBuf};

/// Context lines may be this much older than the request's first line.
const CONTEXT_BEFORE_MS: u64 = 3_000;

/// Events that affect every request of a host.
const HOST_EVENTS: [&str; 10] = [
    "links",
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

/// Name of standard input in messages.
const STDIN: &str = "standard input";

/// A parsed log line.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    at_ms: u64,
    host: String,
    event: String,
    /// Whether the line is about the request; otherwise it is a context line.
    is_own: bool,
    fields: Map<String, Value>,
}

/// The lines about a request, its context lines, and its cause.
#[derive(Debug, Serialize)]
pub struct Timeline {
    id: String,
    lines: Vec<Line>,
    cause: String,
}

/// A line that can't be parsed.
#[derive(Debug, PartialEq, Eq)]
pub struct BadLine {
    file: String,
    number: usize,
    problem: String,
}

/// Prints the timeline of a request.
pub fn explain(format: Format, id: &str, files: &[PathBuf]) -> Result<Status, Report<CtlError>> {
    let mut lines = Vec::new();
    for (name, text) in read_inputs(files)? {
        let bad = parse_lines(&name, &text, &mut lines);
        for BadLine { file, number, problem } in bad {
            eprintln!("{file}:{number}: passed over: {problem}");
        }
    }
    let timeline = build_timeline(id, lines);
    if !timeline.lines.iter().any(|line| line.is_own) {
        let path = format!("request {id}");
        let remedy = Some("give the logs of all hosts of that time".to_owned());
        return Err(Report::new(CtlError::NotFound { path, remedy }));
    }
    format.print(&timeline, &timeline_text(&timeline))?;
    Ok(Status::Done)
}

fn read_inputs(files: &[PathBuf]) -> Result<Vec<(String, String)>, Report<CtlError>> {
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

fn parse_lines(file: &str, text: &str, lines: &mut Vec<Line>) -> Vec<BadLine> {
    let mut bad = Vec::new();
    for (index, text) in text.lines().enumerate().filter(|(_, text)| !text.trim().is_empty()) {
        match parse_line(text) {
            Ok(line) => lines.push(line),
            Err(problem) => {
                bad.push(BadLine { file: file.to_owned(), number: index + 1, problem });
            }
        }
    }
    bad
}

/// Parses a line, ignoring any prefix that a log collector added before the JSON object.
fn parse_line(text: &str) -> Result<Line, String> {
    let begin = text.find('{').ok_or("no JSON object")?;
    let mut fields: Map<String, Value> =
        serde_json::from_str(&text[begin..]).map_err(|e| e.to_string())?;
    let at_ms = fields.remove("at_ms").and_then(|value| value.as_u64()).ok_or("no `at_ms`")?;
    let mut take_string = |name: &str| {
        let value = fields.remove(name).and_then(|value| value.as_str().map(str::to_owned));
        value.ok_or_else(|| format!("no `{name}`"))
    };
    let (host, event) = (take_string("host")?, take_string("event")?);
    Ok(Line { at_ms, host, event, is_own: false, fields })
}

fn build_timeline(id: &str, mut lines: Vec<Line>) -> Timeline {
    for line in &mut lines {
        line.is_own = line.fields.get("id").and_then(Value::as_str) == Some(id);
    }
    lines.sort_by_key(|line| line.at_ms);
    let own: Vec<Line> = lines.iter().filter(|line| line.is_own).cloned().collect();
    lines.retain(|line| line.is_own || is_context(line, &own));
    let cause = cause(&own);
    Timeline { id: id.to_owned(), lines, cause }
}

/// Whether a line that is not about the request belongs to its context.
fn is_context(line: &Line, own: &[Line]) -> bool {
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return false };
    let is_in_time =
        line.at_ms.saturating_add(CONTEXT_BEFORE_MS) >= first.at_ms && line.at_ms <= last.at_ms;
    let names = |name: &str, value: &Value| {
        own.iter().any(|own| own.fields.get(name).is_some_and(|named| named == value))
    };
    if line.fields.get("tunnel").is_some_and(|tunnel| names("tunnel", tunnel)) {
        return true;
    }
    let host = Value::String(line.host.clone());
    let is_same_host = own.iter().any(|own| own.host == line.host);
    let is_scheduler = names("scheduler", &host);
    let names_upstream = || {
        let upstream = line.fields.get("upstream");
        upstream.is_some() && own.iter().any(|own| own.fields.get("upstream") == upstream)
    };
    let is_other_request = line.fields.contains_key("id");
    let is_host_event = HOST_EVENTS.contains(&line.event.as_str());
    let is_relevant = match (is_same_host, is_scheduler) {
        (true, _) => is_host_event || names_upstream(),
        (false, true) => is_host_event,
        (false, false) => false,
    };
    is_in_time && !is_other_request && is_relevant
}

/// Describes how the request ended, and its last failed attempt, if any.
fn cause(own: &[Line]) -> String {
    let last_failure = own.iter().rev().find(|line| line.event == "send-failed");
    let ending = own
        .iter()
        .rev()
        .find(|line| matches!(line.event.as_str(), "delivered" | "refused" | "caller-gone"));
    let Some(ending) = ending else {
        return "no end is logged: the host ended, or its last lines were lost".to_owned();
    };
    let field = |line: &Line, name: &str| line.fields.get(name).map(value_text).unwrap_or_default();
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

fn timeline_text(timeline: &Timeline) -> String {
    let start_ms = timeline.lines.iter().find(|line| line.is_own).map_or(0, |line| line.at_ms);
    let mut text = format!("request {}", timeline.id);
    for line in &timeline.lines {
        let after_ms = i128::from(line.at_ms) - i128::from(start_ms);
        let mark = if line.is_own { ' ' } else { '~' };
        let _ = write!(text, "\n{after_ms:>+6} ms {mark} {} {}", line.host, line.event);
        for (name, value) in line.fields.iter().filter(|(name, _)| *name != "id") {
            let _ = write!(text, " {name}={}", value_text(value));
        }
    }
    let _ = write!(text, "\ncause: {}", timeline.cause);
    text
}

fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
