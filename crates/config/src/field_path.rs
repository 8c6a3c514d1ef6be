//! Where a value stands in a configuration.
//!
//! Ids may hold dots, so a path is a list of segments and only its text joins them;
//! a segment that would be ambiguous there is quoted.

use serde::{Serialize, Serializer};
use serde_json::Value;
use std::fmt;

/// Place of a value, from the root down.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FieldPath(Vec<Segment>);

/// One step down.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Segment {
    /// Field of an object.
    Field(String),
    /// Element of an array.
    Index(usize),
}

impl FieldPath {
    /// The whole document.
    pub fn root() -> FieldPath {
        FieldPath::default()
    }

    /// A path of object fields.
    pub fn of<'a>(fields: impl IntoIterator<Item = &'a str>) -> FieldPath {
        FieldPath(fields.into_iter().map(|name| Segment::Field(name.to_owned())).collect())
    }

    /// The field of the object at this path.
    pub fn field(&self, name: &str) -> FieldPath {
        self.child(Segment::Field(name.to_owned()))
    }

    /// The element of the array at this path.
    pub fn index(&self, index: usize) -> FieldPath {
        self.child(Segment::Index(index))
    }

    /// The segments, root first.
    pub fn segments(&self) -> &[Segment] {
        &self.0
    }

    /// The path without its last segment; none at the root.
    pub fn parent(&self) -> Option<FieldPath> {
        let (_, parent) = self.0.split_last()?;
        Some(FieldPath(parent.to_vec()))
    }

    /// The value at this path.
    pub fn find<'a>(&self, document: &'a Value) -> Option<&'a Value> {
        self.0.iter().try_fold(document, |value, segment| match segment {
            Segment::Field(name) => value.get(name),
            Segment::Index(index) => value.get(index),
        })
    }

    /// Takes the value at this path out of the document; an element takes its whole array
    /// with it, so that no other element changes its index.
    pub(crate) fn take_out(&self, document: &mut Value) -> bool {
        let Some((last, parent)) = self.0.split_last() else {
            return false;
        };
        let parent = parent.iter().try_fold(document, |value, segment| match segment {
            Segment::Field(name) => value.get_mut(name),
            Segment::Index(index) => value.get_mut(index),
        });
        match (last, parent) {
            (Segment::Field(name), Some(Value::Object(fields))) => fields.remove(name).is_some(),
            (Segment::Index(_), Some(Value::Array(items))) => {
                items.clear();
                true
            }
            _ => false,
        }
    }

    fn child(&self, segment: Segment) -> FieldPath {
        let mut segments = self.0.clone();
        segments.push(segment);
        FieldPath(segments)
    }
}

impl From<Vec<Segment>> for FieldPath {
    fn from(segments: Vec<Segment>) -> FieldPath {
        FieldPath(segments)
    }
}

impl From<&serde_path_to_error::Path> for FieldPath {
    fn from(path: &serde_path_to_error::Path) -> FieldPath {
        use serde_path_to_error::Segment as Step;
        let segments = path.iter().filter_map(|step| match step {
            Step::Seq { index } => Some(Segment::Index(*index)),
            Step::Map { key } => Some(Segment::Field(key.clone())),
            Step::Enum { .. } | Step::Unknown => None,
        });
        FieldPath(segments.collect())
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("(whole document)");
        }
        for (position, segment) in self.0.iter().enumerate() {
            match segment {
                Segment::Index(index) => write!(f, "[{index}]")?,
                Segment::Field(name) => {
                    let dot = if position == 0 { "" } else { "." };
                    write!(f, "{dot}{}", FieldName(name))?;
                }
            }
        }
        Ok(())
    }
}

impl Serialize for FieldPath {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// A field's name, quoted where plain text would be ambiguous.
struct FieldName<'a>(&'a str);

impl fmt::Display for FieldName<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_/:".contains(c);
        match self.0 {
            name if !name.is_empty() && name.chars().all(is_plain) => f.write_str(name),
            name => write!(f, "{name:?}"),
        }
    }
}
