//! When a caller is told "not run", the request did not run.

use crate::bench;

#[tokio::test(flavor = "multi_thread")]
async fn every_host_of_a_service_is_dead() {
    let mut deployment = bench::start(1).await;
    for n in 0..deployment.booths.len() {
        deployment.kill_booth(n);
    }
    for (n, (_, door)) in deployment.doors().into_iter().enumerate() {
        let key = format!("dead-{n}");
        let told = bench::book(&deployment, door, &key).await;
        assert!(!told.says("answered"), "{told:?}");
        assert_eq!(bench::runs(&deployment, &key), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_passes_before_the_service_is_reached() {
    let deployment = bench::start(1).await;
    let path = format!("/services/{}/book", deployment.plan.booking);
    for n in 0..20 {
        let key = format!("late-{n}");
        let headers = [
            ("idempotency-key", key.as_str()),
            ("x-azurestand-deadline-ms", "1"),
        ];
        let told = bench::call(bench::door(&deployment, 0), &path, &headers, "{}".into()).await;
        if told.says("not-run") {
            assert_eq!(bench::runs(&deployment, &key), 0, "{told:?}");
        }
    }
}
