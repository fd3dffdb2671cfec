use super::{broken_in_pages, targets};
use crate::root;

#[test]
fn every_link_of_a_page_leads_to_a_file() {
    assert_eq!(broken_in_pages(&root()), Vec::<String>::new());
}

#[test]
fn only_relative_paths_count_as_links() {
    let text = "[a](A.md#part) [b](https://example.org/b.md) [c](dir/c.txt) `x](y)`";
    assert_eq!(targets(text), ["A.md", "dir/c.txt"]);
}
