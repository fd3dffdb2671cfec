//! `config status`: whether a change is in the store.

use azurestand_types::ChangeId;
use serde::Serialize;

use super::history::subject;
use super::trail;
use crate::args::Options;
use crate::calendar::date;
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;

const DEFAULT_LIMIT: usize = 500;

#[derive(Serialize)]
struct Found<'a> {
    change: &'a str,
    revision: u64,
}

pub(crate) async fn run(change: &ChangeId, options: &Options) -> Result<Report, Failure> {
    let session = Session::open(options)?;
    let limit = options.limit.unwrap_or(DEFAULT_LIMIT);
    let records = trail::down_to(&session, change, limit).await?;
    let Some(record) = records.as_ref().and_then(|records| records.last()) else {
        return Err(Failure::NotFound(format!(
            "change {change} isn't among the latest {limit} changes; a change whose answer was lost may still arrive within seconds, so ask again, or repeat the command with --change {change}, which never applies it twice"
        )));
    };
    let text = format!(
        "change {change} is in the store: revision {}, {}, by {} on {}",
        record.revision,
        subject(record),
        record.author,
        date(record.at)
    );
    let found = Found {
        change: change.as_str(),
        revision: record.revision.0,
    };
    Ok(Report::new(text, &found))
}
