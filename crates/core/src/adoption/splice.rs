//! The difference between two texts: what stays at either end, and what comes between.
//!
//! A change of one field replaces a few bytes of a text of up to a megabyte. The texts are
//! compared as they are, not as JSON: the result must be the published text to the byte,
//! faults like a key stated twice included, or hosts would judge one version differently.

use domain::ByteCount;
use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};
use std::hash::Hasher;

/// Size of a message around the text that it carries, about.
const OVERHEAD_BYTES: usize = 100;

/// How to make a text from another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Splice {
    /// What stays at the beginning.
    pub head_bytes: usize,
    /// What comes between.
    pub middle: String,
    /// What stays at the end.
    pub tail_bytes: usize,
    /// 64-bit `FxHash` of the new text, to tell whether it was made from the right one.
    pub digest: u64,
}

impl Splice {
    /// The way from one text to another; nothing where that saves nothing.
    pub fn between(old: &str, new: &str) -> Option<Splice> {
        let head_bytes = common_head(old, new);
        let tail_bytes = common_tail(&old[head_bytes..], &new[head_bytes..]);
        let middle = &new[head_bytes..new.len() - tail_bytes];
        if middle.len() + OVERHEAD_BYTES >= new.len() {
            return None;
        }
        let (middle, digest) = (middle.to_owned(), digest(new));
        Some(Splice { head_bytes, middle, tail_bytes, digest })
    }

    /// The new text, if `old` is the text that this was made from.
    pub fn apply(&self, old: &str, limit: ByteCount) -> Option<String> {
        let head = old.get(..self.head_bytes)?;
        let tail = old.get(old.len().checked_sub(self.tail_bytes)?..)?;
        let new_bytes = head.len() + self.middle.len() + tail.len();
        if new_bytes as u64 > limit.0 {
            return None;
        }
        let new = [head, &self.middle, tail].concat();
        (digest(&new) == self.digest).then_some(new)
    }
}

fn common_head(old: &str, new: &str) -> usize {
    let same = old.bytes().zip(new.bytes()).take_while(|(a, b)| a == b).count();
    (0..=same).rev().find(|&at| old.is_char_boundary(at) && new.is_char_boundary(at)).unwrap_or(0)
}

fn common_tail(old: &str, new: &str) -> usize {
    let same = old.bytes().rev().zip(new.bytes().rev()).take_while(|(a, b)| a == b).count();
    let at_boundary = |tail: &usize| {
        old.is_char_boundary(old.len() - tail) && new.is_char_boundary(new.len() - tail)
    };
    (0..=same).rev().find(at_boundary).unwrap_or(0)
}

fn digest(text: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}
