//! What the reference says of one key.

/// Describes one key of a section, for the reader and for the reference.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// The key's name.
    pub name: &'static str,
    /// The type and unit, as an error message says it after "give".
    pub kind: &'static str,
    /// The value in force when the key is absent; none for a key that must be given.
    pub default: Option<&'static str>,
    /// What the key decides, as whole sentences.
    pub about: &'static str,
}
