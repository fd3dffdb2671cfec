//! `audit`: who changed what and when.

use std::fmt::Write;

use azurestand_config::{AuditRecord, Hunk};

use super::history::subject;
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
    let texts: Vec<String> = records.iter().map(describe).collect();
    Ok(Report::new(texts.join("\n"), &records))
}

fn describe(record: &AuditRecord) -> String {
    let forced = if record.force { " by force" } else { "" };
    let mut text = format!(
        "revision {}: {} changed {}{forced} on {}\n  change {}\n  section revision {} to {}\n  digest {} to {}\n",
        record.revision,
        record.author,
        subject(record),
        date(record.at),
        record.change,
        record.from,
        record.revision,
        record.before,
        record.after,
    );
    let hunks = record.patch.iter().flat_map(|patch| &patch.hunks);
    hunks.for_each(|hunk| describe_hunk(&mut text, hunk));
    text
}

fn describe_hunk(text: &mut String, hunk: &Hunk) {
    let _ = writeln!(text, "  line {}:", hunk.line);
    for line in &hunk.removed {
        let _ = writeln!(text, "  - {}", line.trim_end());
    }
    for line in &hunk.added {
        let _ = writeln!(text, "  + {}", line.trim_end());
    }
}
