//! The files in which operators edit a section.

#[cfg(test)]
mod tests;

use std::path::Path;

use azurestand_config::{Document, Section};
use azurestand_types::Revision;

use crate::failure::Failure;

const BASE_MARK: &str = "#: base ";

/// A section's text as it stands in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SectionFile {
    /// The section and the revision on which the edit builds, if the file says so.
    pub(crate) base: Option<(Section, Revision)>,
    /// The section's text.
    pub(crate) text: String,
}

impl SectionFile {
    /// Reads a file.
    pub(crate) fn read(path: &Path) -> Result<Self, Failure> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| Failure::File(path.to_owned(), error))?;
        Self::parse(&text)
    }

    /// Splits the line that names the base from the text.
    ///
    /// The line is replaced by an empty one, so that errors name the file's lines.
    pub(crate) fn parse(raw: &str) -> Result<Self, Failure> {
        let Some(rest) = raw.strip_prefix(BASE_MARK) else {
            return Ok(Self {
                base: None,
                text: raw.to_owned(),
            });
        };
        let (line, text) = rest.split_once('\n').unwrap_or((rest, ""));
        let damaged = || {
            let message = format!(
                "the first line {line:?} is damaged; write it anew with `azurestand config edit`"
            );
            Failure::Usage(message)
        };
        let (revision, section) = line.trim_end().split_once(" of ").ok_or_else(damaged)?;
        let revision = revision.parse().map_err(|_| damaged())?;
        let section = Section::try_from(section).map_err(|_| damaged())?;
        Ok(Self {
            base: Some((section, Revision(revision))),
            text: format!("\n{text}"),
        })
    }

    /// What to write for editing `section`.
    pub(crate) fn text_of(document: &Document, section: Section) -> String {
        let base = document.stamp(section).revision;
        let text = document.section_text(section);
        format!("{BASE_MARK}{base} of {section}\n{text}")
    }

    /// The revision on which the edit of `section` builds.
    ///
    /// A file that doesn't name one is taken to build on the present text.
    pub(crate) fn base_of(
        &self,
        section: Section,
        document: &Document,
    ) -> Result<Revision, Failure> {
        match self.base {
            Some((named, revision)) if named == section => Ok(revision),
            Some((named, _)) => {
                let message =
                    format!("the file holds section {named}, not {section}; apply it as {named}");
                Err(Failure::Usage(message))
            }
            None => Ok(document.stamp(section).revision),
        }
    }
}
