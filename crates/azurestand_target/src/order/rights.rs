//! The right to give orders.

use std::time::Duration;

use azurestand_types::{Fence, Moment};

use super::OrderSettings;

/// A lease with its fencing number, judged by this process's clock alone.
#[derive(Debug, Default)]
pub(crate) struct Rights {
    fence: Fence,
    until: Option<Moment>,
    /// Until when an order of the holder before may still take effect.
    quiet: Moment,
}

impl Rights {
    /// Notes that the lease was taken or renewed.
    ///
    /// An answer with an old fencing number is late and changes nothing.
    pub(crate) fn hold(
        &mut self,
        now: Moment,
        fence: Fence,
        until: Moment,
        prior: Option<Duration>,
        settings: &OrderSettings,
    ) {
        if fence < self.fence {
            return;
        }
        if fence > self.fence {
            // The next number after its own: nobody held the lease in between.
            let own = self.fence != Fence::default() && fence == self.fence.next();
            self.quiet = match prior {
                Some(lease) if !settings.fenced && !own => now + lease + settings.longest,
                _ => self.quiet.max(now),
            };
        }
        self.fence = fence;
        self.until = Some(until);
    }

    pub(crate) fn lose(&mut self) {
        self.until = None;
    }

    pub(crate) fn fence(&self) -> Fence {
        self.fence
    }

    /// From when on the engine's state shows what earlier holders left.
    pub(crate) fn quiet(&self) -> Moment {
        self.quiet
    }

    pub(crate) fn until(&self) -> Moment {
        self.until.unwrap_or(Moment::START)
    }

    /// Whether an order may be given now.
    pub(crate) fn may_order(&self, now: Moment) -> bool {
        now < self.until() && now >= self.quiet
    }
}
