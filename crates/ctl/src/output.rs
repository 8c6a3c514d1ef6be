//! Prints results on stdout and errors on stderr, as text or JSON.

use crate::error::CtlError;
use error_stack::{FrameKind, Report, ResultExt};
use serde::Serialize;
use serde_json::{Value, json};
use std::fmt::Write as _;
use std::io::{ErrorKind, Write as _};
use std::process::ExitCode;

/// Spaces for one level of nesting.
const INDENT: usize = 2;

/// Exit status of `jujubectl`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Done, nothing wrong.
    Done = 0,
    /// Problems were found.
    ProblemsFound = 1,
    /// Arguments or files are unusable.
    WrongUsage = 2,
    /// The process can't be reached.
    Unreachable = 3,
}

impl From<Status> for ExitCode {
    fn from(status: Status) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// For programs.
    Json,
}

impl Format {
    /// The format that the `--json` flag selects.
    pub fn new(json: bool) -> Format {
        if json { Format::Json } else { Format::Text }
    }

    /// Prints a result on stdout, as JSON or as the given text.
    pub fn print(self, value: &impl Serialize, text: &str) -> Result<(), Report<CtlError>> {
        match self {
            Format::Text => print_line(text),
            Format::Json => {
                let json = serde_json::to_string_pretty(value).change_context(CtlError::Output)?;
                print_line(&json)
            }
        }
    }

    /// Prints a value on stdout, as JSON or as an outline.
    pub fn print_value(self, value: &Value) -> Result<(), Report<CtlError>> {
        self.print(value, outline(value).trim_end())
    }
}

/// Prints an error, its causes and its remedy on stderr.
pub fn print_error(format: Format, report: &Report<CtlError>) {
    let error = report.current_context();
    let causes = causes(report);
    match format {
        Format::Json => {
            let value = json!({
                "error": error.to_string(),
                "remedy": error.remedy(),
                "causes": causes,
            });
            eprintln!("{value:#}");
        }
        Format::Text => {
            for cause in &causes {
                eprintln!("{cause}");
            }
            eprintln!("error: {error}\nremedy: {}", error.remedy());
        }
    }
}

/// Messages of the error's causes, root cause first.
fn causes(report: &Report<CtlError>) -> Vec<String> {
    let contexts = report.frames().filter_map(|frame| match frame.kind() {
        FrameKind::Context(context) => Some(context.to_string()),
        FrameKind::Attachment(_) => None,
    });
    // The first is the error itself.
    let mut messages: Vec<String> = contexts.skip(1).collect();
    messages.reverse();
    messages
}

fn print_line(text: &str) -> Result<(), Report<CtlError>> {
    let mut stdout = std::io::stdout().lock();
    match writeln!(stdout, "{text}").and_then(|()| stdout.flush()) {
        // The reader of the pipe has closed it, which is no error.
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        result => result.change_context(CtlError::Output),
    }
}

/// Formats a value as indented lines.
fn outline(value: &Value) -> String {
    let mut text = String::new();
    write_outline(&mut text, 0, value);
    text
}

fn write_outline(text: &mut String, depth: usize, value: &Value) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                write_entry(text, depth, &format!("{}:", escape_control_characters(name)), value);
            }
        }
        Value::Array(items) => {
            for item in items {
                write_entry(text, depth, "-", item);
            }
        }
        scalar => {
            let _ = writeln!(text, "{:1$}{2}", "", depth * INDENT, scalar_text(scalar));
        }
    }
}

fn write_entry(text: &mut String, depth: usize, label: &str, value: &Value) {
    let indent = depth * INDENT;
    if is_nested(value) {
        let _ = writeln!(text, "{:indent$}{label}", "");
        write_outline(text, depth + 1, value);
        return;
    }
    let _ = writeln!(text, "{:indent$}{label} {}", "", scalar_text(value));
}

fn is_nested(value: &Value) -> bool {
    match value {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(items) => !items.is_empty(),
        _ => false,
    }
}

/// Formats a scalar, or an empty object or array, on one line.
pub fn scalar_text(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) => escape_control_characters(text),
        Value::Object(_) | Value::Array(_) => "none".to_owned(),
        Value::Number(number) => number.to_string(),
    }
}

/// Quotes and escapes a text that contains control characters, which could garble the
/// terminal.
fn escape_control_characters(text: &str) -> String {
    match text.chars().any(char::is_control) {
        true => format!("{text:?}"),
        false => text.to_owned(),
    }
}
