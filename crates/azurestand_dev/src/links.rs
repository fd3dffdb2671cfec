//! Relative links of pages and of doc comments.

#[cfg(test)]
mod tests;

use std::fs;
use std::path::{Path, PathBuf};

/// Names the links that lead to no file.
pub(crate) fn broken(root: &Path) -> Vec<String> {
    let mut faults = broken_in_pages(root);
    let sources = files(&root.join("crates"), "rs");
    faults.extend(sources.iter().flat_map(|file| broken_in(root, file)));
    faults
}

/// Names the links of the pages that lead to no file.
pub(crate) fn broken_in_pages(root: &Path) -> Vec<String> {
    let mut pages = files(&root.join("docs"), "md");
    pages.push(root.join("README.md"));
    let faults = pages.iter().flat_map(|file| broken_in(root, file));
    faults.collect()
}

fn broken_in(root: &Path, file: &Path) -> Vec<String> {
    let text = fs::read_to_string(file).unwrap_or_default();
    let text = match crate_source(file) {
        Some(_) => doc_comments(&text),
        None => text,
    };
    let folder = file.parent().unwrap_or(root);
    let broken = targets(&text).into_iter().filter(|target| {
        let path = folder.join(target);
        // A crate's doc comments link from its root file, wherever the module lies.
        let from_crate = crate_source(file).map(|source| source.join(target));
        !path.exists() && !from_crate.is_some_and(|path| path.exists())
    });
    let name = file.strip_prefix(root).unwrap_or(file).display();
    broken
        .map(|target| format!("{name} links to {target}, which isn't there"))
        .collect()
}

/// The folder `src` or `tests` of the crate that `file` belongs to.
fn crate_source(file: &Path) -> Option<&Path> {
    let mut folders = file.ancestors();
    folders.find(|folder| folder.ends_with("src") || folder.ends_with("tests"))
}

/// The doc comments of a source, without its code.
fn doc_comments(text: &str) -> String {
    let lines = text.lines().map(str::trim_start);
    let comments = lines.filter(|line| line.starts_with("//!") || line.starts_with("///"));
    comments.collect::<Vec<_>>().join("\n")
}

/// The relative paths that a text links to, without their fragments.
pub(crate) fn targets(text: &str) -> Vec<&str> {
    let ends = text.split("](").skip(1);
    let targets = ends.filter_map(|rest| rest.split_once(')'));
    let targets = targets.map(|(target, _)| target.split('#').next().unwrap_or(target));
    let relative = targets.filter(|target| {
        let page = Path::new(target).extension().is_some_and(|end| end == "md");
        (page || target.contains('/'))
            && !target.contains("://")
            && !target.contains(char::is_whitespace)
    });
    relative.collect()
}

/// The files below `folder` that have an extension, in the order of their paths.
fn files(folder: &Path, extension: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    let mut found = Vec::new();
    for entry in entries {
        let path = entry.path();
        if path.is_dir() {
            found.extend(files(&path, extension));
        } else if path.extension().is_some_and(|found| found == extension) {
            found.push(path);
        }
    }
    found.sort();
    found
}
