//! The document in force on one node.

use azurestand_types::Revision;

use crate::Document;

/// The result of offering a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It has a higher revision and is now in force.
    Adopted {
        /// The revision that it replaced.
        from: Revision,
        /// The revision in force.
        to: Revision,
    },
    /// It is equal to the one in force.
    Same,
    /// It has a lower revision and is refused. The caller should log an event, because its
    /// source holds old state.
    LowerRevision {
        /// The revision in force.
        held: Revision,
        /// The revision that was offered.
        offered: Revision,
    },
    /// It has the revision in force but another text, and is refused.
    Diverged {
        /// The revision of both.
        revision: Revision,
    },
}

/// The document in force on one node, which never goes back to a lower revision.
///
/// Messages from peers and from the store may be delayed, duplicated or reordered,
/// and the store may be restored to an older state. None of these replaces a newer
/// document, because only a higher revision is adopted. See
/// [docs/CONFIGURING.md](../../../docs/CONFIGURING.md).
#[derive(Debug, Clone, Default)]
pub struct Current {
    document: Document,
}

impl Current {
    /// Starts with `document` in force.
    pub fn new(document: Document) -> Self {
        Self { document }
    }

    /// The document in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.document.revision()
    }

    /// Adopts `offered` if its revision is higher than the one in force.
    pub fn offer(&mut self, offered: Document) -> Offer {
        let held = self.revision();
        let revision = offered.revision();
        if revision > held {
            self.document = offered;
            return Offer::Adopted {
                from: held,
                to: revision,
            };
        }
        if revision < held {
            return Offer::LowerRevision {
                held,
                offered: revision,
            };
        }
        if offered == self.document {
            Offer::Same
        } else {
            Offer::Diverged { revision }
        }
    }
}
