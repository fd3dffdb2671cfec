//! Walks the audit trail, the newest change first.

use azurestand_config::AuditRecord;
use azurestand_types::{ChangeId, Revision};

use crate::failure::Failure;
use crate::session::Session;

/// The records of the latest revisions, the newest first, at most `limit`.
pub(crate) async fn latest(session: &Session, limit: usize) -> Result<Vec<AuditRecord>, Failure> {
    let mut records = Vec::new();
    let mut revision = session.document().await?.revision();
    while records.len() < limit {
        let Some(record) = session.audit(revision).await? else {
            break;
        };
        records.push(record);
        let Some(before) = revision.0.checked_sub(1) else {
            break;
        };
        revision = Revision(before);
    }
    Ok(records)
}

/// The records from the newest down to the one of `change`, if it is among `limit`.
pub(crate) async fn down_to(
    session: &Session,
    change: &ChangeId,
    limit: usize,
) -> Result<Option<Vec<AuditRecord>>, Failure> {
    let mut records = Vec::new();
    let mut revision = session.document().await?.revision();
    while records.len() < limit {
        let Some(record) = session.audit(revision).await? else {
            break;
        };
        let found = record.change == *change;
        records.push(record);
        if found {
            return Ok(Some(records));
        }
        revision = Revision(revision.0.saturating_sub(1));
    }
    Ok(None)
}
