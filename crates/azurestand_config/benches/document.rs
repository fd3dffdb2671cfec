//! Benchmarks by the number of accounts: parsing a document, applying an edit,
//! merging a delta and finding an account.

use std::fmt::Write;

use azurestand_config::{Delta, Document, Edit, Merge, Section};
use azurestand_types::Digest;
use divan::{Bencher, black_box};

const ACCOUNTS: [u32; 4] = [10, 100, 1_000, 5_200];

fn main() {
    divan::main();
}

fn document(accounts: u32) -> Document {
    let mut text = String::from(
        "[data_centres.tov]\nregion = \"west\"\n[data_centres.khentii]\nregion = \"east\"\n\
         [priorities.p]\nlevel = 1\n",
    );
    for number in 0..accounts {
        let key = Digest::of(&number.to_le_bytes());
        let _ = write!(
            text,
            "[accounts.a{number}]\nkey = \"{key}\"\npriority = \"p\"\nrate = 1.0\nburst = 1\n\
             concurrency = 1 # comment\n"
        );
    }
    Document::parse(&text).expect("the generated document is valid")
}

fn out(document: &Document) -> Edit {
    let text = document.section_text(Section::Centres);
    Edit {
        section: Section::Centres,
        base: document.stamp(Section::Centres).revision,
        author: "bench".to_owned().try_into().expect("a valid author"),
        change: "out-1".to_owned().try_into().expect("a valid change id"),
        text: format!("{text}in_service = false\n"),
        force: false,
    }
}

fn delta(document: &Document) -> Delta {
    match document.apply(&out(document)) {
        Ok(Merge::Merged(edited)) => edited.delta(document.revision()),
        other => panic!("the edit was not merged: {other:?}"),
    }
}

#[divan::bench(args = ACCOUNTS)]
fn parse(bencher: Bencher<'_, '_>, accounts: u32) {
    let document = document(accounts);
    bencher.bench(|| Document::parse(black_box(document.text())));
}

#[divan::bench(args = ACCOUNTS)]
fn apply_an_out(bencher: Bencher<'_, '_>, accounts: u32) {
    let document = document(accounts);
    let edit = out(&document);
    bencher.bench(|| document.apply(black_box(&edit)));
}

#[divan::bench(args = ACCOUNTS)]
fn merge_the_delta(bencher: Bencher<'_, '_>, accounts: u32) {
    let document = document(accounts);
    let delta = delta(&document);
    bencher.bench(|| document.merge(black_box(&delta)));
}

#[divan::bench(args = ACCOUNTS)]
fn find_an_account(bencher: Bencher<'_, '_>, accounts: u32) {
    let document = document(accounts);
    bencher.bench(|| document.find_account(black_box("nobody")).is_some());
}
