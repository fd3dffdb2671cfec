//! The layout of a document's text.
//!
//! The stored text is a `[document]` table that the system writes, followed by
//! each section's text byte for byte, below a marker line. The markers make the
//! section boundaries exact, so comments never move to another team's section.
//! A text without markers, such as a hand-written initial document, is split
//! before the comments above each section's first table.

use std::collections::BTreeMap;
use std::fmt::Write;

use toml::de::DeTable;
use toml_edit::{Item, Table};

use crate::Section;
use crate::error::{ConfigError, ConfigErrors, Fault};
use crate::stamp::{DOCUMENT_TABLE, Stamps};

/// The prefix of the marker lines that the system writes into the text.
pub(crate) const MARKER: &str = "#:";
const SECTION_MARKER: &str = "#: section ";

/// A part of a text and the number of its first line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Block<'a> {
    pub(crate) text: &'a str,
    pub(crate) line: usize,
}

/// A text split into its sections.
#[derive(Debug)]
pub(crate) struct Layout<'a> {
    pub(crate) head: Block<'a>,
    pub(crate) sections: BTreeMap<Section, Block<'a>>,
}

/// Splits a text into its sections.
pub(crate) fn split(text: &str) -> Result<Layout<'_>, ConfigErrors> {
    if text.lines().any(|line| line.starts_with(SECTION_MARKER)) {
        split_at_markers(text)
    } else {
        split_at_tables(text)
    }
}

/// Joins the sections below the `[document]` table.
pub(crate) fn join<'a, I>(stamps: &Stamps, sections: I) -> String
where
    I: IntoIterator<Item = (Section, &'a str)>,
{
    let mut text = stamps.to_text();
    for (section, part) in sections {
        if part.is_empty() {
            continue;
        }
        let _ = write!(text, "\n{SECTION_MARKER}{section}\n{part}");
    }
    text
}

/// Removes line breaks at the start and white space at the end, and ends the text with one
/// line break, so that texts can be joined.
pub(crate) fn normalise(text: &str) -> String {
    let body = text.trim_end().trim_start_matches(['\r', '\n']);
    if body.is_empty() {
        return String::new();
    }
    format!("{body}\n")
}

/// A marker line, which starts a section.
struct Marker<'a> {
    name: &'a str,
    start: usize,
    body: usize,
    line: usize,
}

fn markers(text: &str) -> Vec<Marker<'_>> {
    let mut markers = Vec::new();
    let mut start = 0;
    for (index, line) in text.split_inclusive('\n').enumerate() {
        let body = start + line.len();
        if let Some(name) = line.strip_prefix(SECTION_MARKER) {
            markers.push(Marker {
                name: name.trim_end(),
                start,
                body,
                line: index + 1,
            });
        }
        start = body;
    }
    markers
}

fn split_at_markers(text: &str) -> Result<Layout<'_>, ConfigErrors> {
    let mut errors = ConfigErrors::default();
    let mut sections = BTreeMap::new();
    let markers = markers(text);
    let ends = markers
        .iter()
        .map(|marker| marker.start)
        .chain([text.len()]);
    let mut ends = ends.collect::<Vec<_>>().into_iter();
    let head = Block {
        text: &text[..ends.next().unwrap_or(0)],
        line: 1,
    };
    for (marker, end) in markers.into_iter().zip(ends) {
        let block = Block {
            text: &text[marker.body..end],
            line: marker.line + 1,
        };
        let Ok(section) = Section::try_from(marker.name) else {
            let fault = Fault::UnknownSection(marker.name.to_owned());
            errors.add(error(None, marker.line, fault));
            continue;
        };
        if sections.insert(section, block).is_some() {
            errors.add(error(Some(section), marker.line, Fault::NotAdjacent));
        }
    }
    errors.into_result(Layout { head, sections })
}

fn split_at_tables(text: &str) -> Result<Layout<'_>, ConfigErrors> {
    let starts = table_starts(text)?;
    let mut errors = ConfigErrors::default();
    let mut sections: BTreeMap<Section, Block<'_>> = BTreeMap::new();
    let mut head = Block { text: "", line: 1 };
    let ends = starts.iter().skip(1).map(|(at, _)| *at).chain([text.len()]);
    for ((at, name), end) in starts.iter().zip(ends) {
        let line = 1 + text[..*at].matches('\n').count();
        let block = Block {
            text: &text[*at..end],
            line,
        };
        match Section::try_from(name.as_str()) {
            Ok(section) => {
                if sections.insert(section, block).is_some() {
                    errors.add(error(Some(section), line, Fault::NotAdjacent));
                }
            }
            Err(_) if name == DOCUMENT_TABLE => head = block,
            Err(_) => errors.add(error(None, line, Fault::UnknownSection(name.clone()))),
        }
    }
    errors.into_result(Layout { head, sections })
}

/// The start of each run of tables with one top-level name, including the comments above it.
fn table_starts(text: &str) -> Result<Vec<(usize, String)>, ConfigErrors> {
    let parsed = toml_edit::Document::parse(text).map_err(|_| syntax_errors(text))?;
    let mut headers = Vec::new();
    for (name, item) in parsed.iter() {
        collect_headers(name, item, &mut headers);
    }
    headers.sort();
    if let Some(at) = first_content(text)
        && headers.first().is_none_or(|(first, _)| at < *first)
    {
        let line = 1 + text[..at].matches('\n').count();
        return Err(vec![error(None, line, Fault::KeyBeforeTable)].into());
    }
    let mut starts: Vec<(usize, String)> = Vec::new();
    for (at, name) in headers {
        if starts.last().is_none_or(|(_, last)| *last != name) {
            starts.push((comment_start(text, at), name));
        }
    }
    if let Some(first) = starts.first_mut() {
        first.0 = 0;
    }
    Ok(starts)
}

fn collect_headers(name: &str, item: &Item, headers: &mut Vec<(usize, String)>) {
    match item {
        Item::Table(table) => collect_table(name, table, headers),
        Item::ArrayOfTables(tables) => {
            for table in tables {
                collect_table(name, table, headers);
            }
        }
        _ => {}
    }
}

fn collect_table(name: &str, table: &Table, headers: &mut Vec<(usize, String)>) {
    if let Some(span) = table.span()
        && !table.is_implicit()
        && !table.is_dotted()
    {
        headers.push((span.start, name.to_owned()));
    }
    for (_, item) in table {
        collect_headers(name, item, headers);
    }
}

/// The offset of the first byte that is neither white space nor part of a comment.
pub(crate) fn first_content(text: &str) -> Option<usize> {
    let mut offset = 0;
    for line in text.split_inclusive('\n') {
        let body = line.trim_start();
        if !body.is_empty() && !body.starts_with('#') {
            return Some(offset + line.len() - body.len());
        }
        offset += line.len();
    }
    None
}

/// The start of the blank and comment lines directly above `at`.
fn comment_start(text: &str, at: usize) -> usize {
    let mut start = text[..at].rfind('\n').map_or(0, |end| end + 1);
    while start > 0 {
        let previous = text[..start - 1].rfind('\n').map_or(0, |end| end + 1);
        let line = text[previous..start].trim();
        if !line.is_empty() && !line.starts_with('#') {
            break;
        }
        start = previous;
    }
    start
}

/// Every syntax error of a text.
fn syntax_errors(text: &str) -> ConfigErrors {
    let (_, found) = DeTable::parse_recoverable(text);
    let found: Vec<ConfigError> = found
        .into_iter()
        .map(|found| {
            let at = found.span().map_or(0, |span| span.start);
            let line = 1 + text[..at.min(text.len())].matches('\n').count();
            error(None, line, Fault::Syntax(found.message().to_owned()))
        })
        .collect();
    found.into()
}

fn error(section: Option<Section>, line: usize, fault: Fault) -> ConfigError {
    ConfigError {
        section,
        key: section
            .map(|section| section.to_string())
            .unwrap_or_default(),
        line,
        fault,
    }
}
