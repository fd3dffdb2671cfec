//! Starts a task of the process again when it panics. Without that the process would go on
//! without the task, for example with the list of targets of that moment.

#[cfg(test)]
mod tests;

use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::time::sleep;

use crate::log::LogEvent;

/// The pause before a task is started again; it doubles with each panic.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause, so that a task that panics again and again doesn't use up calls.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Runs the future that `start` returns, and another one each time that it panics. What the
/// task shares with others has to be valid after a panic; all of it is behind locks whose
/// holders change one value at a time, and a task reads everything again when it starts.
pub(crate) async fn restart_on_panic<S, F>(name: &'static str, mut start: S)
where
    S: FnMut() -> F,
    F: Future<Output = ()>,
{
    let mut pause = FIRST_PAUSE;
    while let Err(panic) = AssertUnwindSafe(start()).catch_unwind().await {
        LogEvent::TaskPanicked.log(&[("task", name.into()), ("why", text(panic.as_ref()).into())]);
        sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// The message of a panic.
fn text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
    text.unwrap_or("no message")
}
