//! Conversion between moments and the runtime's clock.

use azurestand_types::Moment;
use tokio::time::Instant;

/// A clock whose moments count from a fixed instant.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new(start: Instant) -> Self {
        Self { start }
    }

    pub(crate) fn now(&self) -> Moment {
        Moment::START + self.start.elapsed()
    }

    /// Waits until `wake`, or forever when it is `None`.
    pub(crate) async fn sleep_until(&self, wake: Option<Moment>) {
        match wake {
            Some(wake) => {
                let span = wake.since(Moment::START);
                tokio::time::sleep_until(self.start + span).await;
            }
            None => std::future::pending().await,
        }
    }
}
