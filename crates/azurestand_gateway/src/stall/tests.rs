use std::time::Duration;

use tokio::time::sleep;

use super::{CHECK_INTERVAL, MAX_DELAY, detect_stall};

/// An entry that stalled for a second while it waited for changes dated a naming of
/// weights from its own recovery.
#[tokio::test]
async fn a_stall_during_a_call_is_detected() {
    let call = async {
        sleep(Duration::from_millis(1)).await;
        std::thread::sleep((CHECK_INTERVAL + MAX_DELAY) * 2);
        7
    };
    assert_eq!(detect_stall(call).await, (7, true));
}
