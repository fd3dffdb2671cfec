use std::cell::Cell;

use super::restart_on_panic;

#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again() {
    let starts = Cell::new(0);
    restart_on_panic("test", || {
        starts.set(starts.get() + 1);
        let number = starts.get();
        async move { assert!(number > 4, "panic {number}") }
    })
    .await;
    assert_eq!(starts.get(), 5);
}
