//! The sections of the document.

use derive_more::Display;
use quick_error::quick_error;

quick_error! {
    /// Why a text isn't the name of a section.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SectionError {
        /// No section has this name.
        Unknown(name: String) {
            display("there is no section {name:?}; name models, services, data_centres, priorities, accounts or limits")
        }
    }
}

/// One section of the document, the unit that a team owns and edits.
///
/// The variants are in the order of the sections in the stored text.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
#[display("{}", self.as_str())]
pub enum Section {
    /// Models and the versions of their weights.
    Models,
    /// Services other than inference engines.
    Services,
    /// Data centres, and whether each is in service.
    Centres,
    /// Named priorities.
    Priorities,
    /// Client accounts.
    Accounts,
    /// Limits of targets, links and requests.
    Limits,
}

impl Section {
    /// Every section, in the order of the stored text.
    pub const ALL: [Self; 6] = [
        Self::Models,
        Self::Services,
        Self::Centres,
        Self::Priorities,
        Self::Accounts,
        Self::Limits,
    ];

    /// The section's name in the document.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Models => "models",
            Self::Services => "services",
            Self::Centres => "data_centres",
            Self::Priorities => "priorities",
            Self::Accounts => "accounts",
            Self::Limits => "limits",
        }
    }
}

impl TryFrom<&str> for Section {
    type Error = SectionError;

    fn try_from(raw: &str) -> Result<Self, SectionError> {
        Self::ALL
            .into_iter()
            .find(|section| section.as_str() == raw)
            .ok_or_else(|| SectionError::Unknown(raw.to_owned()))
    }
}

impl TryFrom<String> for Section {
    type Error = SectionError;

    fn try_from(raw: String) -> Result<Self, SectionError> {
        Self::try_from(raw.as_str())
    }
}

impl From<Section> for String {
    fn from(section: Section) -> Self {
        section.as_str().to_owned()
    }
}
