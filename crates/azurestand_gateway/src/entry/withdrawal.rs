//! Withdraws requests that have not begun when the weights of their target expire.
//!
//! An entry stops sending to older weights some time before their bound, but a request may
//! wait at its target for longer than predicted. Closing its connection cancels it there.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::shared::Shared;
use crate::clock::BootClock;

/// How long before the bound a request is withdrawn; the target has to notice in time that
/// the connection was closed.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(200);

/// Completes when a request that waits at a target with this version of the model's weights
/// has to be withdrawn; never while no later version is named, or without a version.
pub(crate) async fn until_expired<P>(
    shared: Arc<Shared<P>>,
    model: Option<Arc<str>>,
    version: Option<u64>,
) {
    let Some((model, version)) = model.zip(version) else {
        return pending().await;
    };
    let mut changes = shared.version_changes();
    loop {
        let until = shared.useful_until(&model, version);
        let left = until.map(|until| (until - WITHDRAWAL_MARGIN).since(BootClock.now()));
        match left {
            Some(left) if left.is_zero() => return,
            // Either the time is up or the bound has changed; both are checked again.
            Some(left) => drop(timeout(left, changes.changed()).await),
            None if changes.changed().await.is_ok() => {}
            None => return pending().await,
        }
    }
}
