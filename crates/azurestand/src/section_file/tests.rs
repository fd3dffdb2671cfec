use azurestand_config::{Document, Section};
use azurestand_types::Revision;

use super::SectionFile;

#[test]
fn a_file_for_editing_names_its_base() {
    let document = Document::parse("# Ours.\n[limits]\npermits = 2\n").unwrap();
    let raw = SectionFile::text_of(&document, Section::Limits);
    assert_eq!(raw, "#: base 1 of limits\n# Ours.\n[limits]\npermits = 2\n");
    let file = SectionFile::parse(&raw).unwrap();
    assert_eq!(file.base, Some((Section::Limits, Revision(1))));
    assert_eq!(file.text, "\n# Ours.\n[limits]\npermits = 2\n");
    assert!(file.base_of(Section::Models, &document).is_err());
}

#[test]
fn a_file_without_a_base_builds_on_the_present_text() {
    let document = Document::parse("[limits]\n").unwrap().with_next_revision();
    let file = SectionFile::parse("[models]\n").unwrap();
    assert_eq!(
        file.base_of(Section::Limits, &document).unwrap(),
        Revision(1)
    );
}

#[test]
fn a_damaged_base_is_refused() {
    assert!(SectionFile::parse("#: base x of limits\n").is_err());
    assert!(SectionFile::parse("#: base 3\n").is_err());
}
