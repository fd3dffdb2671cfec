//! What one change writes to the store, all together or not at all.

use azurestand_types::{ChangeId, Revision};
use derive_more::{Display, From};

use crate::audit::{DOCUMENT_KEY, KEPT_RECORDS};
use crate::{AuditRecord, Author, Document};

/// The version that the store gives a key; 0 for a key that isn't there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, From, Display)]
pub struct StoreVersion(pub u64);

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Puts a value.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// Deletes a key, if it is there.
    Delete {
        /// The key.
        key: String,
    },
}

/// Writes that happen together, or not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transaction {
    /// The version that [`DOCUMENT_KEY`] must still have.
    pub condition: StoreVersion,
    /// The revision that the document gets.
    pub revision: Revision,
    /// The writes.
    pub writes: Vec<Write>,
}

/// What became of a transaction, as far as the store's client knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// It took effect.
    Applied,
    /// It did not and never will, because the condition failed.
    NotApplied,
    /// It did not and never will, because the store finds it invalid.
    Rejected,
    /// The answer was lost; it may have taken effect, or may still do so.
    Unknown,
}

impl Transaction {
    /// Puts `document` and the record of its change in place of the version that was read.
    ///
    /// Deletes the record that falls out of the kept ones, so that the store
    /// stays bounded.
    pub fn new(condition: StoreVersion, document: &Document, record: &AuditRecord) -> Self {
        let revision = document.revision();
        let mut writes = vec![
            Write::Put {
                key: DOCUMENT_KEY.to_owned(),
                value: document.text().to_owned(),
            },
            Write::Put {
                key: AuditRecord::key(revision),
                value: record.to_json(),
            },
        ];
        if let Some(old) = revision.0.checked_sub(KEPT_RECORDS) {
            writes.push(Write::Delete {
                key: AuditRecord::key(Revision(old)),
            });
        }
        Self {
            condition,
            revision,
            writes,
        }
    }

    /// Writes the first document of all, if the store holds none.
    pub fn first(document: &Document, author: Author, change: ChangeId, at: u64) -> Self {
        let record = AuditRecord::whole(document, author, change, at);
        Self::new(StoreVersion(0), document, &record)
    }

    /// Brings a document back that is newer than the one of version `condition`.
    ///
    /// It gets the next revision, so that no node can hold another text of it.
    pub fn recover(
        condition: StoreVersion,
        newer: &Document,
        author: Author,
        change: ChangeId,
        at: u64,
    ) -> Self {
        let document = newer.succeed();
        let record = AuditRecord::whole(&document, author, change, at);
        Self::new(condition, &document, &record)
    }
}
