//! `config init`: writes the first document.

use std::path::Path;

use azurestand_config::{Commit, Document, EditingOutcome, Transaction};
use serde::Serialize;

use super::apply;
use crate::args::Options;
use crate::author;
use crate::failure::Failure;
use crate::report::Report;
use crate::section_file::SectionFile;
use crate::session::Session;

#[derive(Serialize)]
struct Started {
    revision: u64,
}

pub(crate) async fn run(path: &Path, options: &Options) -> Result<Report, Failure> {
    let file = SectionFile::read(path)?;
    let document = Document::parse(&file.text)
        .map_err(|errors| Failure::Invalid(path.display().to_string(), errors))?;
    let session = Session::open(options)?;
    let change = apply::change(options)?;
    let transaction = Transaction::initial(
        &document,
        options.author()?,
        change.clone(),
        author::seconds(),
    );
    let commit = session.commit(&transaction).await;
    let present = match session.read_document().await {
        Ok((present, _)) => present,
        Err(_) if commit == Commit::Unknown => {
            return Err(Failure::Editing(EditingOutcome::Unknown(change)));
        }
        Err(error) => return Err(error),
    };
    // The read settles a lost answer, and a second run of the same command.
    if present.as_deref() == Some(document.text()) {
        let revision = document.revision().0;
        let text = format!("the store holds the document as revision {revision}");
        return Ok(Report::new(text, &Started { revision }));
    }
    let message = match (commit, present) {
        (Commit::Rejected, _) => {
            "the store refuses the document as too large; raise its limit to 2 MB a request"
        }
        (_, Some(_)) => {
            "the store holds another document already; change it by `azurestand config apply`"
        }
        (_, None) => "the store didn't take the document; run the same command again",
    };
    Err(Failure::Refused(message.to_owned()))
}
