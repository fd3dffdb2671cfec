//! Parsing of documents, and the errors of invalid ones.

use std::fmt::Write;
use std::time::Duration;

use azurestand_config::{Document, Fault, Section};
use azurestand_types::{Digest, Priority, Revision};

const DIGEST: &str = "af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262";

fn complete_text() -> String {
    let key = Digest::of(b"depot secret");
    format!(
        "# Models team.\n\
         [models.drafter]\n\
         version = \"v3\" # live since the storm\n\
         canary_version = \"v4\"\n\
         canary_share = 0.25\n\
         [models.drafter.versions]\n\
         v3 = \"{DIGEST}\"\n\
         v4 = \"{DIGEST}\"\n\
         \n\
         # Booking crew.\n\
         [services.booking]\n\
         retry_window = \"2h\"\n\
         homes = [\"booking-1\", \"booking-2\"]\n\
         \n\
         [data_centres.tov]\n\
         region = \"west\"\n\
         [data_centres.khentii]\n\
         region = \"east\"\n\
         in_service = false\n\
         \n\
         [priorities.storm]\n\
         level = 0\n\
         \n\
         [accounts.depot]\n\
         key = \"{key}\"\n\
         priority = \"storm\"\n\
         rate = 2.5\n\
         burst = 10\n\
         concurrency = 4\n\
         \n\
         [limits]\n\
         cold_slots = 2\n\
         drain = \"45s\"\n"
    )
}

#[test]
fn every_section_is_parsed_into_typed_values() {
    let document = Document::parse(&complete_text()).unwrap();
    assert_eq!(document.revision(), Revision(1));
    let model = &document.models()[&"drafter".try_into().unwrap()];
    assert_eq!(model.version.as_str(), "v3");
    assert_eq!(model.digest().unwrap().to_string(), DIGEST);
    assert!((model.canary.as_ref().unwrap().share - 0.25).abs() < f64::EPSILON);
    let service = &document.services()[&"booking".try_into().unwrap()];
    assert!(!service.idempotent);
    assert_eq!(service.retry_window, Duration::from_hours(2));
    assert_eq!(service.homes.len(), 2);
    assert!(document.in_service(&"tov".try_into().unwrap()));
    assert!(!document.in_service(&"khentii".try_into().unwrap()));
    assert!(!document.in_service(&"unlisted".try_into().unwrap()));
    assert_eq!(document.limits().cold_slots, 2);
    assert_eq!(document.limits().drain, Duration::from_secs(45));
    assert_eq!(document.limits().warm_slots, 32);
}

#[test]
fn an_account_is_found_only_by_its_exact_key() {
    let document = Document::parse(&complete_text()).unwrap();
    let (name, account) = document.find_account("depot secret").unwrap();
    assert_eq!(name.as_str(), "depot");
    assert_eq!(document.priority_of(account), Priority(0));
    assert_eq!(document.find_account("depot secre"), None);
    assert_eq!(document.find_account(&account.key.to_string()), None);
}

#[test]
fn the_stored_text_parses_to_the_same_text() {
    let document = Document::parse(&complete_text()).unwrap();
    let again = Document::parse(document.text()).unwrap();
    assert_eq!(document, again);
    assert_eq!(document.text(), again.text());
    assert!(
        document
            .section_text(Section::Models)
            .starts_with("# Models team.\n[models")
    );
    assert!(
        document
            .section_text(Section::Services)
            .starts_with("# Booking crew.")
    );
}

fn errors(text: &str) -> Vec<(usize, String, Fault)> {
    let errors = Document::parse(text).unwrap_err();
    let errors = errors.as_slice().iter();
    errors
        .map(|error| (error.line, error.key.clone(), error.fault.clone()))
        .collect()
}

#[test]
fn all_errors_of_all_sections_are_reported_together() {
    let text = "[models.drafter]\n\
                version = \"v9\"\n\
                [models.drafter.versions]\n\
                v3 = \"short\"\n\
                [services.booking]\n\
                homes = [\"b-1\",\n\"B 2\", \"b-1\"]\n\
                [data_centres.tov]\n\
                region = 7\n\
                in_servce = false\n\
                [data_centres.\"Big One\"]\n\
                region = \"west\"\n\
                [accounts.depot]\n\
                rate = -1.0\n\
                burst = 10\n\
                [limits]\n\
                retry_share = 0.5\n\
                deadline = \"soon\"\n";
    let found = errors(text);
    let places: Vec<(usize, &str)> = found
        .iter()
        .map(|(line, key, _)| (*line, key.as_str()))
        .collect();
    assert_eq!(
        places,
        [
            (4, "models.drafter.versions.v3"),
            (7, "services.booking.homes"),
            (7, "services.booking.homes"),
            (9, "data_centres.tov.region"),
            (10, "data_centres.tov.in_servce"),
            (11, "data_centres.Big One"),
            (13, "accounts.depot.key"),
            (13, "accounts.depot.priority"),
            (13, "accounts.depot.concurrency"),
            (14, "accounts.depot.rate"),
            (17, "limits.retry_share"),
            (18, "limits.deadline"),
        ]
    );
    assert!(
        found
            .iter()
            .any(|(.., fault)| *fault == Fault::Duplicate("b-1".into()))
    );
    assert!(found.iter().any(
        |(.., fault)| matches!(fault, Fault::UnknownKey(known) if known == "region, in_service")
    ));
}

#[test]
fn references_within_and_between_sections_are_checked() {
    let text = complete_text().replace("priority = \"storm\"", "priority = \"calm\"");
    assert_eq!(
        errors(&text),
        [(
            24,
            "accounts.depot.priority".into(),
            Fault::UnknownPriority("calm".into())
        )]
    );
    let text = complete_text().replace("version = \"v3\" #", "version = \"v5\" #");
    assert_eq!(
        errors(&text),
        [(
            3,
            "models.drafter.version".into(),
            Fault::NoManifest("v5".into())
        )]
    );
    let text = complete_text().replace("homes = [\"booking-1\", \"booking-2\"]\n", "");
    assert_eq!(
        errors(&text),
        [(11, "services.booking.homes".into(), Fault::NoHomes)]
    );
    let text = complete_text().replace("canary_share = 0.25\n", "");
    assert_eq!(
        errors(&text),
        [(2, "models.drafter".into(), Fault::IncompleteCanary)]
    );
    let account = complete_text();
    let account =
        &account[account.find("[accounts.depot]").unwrap()..account.find("\n[limits").unwrap()];
    let text = complete_text().replace(
        account,
        &format!("{account}{}", account.replace("depot", "twin")),
    );
    assert_eq!(
        errors(&text),
        [(
            30,
            "accounts.twin.key".into(),
            Fault::SharedKey("depot".into())
        )]
    );
}

#[test]
fn a_target_listed_as_home_of_two_services_is_refused() {
    let text = "[services.a]\nhomes = [\"t1\", \"t2\"]\n[services.b]\nhomes = [\"t2\"]\n";
    let fault = Fault::SharedHome("t2".into(), "a".into());
    assert_eq!(errors(text), [(3, "services.b.homes".into(), fault)]);
}

#[test]
fn texts_that_cannot_be_split_into_sections_are_refused() {
    let not_adjacent =
        "[data_centres.a]\nregion = \"r\"\n[limits]\n[data_centres.b]\nregion = \"r\"\n";
    assert_eq!(
        errors(not_adjacent),
        [(4, "data_centres".into(), Fault::NotAdjacent)]
    );
    assert_eq!(
        errors("[modles.a]\n"),
        [(1, String::new(), Fault::UnknownSection("modles".into()))]
    );
    assert_eq!(
        errors("\nlimits.drain = \"1s\"\n"),
        [(2, String::new(), Fault::KeyBeforeTable)]
    );
    let syntax = errors("[limits]\ndrain = \n[x\n");
    assert!(
        matches!(&syntax[..], [(2, _, Fault::Syntax(_)), ..]),
        "{syntax:?}"
    );
    assert_eq!(
        errors("[limits]\n#: base 3\n"),
        [(2, "limits".into(), Fault::Reserved)]
    );
    let large = format!("[limits]\n# {}\n", "x".repeat(1_000_000));
    assert!(matches!(errors(&large)[..], [(1, _, Fault::TooLarge(..))]));
    let marked = "[document]\nrevision = 4\n\n#: section limits\n[limits]\n#: section limits\n";
    assert_eq!(errors(marked), [(6, "limits".into(), Fault::NotAdjacent)]);
    let foreign = "[document]\nrevision = 4\n\n#: section limits\n[limits]\n[models.a]\n";
    assert!(matches!(
        &errors(foreign)[..],
        [(6, _, Fault::ForeignTable(_))]
    ));
    let damaged = "[document]\nrevision = 4\nnonsense = 1\n[limits]\n";
    assert!(matches!(
        &errors(damaged)[..],
        [(3, _, Fault::DamagedStamps(_))]
    ));
}

#[test]
fn an_error_message_states_line_key_and_remedy() {
    let error = Document::parse("[limits]\n\ngrowth = 0.5\n").unwrap_err();
    assert_eq!(
        error.to_string(),
        "line 3: limits.growth: 0.5 is out of range; give 1.01 to 10"
    );
}

#[test]
fn a_large_document_parses_and_its_stored_text_parses_equal() {
    let mut text = String::from("[priorities.p]\nlevel = 1\n");
    for number in 0..5_200_u32 {
        let key = Digest::of(&number.to_le_bytes());
        let _ = write!(
            text,
            "[accounts.a{number}]\nkey = \"{key}\"\npriority = \"p\"\nrate = 1.0\nburst = 1\n\
             concurrency = 1 # comment\n"
        );
    }
    assert!((700_000..1_000_000).contains(&text.len()), "{}", text.len());
    let document = Document::parse(&text).unwrap();
    assert_eq!(document.accounts().len(), 5_200);
    assert_eq!(Document::parse(document.text()).unwrap(), document);
}
