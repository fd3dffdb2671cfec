use std::time::Duration;

use azurestand_types::Moment;

use super::{VERSION_GRACE, named_before_start};
use crate::feed::ChangeTime;

const LIMIT: Duration = Duration::from_millis(7_200);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn a_version_found_at_start_up_excludes_older_ones_after_the_grace_time() {
    let since = named_before_start(at(50_000), LIMIT, ChangeTime::AtStart);
    assert_eq!(since + LIMIT, at(50_000) + VERSION_GRACE);
}

/// Guards against entries that restarted during an outage of the store refusing requests for
/// the older version 2.5 s after its recovery, while all other entries served them for 7 s.
#[test]
fn after_a_start_in_an_outage_the_limit_counts_from_the_recovery() {
    assert_eq!(
        named_before_start(at(50_000), LIMIT, ChangeTime::AfterOutage),
        at(50_000)
    );
}
