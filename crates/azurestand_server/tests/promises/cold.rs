//! A target in cold start receives no more work than it can bear.

use crate::bench;

#[tokio::test(flavor = "multi_thread")]
async fn sixty_callers_meet_cold_targets_at_once() {
    let deployment = bench::start(1).await;
    let doors = deployment.doors();
    let calls = (0..60).map(|n| {
        let door = doors[n % doors.len()].1;
        let body = bench::prompt(&deployment, 20, n % 2 == 0);
        tokio::spawn(async move { bench::call(door, "/v1/chat/completions", &[], body).await })
    });
    let calls: Vec<_> = calls.collect();
    let mut answered = 0;
    for call in calls {
        let told = call.await.unwrap();
        if bench::is_answered(&told) {
            bench::assert_whole(&told, 20);
            answered += 1;
        } else {
            assert!(told.says("not-run"), "{told:?}");
        }
    }
    assert!(answered > 0);
    assert_eq!(deployment.record().overloads, 0);
}
