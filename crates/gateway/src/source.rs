//! The source of what is published.

use domain::Millis;
use published::{Change, Entry, Item, Revision, Snapshot};
use std::fmt;

/// Changes after a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    /// No change up to here is missing.
    pub revision: Revision,
    /// In order.
    pub changes: Vec<Change>,
}

/// A published value that can't be read. The last good routing stays in force; what stood in
/// the place of an upstream's entry names no upstream, and is told as its removal besides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableValue {
    /// Its key.
    pub key: String,
    /// Its revision.
    pub revision: Revision,
    /// What is wrong, and the remedy.
    pub problem: String,
}

/// What a reading brought.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadResult<T> {
    /// What could be read.
    pub value: T,
    /// What could not.
    pub unreadable: Vec<UnreadableValue>,
}

/// Why a reading failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SourceError {
    /// The changes asked for are not kept any more: read everything.
    HistoryGone,
    /// The source refused.
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// No answer in time, no connection, or a broken one.
    Unreachable(String),
    /// The answer makes no sense.
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

/// Where a page ends, for the call that reads on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PageToken(pub String);

/// What one call of a whole reading brought.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The values up to here. Its revision is that of the first page: pages are no snapshot, so
    /// what changed meanwhile is told again after that.
    pub values: Snapshot,
    /// Where it ends; none if that was all.
    pub next: Option<PageToken>,
}

/// Pages after which a whole reading is given up: 500 values each.
const MAX_PAGES: usize = 200;

/// Reads what is published.
pub trait Source: 'static {
    /// The routing, the evacuations and a sample of the upstreams, which `draw` chooses: some
    /// kilobytes, whatever is published.
    fn read_sample(
        &mut self,
        draw: u64,
    ) -> impl Future<Output = Result<ReadResult<Vec<Entry<Item>>>, SourceError>>;

    /// The beginning of everything: as much as one call brings.
    fn read_first_page(&mut self) -> impl Future<Output = Result<ReadResult<Page>, SourceError>>;

    /// One call more after what was read so far.
    fn read_next_page(
        &mut self,
        so_far: ReadResult<Page>,
    ) -> impl Future<Output = Result<ReadResult<Page>, SourceError>>;

    /// Everything.
    fn read_all(&mut self) -> impl Future<Output = Result<ReadResult<Snapshot>, SourceError>> {
        async {
            let first = self.read_first_page().await?;
            self.read_remaining_pages(first).await
        }
    }

    /// Everything, where the beginning has been read.
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

    /// Changes after a revision; waits up to `wait_ms` for the first.
    fn read_changes(
        &mut self,
        after: Revision,
        wait_ms: Millis,
    ) -> impl Future<Output = Result<ReadResult<Changes>, SourceError>>;

    /// Calls made so far, refused and failed ones too.
    fn calls(&self) -> u64;
}
