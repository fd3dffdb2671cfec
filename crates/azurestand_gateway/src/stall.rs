//! Detects that this process stalled while it waited for a response: it was suspended, or
//! got no processor time.

#[cfg(test)]
mod tests;

use std::pin::pin;
use std::time::Duration;

use tokio::time::timeout;

use crate::clock::BootClock;

/// The interval of the checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A check that is late by more than this tells of a stall.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// Completes `call`; also returns whether this process stalled meanwhile.
pub(crate) async fn detect_stall<F>(call: F) -> (F::Output, bool)
where
    F: Future,
{
    let mut call = pin!(call);
    let mut checked_at = BootClock.now();
    let mut has_stalled = false;
    loop {
        let output = timeout(CHECK_INTERVAL, &mut call).await;
        let now = BootClock.now();
        has_stalled |= now.since(checked_at) > CHECK_INTERVAL + MAX_DELAY;
        checked_at = now;
        if let Ok(output) = output {
            return (output, has_stalled);
        }
    }
}
