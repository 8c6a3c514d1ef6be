//! Explanations for people.
//!
//! Reasons and steps are shown whatever fields they have: a newer process may give more
//! of them than this tool knows.

use crate::output;
use serde_json::{Map, Value};
use std::fmt::Write as _;

/// Why upstreams get work, or don't; `None` if the answer is no such explanation.
pub fn upstreams_text(explained: &Value) -> Option<String> {
    let texts: Option<Vec<String>> = explained.as_array()?.iter().map(upstream_text).collect();
    Some(texts?.join("\n"))
}

/// The steps of a call, a line each; `None` if the answer is no such explanation.
pub fn call_text(explained: &Value) -> Option<String> {
    let lines: Option<Vec<String>> = explained.as_array()?.iter().map(step_text).collect();
    Some(lines?.join("\n"))
}

fn upstream_text(explained: &Value) -> Option<String> {
    let fields = explained.as_object()?;
    let name = |field: &str| Some(output::scalar_text(fields.get(field)?));
    let takes = if fields.get("takes_work")?.as_bool()? { "takes work" } else { "takes no work" };
    let mut text = format!("{} of {}: {takes}", name("upstream")?, name("service")?);
    let shown = ["upstream", "service", "takes_work", "reasons"];
    for (field, value) in fields.iter().filter(|(field, _)| !shown.contains(&field.as_str())) {
        let _ = write!(text, "\n  {}: {}", words(field), flat(value));
    }
    let reasons = fields.get("reasons")?.as_array()?;
    if reasons.is_empty() {
        text.push_str("\n  nothing speaks against it");
    }
    for reason in reasons {
        let _ = write!(text, "\n  because: {}", named(reason));
    }
    Some(text)
}

fn step_text(step: &Value) -> Option<String> {
    let fields = step.as_object()?;
    let at_ms = fields.get("at_ms")?.as_u64()?;
    Some(format!("{at_ms} ms  {}", named(fields.get("decision")?)))
}

/// A closed set's value: its name, then what belongs to it.
fn named(value: &Value) -> String {
    match value {
        Value::String(name) => words(name),
        Value::Object(fields) => {
            let parts = fields.iter().map(|(name, value)| match value {
                Value::Null => words(name),
                value => format!("{}: {}", words(name), flat(value)),
            });
            parts.collect::<Vec<_>>().join(", ")
        }
        value => flat(value),
    }
}

/// A value on one line.
fn flat(value: &Value) -> String {
    match value {
        Value::Object(fields) => flat_fields(fields),
        Value::Array(items) => items.iter().map(flat).collect::<Vec<_>>().join(", "),
        value => output::scalar_text(value),
    }
}

fn flat_fields(fields: &Map<String, Value>) -> String {
    let field = |(name, value): (&String, &Value)| match value {
        Value::Object(fields) => format!("{} ({})", words(name), flat_fields(fields)),
        value => format!("{} {}", words(name), flat(value)),
    };
    fields.iter().map(field).collect::<Vec<_>>().join(", ")
}

/// A field's name as words; its unit stays.
fn words(name: &str) -> String {
    output::scalar_text(&Value::String(name.replace('_', " ")))
}
