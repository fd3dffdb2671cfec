//! Keeps the manifests that the document names, fetching what is missing.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use azurestand_spread::Manifest;
use azurestand_types::Digest;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::origin::Origin;
use super::spread::SpreadInput;
use crate::event::Event;

const FIRST_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_secs(10);
/// Tries before the log tells that a manifest can't be had.
const QUIET_TRIES: u32 = 5;

#[derive(Debug, Default)]
struct Known {
    manifests: BTreeMap<Digest, Arc<Manifest>>,
    wanted: BTreeSet<Digest>,
    sought: BTreeSet<Digest>,
}

/// Manifests by digest.
#[derive(Debug, Clone)]
pub(crate) struct Manifests {
    origin: Option<Origin>,
    known: Arc<Mutex<Known>>,
    news: mpsc::Sender<SpreadInput>,
}

impl Manifests {
    pub(crate) fn new(origin: Option<Origin>, news: mpsc::Sender<SpreadInput>) -> Self {
        Self {
            origin,
            known: Arc::default(),
            news,
        }
    }

    fn known(&self) -> std::sync::MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The manifests of `wanted` that are here; the others are fetched.
    pub(crate) fn find(&self, wanted: &[Digest]) -> Vec<Arc<Manifest>> {
        let mut known = self.known();
        known.wanted = wanted.iter().copied().collect();
        let kept = known.wanted.clone();
        known.manifests.retain(|digest, _| kept.contains(digest));
        for digest in wanted {
            if !known.manifests.contains_key(digest) && known.sought.insert(*digest) {
                tokio::spawn(self.clone().seek(*digest));
            }
        }
        let found = wanted
            .iter()
            .filter_map(|digest| known.manifests.get(digest));
        found.cloned().collect()
    }

    /// Asks until the manifest is here or no longer wanted.
    async fn seek(self, digest: Digest) {
        let Some(origin) = self.origin.clone() else {
            return;
        };
        let mut pause = FIRST_PAUSE;
        let mut tries = 0;
        loop {
            if let Some(manifest) = origin.manifest(digest).await {
                Event::Published.log(format_args!("{} {}", manifest.model(), manifest.version()));
                let mut known = self.known();
                known.manifests.insert(digest, Arc::new(manifest));
                break;
            }
            tries += 1;
            if tries == QUIET_TRIES {
                Event::ManifestMissing.log(digest);
            }
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
            if !self.known().wanted.contains(&digest) {
                break;
            }
        }
        self.known().sought.remove(&digest);
        let _ = self.news.send(SpreadInput::Manifests).await;
    }
}
