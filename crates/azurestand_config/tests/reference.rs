//! The generated reference agrees with the parser.

use azurestand_config::{Document, Limits, Section};

fn example() -> String {
    let texts = Section::ALL.map(|section| section.reference().example);
    texts.join("\n")
}

#[test]
fn the_example_is_a_valid_document() {
    let document = Document::parse(&example()).unwrap();
    assert!(
        Section::ALL
            .iter()
            .all(|section| !document.section_text(*section).is_empty())
    );
}

#[test]
fn the_defaults_in_the_reference_are_those_in_force() {
    let mut text = String::from("[limits]\n");
    for key in Section::Limits.reference().keys {
        let default = key.default.expect("every limit has a default");
        let quoted = default.ends_with(char::is_alphabetic);
        let value = if quoted {
            format!("{default:?}")
        } else {
            default.to_owned()
        };
        text += &[key.name, " = ", &value, "\n"].concat();
    }
    let document = Document::parse(&text).unwrap();
    assert_eq!(*document.limits(), Limits::default());
}

#[test]
fn required_keys_have_no_default_and_all_others_may_be_left_out() {
    let services = Document::parse("[services.status]\nidempotent = true\n").unwrap();
    let service = services.services().values().next().unwrap();
    assert_eq!(service.retry_window.as_secs(), 24 * 3_600);
    for section in Section::ALL {
        let reference = section.reference();
        let header = reference.header.replace("NAME", "x");
        let Err(errors) = Document::parse(&format!("{header}\n")) else {
            assert!(reference.keys.iter().all(|key| key.default.is_some()));
            continue;
        };
        let text = errors.to_string();
        for key in reference.keys.iter().filter(|key| key.default.is_none()) {
            assert!(
                text.contains(&format!(".{}: the key is missing", key.name)),
                "{text}"
            );
        }
    }
}
