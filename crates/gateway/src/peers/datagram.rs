//! Datagrams between hosts.

use domain::{HostId, Incarnation, Millis};
use published::{Change, Member, Revision};
use serde::{Deserialize, Serialize};

/// A datagram.
#[derive(Debug, Serialize, Deserialize)]
pub enum Datagram {
    /// A host is there.
    Hello {
        /// Itself.
        from: Member,
        /// Whether it wants to be told of others, and of the picture.
        asks: bool,
        /// Digest of the hosts that it knows; equal sets need not be told.
        digest: u64,
    },
    /// Hosts that are known.
    Known {
        /// Some of them.
        members: Vec<Member>,
    },
    /// What a host read.
    News(News),
    /// A host leaves.
    Bye {
        /// Its id.
        host: HostId,
        /// The run that ends.
        incarnation: Incarnation,
    },
}

/// What a host read from the source.
#[derive(Debug, Serialize, Deserialize)]
pub struct News {
    /// The reader.
    pub from: Member,
    /// Nothing newer than this was published, so long ago.
    pub revision: Revision,
    /// Age of the reading.
    pub age_ms: Millis,
    /// Digest of the reader's picture.
    pub digest: u64,
    /// `changes` holds all after this.
    pub after: Revision,
    /// The changes; none if they don't fit.
    pub changes: Option<Vec<Change>>,
}
