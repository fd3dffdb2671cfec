//! `config apply`: replaces a section.

use std::path::Path;

use azurestand_config::{Edit, EditingOutcome, Section};
use azurestand_types::{ChangeId, Revision};
use serde::Serialize;

use super::wait;
use crate::admin;
use crate::args::Options;
use crate::author;
use crate::failure::Failure;
use crate::progress::Progress;
use crate::report::Report;
use crate::section_file::SectionFile;
use crate::session::Session;

#[derive(Serialize)]
struct Applied<'a> {
    change: &'a str,
    section: Section,
    revision: u64,
    repeated: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    progress: Option<&'a Progress>,
}

pub(crate) async fn run(
    section: Section,
    path: &Path,
    options: &Options,
) -> Result<Report, Failure> {
    let file = SectionFile::read(path)?;
    let session = Session::open(options)?;
    let document = session.document().await?;
    let edit = Edit {
        section,
        base: file.base_of(section, &document)?,
        author: options.author()?,
        change: change(options)?,
        text: file.text,
        force: options.force,
    };
    send(&session, edit, options).await
}

/// The change id given, or a fresh one.
pub(crate) fn change(options: &Options) -> Result<ChangeId, Failure> {
    match &options.change {
        Some(change) => Ok(change.clone()),
        None => author::fresh_change(),
    }
}

/// Brings an edit into the store, and waits for the nodes if asked to.
pub(crate) async fn send(
    session: &Session,
    edit: Edit,
    options: &Options,
) -> Result<Report, Failure> {
    let seen = in_force(options).await?;
    let (section, change) = (edit.section, edit.change.clone());
    let (revision, repeated) = match session.edit(edit, seen).await {
        EditingOutcome::Applied(revision) => (revision, false),
        EditingOutcome::AlreadyApplied(revision) => (revision, true),
        outcome => return Err(Failure::Editing(outcome)),
    };
    let verb = if repeated {
        "was applied before"
    } else {
        "applied"
    };
    let mut text = format!("change {change} of {section} {verb} as revision {revision}");
    let waited = wait::if_asked(revision, options).await?;
    text += &waited.text();
    let data = Applied {
        change: change.as_str(),
        section,
        revision: revision.0,
        repeated,
        progress: waited.progress(),
    };
    Ok(Report::new(text, &data).with_status(waited.status()))
}

/// The highest revision that an entry knows of, so that a store that was
/// restored to an older state is noticed; 0 if no entry was named.
async fn in_force(options: &Options) -> Result<Revision, Failure> {
    if options.entries.is_empty() {
        if options.wait {
            return Err(admin::AdminError::NoEntry.into());
        }
        return Ok(Revision(0));
    }
    match admin::nodes(&options.entries).await {
        Ok(list) => Ok(list.highest()),
        Err(error) if options.wait => Err(error.into()),
        Err(_) => Ok(Revision(0)),
    }
}
