//! Parses and checks the operators' document, merges edits of single sections
//! into it, and decides which revision is in force on a node.
//!
//! The crate does no I/O: it takes texts and events and returns checked documents
//! and actions. [docs/CONFIGURING.md](../../../docs/CONFIGURING.md) describes the
//! design and [docs/CONFIGURATION.md](../../../docs/CONFIGURATION.md) the keys.
//!
//! ```
//! use azurestand_config::{Current, Document, Edit, Merge, Offer, Section};
//!
//! let first = Document::parse(
//!     "# Owned by the network team.\n\
//!      [data_centres.tov]\nregion = \"west\"\n\
//!      [data_centres.khentii]\nregion = \"east\"\n",
//! )?;
//! let mut current = Current::new(first.clone());
//!
//! let text = first.section_text(Section::Centres);
//! let edit = Edit {
//!     section: Section::Centres,
//!     base: first.stamp(Section::Centres).revision,
//!     author: "sarangerel".to_owned().try_into()?,
//!     change: "out-1".to_owned().try_into()?,
//!     text: format!("{text}in_service = false\n"),
//!     force: false,
//! };
//! let Merge::Merged(second) = first.apply(&edit)? else { unreachable!() };
//! assert!(second.text().contains("# Owned by the network team."));
//!
//! current.offer(second);
//! assert!(matches!(current.offer(first), Offer::LowerRevision { .. }));
//! assert!(!current.document().in_service(&"khentii".try_into()?));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod account;
mod audit;
mod centre;
mod check;
mod checked;
mod cross;
mod current;
mod delta;
mod document;
mod duration;
mod edit;
mod editing;
mod error;
mod key;
mod layout;
mod limits;
mod model;
mod options;
mod patch;
mod priority;
mod reference;
mod section;
mod service;
mod source;
mod stamp;
mod transaction;

pub use account::Account;
pub use audit::{AUDIT_PREFIX, AuditError, AuditRecord, DOCUMENT_KEY, KEPT_RECORDS};
pub use centre::Centre;
pub use current::{Current, Offer};
pub use delta::{Delta, DeltaError, SectionDelta};
pub use document::{Document, MAX_DOCUMENT_BYTES};
pub use duration::DurationError;
pub use edit::{Author, AuthorError, Conflict, Edit, EditError, Merge, unified_diff};
pub use editing::{Editing, EditingAction, EditingEvent, EditingOutcome};
pub use error::{ConfigError, ConfigErrors, Fault};
pub use key::Key;
pub use limits::Limits;
pub use model::{Canary, Model};
pub use patch::{Hunk, Patch, RevertError};
pub use reference::Reference;
pub use section::{Section, SectionError};
pub use service::Service;
pub use stamp::Stamp;
pub use transaction::{Commit, StoreVersion, Transaction, Write};
