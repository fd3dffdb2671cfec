//! Memory that manifests take.

use azurestand_spread::{Chunk, Manifest};
use azurestand_types::{Digest, ModelName, VersionName};

use super::fit::{Point, Slope};
use super::usage::resident_kb;

/// Manifests held at once, so that pages of memory don't hide the cost.
const COPIES: usize = 64;
const CHUNK_BYTES: u32 = 4 << 20;

pub(super) fn measure(short: bool) -> Vec<Slope> {
    let scale = if short { 1 } else { 4 };
    let mut kept = Vec::new();
    let points = [512, 1_024, 2_048, 4_096].map(|chunks| {
        let chunks = chunks * scale;
        let before = resident_kb();
        // What was measured stays, so that the next size can't take its place.
        kept.extend((0..COPIES).map(|_| manifest(chunks)));
        Point {
            x: f64::from(chunks),
            y: (resident_kb() - before) * 1_024.0 / 64.0,
        }
    });
    vec![Slope::fit(
        "memory of a manifest",
        "B",
        "chunk",
        points.to_vec(),
    )]
}

fn manifest(chunks: u32) -> Manifest {
    let chunk = |n: u32| Chunk {
        digest: Digest::of(&n.to_le_bytes()),
        length: CHUNK_BYTES,
    };
    let model = ModelName::try_from("dispatch").expect("a name");
    let version = VersionName::try_from("v1").expect("a name");
    let chunks = (0..chunks).map(chunk).collect();
    Manifest::new(model, version, chunks).expect("chunks of an allowed length")
}
