//! The interface to the source, where routing, upstreams and evacuations are published.

use domain::Millis;
use published::{Change, Entry, Item, Revision, Snapshot};
use std::fmt;

/// Changes after a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    /// The changes are complete up to this revision.
    pub revision: Revision,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// A published value that can't be parsed. The last good routing stays in force; an upstream
/// whose entry was overwritten by such a value is reported as removed, too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableValue {
    /// Its key.
    pub key: String,
    /// Its revision.
    pub revision: Revision,
    /// The problem and its remedy.
    pub problem: String,
}

/// The result of a read.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadResult<T> {
    /// What was parsed.
    pub value: T,
    /// The values that can't be parsed.
    pub unreadable: Vec<UnreadableValue>,
}

/// Why a read failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SourceError {
    /// The source no longer has the requested changes: everything must be read.
    HistoryGone,
    /// The source refused the request.
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// No response in time, no connection, or a broken one.
    Unreachable(String),
    /// The response is malformed.
    Malformed(String),
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SourceError::HistoryGone => write!(f, "the history is gone: everything is read anew"),
            SourceError::Refused { status } => {
                write!(f, "refused with {status}: it is asked again after a pause")
            }
            SourceError::Unreachable(why) => {
                write!(f, "unreachable ({why}): check the address and the way to it")
            }
            SourceError::Malformed(why) => {
                write!(f, "malformed answer ({why}): check that it is the source")
            }
        }
    }
}

/// Where a page ends: the token with which the next page is read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PageToken(pub String);

/// The pages of a full read so far.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The values of all pages so far, with the revision of the first: pages are not read
    /// atomically, so the changes after that revision are read once more.
    pub values: Snapshot,
    /// The token of the next page; none after the last.
    pub next: Option<PageToken>,
}

/// Most pages of a full read, of 500 values each.
const MAX_PAGES: usize = 200;

/// A source of published values.
pub trait Source: 'static {
    /// Reads the routing, the evacuations and a sample of the upstreams, which `random` selects:
    /// some kilobytes, however much is published.
    fn read_sample(
        &mut self,
        random: u64,
    ) -> impl Future<Output = Result<ReadResult<Vec<Entry<Item>>>, SourceError>>;

    /// Starts a full read: reads as much as one call returns.
    fn read_first_page(&mut self) -> impl Future<Output = Result<ReadResult<Page>, SourceError>>;

    /// Reads one more page, and appends it to those read so far.
    fn read_next_page(
        &mut self,
        so_far: ReadResult<Page>,
    ) -> impl Future<Output = Result<ReadResult<Page>, SourceError>>;

    /// Reads everything.
    fn read_all(&mut self) -> impl Future<Output = Result<ReadResult<Snapshot>, SourceError>> {
        async {
            let first = self.read_first_page().await?;
            self.read_remaining_pages(first).await
        }
    }

    /// Completes a full read whose first pages have been read.
    fn read_remaining_pages(
        &mut self,
        mut so_far: ReadResult<Page>,
    ) -> impl Future<Output = Result<ReadResult<Snapshot>, SourceError>> {
        async move {
            for _ in 0..MAX_PAGES {
                if so_far.value.next.is_none() {
                    let ReadResult { value, unreadable } = so_far;
                    return Ok(ReadResult { value: value.values, unreadable });
                }
                so_far = self.read_next_page(so_far).await?;
            }
            Err(SourceError::Malformed(format!("more than {MAX_PAGES} pages")))
        }
    }

    /// Reads the changes after a revision. If there is none, waits up to `wait_ms` for the first.
    fn read_changes(
        &mut self,
        after: Revision,
        wait_ms: Millis,
    ) -> impl Future<Output = Result<ReadResult<Changes>, SourceError>>;

    /// Number of calls made so far, including refused and failed ones.
    fn calls(&self) -> u64;
}
