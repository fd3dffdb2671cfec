//! Documents and deltas that arrive late, twice, out of order or from old state.

use azurestand_config::{
    Current, DeltaError, Document, Edit, EditError, Fault, Merge, Offer, Section,
};
use azurestand_types::{DataCentre, Revision};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TEXT: &str = "# Network team.\n\
    [data_centres.tov]\nregion = \"west\"\n\
    [data_centres.khentii]\nregion = \"east\"\nin_service = true # storm watch\n\
    \n# Call centre.\n\
    [priorities.storm]\nlevel = 0\n\
    \n# Platform team.\n\
    [limits]\npermits = 2   # two at a time\n";

fn first() -> Document {
    Document::parse(TEXT).unwrap()
}

fn edited(
    document: &Document,
    section: Section,
    text: String,
    force: bool,
) -> Result<Document, EditError> {
    let edit = Edit {
        section,
        base: document.stamp(section).revision,
        author: "ana".to_owned().try_into().unwrap(),
        change: format!("change-{}", document.revision())
            .try_into()
            .unwrap(),
        text,
        force,
    };
    match document.apply(&edit)? {
        Merge::Merged(document) => Ok(document),
        Merge::AlreadyApplied(revision) => panic!("applied before at {revision}"),
    }
}

fn khentii() -> DataCentre {
    "khentii".try_into().unwrap()
}

fn toggle(document: &Document) -> Document {
    let text = document.section_text(Section::Centres);
    let (from, to) = if document.in_service(&khentii()) {
        ("in_service = true", "in_service = false")
    } else {
        ("in_service = false", "in_service = true")
    };
    edited(document, Section::Centres, text.replace(from, to), false).unwrap()
}

/// Revisions 1 to `count`; khentii is out of service in the even ones.
fn history(count: usize) -> Vec<Document> {
    let mut history = vec![first()];
    while history.len() < count {
        history.push(toggle(&history[history.len() - 1]));
    }
    history
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        cases: 256,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(11))]

    #[test]
    fn delayed_and_repeated_messages_never_replace_a_newer_document(
        order in prop::collection::vec((0_usize..6, any::<bool>(), 0_usize..6), 1..60)
    ) {
        let history = history(6);
        let mut current = Current::new(history[0].clone());
        let mut highest = 1;
        for (index, whole, base) in order {
            let sent = &history[index];
            let offered = if whole {
                Some(sent.clone())
            } else {
                let delta = sent.delta(Revision(base as u64));
                current.document().merge(&delta).ok()
            };
            let Some(offered) = offered else { continue };
            let before = current.revision();
            let offer = current.offer(offered);
            highest = highest.max(sent.revision().0);
            prop_assert!(current.revision() >= before);
            prop_assert_eq!(current.revision(), Revision(highest));
            prop_assert_eq!(current.document(), &history[usize::try_from(highest).unwrap() - 1]);
            prop_assert_eq!(current.document().in_service(&khentii()), highest % 2 == 1);
            let lower = matches!(offer, Offer::LowerRevision { .. });
            prop_assert_eq!(lower, sent.revision() < before);
        }
    }

    #[test]
    fn merging_a_delta_from_any_revision_gives_the_senders_document(
        changes in prop::collection::vec((0_usize..3, 0_u32..50), 1..12),
        base in 0_usize..12,
    ) {
        let mut history = vec![first()];
        for (which, number) in changes {
            let document = &history[history.len() - 1];
            let section = [Section::Centres, Section::Priorities, Section::Limits][which];
            let text = format!("{}# note {number}\n", document.section_text(section));
            history.push(edited(document, section, text, false).unwrap());
        }
        let newest = &history[history.len() - 1];
        let held = &history[base.min(history.len() - 1)];
        let delta = newest.delta(held.revision());
        if held == newest {
            prop_assert!(delta.sections.is_empty());
        } else {
            prop_assert_eq!(&held.merge(&delta).unwrap(), newest);
            for changed in &delta.sections {
                prop_assert_ne!(&*changed.text, held.section_text(changed.section));
            }
        }
        prop_assert_eq!(&Document::parse(newest.text()).unwrap(), newest);
    }

    #[test]
    fn an_edit_leaves_other_sections_byte_for_byte(
        lines in prop::collection::vec("(# [a-z \\[\\]=\"']{0,20}|[ \t]{0,3})", 0..8),
        which in 0_usize..3,
    ) {
        let section = [Section::Centres, Section::Priorities, Section::Limits][which];
        let document = first();
        let text = format!("{}\n{}{}", lines.join("\n"), document.section_text(section), lines.join("\n"));
        let Ok(after) = edited(&document, section, text.clone(), false) else {
            return Ok(());
        };
        let again = Document::parse(after.text()).unwrap();
        for other in Section::ALL {
            if other == section {
                let body = text.trim_end().trim_start_matches('\n');
                prop_assert_eq!(again.section_text(other), format!("{body}\n"));
            } else {
                prop_assert_eq!(again.section_text(other), document.section_text(other));
            }
        }
    }
}

#[test]
fn a_document_of_a_restored_store_is_refused() {
    let history = history(4);
    let mut current = Current::new(history[3].clone());
    let offer = current.offer(history[1].clone());
    assert_eq!(
        offer,
        Offer::LowerRevision {
            held: Revision(4),
            offered: Revision(2)
        }
    );
    assert_eq!(current.document(), &history[3]);
}

#[test]
fn an_edit_of_a_restored_store_diverges_and_is_refused() {
    let history = history(3);
    let text = "[limits]\npermits = 9\n".to_owned();
    let other = edited(&history[1], Section::Limits, text, false).unwrap();
    let mut current = Current::new(history[2].clone());
    assert_eq!(
        current.offer(other.clone()),
        Offer::Diverged {
            revision: Revision(3)
        }
    );
    let fork = toggle(&other);
    let delta = fork.delta(Revision(3));
    assert_eq!(
        current.document().merge(&delta),
        Err(DeltaError::Diverged(Revision(4)))
    );
}

#[test]
fn a_delta_with_a_gap_or_an_old_revision_is_refused() {
    let history = history(4);
    let delta = history[3].delta(Revision(3));
    assert_eq!(
        history[0].merge(&delta),
        Err(DeltaError::Gap(Revision(1), Revision(3)))
    );
    let delta = history[1].delta(Revision(1));
    assert_eq!(
        history[2].merge(&delta),
        Err(DeltaError::Stale(Revision(3), Revision(2)))
    );
}

#[test]
fn the_last_data_centre_leaves_service_only_with_force() {
    let document = toggle(&first());
    let text = document
        .section_text(Section::Centres)
        .replace("\"west\"\n", "\"west\"\nin_service = false\n");
    let refused = edited(&document, Section::Centres, text.clone(), false);
    assert_eq!(refused, Err(EditError::LastCentre));
    let forced = edited(&document, Section::Centres, text, true).unwrap();
    assert!(!forced.in_service(&"tov".try_into().unwrap()));
}

#[test]
fn an_edit_that_breaks_another_section_is_refused() {
    let document = first();
    let account = format!(
        "[accounts.depot]\nkey = \"{}\"\npriority = \"storm\"\nrate = 1.0\nburst = 1\nconcurrency = 1\n",
        document.digest()
    );
    let document = edited(&document, Section::Accounts, account, false).unwrap();
    let error = edited(
        &document,
        Section::Priorities,
        "[priorities.calm]\nlevel = 1\n".into(),
        false,
    );
    let Err(EditError::Invalid(errors)) = error else {
        panic!("{error:?}")
    };
    assert_eq!(
        errors.as_slice()[0].fault,
        Fault::UnknownPriority("storm".into())
    );
    assert_eq!(errors.as_slice()[0].section, Some(Section::Accounts));
    assert!(errors.to_string().starts_with("accounts.depot.priority: "));
}

#[test]
fn keys_above_the_first_header_of_a_section_are_refused() {
    let error = edited(
        &first(),
        Section::Limits,
        "limits.permits = 3\n".into(),
        false,
    );
    let Err(EditError::Invalid(errors)) = error else {
        panic!("{error:?}")
    };
    assert_eq!(errors.as_slice()[0].fault, Fault::KeyBeforeTable);
}
