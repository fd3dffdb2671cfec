//! The link fake: a rate, a delay, first come first served.

use azurestand_spread::Rate;

/// One direction of a link. Times are in microseconds of virtual time.
#[derive(Debug)]
pub(crate) struct Link {
    rate: Rate,
    free: u64,
    /// Bytes carried so far.
    pub(crate) carried: u64,
}

/// When a transfer passes a link.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Passage {
    pub(crate) start: u64,
    pub(crate) end: u64,
}

impl Link {
    pub(crate) fn new(rate: Rate) -> Self {
        Self {
            rate,
            free: 0,
            carried: 0,
        }
    }

    /// Sends `bytes` after all that came before.
    pub(crate) fn pass(&mut self, bytes: u64, now: u64) -> Passage {
        let start = now.max(self.free);
        let end = start + self.time(bytes);
        self.free = end;
        self.carried += bytes;
        Passage { start, end }
    }

    /// When the next link can start so that it neither waits for bytes nor
    /// holds back others: a fast link behind a slow one starts late.
    pub(crate) fn entry(&self, bytes: u64, before: Passage) -> u64 {
        let late = before.end.saturating_sub(self.time(bytes));
        before.start.max(late)
    }

    fn time(&self, bytes: u64) -> u64 {
        u64::try_from(self.rate.duration_of(bytes).as_micros()).unwrap_or(u64::MAX)
    }
}
