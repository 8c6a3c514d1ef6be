//! Validation errors of a configuration.
//!
//! A problem names the document, the field, the value and a remedy. All problems of a
//! configuration are collected, so that operators can fix them in one go.

use crate::field_path::FieldPath;
use serde::Serialize;
use serde_json::Value;
use std::fmt;

/// Most problems that are reported: bounds the time that a host spends on an invalid text.
pub const MAX_PROBLEMS: usize = 100;

/// Longest value that a message includes, in characters.
const MAX_VALUE_CHARS: usize = 80;

/// The problems of an invalid configuration.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ConfigError {
    /// At least one problem, and at most [`MAX_PROBLEMS`] for each document.
    pub problems: Vec<Problem>,
}

/// One problem of a configuration.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Problem {
    /// Document that contains the problem.
    pub source: Source,
    /// Path of the field.
    pub field: FieldPath,
    /// Kind of the problem.
    pub kind: ProblemKind,
    /// Value of the field, if any.
    pub value: Option<Value>,
    /// How the operator can fix it.
    pub remedy: String,
}

/// The document that contains a problem.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The base that all sites share.
    Base,
    /// The site's overlay.
    Overlay,
    /// Only the merged configuration: the problem involves several fields, or a default.
    Merged,
}

/// Kind of a problem.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The text is longer than the configuration service stores.
    TooLarge,
    /// The text isn't valid JSON; holds the parser's message.
    Syntax(String),
    /// An object has the same key twice.
    DuplicateKey,
    /// The document isn't a JSON object.
    NotAnObject,
    /// The model has no such field.
    UnknownField,
    /// A required field is absent.
    MissingField,
    /// The value has the wrong type or isn't valid for its type; holds the deserializer's message.
    WrongValue(String),
    /// The site has no availability zone.
    NoZone,
    /// An availability zone is listed twice.
    DuplicateZone,
    /// The upstream's availability zone isn't listed.
    UnknownZone,
    /// Another upstream has the same address.
    DuplicateAddress,
    /// The address can't be connected to.
    UnusableAddress,
    /// A number that must not be zero is zero.
    Zero,
    /// Fewer connections than slots.
    FewerConnectionsThanSlots,
    /// A share isn't between 0 and 1.
    ShareOutOfRange,
    /// A rate is negative or not finite.
    BadRate,
    /// A size is above its limit.
    AboveLimit,
    /// The probe rate of a service is above that of all services together.
    ProbesAboveBudget,
    /// The service has no route.
    NoRoute,
    /// The service has no upstream.
    NoUpstream,
    /// The path prefix can't match any path, or is ambiguous.
    BadPathPrefix,
    /// Another route has the same method and path prefix.
    AmbiguousRoute,
    /// The overlay sets a field to the value that it has in the base.
    Restated,
    /// The overlay removes a field that the base doesn't have.
    RemovesNothing,
}

impl ProblemKind {
    /// Whether the problem involves several fields, which may be in different documents.
    pub(crate) fn spans_fields(&self) -> bool {
        matches!(
            self,
            ProblemKind::UnknownZone
                | ProblemKind::DuplicateAddress
                | ProblemKind::FewerConnectionsThanSlots
                | ProblemKind::ProbesAboveBudget
                | ProblemKind::AmbiguousRoute
        )
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, problem) in self.problems.iter().enumerate() {
            let newline = if position == 0 { "" } else { "\n" };
            write!(f, "{newline}{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigError {}

impl Problem {
    /// Formats the problem in one line that begins with the document's name.
    pub fn describe(&self, document: &str) -> String {
        let Problem { field, kind, remedy, .. } = self;
        match &self.value {
            Some(value) => {
                format!("{document}: {field}: {kind}, found {}: {remedy}", TruncatedValue(value))
            }
            None => format!("{document}: {field}: {kind}: {remedy}"),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.describe(&self.source.to_string()))
    }
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Source::Base => "base",
            Source::Overlay => "overlay",
            Source::Merged => "merged",
        })
    }
}

impl fmt::Display for ProblemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ProblemKind::TooLarge => "too large",
            ProblemKind::Syntax(message) => return write!(f, "no JSON ({message})"),
            ProblemKind::DuplicateKey => "key stated twice",
            ProblemKind::NotAnObject => "not an object",
            ProblemKind::UnknownField => "unknown field",
            ProblemKind::MissingField => "missing field",
            ProblemKind::WrongValue(message) => return write!(f, "wrong value ({message})"),
            ProblemKind::NoZone => "no availability zone",
            ProblemKind::DuplicateZone => "availability zone listed twice",
            ProblemKind::UnknownZone => "unknown availability zone",
            ProblemKind::DuplicateAddress => "address used twice",
            ProblemKind::UnusableAddress => "address can't be connected to",
            ProblemKind::Zero => "must not be zero",
            ProblemKind::FewerConnectionsThanSlots => "fewer connections than slots",
            ProblemKind::ShareOutOfRange => "share out of range",
            ProblemKind::BadRate => "rate out of range",
            ProblemKind::AboveLimit => "above the limit",
            ProblemKind::ProbesAboveBudget => "more probes than the whole budget",
            ProblemKind::NoRoute => "service without route",
            ProblemKind::NoUpstream => "service without upstream",
            ProblemKind::BadPathPrefix => "bad path prefix",
            ProblemKind::AmbiguousRoute => "ambiguous route",
            ProblemKind::Restated => "the base says the same",
            ProblemKind::RemovesNothing => "the base has no such field",
        })
    }
}

/// Displays a value, truncated to [`MAX_VALUE_CHARS`].
struct TruncatedValue<'a>(&'a Value);

impl fmt::Display for TruncatedValue<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        match text.char_indices().nth(MAX_VALUE_CHARS) {
            Some((end, _)) => write!(f, "{}...", &text[..end]),
            None => f.write_str(&text),
        }
    }
}
