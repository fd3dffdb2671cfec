//! The document in force on one node.

use azurestand_types::Revision;

use crate::Document;

/// What became of an offered document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It is newer and in force now.
    Adopted {
        /// The revision that it replaced.
        from: Revision,
        /// The revision in force.
        to: Revision,
    },
    /// It is the one in force.
    Same,
    /// It is older, and refused. Worth an event: the source holds old state.
    Lower {
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
/// Messages may come late, twice and out of order, from peers and from the
/// store, and the store may be restored to an older state. None of these
/// undoes a newer document, because only the revision decides. See
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

    /// Takes an offered document into force if its revision is higher.
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
            return Offer::Lower {
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
