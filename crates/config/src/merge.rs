//! From two texts to one checked configuration.
//!
//! Texts are read strictly, the overlay is merged into the base (RFC 7396), the result
//! is read into the model and checked as a whole. Each problem is traced back to the
//! document that states the field.
//!
//! An entry host waits for this with every change, so good texts take a short way that
//! keeps no paths; a text that fails there is read again to name its problems.

use crate::field_path::FieldPath;
use crate::model::SiteConfig;
use crate::problem::{ConfigError, MAX_PROBLEMS, Problem, ProblemKind, Source};
use crate::strict_json;
use serde::Deserialize;
use serde_json::{Map, Value};

/// Longest text of a base or overlay: what the configuration service holds.
pub const MAX_TEXT_BYTES: usize = 1_000_000;

/// A checked configuration and what is odd about it.
#[derive(Debug, Clone, PartialEq)]
pub struct Merged {
    /// What may be put in force.
    pub config: SiteConfig,
    /// What the operator should look at; none of it keeps the configuration back.
    pub warnings: Vec<Problem>,
}

/// Merges an overlay into a base and checks the whole.
///
/// # Errors
///
/// All problems that were found, each with its field and remedy.
pub fn merge(base_text: &str, overlay_text: Option<&str>) -> Result<SiteConfig, ConfigError> {
    match merge_good(base_text, overlay_text) {
        Some(config) => Ok(config),
        None => merge_with_warnings(base_text, overlay_text).map(|merged| merged.config),
    }
}

/// Like [`merge`], and says what is odd though not wrong.
///
/// # Errors
///
/// All problems that were found, each with its field and remedy.
pub fn merge_with_warnings(
    base_text: &str,
    overlay_text: Option<&str>,
) -> Result<Merged, ConfigError> {
    let documents = Documents::read(base_text, overlay_text)?;
    let merged = documents.merged();
    let config = to_model(merged.clone()).map_err(|found| documents.trace(&merged, found))?;
    let found = config.check();
    if !found.is_empty() {
        return Err(documents.trace(&merged, found));
    }
    Ok(Merged { config, warnings: documents.warnings() })
}

/// The short way: nothing if anything at all is wrong.
fn merge_good(base_text: &str, overlay_text: Option<&str>) -> Option<SiteConfig> {
    let mut merged = read_good(base_text)?;
    if let Some(text) = overlay_text {
        json_patch::merge(&mut merged, &read_good(text)?);
    }
    let config = SiteConfig::deserialize(merged).ok()?;
    config.check().is_empty().then_some(config)
}

fn read_good(text: &str) -> Option<Value> {
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
    fn read(base_text: &str, overlay_text: Option<&str>) -> Result<Documents, ConfigError> {
        let base = read_document(Source::Base, base_text);
        let overlay = overlay_text.map(|text| read_document(Source::Overlay, text)).transpose();
        match (base, overlay) {
            (Ok(base), Ok(overlay)) => Ok(Documents { base, overlay }),
            (Err(mut problems), Err(more)) => {
                problems.extend(more);
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

    /// Names the document that states each field, and the value found there.
    fn trace(&self, merged: &Value, mut found: Vec<Problem>) -> ConfigError {
        for problem in &mut found {
            problem.source = self.source_of(problem);
            if problem.value.is_none() {
                problem.value = problem.field.find(merged).cloned();
            }
        }
        ConfigError { problems: found }
    }

    fn source_of(&self, problem: &Problem) -> Source {
        let states = |document: &Value| problem.field.find(document).is_some();
        match &self.overlay {
            _ if problem.kind.spans_fields() => Source::Merged,
            Some(overlay) if states(overlay) => Source::Overlay,
            _ if states(&self.base) => Source::Base,
            Some(_) => Source::Merged,
            None => Source::Base,
        }
    }

    /// Where the overlay states no difference.
    fn warnings(&self) -> Vec<Problem> {
        let mut warnings = Vec::new();
        if let (Value::Object(base), Some(Value::Object(overlay))) = (&self.base, &self.overlay) {
            find_restated(&FieldPath::root(), overlay, base, &mut warnings);
        }
        warnings
    }
}

fn read_document(source: Source, text: &str) -> Result<Value, Vec<Problem>> {
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

/// Reads the model; on an error, notes it, takes the faulty value out and reads on.
fn to_model(mut document: Value) -> Result<SiteConfig, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut taken_out: Vec<FieldPath> = Vec::new();
    while problems.len() < MAX_PROBLEMS {
        let error = match serde_path_to_error::deserialize::<_, SiteConfig>(&document) {
            Ok(config) if problems.is_empty() => return Ok(config),
            Ok(_) => break,
            Err(error) => error,
        };
        let place = FieldPath::from(error.path());
        let problem = model_problem(&place, error.inner().to_string(), &document);
        if !taken_out.contains(&problem.field) {
            problems.push(problem);
        }
        if !place.remove_from(&mut document) {
            break;
        }
        taken_out.push(place);
    }
    Err(problems)
}

/// Sorts an error of the model's reader into our kinds; it tells them by its message only.
fn model_problem(place: &FieldPath, message: String, document: &Value) -> Problem {
    let named = message.split('`').nth(1).unwrap_or_default();
    let (field, kind, remedy) = match message.split(' ').next() {
        Some("unknown") if message.starts_with("unknown field") => {
            let remedy = match message.split_once(", ") {
                Some((_, expected)) => format!("remove it, or correct its name: {expected}"),
                None => "remove it".to_owned(),
            };
            (place.clone(), ProblemKind::UnknownField, remedy)
        }
        Some("missing") => {
            let field = place.field(named);
            (field, ProblemKind::MissingField, "state it in the base or the overlay".to_owned())
        }
        _ => {
            let remedy = "write a value of the expected kind".to_owned();
            (place.clone(), ProblemKind::WrongValue(message), remedy)
        }
    };
    let value = field.find(document).cloned();
    Problem { source: Source::Merged, field, kind, value, remedy }
}

fn find_restated(
    path: &FieldPath,
    overlay: &Map<String, Value>,
    base: &Map<String, Value>,
    warnings: &mut Vec<Problem>,
) {
    for (name, value) in overlay {
        let field = path.field(name);
        let kind = match (value, base.get(name)) {
            (Value::Object(inner), Some(Value::Object(base))) if !inner.is_empty() => {
                find_restated(&field, inner, base, warnings);
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
