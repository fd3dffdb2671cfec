//! `config revert`: takes one change back, as a new revision.

use azurestand_config::{AuditRecord, Edit};
use azurestand_types::ChangeId;

use super::{apply, trail};
use crate::args::Options;
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;

const SEARCHED_CHANGES: usize = 500;

pub(crate) async fn run(change: &ChangeId, options: &Options) -> Result<Report, Failure> {
    let session = Session::open(options)?;
    let records = trail::down_to(&session, change, SEARCHED_CHANGES).await?;
    let not_found = || {
        let message = format!(
            "change {change} isn't among the latest {SEARCHED_CHANGES} changes; find its id with `azurestand config history`"
        );
        Failure::NotFound(message)
    };
    let mut records = records.ok_or_else(not_found)?;
    let record = records.pop().ok_or_else(not_found)?;
    let Some(section) = record.section else {
        let message =
            "that change wrote the whole document; apply the sections' earlier texts instead";
        return Err(Failure::Refused(message.to_owned()));
    };
    records.retain(|later| later.section == Some(section));
    let text = restored(&session, &record, &records).await?;
    // The base is the section's revision in the trail: a change that comes in
    // meanwhile makes this edit a conflict.
    let newest = records.first().unwrap_or(&record);
    let edit = Edit {
        section,
        base: newest.revision,
        author: options.author()?,
        change: apply::change(options)?,
        text,
        force: options.force,
    };
    apply::send(&session, edit, options).await
}

async fn restored(
    session: &Session,
    record: &AuditRecord,
    later: &[AuditRecord],
) -> Result<String, Failure> {
    let document = session.document().await?;
    let section = record.section.into_iter();
    let present = section
        .map(|section| document.section_text(section))
        .collect::<String>();
    Ok(record.revert(&present, later)?)
}
