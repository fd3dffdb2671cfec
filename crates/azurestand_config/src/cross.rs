//! Checks that span sections.

use std::collections::BTreeMap;

use azurestand_types::AccountName;
use toml::de::DeTable;

use crate::error::{ConfigErrors, Fault};
use crate::source::{Place, Source};
use crate::{Section, checked::Checked};

/// Checks what one section says of another. `source` is the text of the accounts.
pub(crate) fn check(checked: &Checked, source: &Source<'_>) -> ConfigErrors {
    let mut errors = ConfigErrors::default();
    let mut owners: BTreeMap<_, &AccountName> = BTreeMap::new();
    for (name, account) in checked.accounts.iter() {
        let place = place(source, name);
        if !checked.priorities.contains_key(&account.priority) {
            let fault = Fault::UnknownPriority(account.priority.to_string());
            errors.add(place().error("priority", place().line, fault));
        }
        if let Some(other) = owners.insert(account.key, name) {
            let fault = Fault::SharedKey(other.to_string());
            errors.add(place().error("key", place().line, fault));
        }
    }
    errors
}

/// Where an account stands; looked up only once there is an error to report.
fn place<'a>(source: &'a Source<'_>, name: &'a AccountName) -> impl Fn() -> Place + 'a {
    move || Place {
        section: Section::Accounts,
        path: format!("{}.{name}", Section::Accounts),
        line: source.line(offset(source.text, name).unwrap_or(0)),
    }
}

fn offset(text: &str, name: &AccountName) -> Option<usize> {
    let root = DeTable::parse(text).ok()?.into_inner();
    let accounts = root.get(Section::Accounts.as_str())?.get_ref().as_table()?;
    let (key, _) = accounts
        .iter()
        .find(|(key, _)| key.get_ref() == name.as_str())?;
    Some(key.span().start)
}
