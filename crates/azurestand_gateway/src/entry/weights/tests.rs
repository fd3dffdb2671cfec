//! What agents ask for, and for how long.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::advance;

use super::{Demand, ModelVersion};
use crate::pieces::StagingStatus;

/// When two versions are named in quick succession, the older one must not be fetched any
/// longer: entries went on with it for 20 s, and the newer one got half of the origin's link.
#[tokio::test(start_paused = true)]
async fn fetching_ends_when_no_agent_requests_the_version_any_more() {
    let (sender, mut requests) = mpsc::channel(4);
    let demand = Demand::new(sender);
    let (older, newer): (ModelVersion, ModelVersion) = (("m".into(), 2), ("m".into(), 3));
    demand.record_request("m", 2);
    assert_eq!(requests.recv().await.as_ref(), Some(&older));
    assert!(demand.begin_fetch(&older) && !demand.begin_fetch(&older));
    for _ in 0..10 {
        advance(Duration::from_millis(200)).await;
        demand.record_request("m", 3);
    }
    assert!(!demand.is_wanted(&older));
    assert!(demand.is_wanted(&newer));
    demand.until_unwanted(&older).await;
    demand.end_fetch(&older);
    assert!(demand.begin_fetch(&older));
}
