//! The lease under which load orders are sent.

use std::time::Duration;

use azurestand_types::{Fence, Moment};

use super::OrderSettings;

/// A lease and its fencing number. Whether it is valid depends on this
/// process's clock alone.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    fence: Fence,
    until: Option<Moment>,
    /// From when on no order of an earlier holder can take effect any more.
    safe_from: Moment,
}

impl Lease {
    /// Records that the lease was acquired or renewed.
    ///
    /// A late answer, with an old fencing number, is ignored.
    pub(crate) fn update(
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
            // The fencing number directly after this process's own: no other
            // process held the lease in between.
            let is_successor = self.fence != Fence::default() && fence == self.fence.next();
            self.safe_from = match prior {
                Some(prior) if !settings.fenced && !is_successor => {
                    now + prior + settings.max_delay
                }
                _ => self.safe_from.max(now),
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

    /// A state of the engine queried from this moment on includes the effects
    /// of all orders of earlier holders.
    pub(crate) fn safe_from(&self) -> Moment {
        self.safe_from
    }

    pub(crate) fn until(&self) -> Moment {
        self.until.unwrap_or(Moment::START)
    }

    /// Whether an order may be sent now.
    pub(crate) fn may_order(&self, now: Moment) -> bool {
        now < self.until() && now >= self.safe_from
    }
}
