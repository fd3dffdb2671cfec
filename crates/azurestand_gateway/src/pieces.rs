//! Verified pieces of weights that this host holds, the server that gives them to other
//! hosts, and the calls that fetch pieces from other hosts.

mod calls;
mod server;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use sha2::{Digest, Sha256};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::platform::Manifest;

pub(crate) use calls::{Purpose, fetch_digests, fetch_piece, list_pieces};
pub(crate) use server::{StagingStatus, serve};

/// The largest piece, in bytes.
pub(crate) const MAX_PIECE_BYTES: usize = 8 << 20;
/// Marks an available piece in a list of pieces.
const AVAILABLE: u8 = b'1';
/// Marks a missing piece in a list of pieces.
const MISSING: u8 = b'0';

/// Whether the SHA-256 of `piece` is `digest`.
pub(crate) fn matches_digest(piece: &[u8], digest: &[u8; 32]) -> bool {
    Sha256::digest(piece).as_slice() == digest
}

/// The verified pieces of one version.
#[derive(Debug)]
pub(crate) struct Version {
    pub(crate) manifest: Manifest,
    pieces: Mutex<Vec<Option<Bytes>>>,
    arrived: Notify,
}

impl Version {
    pub(crate) fn new(manifest: Manifest) -> Self {
        let count = manifest.digests.len();
        Self {
            manifest,
            pieces: Mutex::new(vec![None; count]),
            arrived: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Option<Bytes>>> {
        self.pieces.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn piece(&self, number: usize) -> Option<Bytes> {
        self.lock().get(number).cloned().flatten()
    }

    /// Adds a piece if it matches the digest in the manifest; returns whether it does.
    pub(crate) fn add(&self, number: usize, piece: Bytes) -> bool {
        let digest = self.manifest.digests.get(number);
        if !digest.is_some_and(|digest| matches_digest(&piece, digest)) {
            return false;
        }
        if let Some(slot) = self.lock().get_mut(number) {
            *slot = Some(piece);
        }
        self.arrived.notify_waiters();
        true
    }

    /// The length of a piece in bytes; zero before any has arrived.
    pub(crate) fn piece_bytes(&self) -> usize {
        let pieces = self.lock();
        pieces.iter().flatten().next().map_or(0, Bytes::len)
    }

    /// The number of missing pieces.
    pub(crate) fn missing(&self) -> usize {
        self.lock().iter().filter(|piece| piece.is_none()).count()
    }

    /// Whether all pieces are here, of which there are `pieces` as configured.
    pub(crate) fn is_complete(&self, pieces: Option<usize>) -> bool {
        pieces == Some(self.manifest.digests.len()) && self.missing() == 0
    }

    /// Which pieces are available.
    fn available(&self) -> Vec<bool> {
        self.lock().iter().map(Option::is_some).collect()
    }

    /// Waits until more than `known` pieces are available; returns which.
    async fn wait_for_more(&self, known: usize) -> Vec<bool> {
        loop {
            let arrived = self.arrived.notified();
            let available = self.available();
            if available.iter().filter(|has| **has).count() > known {
                return available;
            }
            arrived.await;
        }
    }
}

/// The versions that a host holds or fetches, in the order in which they were added.
#[derive(Debug, Default)]
pub(crate) struct PieceStore {
    versions: Mutex<Vec<Arc<Version>>>,
    added: Notify,
}

impl PieceStore {
    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Version>>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn get(&self, model: &str, number: u64) -> Option<Arc<Version>> {
        let versions = self.lock();
        let matches = |version: &&Arc<Version>| {
            version.manifest.version == number && version.manifest.model.as_ref() == model
        };
        versions.iter().find(matches).cloned()
    }

    /// Adds a version and drops all but the two added last.
    pub(crate) fn add(&self, version: Arc<Version>) {
        let mut versions = self.lock();
        versions.push(version);
        if versions.len() > 2 {
            versions.remove(0);
        }
        drop(versions);
        self.added.notify_waiters();
    }

    /// Waits until this host starts to fetch the version.
    async fn wait_for(&self, model: &str, number: u64) -> Arc<Version> {
        loop {
            let added = self.added.notified();
            if let Some(version) = self.get(model, number) {
                return version;
            }
            added.await;
        }
    }

    /// Drops all versions for which `keeps` returns false.
    pub(crate) fn retain<F>(&self, keeps: F)
    where
        F: Fn(&Manifest) -> bool,
    {
        self.lock().retain(|version| keeps(&version.manifest));
    }

    pub(crate) fn remove(&self, model: &str, number: u64) {
        self.retain(|manifest| manifest.version != number || manifest.model.as_ref() != model);
    }
}

/// Limits the rate at which this host sends or fetches pieces, so that live traffic on the
/// same link waits for one piece at most.
#[derive(Debug)]
pub(crate) struct Pacer {
    /// Bytes a second.
    rate: f64,
    /// When the next piece may be sent.
    next_at: tokio::sync::Mutex<Instant>,
}

impl Pacer {
    pub(crate) fn new(rate: f64) -> Self {
        Self {
            rate,
            next_at: tokio::sync::Mutex::new(Instant::now()),
        }
    }

    /// Waits until a piece of `bytes` bytes may be sent.
    pub(crate) async fn wait(&self, bytes: usize) {
        let mut next_at = self.next_at.lock().await;
        let start = (*next_at).max(Instant::now());
        sleep_until(start).await;
        let size = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        *next_at = start + Duration::from_secs_f64(size / self.rate);
    }
}
