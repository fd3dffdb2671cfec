//! `config history`: the latest changes.

use std::fmt::Write;

use azurestand_config::AuditRecord;

use super::trail;
use crate::args::Options;
use crate::calendar::date;
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;

const DEFAULT_LIMIT: usize = 20;

pub(crate) async fn run(options: &Options) -> Result<Report, Failure> {
    let session = Session::open(options)?;
    let limit = options.limit.unwrap_or(DEFAULT_LIMIT);
    let records = trail::latest(&session, limit).await?;
    let mut text = String::new();
    for record in &records {
        let _ = writeln!(
            text,
            "revision {}  {}  {}  {}  change {}",
            record.revision,
            date(record.at),
            subject(record),
            record.author,
            record.change
        );
    }
    Ok(Report::new(text, &records))
}

/// What a record is about.
pub(crate) fn subject(record: &AuditRecord) -> String {
    match record.section {
        Some(section) => section.to_string(),
        None => "whole document".to_owned(),
    }
}
