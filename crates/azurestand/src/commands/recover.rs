//! `config recover`: brings back the newest document that the entries hold.

use azurestand_config::{Commit, Document, EditingOutcome, Transaction};
use serde::Serialize;

use super::apply;
use crate::admin;
use crate::args::Options;
use crate::author;
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;

#[derive(Serialize)]
struct Recovered {
    revision: u64,
}

pub(crate) async fn run(options: &Options) -> Result<Report, Failure> {
    let texts = admin::documents(&options.entries).await?;
    let held = texts.iter().filter_map(|text| Document::parse(text).ok());
    let held = held.max_by_key(Document::revision);
    let held = held.ok_or_else(|| {
        Failure::NotFound("no entry holds a valid document; name another with --entry".to_owned())
    })?;
    let session = Session::open(options)?;
    let (text, version) = session.read_document().await?;
    let found = match text.as_deref().map(Document::parse) {
        Some(Ok(found)) => found,
        Some(Err(_)) | None => Document::empty(),
    };
    if found.revision() >= held.revision() {
        let message = format!(
            "the store holds revision {}, the entries no more than {}; there is nothing to recover",
            found.revision(),
            held.revision()
        );
        return Err(Failure::Refused(message));
    }
    let change = apply::change(options)?;
    let transaction = Transaction::recover(
        version,
        &held,
        options.author()?,
        change.clone(),
        author::seconds(),
    );
    let revision = transaction.revision.0;
    let text = format!("the store holds the entries' document again, as revision {revision}");
    match session.commit(&transaction).await {
        Commit::Applied => Ok(Report::new(text, &Recovered { revision })),
        Commit::NotApplied | Commit::Rejected => {
            let message = "the store's document changed meanwhile or the store refused; nothing was changed; run the command again";
            Err(Failure::Refused(message.to_owned()))
        }
        Commit::Unknown => Err(Failure::Editing(EditingOutcome::Unknown(change))),
    }
}
