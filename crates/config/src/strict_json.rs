//! A JSON parser that detects duplicate keys.
//!
//! Most parsers keep the last value of a duplicate key, and so silently drop part of what
//! an operator wrote. This one reports every duplicate key with its path.

use crate::field_path::{FieldPath, Segment};
use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use std::fmt;

/// A parsed document and the paths of its duplicate keys.
#[derive(Debug)]
pub(crate) struct Document {
    pub(crate) value: Value,
    pub(crate) duplicate_keys: Vec<FieldPath>,
}

/// Parses a JSON text. Of duplicate keys, keeps the first and records the paths of the others.
pub(crate) fn parse_recording_duplicates(text: &str) -> Result<Document, serde_json::Error> {
    let mut tracker = PathTracker::default();
    let mut parser = serde_json::Deserializer::from_str(text);
    let value = ValueVisitor(Some(&mut tracker)).deserialize(&mut parser)?;
    parser.end()?;
    Ok(Document { value, duplicate_keys: tracker.duplicate_keys })
}

/// Parses a JSON text and fails on the first duplicate key; faster, as it tracks no paths.
pub(crate) fn parse(text: &str) -> Result<Value, serde_json::Error> {
    let mut parser = serde_json::Deserializer::from_str(text);
    let value = ValueVisitor(None).deserialize(&mut parser)?;
    parser.end()?;
    Ok(value)
}

/// The path of the value being parsed, and the duplicate keys found so far.
#[derive(Debug, Default)]
struct PathTracker {
    path: Vec<Segment>,
    duplicate_keys: Vec<FieldPath>,
}

impl PathTracker {
    fn enter(&mut self, segment: Segment) {
        self.path.push(segment);
    }

    fn leave(&mut self) {
        self.path.pop();
    }

    fn record_duplicate(&mut self) {
        self.duplicate_keys.push(FieldPath::from(self.path.clone()));
    }
}

/// Builds a JSON value. Without a tracker, a duplicate key is an error.
struct ValueVisitor<'a>(Option<&'a mut PathTracker>);

impl ValueVisitor<'_> {
    /// A visitor for a nested value, with the same tracker.
    fn nested(&mut self) -> ValueVisitor<'_> {
        ValueVisitor(self.0.as_deref_mut())
    }

    fn enter(&mut self, segment: impl FnOnce() -> Segment) {
        if let Some(tracker) = &mut self.0 {
            tracker.enter(segment());
        }
    }

    fn leave(&mut self) {
        if let Some(tracker) = &mut self.0 {
            tracker.leave();
        }
    }
}

impl<'de> DeserializeSeed<'de> for ValueVisitor<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueVisitor<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(mut self, mut access: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        loop {
            self.enter(|| Segment::Index(items.len()));
            let item = access.next_element_seed(self.nested())?;
            self.leave();
            match item {
                Some(item) => items.push(item),
                None => return Ok(Value::Array(items)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(mut self, mut access: A) -> Result<Value, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = access.next_key::<String>()? {
            self.enter(|| Segment::Field(name.clone()));
            match &mut self.0 {
                _ if !fields.contains_key(&name) => {}
                Some(tracker) => tracker.record_duplicate(),
                None => return Err(A::Error::custom("a key is stated twice")),
            }
            let value = access.next_value_seed(self.nested())?;
            self.leave();
            fields.entry(name).or_insert(value);
        }
        Ok(Value::Object(fields))
    }
}
