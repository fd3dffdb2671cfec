//! The `[document]` table, in which the system keeps the revisions of the document and its sections.

use std::collections::BTreeMap;
use std::fmt::Write;

use azurestand_types::{ChangeId, Revision};
use serde::Deserialize;

use crate::Section;
use crate::error::{ConfigError, ConfigErrors, Fault};
use crate::layout::Block;

/// The name of the table that the system writes.
pub(crate) const DOCUMENT_TABLE: &str = "document";

/// The revision and the change that last wrote a section.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stamp {
    /// The document's revision in which the section got its present text.
    pub revision: Revision,
    /// The change that wrote it; none for the initial document.
    pub change: Option<ChangeId>,
}

/// The document's revision and its sections' stamps.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Stamps {
    pub(crate) revision: Revision,
    pub(crate) sections: BTreeMap<Section, Stamp>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HeadOptions {
    #[serde(default)]
    document: DocumentOptions,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct DocumentOptions {
    revision: Revision,
    #[serde(default)]
    sections: BTreeMap<Section, StampOptions>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StampOptions {
    revision: Revision,
    change: Option<ChangeId>,
}

impl Stamps {
    /// Parses the `[document]` table.
    pub(crate) fn read(block: Block<'_>) -> Result<Self, ConfigErrors> {
        let damaged = |line: usize, message: &str| -> ConfigErrors {
            vec![ConfigError {
                section: None,
                key: DOCUMENT_TABLE.to_owned(),
                line,
                fault: Fault::DamagedStamps(message.to_owned()),
            }]
            .into()
        };
        let head: HeadOptions = toml::from_str(block.text).map_err(|error| {
            let at = error.span().map_or(0, |span| span.start);
            let before = &block.text[..at.min(block.text.len())];
            damaged(block.line + before.matches('\n').count(), error.message())
        })?;
        let revision = head.document.revision;
        let sections = head.document.sections.into_iter();
        let sections: BTreeMap<Section, Stamp> = sections
            .map(|(section, raw)| {
                let stamp = Stamp {
                    revision: raw.revision,
                    change: raw.change,
                };
                (section, stamp)
            })
            .collect();
        if sections.values().any(|stamp| stamp.revision > revision) {
            let message = "a section's revision is above the document's";
            return Err(damaged(block.line, message));
        }
        Ok(Self { revision, sections })
    }

    /// The `[document]` table as text.
    pub(crate) fn to_text(&self) -> String {
        let mut text = format!("[{DOCUMENT_TABLE}]\nrevision = {}\n", self.revision);
        if !self.sections.is_empty() {
            let _ = write!(text, "\n[{DOCUMENT_TABLE}.sections]\n");
        }
        for (section, stamp) in &self.sections {
            let _ = match &stamp.change {
                Some(change) => writeln!(
                    text,
                    "{section} = {{ revision = {}, change = \"{change}\" }}",
                    stamp.revision
                ),
                None => writeln!(text, "{section} = {{ revision = {} }}", stamp.revision),
            };
        }
        text
    }
}
