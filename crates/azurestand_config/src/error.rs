//! What can be wrong with a document.

use std::fmt;

use azurestand_types::{DigestError, NameError};
use derive_more::Display;
use quick_error::quick_error;

use crate::Section;
use crate::duration::DurationError;

quick_error! {
    /// A fault at one place of a document. Each message states the remedy.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Fault {
        /// The text isn't TOML.
        Syntax(message: String) {
            display("{message}; correct the TOML syntax")
        }
        /// The document is larger than the store accepts.
        TooLarge(bytes: usize, max: usize) {
            display("the document has {bytes} bytes; shorten it to {max}")
        }
        /// A top-level table isn't a section.
        UnknownSection(name: String) {
            display("there is no section {name:?}; use models, services, data_centres, priorities, accounts or limits")
        }
        /// A section's tables aren't adjacent.
        NotAdjacent {
            display("the section's tables are not adjacent; move them together")
        }
        /// This section's text contains a table of another section.
        ForeignTable(name: String) {
            display("table {name:?} belongs to another section; edit it there")
        }
        /// A key precedes the first table header.
        KeyBeforeTable {
            display("keys precede the first table header; put them under a [section] header")
        }
        /// A line begins with the prefix of the system's marker lines.
        Reserved {
            display("the line begins with \"#:\", which is reserved for the system; begin the comment with \"# \"")
        }
        /// A value is given in place of a table.
        ExpectedTable {
            display("expected a table; write it as [section.name] with its keys below")
        }
        /// The `[document]` table, which the system writes, is damaged.
        DamagedStamps(message: String) {
            display("the [document] table is damaged: {message}; restore it from `azurestand config show`")
        }
        /// A key isn't known here.
        UnknownKey(known: String) {
            display("the key is unknown; remove it or use one of: {known}")
        }
        /// A required key is absent.
        Missing(kind: &'static str) {
            display("the key is missing; give {kind}")
        }
        /// A value has the wrong type.
        Type(message: String, kind: &'static str) {
            display("{message}; give {kind}")
        }
        /// A name is malformed.
        Name(error: NameError) {
            from()
            display("{error}")
        }
        /// A digest is malformed.
        Digest(error: DigestError) {
            from()
            display("{error}")
        }
        /// A duration is malformed.
        InvalidDuration(error: DurationError) {
            from()
            display("{error}")
        }
        /// A number is out of range.
        Range(found: String, min: String, max: String) {
            display("{found} is out of range; give {min} to {max}")
        }
        /// A list contains a name twice.
        Duplicate(name: String) {
            display("{name:?} is listed twice; remove one")
        }
        /// Two accounts have the same key.
        SharedKey(other: String) {
            display("account {other:?} has the same key; give each account a key of its own")
        }
        /// A target is the home of two services.
        SharedHome(target: String, other: String) {
            display("target {target:?} is a home of service {other:?} too; a target runs one service, so list it in one")
        }
        /// A version has no manifest.
        NoManifest(version: String) {
            display("version {version:?} has no manifest; publish it and add its digest to the model's versions table")
        }
        /// A canary needs both a version and a share.
        IncompleteCanary {
            display("a canary needs canary_version and canary_share; give both or neither")
        }
        /// A service whose calls may not be repeated has no homes.
        NoHomes {
            display("a service that isn't idempotent needs homes for its idempotency keys; list its targets in homes")
        }
        /// An account names a priority that isn't defined.
        UnknownPriority(name: String) {
            display("priority {name:?} isn't defined; add [priorities.{name}] first")
        }
        /// The default deadline exceeds the longest one.
        DeadlineAboveMax {
            display("the default deadline exceeds max_deadline; lower it or raise max_deadline")
        }
    }
}

/// One error of a document, with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// The section, where it is known.
    pub section: Option<Section>,
    /// The dotted path of the key or table; empty for the whole text.
    pub key: String,
    /// The line, counted from 1; 0 for an error that an edit causes in another section.
    pub line: usize,
    /// What is wrong, and the remedy.
    pub fault: Fault,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}", self.fault)
    }
}

impl std::error::Error for ConfigError {}

/// All errors of a document, in the order of their lines.
#[derive(Debug, Clone, PartialEq, Eq, Default, Display)]
#[display("{}", self.lines())]
pub struct ConfigErrors(Vec<ConfigError>);

impl ConfigErrors {
    /// The errors as a slice.
    pub fn as_slice(&self) -> &[ConfigError] {
        &self.0
    }

    pub(crate) fn add(&mut self, error: ConfigError) {
        self.0.push(error);
    }

    pub(crate) fn extend(&mut self, others: Self) {
        self.0.extend(others.0);
    }

    /// Returns `value` if there is no error, else the errors in the order of their lines.
    pub(crate) fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            return Ok(value);
        }
        Err(self.0.into())
    }

    fn lines(&self) -> String {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        lines.join("\n")
    }
}

impl From<Vec<ConfigError>> for ConfigErrors {
    fn from(mut errors: Vec<ConfigError>) -> Self {
        errors.sort_by_key(|error| error.line);
        Self(errors)
    }
}

impl std::error::Error for ConfigErrors {}
