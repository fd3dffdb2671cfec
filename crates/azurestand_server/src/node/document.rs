//! Translates between the operators' document and the opaque sections that membership spreads.

use std::collections::BTreeMap;
use std::sync::Arc;

use azurestand_config::{Delta, Document, Section, SectionDelta, Stamp};
use azurestand_membership::{Config, Section as Piece, SectionName};
use azurestand_types::{ChangeId, Digest, Revision};
use quick_error::quick_error;

/// The piece that carries the whole document's digest.
const HEAD: &str = "document";

quick_error! {
    /// Why what a peer or the store holds can't be put in force.
    #[derive(Debug)]
    pub enum DocumentError {
        /// The pieces don't make a document.
        Pieces(reason: String) {
            display("the document's pieces don't fit together ({reason}); run the same version on all hosts")
        }
        /// The document doesn't check.
        Checks(reason: String) {
            display("the document doesn't check: {reason}")
        }
    }
}

/// Cuts a document into the pieces that membership compares and sends.
pub(crate) fn cut(document: &Document) -> Result<Config, DocumentError> {
    let mut pieces = BTreeMap::new();
    let head = Piece {
        revision: document.revision(),
        text: document.digest().to_string().into(),
    };
    pieces.insert(name(HEAD)?, head);
    for (section, stamp) in document.sections() {
        let change = stamp.change.as_ref().map_or("", |change| change.as_str());
        let text = document.section_text(section);
        let piece = Piece {
            revision: stamp.revision,
            text: format!("{change}\n{text}").into(),
        };
        pieces.insert(name(section.as_str())?, piece);
    }
    Config::new(document.revision(), pieces).map_err(refuse)
}

/// Checks the pieces and puts them together.
pub(crate) fn join(config: &Config) -> Result<Document, DocumentError> {
    let mut digest = None;
    let mut sections = Vec::new();
    for (name, piece) in config.sections() {
        if name.as_str() == HEAD {
            digest = Some(Digest::try_from(&*piece.text).map_err(refuse)?);
        } else {
            sections.push(read(name, piece)?);
        }
    }
    let missing = || DocumentError::Pieces("the digest is missing".into());
    let delta = Delta {
        since: Revision(0),
        revision: config.revision(),
        digest: digest.ok_or_else(missing)?,
        sections,
    };
    let merged = Document::empty().merge(&delta);
    merged.map_err(|error| DocumentError::Checks(error.to_string()))
}

fn name(raw: &str) -> Result<SectionName, DocumentError> {
    SectionName::try_from(raw).map_err(refuse)
}

fn refuse<E>(error: E) -> DocumentError
where
    E: std::fmt::Display,
{
    DocumentError::Pieces(error.to_string())
}

fn read(name: &SectionName, piece: &Piece) -> Result<SectionDelta, DocumentError> {
    let (change, text) = piece.text.split_once('\n').unwrap_or((&piece.text, ""));
    let change = match change {
        "" => None,
        raw => Some(ChangeId::try_from(raw.to_owned()).map_err(refuse)?),
    };
    Ok(SectionDelta {
        section: Section::try_from(name.as_str()).map_err(refuse)?,
        stamp: Stamp {
            revision: piece.revision,
            change,
        },
        text: Arc::from(text),
    })
}
