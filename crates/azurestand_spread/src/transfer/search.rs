//! Searches over chunks and over the hosts that offer them.

use azurestand_types::{HostName, Moment};

use super::Transfer;
use super::goal::Goal;
use super::peers::Neighbour;
use crate::bitmap::Bitmap;

/// Chunks asked of one host at once, so that no host's queue fills from one side.
const ASKED_PER_HOST: usize = 2;

impl Transfer {
    /// The rarest open chunk that a usable host offers, ties broken at random.
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
        let goal = &self.goals[index];
        let holders = self.holders(index, usable, now);
        let mut open = Bitmap::new(goal.len());
        for (_, bits) in &holders {
            open.join(bits);
        }
        open.subtract(&goal.have);
        open.subtract(&goal.busy);
        let chunks = open.ones(self.offset(goal.len()));
        let chunk = chunks
            .filter(|&chunk| wanted(chunk))
            .min_by_key(|&chunk| rarity(chunk))?;
        let host = self.holder(&holders, chunk)?;
        Some((chunk, host))
    }

    /// The usable hosts that may be asked now, with what they hold.
    pub(crate) fn holders<U>(
        &self,
        index: usize,
        usable: U,
        now: Moment,
    ) -> Vec<(&Neighbour, &Bitmap)>
    where
        U: Fn(&Neighbour) -> bool,
    {
        let id = self.goals[index].id();
        self.peers
            .active()
            .filter(|neighbour| neighbour.asked < ASKED_PER_HOST && neighbour.is_ready(now))
            .filter_map(|neighbour| Some((neighbour, &neighbour.heard.get(&id)?.bits)))
            .filter(|(neighbour, _)| usable(neighbour))
            .collect()
    }

    /// The host that offers a chunk, has failed least and is asked for least.
    pub(crate) fn holder(
        &self,
        holders: &[(&Neighbour, &Bitmap)],
        chunk: usize,
    ) -> Option<HostName> {
        let offers = holders.iter().filter(|(_, bits)| bits.get(chunk));
        let best = offers.min_by_key(|(neighbour, _)| {
            let rank = neighbour.rank(self.salt);
            (neighbour.strikes, neighbour.asked, rank)
        });
        best.map(|(neighbour, _)| neighbour.peer.host.clone())
    }

    /// Where a search over the chunks starts, so that hosts don't all take the first.
    pub(crate) fn offset(&self, length: usize) -> usize {
        usize::try_from(self.salt >> 32).unwrap_or(0) % length
    }

    pub(crate) fn find<T>(&self, index: usize, test: T) -> Option<usize>
    where
        T: Fn(&Goal, usize) -> bool,
    {
        let goal = &self.goals[index];
        let start = self.offset(goal.len());
        (0..goal.len())
            .map(|step| (start + step) % goal.len())
            .find(|&chunk| goal.open(chunk) && test(goal, chunk))
    }
}
