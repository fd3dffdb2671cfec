//! Decides what the operators' document says, how an edit of one section
//! merges into it, and which document is in force on a node.
//!
//! Everything here is pure: texts and events go in, checked documents and
//! actions come out. [docs/CONFIGURING.md](../../../docs/CONFIGURING.md) tells
//! the design and [docs/CONFIGURATION.md](../../../docs/CONFIGURATION.md) the keys.
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
//! assert!(matches!(current.offer(first), Offer::Lower { .. }));
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
mod span;
mod stamp;
mod transaction;

pub use account::Account;
pub use audit::{AUDIT_PREFIX, AuditError, AuditRecord, DOCUMENT_KEY, KEPT_RECORDS};
pub use centre::Centre;
pub use current::{Current, Offer};
pub use delta::{Delta, DeltaError, SectionDelta};
pub use document::{Document, MAX_DOCUMENT_BYTES};
pub use edit::{Author, AuthorError, Conflict, Edit, EditError, Merge, difference};
pub use editing::{Editing, EditingAction, EditingEvent, EditingOutcome};
pub use error::{ConfigError, ConfigErrors, Fault};
pub use key::Key;
pub use limits::Limits;
pub use model::{Canary, Model};
pub use patch::{Hunk, Patch, RevertError};
pub use reference::Reference;
pub use section::{Section, SectionError};
pub use service::Service;
pub use span::SpanError;
pub use stamp::Stamp;
pub use transaction::{Commit, StoreVersion, Transaction, Write};
