//! The description of one key in the generated reference.

/// Describes one key of a section, for the parser and for the generated reference.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// The key's name.
    pub name: &'static str,
    /// The type and unit, worded to follow "give" in an error message.
    pub kind: &'static str,
    /// The value in force when the key is absent; none for a required key.
    pub default: Option<&'static str>,
    /// The key's meaning, in full sentences.
    pub about: &'static str,
}
