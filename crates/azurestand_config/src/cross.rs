//! Checks across sections, and across the tables of one section.

use std::collections::BTreeMap;

use azurestand_types::{AccountName, Digest, ServiceName, TargetName};
use toml::de::DeTable;

use crate::Section;
use crate::checked::Checked;
use crate::error::{ConfigError, ConfigErrors, Fault};
use crate::layout::Block;
use crate::source::{Place, Source};

/// The line number of an error in a section whose text isn't being parsed.
const NO_LINE: usize = 0;

/// The sections whose text is being parsed, so that their errors carry line numbers.
pub(crate) type Blocks<'a> = BTreeMap<Section, Block<'a>>;

/// Checks references between tables, and names and keys that must be unique.
pub(crate) fn check(checked: &Checked, blocks: &Blocks<'_>) -> ConfigErrors {
    let mut errors = Vec::new();
    check_priorities(checked, blocks, &mut errors);
    check_keys(checked, blocks, &mut errors);
    check_homes(checked, blocks, &mut errors);
    errors.into()
}

fn check_priorities(checked: &Checked, blocks: &Blocks<'_>, errors: &mut Vec<ConfigError>) {
    for (name, account) in checked.accounts.iter() {
        if !checked.priorities.contains_key(&account.priority) {
            let fault = Fault::UnknownPriority(account.priority.to_string());
            let place = table_place(Section::Accounts, name.as_str(), blocks);
            errors.push(place.error("priority", place.line, fault));
        }
    }
}

fn check_keys(checked: &Checked, blocks: &Blocks<'_>, errors: &mut Vec<ConfigError>) {
    let mut owners: BTreeMap<Digest, &AccountName> = BTreeMap::new();
    for (name, account) in checked.accounts.iter() {
        if let Some(other) = owners.insert(account.key, name) {
            let fault = Fault::SharedKey(other.to_string());
            let place = table_place(Section::Accounts, name.as_str(), blocks);
            errors.push(place.error("key", place.line, fault));
        }
    }
}

/// A target runs one service, so it can't be a home of two.
fn check_homes(checked: &Checked, blocks: &Blocks<'_>, errors: &mut Vec<ConfigError>) {
    let mut owners: BTreeMap<&TargetName, &ServiceName> = BTreeMap::new();
    for (name, service) in checked.services.iter() {
        for home in &service.homes {
            if let Some(other) = owners.insert(home, name) {
                let fault = Fault::SharedHome(home.to_string(), other.to_string());
                let place = table_place(Section::Services, name.as_str(), blocks);
                errors.push(place.error("homes", place.line, fault));
            }
        }
    }
}

/// The place of a table. It parses the section's text again, so it is called only to report an error.
fn table_place(section: Section, name: &str, blocks: &Blocks<'_>) -> Place {
    let line = blocks.get(&section).map_or(NO_LINE, |block| {
        let source = Source::new(section, block.text, block.line);
        source.line(table_offset(&source, name).unwrap_or(0))
    });
    Place {
        section,
        path: format!("{section}.{name}"),
        line,
    }
}

fn table_offset(source: &Source<'_>, name: &str) -> Option<usize> {
    let root = DeTable::parse(source.text).ok()?.into_inner();
    let tables = root.get(source.section.as_str())?.get_ref().as_table()?;
    let (key, _) = tables.iter().find(|(key, _)| key.get_ref() == name)?;
    Some(key.span().start)
}
