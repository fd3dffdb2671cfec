//! The operators' document after all checks.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use azurestand_types::{
    AccountName, DataCentre, Digest, ModelName, Priority, PriorityName, Revision, ServiceName,
};

use crate::checked::Checked;
use crate::cross::{self, Blocks};
use crate::error::{ConfigError, ConfigErrors, Fault};
use crate::layout::{self, Block};
use crate::source::Source;
use crate::stamp::{Stamp, Stamps};
use crate::{Account, Centre, Limits, Model, Section, Service, account};

/// The maximum length of a document's text, in bytes. The store accepts values up to 1 MB.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// One section's text, and the revision and change that last wrote it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Part {
    pub(crate) text: Arc<str>,
    pub(crate) stamp: Stamp,
}

/// A document under construction, whose sections may not have been checked against each other.
#[derive(Debug, Clone, Default)]
pub(crate) struct Draft {
    pub(crate) revision: Revision,
    pub(crate) parts: BTreeMap<Section, Part>,
    pub(crate) checked: Checked,
}

#[derive(Debug)]
struct Inner {
    draft: Draft,
    text: Arc<str>,
    digest: Digest,
}

/// The operators' document, checked and immutable. A clone only increments a reference count.
///
/// Every document has passed all checks of
/// [docs/CONFIGURATION.md](../../../docs/CONFIGURATION.md).
#[derive(Clone)]
pub struct Document(Arc<Inner>);

impl Document {
    /// Parses and checks a whole document.
    ///
    /// A text without a `[document]` table is an initial document with revision 1.
    ///
    /// # Errors
    ///
    /// All errors of the text, with line numbers from 1.
    pub fn parse(text: &str) -> Result<Self, ConfigErrors> {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(too_large(text.len()));
        }
        let layout = layout::split(text)?;
        let first = layout.head.text.trim().is_empty();
        let stamps = if first {
            initial_stamps(layout.sections.keys())
        } else {
            Stamps::read(layout.head)?
        };
        let mut errors = ConfigErrors::default();
        let mut draft = Draft {
            revision: stamps.revision,
            ..Draft::default()
        };
        for (section, stamp) in stamps.sections {
            let part = Part {
                stamp,
                ..Part::default()
            };
            draft.parts.insert(section, part);
        }
        for (section, block) in &layout.sections {
            draft.read(*section, *block, &mut errors);
        }
        if errors.as_slice().is_empty() {
            errors = draft.cross_check(&layout.sections);
        }
        errors.into_result(())?;
        draft.build()
    }

    /// The document in force before any was written: revision 0, without sections.
    pub fn empty() -> Self {
        Self::from_draft(Draft::default())
    }

    /// The whole text, as stored.
    pub fn text(&self) -> &str {
        &self.0.text
    }

    /// The whole text, as a shared reference.
    pub fn shared_text(&self) -> Arc<str> {
        Arc::clone(&self.0.text)
    }

    /// The digest of the text. Nodes with equal digests hold the same document.
    pub fn digest(&self) -> Digest {
        self.0.digest
    }

    /// The document's revision, which every change increments by one.
    pub fn revision(&self) -> Revision {
        self.0.draft.revision
    }

    /// The sections that were ever written, each with the stamp of its last change.
    pub fn sections(&self) -> impl Iterator<Item = (Section, &Stamp)> {
        let parts = self.0.draft.parts.iter();
        parts.map(|(section, part)| (*section, &part.stamp))
    }

    /// The stamp of the last change of `section`; revision 0 if it was never written.
    pub fn stamp(&self, section: Section) -> Stamp {
        let part = self.0.draft.parts.get(&section);
        part.map(|part| part.stamp.clone()).unwrap_or_default()
    }

    /// The text of one section as it was submitted; empty if there is none.
    pub fn section_text(&self, section: Section) -> &str {
        let part = self.0.draft.parts.get(&section);
        part.map_or("", |part| &*part.text)
    }

    /// The models by name.
    pub fn models(&self) -> &BTreeMap<ModelName, Model> {
        &self.0.draft.checked.models
    }

    /// The services by name.
    pub fn services(&self) -> &BTreeMap<ServiceName, Service> {
        &self.0.draft.checked.services
    }

    /// The data centres by name.
    pub fn centres(&self) -> &BTreeMap<DataCentre, Centre> {
        &self.0.draft.checked.centres
    }

    /// Whether a data centre accepts new work. One that isn't listed accepts none.
    pub fn in_service(&self, centre: &DataCentre) -> bool {
        let found = self.centres().get(centre);
        found.is_some_and(|centre| centre.in_service)
    }

    /// The priorities by name.
    pub fn priorities(&self) -> &BTreeMap<PriorityName, Priority> {
        &self.0.draft.checked.priorities
    }

    /// The accounts by name.
    pub fn accounts(&self) -> &BTreeMap<AccountName, Account> {
        &self.0.draft.checked.accounts
    }

    /// The limits, with defaults for absent keys.
    pub fn limits(&self) -> &Limits {
        &self.0.draft.checked.limits
    }

    /// Finds the account whose bearer key is `presented`.
    ///
    /// The running time doesn't depend on how much of the key matches.
    pub fn find_account(&self, presented: &str) -> Option<(&AccountName, &Account)> {
        account::find(self.accounts(), presented)
    }

    /// The priority of an account's requests.
    pub fn priority_of(&self, account: &Account) -> Priority {
        let level = self.priorities().get(&account.priority);
        level.copied().unwrap_or(Priority(u8::MAX))
    }

    /// A document with the same sections and the next revision.
    #[must_use]
    pub fn with_next_revision(&self) -> Self {
        let mut draft = self.draft();
        draft.revision = draft.revision.next();
        Self::from_draft(draft)
    }

    pub(crate) fn draft(&self) -> Draft {
        self.0.draft.clone()
    }

    fn from_draft(draft: Draft) -> Self {
        let text = draft.text();
        let digest = Digest::of(text.as_bytes());
        let text = text.into();
        Self(Arc::new(Inner {
            draft,
            text,
            digest,
        }))
    }
}

impl Draft {
    /// Replaces one section's text and its checked contents.
    pub(crate) fn read(&mut self, section: Section, block: Block<'_>, errors: &mut ConfigErrors) {
        let source = Source::new(section, block.text, block.line);
        self.checked.read(&source, errors);
        let part = self.parts.entry(section).or_default();
        part.text = layout::normalise(block.text).into();
    }

    /// Checks references between tables; errors in sections of `blocks` carry line numbers.
    pub(crate) fn cross_check(&self, blocks: &Blocks<'_>) -> ConfigErrors {
        cross::check(&self.checked, blocks)
    }

    /// Builds the document, unless its text exceeds the maximum length.
    pub(crate) fn build(self) -> Result<Document, ConfigErrors> {
        let document = Document::from_draft(self);
        let length = document.text().len();
        if length > MAX_DOCUMENT_BYTES {
            return Err(too_large(length));
        }
        Ok(document)
    }

    fn text(&self) -> String {
        let stamps = self.parts.iter();
        let stamps = Stamps {
            revision: self.revision,
            sections: stamps
                .map(|(section, part)| (*section, part.stamp.clone()))
                .collect(),
        };
        let parts = self.parts.iter();
        layout::join(
            &stamps,
            parts.map(|(section, part)| (*section, &*part.text)),
        )
    }
}

impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Document")
            .field("revision", &self.revision())
            .field("digest", &self.digest())
            .finish_non_exhaustive()
    }
}

impl PartialEq for Document {
    fn eq(&self, other: &Self) -> bool {
        self.digest() == other.digest()
    }
}

impl Eq for Document {}

impl Default for Document {
    fn default() -> Self {
        Self::empty()
    }
}

fn initial_stamps<'a, I>(sections: I) -> Stamps
where
    I: Iterator<Item = &'a Section>,
{
    let revision = Revision(1);
    let stamp = Stamp {
        revision,
        change: None,
    };
    Stamps {
        revision,
        sections: sections.map(|section| (*section, stamp.clone())).collect(),
    }
}

fn too_large(bytes: usize) -> ConfigErrors {
    vec![ConfigError {
        section: None,
        key: String::new(),
        line: 1,
        fault: Fault::TooLarge(bytes, MAX_DOCUMENT_BYTES),
    }]
    .into()
}
