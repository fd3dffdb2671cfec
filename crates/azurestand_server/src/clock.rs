//! The daemon's monotonic clock, the only one that decisions ever see.

use azurestand_types::Moment;
use tokio::time::Instant;

/// Turns the runtime's clock into moments since the process started.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts at [`Moment::START`].
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// When the process started, by the runtime's clock.
    pub(crate) fn origin(&self) -> Instant {
        self.0
    }

    /// The present.
    pub fn now(&self) -> Moment {
        Moment::START + self.0.elapsed()
    }

    /// The instant of `moment`, for the runtime's timers.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.0 + moment.since(Moment::START)
    }
}
