//! Searches for chunks and for the hosts that hold them.

use azurestand_types::{HostName, Moment};

use super::Transfer;
use super::peers::Neighbour;
use super::version::VersionState;
use crate::bitmap::Bitmap;

/// The most chunks requested from one host at once, so that no host fills another's
/// queue.
const REQUESTS_PER_HOST: usize = 2;

impl Transfer {
    /// The rarest open chunk that a usable host holds; ties are broken at random.
    pub(crate) fn rarest<R, W, U>(
        &self,
        index: usize,
        rarity: R,
        wanted: W,
        usable: U,
        now: Moment,
    ) -> Option<(usize, HostName)>
    where
        R: Fn(usize) -> u16,
        W: Fn(usize) -> bool,
        U: Fn(&Neighbour) -> bool,
    {
        let version = &self.versions[index];
        let holders = self.holders(index, usable, now);
        let mut open = Bitmap::new(version.len());
        for (_, bits) in &holders {
            open.union(bits);
        }
        open.subtract(&version.have);
        open.subtract(&version.in_flight);
        let chunks = open.ones(self.offset(version.len()));
        let chunk = chunks
            .filter(|&chunk| wanted(chunk))
            .min_by_key(|&chunk| rarity(chunk))?;
        let host = self.holder(&holders, chunk)?;
        Some((chunk, host))
    }

    /// The usable hosts that may be asked now, with their announced chunks.
    pub(crate) fn holders<U>(
        &self,
        index: usize,
        usable: U,
        now: Moment,
    ) -> Vec<(&Neighbour, &Bitmap)>
    where
        U: Fn(&Neighbour) -> bool,
    {
        let id = self.versions[index].id();
        self.peers
            .active()
            .filter(|neighbour| neighbour.pending < REQUESTS_PER_HOST && neighbour.is_ready(now))
            .filter_map(|neighbour| Some((neighbour, &neighbour.announced.get(&id)?.bits)))
            .filter(|(neighbour, _)| usable(neighbour))
            .collect()
    }

    /// The host that holds a chunk, with the fewest failures and then the fewest open
    /// requests.
    pub(crate) fn holder(
        &self,
        holders: &[(&Neighbour, &Bitmap)],
        chunk: usize,
    ) -> Option<HostName> {
        let offers = holders.iter().filter(|(_, bits)| bits.get(chunk));
        let best = offers.min_by_key(|(neighbour, _)| {
            let rank = neighbour.rank(self.salt);
            (neighbour.failures, neighbour.pending, rank)
        });
        best.map(|(neighbour, _)| neighbour.peer.host.clone())
    }

    /// Where a search over the chunks starts, so that not all hosts take the first
    /// chunk.
    pub(crate) fn offset(&self, length: usize) -> usize {
        usize::try_from(self.salt >> 32).unwrap_or(0) % length
    }

    pub(crate) fn find<T>(&self, index: usize, test: T) -> Option<usize>
    where
        T: Fn(&VersionState, usize) -> bool,
    {
        let version = &self.versions[index];
        let start = self.offset(version.len());
        (0..version.len())
            .map(|step| (start + step) % version.len())
            .find(|&chunk| version.is_open(chunk) && test(version, chunk))
    }
}
