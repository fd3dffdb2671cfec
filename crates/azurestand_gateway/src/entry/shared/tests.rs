use std::time::Duration;

use azurestand_types::Moment;

use super::{VERSION_GRACE, named_before_start};

const LIMIT: Duration = Duration::from_millis(7_200);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn what_a_fresh_process_finds_may_be_about_to_bind() {
    let since = named_before_start(at(50_000), LIMIT, false);
    assert_eq!(since + LIMIT, at(50_000) + VERSION_GRACE);
}

/// Entries that restarted while the store was away refused all requests for the older
/// version 2.5 s after its return; those that had lived through it served for 7 s.
#[test]
fn a_process_that_started_in_an_outage_counts_from_the_return_like_all_others() {
    assert_eq!(named_before_start(at(50_000), LIMIT, true), at(50_000));
}
