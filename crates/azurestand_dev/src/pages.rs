//! The generated pages.

mod configuration;
mod events;
mod metrics;
#[cfg(test)]
mod tests;

use std::path::Path;

/// One generated page.
pub(crate) struct Page {
    /// Its path from the root of the workspace.
    pub(crate) path: &'static str,
    /// Its whole text.
    pub(crate) text: String,
}

/// Every generated page.
pub(crate) fn all() -> Vec<Page> {
    vec![configuration::page(), events::page(), metrics::page()]
}

/// Names the pages that differ from what the code says.
pub(crate) fn stale(root: &Path) -> Vec<String> {
    let stale = all().into_iter().filter(|page| {
        let present = std::fs::read_to_string(root.join(page.path));
        present.ok().as_deref() != Some(&page.text)
    });
    stale
        .map(|page| {
            let path = page.path;
            format!("{path} is stale; run `cargo run -p azurestand_dev -- generate`")
        })
        .collect()
}
