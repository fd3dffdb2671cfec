use azurestand_config::Document;

use super::{all, stale};
use crate::root;

#[test]
fn the_generated_pages_are_current() {
    assert_eq!(stale(&root()), Vec::<String>::new());
}

#[test]
fn the_example_of_the_reference_parses() {
    let page = &all()[0];
    let (_, example) = page.text.split_once("```toml\n").unwrap();
    let (example, _) = example.split_once("```").unwrap();
    let document = Document::parse(example).unwrap();
    assert_eq!(document.models().len(), 1);
}
