//! What the runs spread.

use std::collections::HashMap;
use std::time::Duration;

use azurestand_spread::{Manifest, Verified, split_chunks};
use azurestand_types::{Digest, ModelName, VersionName};

use super::setup::Setup;

/// A version of short pieces that stand for chunks of the setup's length.
pub(crate) fn content(setup: &Setup, version: &str) -> (Manifest, HashMap<Digest, Verified>) {
    let parts = (0..setup.chunks).map(|index| format!("{version:4}{index:08}"));
    let version = name(VersionName::try_from(version));
    let split = split_chunks(model(), version.clone(), 12, parts);
    let Ok((manifest, contents)) = split else {
        panic!("a setup has 1 to 65536 chunks");
    };
    let mut chunks = manifest.chunks().to_vec();
    for chunk in &mut chunks {
        chunk.length = setup.length;
    }
    let Ok(manifest) = Manifest::new(model(), version, chunks) else {
        panic!("a setup's chunk length is one that manifests allow");
    };
    let proofs = contents.iter().filter_map(|chunk| {
        let proof = Verified::check(chunk.digest, &chunk.content).ok()?;
        Some((chunk.digest, proof))
    });
    (manifest, proofs.collect())
}

pub(crate) fn model() -> ModelName {
    name(ModelName::try_from("draft"))
}

pub(crate) fn name<T, E>(checked: Result<T, E>) -> T
where
    E: std::fmt::Display,
{
    checked.unwrap_or_else(|error| panic!("a generated name is allowed: {error}"))
}

pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
