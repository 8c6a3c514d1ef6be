//! Path of a value in a configuration document.
//!
//! Ids may contain dots, so a path is stored as a list of segments. `Display` joins them
//! with dots and quotes any segment that would be ambiguous.

use serde::{Serialize, Serializer};
use serde_json::Value;
use std::fmt;

/// Path from the root of a document to a value.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FieldPath(Vec<Segment>);

/// One step of a path.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Segment {
    /// Field of an object.
    Field(String),
    /// Element of an array.
    Index(usize),
}

impl FieldPath {
    /// The empty path, which denotes the whole document.
    pub fn root() -> FieldPath {
        FieldPath::default()
    }

    /// Builds a path of object fields.
    pub fn of<'a>(fields: impl IntoIterator<Item = &'a str>) -> FieldPath {
        FieldPath(fields.into_iter().map(|name| Segment::Field(name.to_owned())).collect())
    }

    /// The path of a field of the object at this path.
    pub fn field(&self, name: &str) -> FieldPath {
        self.child(Segment::Field(name.to_owned()))
    }

    /// The path of an element of the array at this path.
    pub fn index(&self, index: usize) -> FieldPath {
        self.child(Segment::Index(index))
    }

    /// The segments, root first.
    pub fn segments(&self) -> &[Segment] {
        &self.0
    }

    /// The path without its last segment, or `None` at the root.
    pub fn parent(&self) -> Option<FieldPath> {
        let (_, parent) = self.0.split_last()?;
        Some(FieldPath(parent.to_vec()))
    }

    /// The value at this path in the document.
    pub fn find<'a>(&self, document: &'a Value) -> Option<&'a Value> {
        self.0.iter().try_fold(document, |value, segment| match segment {
            Segment::Field(name) => value.get(name),
            Segment::Index(index) => value.get(index),
        })
    }

    /// Removes the value at this path and returns whether it was there. For an array element,
    /// clears the whole array, so that no other element changes its index.
    pub(crate) fn remove_from(&self, document: &mut Value) -> bool {
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
        use serde_path_to_error::Segment as SerdeSegment;
        let segments = path.iter().filter_map(|segment| match segment {
            SerdeSegment::Seq { index } => Some(Segment::Index(*index)),
            SerdeSegment::Map { key } => Some(Segment::Field(key.clone())),
            SerdeSegment::Enum { .. } | SerdeSegment::Unknown => None,
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

/// Displays a field name, quoted where the bare name would be ambiguous.
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
