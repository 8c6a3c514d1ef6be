//! Formats explanations as text.
//!
//! Prints all fields of reasons and steps, also those that this tool doesn't know, as a newer
//! process may send more.

use crate::output;
use serde_json::{Map, Value};
use std::fmt::Write as _;

/// Formats why upstreams take work or don't; `None` if the value isn't such an explanation.
pub fn upstreams_text(explained: &Value) -> Option<String> {
    let texts: Option<Vec<String>> = explained.as_array()?.iter().map(upstream_text).collect();
    Some(texts?.join("\n"))
}

/// Formats the steps of a call, one per line; `None` if the value isn't such an explanation.
pub fn call_text(explained: &Value) -> Option<String> {
    let lines: Option<Vec<String>> = explained.as_array()?.iter().map(step_text).collect();
    Some(lines?.join("\n"))
}

fn upstream_text(explained: &Value) -> Option<String> {
    let fields = explained.as_object()?;
    let name = |field: &str| Some(output::scalar_text(fields.get(field)?));
    let takes = if fields.get("takes_work")?.as_bool()? { "takes work" } else { "takes no work" };
    let mut text = format!("{} of {}: {takes}", name("upstream")?, name("service")?);
    let printed_elsewhere = ["upstream", "service", "takes_work", "reasons"];
    for (field, value) in
        fields.iter().filter(|(field, _)| !printed_elsewhere.contains(&field.as_str()))
    {
        let _ = write!(text, "\n  {}: {}", name_in_words(field), inline_text(value));
    }
    let reasons = fields.get("reasons")?.as_array()?;
    if reasons.is_empty() {
        text.push_str("\n  nothing speaks against it");
    }
    for reason in reasons {
        let _ = write!(text, "\n  because: {}", variant_text(reason));
    }
    Some(text)
}

fn step_text(step: &Value) -> Option<String> {
    let fields = step.as_object()?;
    let at_ms = fields.get("at_ms")?.as_u64()?;
    Some(format!("{at_ms} ms  {}", variant_text(fields.get("decision")?)))
}

/// Formats an enum value: the variant's name, then its fields.
fn variant_text(value: &Value) -> String {
    match value {
        Value::String(name) => name_in_words(name),
        Value::Object(fields) => {
            let parts = fields.iter().map(|(name, value)| match value {
                Value::Null => name_in_words(name),
                value => format!("{}: {}", name_in_words(name), inline_text(value)),
            });
            parts.collect::<Vec<_>>().join(", ")
        }
        value => inline_text(value),
    }
}

/// Formats a value on one line.
fn inline_text(value: &Value) -> String {
    match value {
        Value::Object(fields) => inline_fields(fields),
        Value::Array(items) => items.iter().map(inline_text).collect::<Vec<_>>().join(", "),
        value => output::scalar_text(value),
    }
}

fn inline_fields(fields: &Map<String, Value>) -> String {
    let field = |(name, value): (&String, &Value)| match value {
        Value::Object(fields) => format!("{} ({})", name_in_words(name), inline_fields(fields)),
        value => format!("{} {}", name_in_words(name), inline_text(value)),
    };
    fields.iter().map(field).collect::<Vec<_>>().join(", ")
}

/// A field's name with spaces for underscores.
fn name_in_words(name: &str) -> String {
    output::scalar_text(&Value::String(name.replace('_', " ")))
}
