//! Concurrent editors of one store that loses responses and applies writes late.

use std::collections::{BTreeMap, VecDeque};

use azurestand_config::{
    AuditRecord, Commit, DOCUMENT_KEY, Document, Edit, Editing, EditingAction, EditingEvent,
    EditingOutcome, Section, StoreVersion, Transaction, Write,
};
use azurestand_types::Revision;
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const EDITS: u32 = 4;

/// A store with atomic transactions.
#[derive(Default)]
struct Store {
    values: BTreeMap<String, (String, StoreVersion)>,
    version: u64,
}

impl Store {
    fn with(document: &Document) -> Self {
        let mut store = Self::default();
        store.put(DOCUMENT_KEY.into(), document.text().into());
        store
    }

    fn put(&mut self, key: String, value: String) {
        self.values.insert(key, (value, StoreVersion(self.version)));
    }

    fn get(&self, key: &str) -> (Option<String>, StoreVersion) {
        match self.values.get(key) {
            Some((value, version)) => (Some(value.clone()), *version),
            None => (None, StoreVersion(0)),
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> Commit {
        if self.get(DOCUMENT_KEY).1 != transaction.condition {
            return Commit::NotApplied;
        }
        self.version += 1;
        for write in &transaction.writes {
            match write.clone() {
                Write::Put { key, value } => self.put(key, value),
                Write::Delete { key } => drop(self.values.remove(&key)),
            }
        }
        Commit::Applied
    }

    fn document(&self) -> Document {
        Document::parse(&self.get(DOCUMENT_KEY).0.unwrap()).unwrap()
    }

    fn audit(&self, revision: Revision) -> Option<AuditRecord> {
        let text = self.get(&AuditRecord::key(revision)).0?;
        Some(AuditRecord::try_from(text.as_bytes()).unwrap())
    }
}

/// One author who makes [`EDITS`] edits, one after the other.
struct Editor {
    name: &'static str,
    made: u32,
    edit: Option<(Edit, Editing, EditingAction)>,
    ended: Vec<(String, EditingOutcome)>,
}

impl Editor {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            made: 0,
            edit: None,
            ended: Vec::new(),
        }
    }

    /// Begins an edit that adds one line with its change id to a section.
    fn begin(&mut self, section: Section, store: &Store) {
        let document = store.document();
        self.made += 1;
        let change = format!("{}-{}", self.name, self.made);
        let edit = Edit {
            section,
            base: document.stamp(section).revision,
            author: self.name.to_owned().try_into().unwrap(),
            change: change.clone().try_into().unwrap(),
            text: format!("{}# by {change}\n", document.section_text(section)),
            force: false,
        };
        self.run(edit);
    }

    /// Runs an edit from the start, as a repeated command does.
    fn run(&mut self, edit: Edit) {
        let editing = Editing::new(edit.clone(), 7, Revision(0), Rng::with_seed(1));
        let first = editing.start();
        self.edit = Some((edit, editing, first));
    }

    fn finished(&self) -> bool {
        self.made >= EDITS && self.edit.is_none()
    }

    /// Runs one action, with the fault that `choice` selects.
    fn step(&mut self, choice: u8, store: &mut Store, late: &mut VecDeque<Transaction>) {
        let Some((edit, mut editing, action)) = self.edit.take() else {
            if self.made < EDITS {
                let sections = [Section::Centres, Section::Limits];
                self.begin(sections[usize::from(choice % 2)], store);
            }
            return;
        };
        if choice == 99 {
            return self.run(edit);
        }
        let event = match action {
            EditingAction::Done(outcome) => {
                self.ended.push((edit.change.to_string(), outcome));
                return;
            }
            EditingAction::Read(_) | EditingAction::ReadAudit(_) if choice % 10 == 9 => {
                EditingEvent::ReadFailed
            }
            EditingAction::Read(_) => {
                let (text, version) = store.get(DOCUMENT_KEY);
                EditingEvent::Read(text, version)
            }
            EditingAction::ReadAudit(revision) => EditingEvent::AuditRead(store.audit(revision)),
            EditingAction::Commit(transaction) => match choice % 10 {
                0..=4 => EditingEvent::CommitEnded(store.commit(&transaction)),
                5..=6 => {
                    store.commit(&transaction);
                    EditingEvent::CommitEnded(Commit::Unknown)
                }
                7 => EditingEvent::CommitEnded(Commit::Unknown),
                _ => {
                    late.push_back(transaction);
                    EditingEvent::CommitEnded(Commit::Unknown)
                }
            },
        };
        let next = editing.handle(event);
        self.edit = Some((edit, editing, next));
    }
}

fn first() -> Document {
    let text = "# Network team.\n[data_centres.tov]\nregion = \"west\"\n\n# On call.\n[limits]\n";
    Document::parse(text).unwrap()
}

fn race(choices: &[u8]) -> (Store, Vec<Editor>) {
    let mut store = Store::with(&first());
    let mut editors = vec![Editor::new("ana"), Editor::new("bat")];
    let mut late = VecDeque::new();
    for pair in choices.chunks(2) {
        let [who, choice] = [pair[0], pair[pair.len() - 1] % 100];
        match who % 5 {
            4 if who % 2 == 0 => drop(late.pop_front().map(|late| store.commit(&late))),
            4 => drop(late.pop_back().map(|late| store.commit(&late))),
            who => editors[usize::from(who % 2)].step(choice, &mut store, &mut late),
        }
    }
    while !editors.iter().all(Editor::finished) {
        for editor in &mut editors {
            editor.step(0, &mut store, &mut late);
        }
    }
    while let Some(transaction) = late.pop_front() {
        store.commit(&transaction);
    }
    (store, editors)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        cases: 1_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn concurrent_edits_with_lost_responses_apply_at_most_once_and_are_recorded(
        choices in prop::collection::vec(any::<u8>(), 0..240)
    ) {
        let (store, editors) = race(&choices);
        let document = store.document();
        let last = document.revision().0;
        let trail: Vec<AuditRecord> = (2..=last)
            .map(|revision| store.audit(Revision(revision)).expect("no record is missing"))
            .collect();
        for editor in &editors {
            prop_assert_eq!(editor.ended.len(), EDITS as usize);
            for (change, outcome) in &editor.ended {
                let line = format!("# by {change}\n");
                let times = document.text().matches(&line).count();
                let records = trail.iter().filter(|record| record.change.as_str() == change);
                prop_assert_eq!(records.count(), times);
                match outcome {
                    EditingOutcome::Applied(revision) | EditingOutcome::AlreadyApplied(revision) => {
                        prop_assert_eq!(times, 1);
                        let record = store.audit(*revision).unwrap();
                        prop_assert_eq!(record.change.as_str(), change);
                    }
                    EditingOutcome::Refused(_) => prop_assert_eq!(times, 0),
                    other => prop_assert!(false, "{}: {}", change, other),
                }
            }
        }
        prop_assert_eq!(document.text().matches("# by ").count(), trail.len());
        undo_all(&document, &trail);
    }
}

/// Asserts that undoing the whole trail, newest first, gives the first document's texts.
fn undo_all(document: &Document, trail: &[AuditRecord]) {
    for section in [Section::Centres, Section::Limits] {
        let mut text = document.section_text(section).to_owned();
        for record in trail.iter().rev() {
            if record.section == Some(section) {
                text = record.patch.as_ref().unwrap().undo(&text).unwrap();
            }
        }
        assert_eq!(text, first().section_text(section));
    }
}

/// Runs one edit against the store without faults.
fn drive(edit: Edit, seen: Revision, store: &mut Store) -> EditingOutcome {
    let mut editing = Editing::new(edit, 7, seen, Rng::with_seed(1));
    let mut action = editing.start();
    loop {
        let event = match action {
            EditingAction::Done(outcome) => return outcome,
            EditingAction::Read(_) => {
                let (text, version) = store.get(DOCUMENT_KEY);
                EditingEvent::Read(text, version)
            }
            EditingAction::ReadAudit(revision) => EditingEvent::AuditRead(store.audit(revision)),
            EditingAction::Commit(transaction) => {
                EditingEvent::CommitEnded(store.commit(&transaction))
            }
        };
        action = editing.handle(event);
    }
}

fn edit(change: &str, base: u64, text: &str) -> Edit {
    Edit {
        section: Section::Limits,
        base: Revision(base),
        author: "ana".to_owned().try_into().unwrap(),
        change: change.to_owned().try_into().unwrap(),
        text: text.to_owned(),
        force: false,
    }
}

#[test]
fn a_repeated_edit_is_found_applied_below_later_changes() {
    let mut store = Store::with(&first());
    let one = edit("one", 1, "[limits]\n# one\n");
    assert_eq!(
        drive(one.clone(), Revision(0), &mut store),
        EditingOutcome::Applied(Revision(2))
    );
    for (base, change) in [(2, "two"), (3, "three")] {
        let later = edit(change, base, &format!("[limits]\n# {change}\n"));
        let outcome = drive(later, Revision(0), &mut store);
        assert_eq!(outcome, EditingOutcome::Applied(Revision(base + 1)));
    }
    assert_eq!(
        drive(one, Revision(0), &mut store),
        EditingOutcome::AlreadyApplied(Revision(2))
    );
}

#[test]
fn a_conflict_shows_the_difference() {
    let mut store = Store::with(&first());
    drive(
        edit("one", 1, "[limits]\npermits = 2\n"),
        Revision(0),
        &mut store,
    );
    let outcome = drive(
        edit("two", 1, "[limits]\npermits = 3\n"),
        Revision(0),
        &mut store,
    );
    let text = outcome.to_string();
    assert!(
        text.contains("changed by change one at revision 2"),
        "{text}"
    );
    assert!(text.contains("-permits = 2\n+permits = 3"), "{text}");
}

#[test]
fn an_edit_of_a_store_restored_to_an_older_state_is_refused() {
    let mut store = Store::with(&first());
    let outcome = drive(
        edit("one", 1, "[limits]\npermits = 2\n"),
        Revision(9),
        &mut store,
    );
    assert_eq!(
        outcome,
        EditingOutcome::StoreRestored {
            seen: Revision(9),
            found: Revision(1)
        }
    );
    assert_eq!(store.document(), first());
}

#[test]
fn an_edit_ends_as_unreachable_when_the_store_stays_down() {
    let one = edit("one", 1, "[limits]\n");
    let mut editing = Editing::new(one, 7, Revision(0), Rng::with_seed(1));
    let mut action = editing.start();
    let mut steps = 0;
    while let EditingAction::Read(_) = action {
        steps += 1;
        action = editing.handle(EditingEvent::ReadFailed);
    }
    assert_eq!(action, EditingAction::Done(EditingOutcome::Unreachable));
    assert!(steps <= 60);
}

#[test]
fn an_edit_ends_as_unknown_when_the_store_goes_down_after_a_commit() {
    let store = Store::with(&first());
    let one = edit("one", 1, "[limits]\npermits = 2\n");
    let mut editing = Editing::new(one, 7, Revision(0), Rng::with_seed(1));
    let (text, version) = store.get(DOCUMENT_KEY);
    editing.handle(EditingEvent::Read(text, version));
    let mut action = editing.handle(EditingEvent::CommitEnded(Commit::Unknown));
    while let EditingAction::Read(_) = action {
        action = editing.handle(EditingEvent::ReadFailed);
    }
    let change = "one".to_owned().try_into().unwrap();
    assert_eq!(action, EditingAction::Done(EditingOutcome::Unknown(change)));
}

#[test]
fn a_timed_out_edit_is_unknown_only_after_a_commit_was_sent() {
    let store = Store::with(&first());
    let one = edit("one", 1, "[limits]\npermits = 2\n");
    let editing = Editing::new(one, 7, Revision(0), Rng::with_seed(1));
    let stopped = editing.clone().handle(EditingEvent::TimedOut);
    assert_eq!(stopped, EditingAction::Done(EditingOutcome::Unreachable));
    let (text, version) = store.get(DOCUMENT_KEY);
    let mut committing = editing;
    committing.handle(EditingEvent::Read(text, version));
    let stopped = committing.handle(EditingEvent::TimedOut);
    let change = "one".to_owned().try_into().unwrap();
    assert_eq!(
        stopped,
        EditingAction::Done(EditingOutcome::Unknown(change))
    );
}

#[test]
fn the_first_document_and_a_recovered_one_are_written_with_a_record() {
    let mut store = Store {
        version: 3,
        ..Store::default()
    };
    let author: azurestand_config::Author = "ana".to_owned().try_into().unwrap();
    let change = |id: &str| id.to_owned().try_into().unwrap();
    let transaction = Transaction::initial(&first(), author.clone(), change("init"), 7);
    assert_eq!(store.commit(&transaction), Commit::Applied);
    assert_eq!(store.commit(&transaction), Commit::NotApplied);
    let mut newer = first();
    for _ in 0..4 {
        newer = newer.with_next_revision();
    }
    let version = store.get(DOCUMENT_KEY).1;
    let recovered = Transaction::recover(version, &newer, author, change("back"), 8);
    assert_eq!(store.commit(&recovered), Commit::Applied);
    assert_eq!(store.document().revision(), Revision(6));
    assert_eq!(store.audit(Revision(6)).unwrap().section, None);
}
