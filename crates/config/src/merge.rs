//! Merges a base and an overlay into one validated configuration.
//!
//! Both texts are parsed strictly, the overlay is merged into the base (RFC 7396), and the
//! result is deserialized and validated. Each problem names the document that sets the field.
//!
//! A host waits for this on every configuration change. Valid texts therefore take a fast
//! path that tracks no field paths; texts that fail it are parsed again to report the problems.

use crate::field_path::FieldPath;
use crate::model::SiteConfig;
use crate::problem::{ConfigError, MAX_PROBLEMS, Problem, ProblemKind, Source};
use crate::strict_json;
use serde::Deserialize;
use serde_json::{Map, Value};

/// Longest text of a base or overlay: the most that the configuration service stores.
pub const MAX_TEXT_BYTES: usize = 1_000_000;

/// A validated configuration and its warnings.
#[derive(Debug, Clone, PartialEq)]
pub struct Merged {
    /// The configuration, ready to be applied.
    pub config: SiteConfig,
    /// Findings that the operator should review but that don't make the configuration invalid.
    pub warnings: Vec<Problem>,
}

/// Merges an overlay into a base and validates the result.
///
/// # Errors
///
/// All problems that were found, each with its field and remedy.
pub fn merge(base_text: &str, overlay_text: Option<&str>) -> Result<SiteConfig, ConfigError> {
    match merge_fast(base_text, overlay_text) {
        Some(config) => Ok(config),
        None => merge_with_warnings(base_text, overlay_text).map(|merged| merged.config),
    }
}

/// Like [`merge`], but also returns warnings.
///
/// # Errors
///
/// All problems that were found, each with its field and remedy.
pub fn merge_with_warnings(
    base_text: &str,
    overlay_text: Option<&str>,
) -> Result<Merged, ConfigError> {
    let documents = Documents::parse(base_text, overlay_text)?;
    let merged = documents.merged();
    let config =
        deserialize_all(merged.clone()).map_err(|problems| documents.locate(&merged, problems))?;
    let problems = config.check();
    if !problems.is_empty() {
        return Err(documents.locate(&merged, problems));
    }
    Ok(Merged { config, warnings: documents.warnings() })
}

/// The fast path of [`merge`]: `None` if there is any problem.
fn merge_fast(base_text: &str, overlay_text: Option<&str>) -> Option<SiteConfig> {
    let mut merged = parse_object(base_text)?;
    if let Some(text) = overlay_text {
        json_patch::merge(&mut merged, &parse_object(text)?);
    }
    let config = SiteConfig::deserialize(merged).ok()?;
    config.check().is_empty().then_some(config)
}

fn parse_object(text: &str) -> Option<Value> {
    let fits = text.len() <= MAX_TEXT_BYTES;
    let value = fits.then(|| strict_json::parse(text))?;
    value.ok().filter(Value::is_object)
}

/// Base and overlay as JSON objects.
struct Documents {
    base: Value,
    overlay: Option<Value>,
}

impl Documents {
    fn parse(base_text: &str, overlay_text: Option<&str>) -> Result<Documents, ConfigError> {
        let base = parse_document(Source::Base, base_text);
        let overlay = overlay_text.map(|text| parse_document(Source::Overlay, text)).transpose();
        match (base, overlay) {
            (Ok(base), Ok(overlay)) => Ok(Documents { base, overlay }),
            (Err(mut problems), Err(overlay_problems)) => {
                problems.extend(overlay_problems);
                Err(ConfigError { problems })
            }
            (Err(problems), Ok(_)) | (Ok(_), Err(problems)) => Err(ConfigError { problems }),
        }
    }

    fn merged(&self) -> Value {
        let mut merged = self.base.clone();
        if let Some(overlay) = &self.overlay {
            json_patch::merge(&mut merged, overlay);
        }
        merged
    }

    /// Adds to each problem the document that sets the field, and the field's value.
    fn locate(&self, merged: &Value, mut problems: Vec<Problem>) -> ConfigError {
        for problem in &mut problems {
            problem.source = self.source_of(problem);
            if problem.value.is_none() {
                problem.value = problem.field.find(merged).cloned();
            }
        }
        ConfigError { problems }
    }

    fn source_of(&self, problem: &Problem) -> Source {
        let sets_field = |document: &Value| problem.field.find(document).is_some();
        match &self.overlay {
            _ if problem.kind.spans_fields() => Source::Merged,
            Some(overlay) if sets_field(overlay) => Source::Overlay,
            _ if sets_field(&self.base) => Source::Base,
            Some(_) => Source::Merged,
            None => Source::Base,
        }
    }

    /// Overlay fields that change nothing in the base.
    fn warnings(&self) -> Vec<Problem> {
        let mut warnings = Vec::new();
        if let (Value::Object(base), Some(Value::Object(overlay))) = (&self.base, &self.overlay) {
            find_redundant_fields(&FieldPath::root(), overlay, base, &mut warnings);
        }
        warnings
    }
}

fn parse_document(source: Source, text: &str) -> Result<Value, Vec<Problem>> {
    let problem = |field, kind, remedy: &str| Problem {
        source,
        field,
        kind,
        value: None,
        remedy: remedy.to_owned(),
    };
    if text.len() > MAX_TEXT_BYTES {
        let remedy = format!(
            "it has {} bytes: cut it to {MAX_TEXT_BYTES}, the most a published value may have",
            text.len()
        );
        return Err(vec![problem(FieldPath::root(), ProblemKind::TooLarge, &remedy)]);
    }
    let document = strict_json::parse_recording_duplicates(text).map_err(|error| {
        let remedy = match error.is_eof() {
            true => "the text ends early: publish the whole document",
            false => "write one JSON object, without comments or trailing commas",
        };
        vec![problem(FieldPath::root(), ProblemKind::Syntax(error.to_string()), remedy)]
    })?;
    let duplicates = document.duplicate_keys.into_iter().map(|field| {
        problem(field, ProblemKind::DuplicateKey, "keep one of them and remove the others")
    });
    let mut problems: Vec<Problem> = duplicates.take(MAX_PROBLEMS).collect();
    if !document.value.is_object() {
        let remedy = "write a JSON object: {\"availability_zones\": [..], \"services\": {..}}";
        problems.push(problem(FieldPath::root(), ProblemKind::NotAnObject, remedy));
    }
    match problems.is_empty() {
        true => Ok(document.value),
        false => Err(problems),
    }
}

/// Deserializes the configuration. On an error, records it, removes the faulty value and
/// tries again, so that one run reports up to [`MAX_PROBLEMS`] errors.
fn deserialize_all(mut document: Value) -> Result<SiteConfig, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut removed: Vec<FieldPath> = Vec::new();
    while problems.len() < MAX_PROBLEMS {
        let error = match serde_path_to_error::deserialize::<_, SiteConfig>(&document) {
            Ok(config) if problems.is_empty() => return Ok(config),
            Ok(_) => break,
            Err(error) => error,
        };
        let path = FieldPath::from(error.path());
        let problem = classify_error(&path, error.inner().to_string(), &document);
        if !removed.contains(&problem.field) {
            problems.push(problem);
        }
        if !path.remove_from(&mut document) {
            break;
        }
        removed.push(path);
    }
    Err(problems)
}

/// Classifies a deserialization error by its message: serde exposes no error kind.
fn classify_error(path: &FieldPath, message: String, document: &Value) -> Problem {
    let named = message.split('`').nth(1).unwrap_or_default();
    let (field, kind, remedy) = match message.split(' ').next() {
        Some("unknown") if message.starts_with("unknown field") => {
            let remedy = match message.split_once(", ") {
                Some((_, expected)) => format!("remove it, or correct its name: {expected}"),
                None => "remove it".to_owned(),
            };
            (path.clone(), ProblemKind::UnknownField, remedy)
        }
        Some("missing") => {
            let field = path.field(named);
            (field, ProblemKind::MissingField, "state it in the base or the overlay".to_owned())
        }
        _ => {
            let remedy = "write a value of the expected kind".to_owned();
            (path.clone(), ProblemKind::WrongValue(message), remedy)
        }
    };
    let value = field.find(document).cloned();
    Problem { source: Source::Merged, field, kind, value, remedy }
}

fn find_redundant_fields(
    path: &FieldPath,
    overlay: &Map<String, Value>,
    base: &Map<String, Value>,
    warnings: &mut Vec<Problem>,
) {
    for (name, value) in overlay {
        let field = path.field(name);
        let kind = match (value, base.get(name)) {
            (Value::Object(inner), Some(Value::Object(base))) if !inner.is_empty() => {
                find_redundant_fields(&field, inner, base, warnings);
                continue;
            }
            (Value::Null, None) => ProblemKind::RemovesNothing,
            (value, Some(base)) if value == base => ProblemKind::Restated,
            _ => continue,
        };
        warnings.push(Problem {
            source: Source::Overlay,
            field,
            kind,
            value: Some(value.clone()),
            remedy: "leave it out: an overlay states only what differs".to_owned(),
        });
    }
}
