//! Generates reference pages from the code and checks what stands in docs/.
//!
//! `cargo run -p azurestand_dev -- generate` writes the pages, and
//! `cargo run -p azurestand_dev -- check` names those that are stale, and links
//! of pages and doc comments that lead nowhere. A new page is one more line in
//! `pages.rs`.

mod links;
mod pages;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

fn main() -> ExitCode {
    let root = root();
    match std::env::args().nth(1).as_deref() {
        Some("generate") => generate(&root),
        Some("check") => check(&root),
        _ => {
            eprintln!("write `generate` or `check`");
            ExitCode::from(2)
        }
    }
}

fn generate(root: &Path) -> ExitCode {
    for page in pages::all() {
        let path = root.join(page.path);
        if let Err(error) = std::fs::write(&path, page.text) {
            eprintln!("{}: {error}", path.display());
            return ExitCode::FAILURE;
        }
        println!("wrote {}", page.path);
    }
    ExitCode::SUCCESS
}

fn check(root: &Path) -> ExitCode {
    let mut faults = pages::stale(root);
    faults.extend(links::broken(root));
    for fault in &faults {
        eprintln!("{fault}");
    }
    if faults.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// The root of the workspace.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}
