//! The checked contents of the sections.

use std::collections::BTreeMap;
use std::sync::Arc;

use azurestand_types::{
    AccountName, DataCentre, ModelName, NameError, Priority, PriorityName, ServiceName,
};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::account::AccountOptions;
use crate::centre::CentreOptions;
use crate::error::{ConfigErrors, Fault};
use crate::layout::{MARKER, first_content};
use crate::limits::LimitsOptions;
use crate::model::ModelOptions;
use crate::options::{Raw, Reader, read_table, read_tables};
use crate::priority::{Level, PriorityOptions};
use crate::service::ServiceOptions;
use crate::source::{Place, Source};
use crate::{Account, Centre, Limits, Model, Section, Service};

/// The sections' contents. Documents with the same section share its contents.
#[derive(Debug, Clone, Default)]
pub(crate) struct Checked {
    pub(crate) models: Arc<BTreeMap<ModelName, Model>>,
    pub(crate) services: Arc<BTreeMap<ServiceName, Service>>,
    pub(crate) centres: Arc<BTreeMap<DataCentre, Centre>>,
    pub(crate) priorities: Arc<BTreeMap<PriorityName, Priority>>,
    pub(crate) accounts: Arc<BTreeMap<AccountName, Account>>,
    pub(crate) limits: Arc<Limits>,
}

impl Checked {
    /// Replaces one section's contents by those parsed from its text.
    pub(crate) fn read(&mut self, source: &Source<'_>, errors: &mut ConfigErrors) {
        check_markers(source, errors);
        let Some(table) = parse_section(source, errors) else {
            return;
        };
        match source.section {
            Section::Models => self.models = named(source, table, ModelOptions::read, errors),
            Section::Services => self.services = named(source, table, ServiceOptions::read, errors),
            Section::Centres => self.centres = named(source, table, CentreOptions::read, errors),
            Section::Priorities => self.priorities = priorities(source, table, errors),
            Section::Accounts => self.accounts = named(source, table, AccountOptions::read, errors),
            Section::Limits => self.limits = limits(source, table, errors),
        }
    }
}

/// Refuses lines with the prefix of the system's marker lines.
fn check_markers(source: &Source<'_>, errors: &mut ConfigErrors) {
    let mut offset = 0;
    for line in source.text.split_inclusive('\n') {
        if line.starts_with(MARKER) {
            errors.add(source.error(offset, Fault::Reserved));
        }
        offset += line.len();
    }
}

/// The section's own table, or an empty one when the text has none.
fn parse_section<'a>(
    source: &Source<'a>,
    errors: &mut ConfigErrors,
) -> Option<Spanned<DeValue<'a>>> {
    let (root, found) = DeTable::parse_recoverable(source.text);
    for error in &found {
        let at = error.span().map_or(0, |span| span.start);
        errors.add(source.error(at, Fault::Syntax(error.message().to_owned())));
    }
    if !found.is_empty() {
        return None;
    }
    // In the whole document, keys above the first header would belong to the table before them.
    if let Some(at) = first_content(source.text)
        && !source.text[at..].starts_with('[')
    {
        errors.add(source.error(at, Fault::KeyBeforeTable));
        return None;
    }
    let mut own = Spanned::new(0..0, DeValue::Table(DeTable::new()));
    for (key, value) in root.into_inner() {
        let name = key.get_ref();
        if name == source.section.as_str() {
            own = value;
        } else {
            let fault = match Section::try_from(name.as_ref()) {
                Ok(_) => Fault::ForeignTable(name.to_string()),
                Err(_) => Fault::UnknownSection(name.to_string()),
            };
            errors.add(source.error(key.span().start, fault));
        }
    }
    Some(own)
}

fn named<O, N, T>(
    source: &Source<'_>,
    table: Spanned<DeValue<'_>>,
    read: fn(Reader<'_>) -> O,
    errors: &mut ConfigErrors,
) -> Arc<BTreeMap<N, T>>
where
    N: for<'n> TryFrom<&'n str, Error = NameError> + Ord,
    T: for<'r> TryFrom<Raw<'r, O>, Error = ConfigErrors>,
{
    let offset = table.span().start;
    if let DeValue::Table(table) = table.into_inner() {
        return Arc::new(read_tables(source, table, read, errors));
    }
    errors.add(source.error(offset, Fault::ExpectedTable));
    Arc::default()
}

fn priorities(
    source: &Source<'_>,
    table: Spanned<DeValue<'_>>,
    errors: &mut ConfigErrors,
) -> Arc<BTreeMap<PriorityName, Priority>> {
    let levels: Arc<BTreeMap<PriorityName, Level>> =
        named(source, table, PriorityOptions::read, errors);
    let levels = levels.iter();
    Arc::new(
        levels
            .map(|(name, level)| (name.clone(), level.0))
            .collect(),
    )
}

fn limits(
    source: &Source<'_>,
    table: Spanned<DeValue<'_>>,
    errors: &mut ConfigErrors,
) -> Arc<Limits> {
    let place = Place {
        section: Section::Limits,
        path: Section::Limits.to_string(),
        line: source.line(table.span().start),
    };
    let limits = read_table(source, place, table, LimitsOptions::read, errors);
    Arc::new(limits.unwrap_or_default())
}
