//! Edits the data centres' section while its layout and comments stay.

#[cfg(test)]
mod tests;

use azurestand_config::Section;
use azurestand_types::DataCentre;
use toml_edit::{DocumentMut, Item, value};

const IN_SERVICE: &str = "in_service";

/// The section's text with `centre` in or out of service; none if it isn't listed.
pub(crate) fn set_service(text: &str, centre: &DataCentre, serve: bool) -> Option<String> {
    let mut parsed: DocumentMut = text.parse().ok()?;
    let tables = parsed.get_mut(Section::Centres.as_str())?;
    let table = tables.get_mut(centre.as_str())?.as_table_like_mut()?;
    match table.get_mut(IN_SERVICE) {
        Some(Item::Value(present)) => {
            let decor = present.decor().clone();
            *present = serve.into();
            *present.decor_mut() = decor;
        }
        _ => drop(table.insert(IN_SERVICE, value(serve))),
    }
    Some(parsed.to_string())
}
