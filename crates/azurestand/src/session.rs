//! Drives the pure editing loop against the store.

use std::time::Duration;

use azurestand_config::{
    AUDIT_PREFIX, AuditRecord, Commit, DOCUMENT_KEY, Document, Edit, Editing, EditingAction,
    EditingEvent, EditingOutcome, StoreVersion, Transaction, Write,
};
use azurestand_store::{
    Cause, Commit as StoreCommit, HttpOptions, HttpStore, Key, Store, StoreError,
    Transaction as StoreTransaction, Version,
};
use azurestand_types::Revision;
use fastrand::Rng;
use tokio::time::Instant;

use crate::args::Options;
use crate::author;
use crate::failure::Failure;

const READ_TRIES: u32 = 4;
const EDIT_PATIENCE: Duration = Duration::from_mins(1);
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// One command's dealings with the store.
pub(crate) struct Session {
    store: HttpStore,
    patience: Duration,
}

impl Session {
    /// Opens the store that the options name.
    pub(crate) fn open(options: &Options) -> Result<Self, Failure> {
        if options.stores.is_empty() {
            let message =
                "no store is known; name it with --store http://IP:PORT or AZURESTAND_STORE";
            return Err(Failure::Usage(message.to_owned()));
        }
        let store = HttpStore::new(HttpOptions::single_client(options.stores.clone()));
        let patience = options.timeout.unwrap_or(EDIT_PATIENCE);
        Ok(Self { store, patience })
    }

    /// The document in the store.
    pub(crate) async fn document(&self) -> Result<Document, Failure> {
        let (text, _) = self.read_document().await?;
        let text = text.ok_or(Failure::Editing(EditingOutcome::NoDocument))?;
        Document::parse(&text)
            .map_err(|errors| Failure::Invalid("the store's document".to_owned(), errors))
    }

    /// The document's text, if there is one, and its key's version.
    pub(crate) async fn read_document(&self) -> Result<(Option<String>, StoreVersion), Failure> {
        let key = Key::try_from(DOCUMENT_KEY)?;
        Ok(self.read(&key).await?)
    }

    /// The audit record of a revision, if the store has it.
    pub(crate) async fn audit(&self, revision: Revision) -> Result<Option<AuditRecord>, Failure> {
        let key = Key::try_from(AuditRecord::key(revision))?;
        debug_assert!(key.as_str().starts_with(AUDIT_PREFIX));
        let (text, _) = self.read(&key).await?;
        let record = text.map(|text| AuditRecord::try_from(text.as_bytes()));
        Ok(record.transpose()?)
    }

    /// Brings an edit into the store. `seen` is a revision known to have been in force.
    pub(crate) async fn edit(&self, edit: Edit, seen: Revision) -> EditingOutcome {
        let deadline = Instant::now() + self.patience;
        let mut editing = Editing::new(edit, author::seconds(), seen, Rng::new());
        let mut action = editing.start();
        loop {
            let event = match action {
                EditingAction::Read(_) if Instant::now() >= deadline => EditingEvent::TimedOut,
                EditingAction::Read(pause) => {
                    tokio::time::sleep(pause).await;
                    self.read_event().await
                }
                EditingAction::ReadAudit(revision) => self.audit_event(revision).await,
                EditingAction::Commit(transaction) => {
                    EditingEvent::CommitEnded(self.commit(&transaction).await)
                }
                EditingAction::Done(outcome) => return outcome,
            };
            action = editing.handle(event);
        }
    }

    /// Runs one transaction.
    pub(crate) async fn commit(&self, transaction: &Transaction) -> Commit {
        let Ok(transaction) = store_transaction(transaction) else {
            return Commit::Rejected;
        };
        match self.store.commit(&transaction).await {
            StoreCommit::Applied { .. } => Commit::Applied,
            StoreCommit::NotApplied(Cause::Refused) => Commit::Rejected,
            StoreCommit::NotApplied(_) => Commit::NotApplied,
            StoreCommit::Unknown => Commit::Unknown,
        }
    }

    async fn read_event(&self) -> EditingEvent {
        match self.read_document().await {
            Ok((text, version)) => EditingEvent::Read(text, version),
            Err(_) => EditingEvent::ReadFailed,
        }
    }

    async fn audit_event(&self, revision: Revision) -> EditingEvent {
        match self.audit(revision).await {
            Ok(record) => EditingEvent::AuditRead(record),
            Err(_) => EditingEvent::ReadFailed,
        }
    }

    /// Reads a value, and tries again when the store doesn't answer.
    async fn read(&self, key: &Key) -> Result<(Option<String>, StoreVersion), StoreError> {
        let mut pause = FIRST_PAUSE;
        let mut tries = 1;
        loop {
            match self.store.read(key).await {
                Ok(None) => return Ok((None, StoreVersion(0))),
                Ok(Some(found)) => {
                    let text = String::from_utf8_lossy(&found.value).into_owned();
                    return Ok((Some(text), StoreVersion(found.version.0)));
                }
                Err(error) if tries >= READ_TRIES => return Err(error),
                Err(_) => tokio::time::sleep(pause).await,
            }
            tries += 1;
            pause *= 2;
        }
    }
}

fn store_transaction(transaction: &Transaction) -> Result<StoreTransaction, Failure> {
    let document = Key::try_from(DOCUMENT_KEY)?;
    let mut result = match transaction.condition {
        StoreVersion(0) => StoreTransaction::new().when_absent(document),
        StoreVersion(version) => StoreTransaction::new().when_unchanged(document, Version(version)),
    };
    for write in &transaction.writes {
        result = match write {
            Write::Put { key, value } => result.put(Key::try_from(key.as_str())?, value.clone()),
            Write::Delete { key } => result.delete(Key::try_from(key.as_str())?),
        };
    }
    Ok(result)
}
