//! One section's text and its position in the document.

use crate::Section;
use crate::error::{ConfigError, Fault};

/// A section's text with the number of its first line.
#[derive(Debug)]
pub(crate) struct Source<'a> {
    pub(crate) section: Section,
    pub(crate) text: &'a str,
    first_line: usize,
    line_breaks: Vec<usize>,
}

impl<'a> Source<'a> {
    pub(crate) fn new(section: Section, text: &'a str, first_line: usize) -> Self {
        let line_breaks = text.match_indices('\n').map(|(at, _)| at).collect();
        Self {
            section,
            text,
            first_line,
            line_breaks,
        }
    }

    /// The line number in the document of byte `offset` of the section.
    pub(crate) fn line(&self, offset: usize) -> usize {
        self.first_line + self.line_breaks.partition_point(|at| *at < offset)
    }

    /// An error about the section as a whole.
    pub(crate) fn error(&self, offset: usize, fault: Fault) -> ConfigError {
        ConfigError {
            section: Some(self.section),
            key: self.section.to_string(),
            line: self.line(offset),
            fault,
        }
    }
}

/// The position of a table, for errors about its keys.
#[derive(Debug, Clone)]
pub(crate) struct Place {
    pub(crate) section: Section,
    pub(crate) path: String,
    pub(crate) line: usize,
}

impl Place {
    /// An error about `key` of the table, or about the table when `key` is empty.
    pub(crate) fn error<F>(&self, key: &str, line: usize, fault: F) -> ConfigError
    where
        F: Into<Fault>,
    {
        let key = match key {
            "" => self.path.clone(),
            key => format!("{}.{key}", self.path),
        };
        ConfigError {
            section: Some(self.section),
            key,
            line,
            fault: fault.into(),
        }
    }
}
