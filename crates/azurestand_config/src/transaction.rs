//! The atomic store transaction of one change.

use azurestand_types::{ChangeId, Revision};
use derive_more::{Display, From};

use crate::audit::{DOCUMENT_KEY, KEPT_RECORDS};
use crate::{AuditRecord, Author, Document};

/// The store's version of a key; 0 if the key doesn't exist.
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
    /// Deletes a key, if it exists.
    Delete {
        /// The key.
        key: String,
    },
}

/// Writes that the store applies atomically.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transaction {
    /// The version of [`DOCUMENT_KEY`] on which the writes are conditional.
    pub condition: StoreVersion,
    /// The revision of the written document.
    pub revision: Revision,
    /// The writes.
    pub writes: Vec<Write>,
}

/// The result of a transaction, as far as the store's client knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// It took effect.
    Applied,
    /// It didn't and never will take effect, because the condition failed.
    NotApplied,
    /// It didn't and never will take effect, because the store rejected it as invalid.
    Rejected,
    /// The response was lost: it may have taken effect, or may still do so.
    Unknown,
}

impl Transaction {
    /// Writes `document` and the audit record of its change, if the stored document still has
    /// version `condition`.
    ///
    /// Also deletes the audit record that is [`KEPT_RECORDS`] revisions old, which bounds
    /// the store's size.
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

    /// Writes the initial document, if the store holds none.
    pub fn initial(document: &Document, author: Author, change: ChangeId, at: u64) -> Self {
        let record = AuditRecord::for_document(document, author, change, at);
        Self::new(StoreVersion(0), document, &record)
    }

    /// Restores a document that is newer than the stored one of version `condition`.
    ///
    /// It gets the next revision, so that no node can already hold another text of that
    /// revision.
    pub fn recover(
        condition: StoreVersion,
        newer: &Document,
        author: Author,
        change: ChangeId,
        at: u64,
    ) -> Self {
        let document = newer.with_next_revision();
        let record = AuditRecord::for_document(&document, author, change, at);
        Self::new(condition, &document, &record)
    }
}
