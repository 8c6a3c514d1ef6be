//! Bytes in segments, so that growing neither moves nor doubles what is held.

use std::borrow::Cow;
use std::collections::VecDeque;

/// Small pieces are joined up to this size.
const JOINED_BYTES: usize = 64 * 1024;

/// Bytes in segments.
#[derive(Debug, Default)]
pub struct Segments {
    segments: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl Segments {
    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Appends bytes.
    pub fn push(&mut self, mut piece: Vec<u8>) {
        self.bytes += piece.len();
        match self.segments.back_mut() {
            _ if piece.is_empty() => {}
            Some(last) if last.len() + piece.len() <= JOINED_BYTES => last.append(&mut piece),
            _ => {
                piece.shrink_to_fit();
                self.segments.push_back(piece);
            }
        }
    }

    /// Removes the first segment.
    pub fn pop(&mut self) -> Option<Vec<u8>> {
        let first = self.segments.pop_front()?;
        self.bytes -= first.len();
        Some(first)
    }

    /// The segment with this index.
    pub fn get(&self, index: usize) -> Option<&[u8]> {
        self.segments.get(index).map(Vec::as_slice)
    }

    /// The first `bytes`, or all if there are less.
    pub fn prefix(&self, bytes: usize) -> Cow<'_, [u8]> {
        match self.segments.front() {
            None => Cow::Borrowed(&[]),
            Some(first) if self.segments.len() == 1 || first.len() >= bytes => {
                Cow::Borrowed(&first[..bytes.min(first.len())])
            }
            Some(_) => Cow::Owned(self.segments.iter().flatten().copied().take(bytes).collect()),
        }
    }
}

impl From<Vec<u8>> for Segments {
    fn from(bytes: Vec<u8>) -> Segments {
        let mut segments = Segments::default();
        segments.push(bytes);
        segments
    }
}
