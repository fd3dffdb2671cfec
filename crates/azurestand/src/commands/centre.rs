//! `dc out` and `dc in`: the short verbs for data centres.

use azurestand_config::{Edit, EditError, EditingOutcome, Section};
use azurestand_types::{DataCentre, Revision};
use serde::Serialize;

use super::apply;
use super::wait::{self, Waited};
use crate::args::Options;
use crate::centres::set_service;
use crate::failure::Failure;
use crate::progress::Progress;
use crate::report::Report;
use crate::session::Session;

const CONFLICT_TRIES: u32 = 5;

#[derive(Serialize)]
struct Present<'a> {
    centre: &'a DataCentre,
    in_service: bool,
    revision: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    progress: Option<&'a Progress>,
}

pub(crate) async fn run(
    centre: &DataCentre,
    serve: bool,
    options: &Options,
) -> Result<Report, Failure> {
    let session = Session::open(options)?;
    let author = options.author()?;
    let change = apply::change(options)?;
    let mut tries = 1;
    loop {
        let document = session.document().await?;
        let text = set_service(document.section_text(Section::Centres), centre, serve);
        let Some(text) = text else {
            let known: Vec<&str> = document.centres().keys().map(DataCentre::as_str).collect();
            let known = known.join(", ");
            let message = format!("there is no data centre {centre}; the document lists {known}");
            return Err(Failure::NotFound(message));
        };
        if document.in_service(centre) == serve {
            let waited = wait::if_asked(document.revision(), options).await?;
            return Ok(unchanged(centre, serve, document.revision(), &waited));
        }
        let edit = Edit {
            section: Section::Centres,
            base: document.stamp(Section::Centres).revision,
            author: author.clone(),
            change: change.clone(),
            text,
            force: options.force,
        };
        match apply::send(&session, edit, options).await {
            // Someone else changed the section; the intent still holds on the new text.
            Err(Failure::Editing(EditingOutcome::Refused(EditError::Conflict(_))))
                if tries < CONFLICT_TRIES =>
            {
                tries += 1;
            }
            result => return result,
        }
    }
}

fn unchanged(centre: &DataCentre, serve: bool, revision: Revision, waited: &Waited) -> Report {
    let place = if serve { "in" } else { "out of" };
    let text = format!(
        "{centre} is {place} service already, at revision {revision}{}",
        waited.text()
    );
    let data = Present {
        centre,
        in_service: serve,
        revision: revision.0,
        progress: waited.progress(),
    };
    Report::new(text, &data).with_status(waited.status())
}
