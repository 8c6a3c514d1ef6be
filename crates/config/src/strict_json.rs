//! JSON without silent losses.
//!
//! The usual parsers keep the last of two equal keys, and so would drop half of what an
//! operator wrote. This reader notes every such key with its path.

use crate::field_path::{FieldPath, Segment};
use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use std::fmt;

/// A document and the keys that it states more than once.
#[derive(Debug)]
pub(crate) struct Document {
    pub(crate) value: Value,
    pub(crate) duplicate_keys: Vec<FieldPath>,
}

/// Reads a JSON text; later of equal keys are dropped and noted.
pub(crate) fn read(text: &str) -> Result<Document, serde_json::Error> {
    let mut place = Place::default();
    let mut parser = serde_json::Deserializer::from_str(text);
    let value = Reader(Some(&mut place)).deserialize(&mut parser)?;
    parser.end()?;
    Ok(Document { value, duplicate_keys: place.duplicate_keys })
}

/// Reads a JSON text without noting places, for which equal keys are an error.
pub(crate) fn read_good(text: &str) -> Result<Value, serde_json::Error> {
    let mut parser = serde_json::Deserializer::from_str(text);
    let value = Reader(None).deserialize(&mut parser)?;
    parser.end()?;
    Ok(value)
}

/// Where the reader stands, and what it noted on the way.
#[derive(Debug, Default)]
struct Place {
    path: Vec<Segment>,
    duplicate_keys: Vec<FieldPath>,
}

impl Place {
    fn enter(&mut self, segment: Segment) {
        self.path.push(segment);
    }

    fn leave(&mut self) {
        self.path.pop();
    }

    fn note_duplicate(&mut self) {
        self.duplicate_keys.push(FieldPath::from(self.path.clone()));
    }
}

/// Without a place, equal keys are an error.
struct Reader<'a>(Option<&'a mut Place>);

impl Reader<'_> {
    /// The reader of a value inside this one.
    fn inner(&mut self) -> Reader<'_> {
        Reader(self.0.as_deref_mut())
    }

    fn enter(&mut self, segment: impl FnOnce() -> Segment) {
        if let Some(place) = &mut self.0 {
            place.enter(segment());
        }
    }

    fn leave(&mut self) {
        if let Some(place) = &mut self.0 {
            place.leave();
        }
    }
}

impl<'de> DeserializeSeed<'de> for Reader<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Reader<'_> {
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
            let item = access.next_element_seed(self.inner())?;
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
                Some(place) => place.note_duplicate(),
                None => return Err(A::Error::custom("a key is stated twice")),
            }
            let value = access.next_value_seed(self.inner())?;
            self.leave();
            fields.entry(name).or_insert(value);
        }
        Ok(Value::Object(fields))
    }
}
