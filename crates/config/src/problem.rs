//! What is wrong with a configuration, and how to mend it.
//!
//! A problem names the file, the field, the value and the remedy. All problems of a
//! configuration are collected, so that operators don't mend them one run at a time.

use crate::field_path::FieldPath;
use serde::Serialize;
use serde_json::Value;
use std::fmt;

/// Problems reported at most: an entry host must not work on a bad text for long.
pub const MAX_PROBLEMS: usize = 100;

/// Longest value that a message shows, in characters.
const MAX_SHOWN_CHARS: usize = 80;

/// A configuration that can't be put in force.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ConfigError {
    /// All that is wrong: at least one, at most [`MAX_PROBLEMS`] of each document.
    pub problems: Vec<Problem>,
}

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Problem {
    /// Which document states it.
    pub source: Source,
    /// Where in the document.
    pub field: FieldPath,
    /// What is wrong.
    pub kind: ProblemKind,
    /// The value found there, if any.
    pub value: Option<Value>,
    /// What the operator can do.
    pub remedy: String,
}

/// The document that a problem stands in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The base of all sites.
    Base,
    /// The site's overlay.
    Overlay,
    /// Only the merged whole: several fields together, or a default.
    Merged,
}

/// What is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The text is longer than the configuration service holds.
    TooLarge,
    /// The text is no JSON; says where.
    Syntax(String),
    /// An object states the same key twice.
    DuplicateKey,
    /// The document is no JSON object.
    NotAnObject,
    /// No such field.
    UnknownField,
    /// A needed field is absent.
    MissingField,
    /// The value has the wrong type, or is no value of its type; says what was expected.
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
    /// A share is not within 0 and 1.
    ShareOutOfRange,
    /// A rate is negative or not finite.
    BadRate,
    /// A size is above its limit.
    AboveLimit,
    /// A service may probe more than all services together.
    ProbesAboveBudget,
    /// The service has no route.
    NoRoute,
    /// The service has no upstream.
    NoUpstream,
    /// The path prefix can match no path.
    BadPathPrefix,
    /// Another route has the same method and path prefix.
    AmbiguousRoute,
    /// The overlay states what the base already says.
    Restated,
    /// The overlay removes what the base doesn't have.
    RemovesNothing,
}

impl ProblemKind {
    /// Whether the problem lies between several fields.
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
    /// The problem in one line, under the document's name.
    pub fn describe(&self, document: &str) -> String {
        let Problem { field, kind, remedy, .. } = self;
        match &self.value {
            Some(value) => format!("{document}: {field}: {kind}, found {}: {remedy}", Shown(value)),
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

/// A value cut to a readable length.
struct Shown<'a>(&'a Value);

impl fmt::Display for Shown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        match text.char_indices().nth(MAX_SHOWN_CHARS) {
            Some((end, _)) => write!(f, "{}...", &text[..end]),
            None => f.write_str(&text),
        }
    }
}
