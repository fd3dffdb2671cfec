//! The section `limits`.

use std::time::Duration;

use crate::check::{Check, within};
use crate::error::{ConfigErrors, Fault};
use crate::options::{Raw, options};

const MAX_SLOTS: u32 = 100_000;
const MIN_LINK: u64 = 1_000;
const MAX_LINK: u64 = 1_000_000_000_000;

options! {
    /// The raw options of the limits.
    LimitsOptions {
        cold_slots: u32, "a whole number from 1 to 100000", Some("1"),
            "The requests that a target in cold start runs at one time.";
        warm_slots: u32, "a whole number from 1 to 100000", Some("32"),
            "The requests that a warm target runs at one time.";
        growth: f64, "a factor from 1.01 to 10", Some("1.5"),
            "The factor by which a warming target's slots grow after each round of good answers.";
        queue_length: u32, "a whole number from 0 to 100000", Some("64"),
            "The requests that may wait at one target.";
        first_token: String, "a duration such as \"510ms\"", Some("510ms"),
            "The target for the time to the first token. A slower target counts as overloaded.";
        deadline: String, "a duration such as \"30s\"", Some("30s"),
            "The deadline of a request that sets none.";
        max_deadline: String, "a duration such as \"10m\"", Some("10m"),
            "The longest deadline that a request may set.";
        retry_share: f64, "a share from 0 to 0.1", Some("0.1"),
            "The retries that the system may send, as a share of first tries.";
        host_link: u64, "bytes a second, from 1000 to 1000000000000", Some("125000000"),
            "The rate of a host's link in bytes a second.";
        origin_link: u64, "bytes a second, from 1000 to 1000000000000", Some("125000000"),
            "The rate of the origin's link in bytes a second.";
        region_link: u64, "bytes a second, from 1000 to 1000000000000", Some("2500000"),
            "The rate of the link between two regions, each way, in bytes a second.";
        host_share: f64, "a share from 0 to 1", Some("0.5"),
            "The share of a host's link that the distribution of weights may use.";
        origin_share: f64, "a share from 0 to 1", Some("0.9"),
            "The share of the origin's link that the distribution of weights may use.";
        region_share: f64, "a share from 0 to 1", Some("0.5"),
            "The share of a link between regions that the distribution of weights may use.";
        permits: u32, "a whole number from 1 to 100000", Some("1"),
            "The targets of one model that may leave service to load at one time in one data centre.";
        drain: String, "a duration such as \"30s\"", Some("30s"),
            "The longest time that a planned stop waits for open answers.";
    }
}

/// Limits of targets, links and requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Requests that a target in cold start runs at one time.
    pub cold_slots: u32,
    /// Requests that a warm target runs at one time.
    pub warm_slots: u32,
    /// Factor by which a warming target's slots grow after each round of good answers.
    pub growth: f64,
    /// Requests that may wait at one target.
    pub queue_length: u32,
    /// Target for the time to the first token.
    pub first_token: Duration,
    /// Deadline of a request that sets none.
    pub deadline: Duration,
    /// Longest deadline that a request may set.
    pub max_deadline: Duration,
    /// Retries as a share of first tries, at most 0.1.
    pub retry_share: f64,
    /// Rate of a host's link, in bytes a second.
    pub host_link: u64,
    /// Rate of the origin's link, in bytes a second.
    pub origin_link: u64,
    /// Rate of a link between regions, each way, in bytes a second.
    pub region_link: u64,
    /// Share of a host's link that the distribution of weights may use.
    pub host_share: f64,
    /// Share of the origin's link that the distribution of weights may use.
    pub origin_share: f64,
    /// Share of a link between regions that the distribution of weights may use.
    pub region_share: f64,
    /// Targets of one model that may load at one time in one data centre.
    pub permits: u32,
    /// Longest time that a planned stop waits for open answers.
    pub drain: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            cold_slots: 1,
            warm_slots: 32,
            growth: 1.5,
            queue_length: 64,
            first_token: Duration::from_millis(510),
            deadline: Duration::from_secs(30),
            max_deadline: Duration::from_mins(10),
            retry_share: 0.1,
            host_link: 125_000_000,
            origin_link: 125_000_000,
            region_link: 2_500_000,
            host_share: 0.5,
            origin_share: 0.9,
            region_share: 0.5,
            permits: 1,
            drain: Duration::from_secs(30),
        }
    }
}

impl TryFrom<Raw<'_, LimitsOptions>> for Limits {
    type Error = ConfigErrors;

    fn try_from(raw: Raw<'_, LimitsOptions>) -> Result<Self, ConfigErrors> {
        let (mut check, options) = Check::begin(raw);
        let limits = check_options(&mut check, options);
        if let Some(limits) = &limits
            && limits.deadline > limits.max_deadline
        {
            check.report_at_table("deadline", Fault::DeadlineAboveMax);
        }
        check.finish(limits)
    }
}

/// Checks all options before it returns, so that all errors are reported.
fn check_options(check: &mut Check<'_>, raw: LimitsOptions) -> Option<Limits> {
    let defaults = Limits::default();
    let slots = || within(1..=MAX_SLOTS);
    let link = || within(MIN_LINK..=MAX_LINK);
    let share = || within(0.0..=1.0);
    let cold_slots = check.default(raw.cold_slots, defaults.cold_slots, slots());
    let warm_slots = check.default(raw.warm_slots, defaults.warm_slots, slots());
    let growth = check.default(raw.growth, defaults.growth, within(1.01..=10.0));
    let queue_length = check.default(
        raw.queue_length,
        defaults.queue_length,
        within(0..=MAX_SLOTS),
    );
    let first_token = check.duration(raw.first_token, defaults.first_token);
    let deadline = check.duration(raw.deadline, defaults.deadline);
    let max_deadline = check.duration(raw.max_deadline, defaults.max_deadline);
    let retry_share = check.default(raw.retry_share, defaults.retry_share, within(0.0..=0.1));
    let host_link = check.default(raw.host_link, defaults.host_link, link());
    let origin_link = check.default(raw.origin_link, defaults.origin_link, link());
    let region_link = check.default(raw.region_link, defaults.region_link, link());
    let host_share = check.default(raw.host_share, defaults.host_share, share());
    let origin_share = check.default(raw.origin_share, defaults.origin_share, share());
    let region_share = check.default(raw.region_share, defaults.region_share, share());
    let permits = check.default(raw.permits, defaults.permits, slots());
    let drain = check.duration(raw.drain, defaults.drain);
    Some(Limits {
        cold_slots: cold_slots?,
        warm_slots: warm_slots?,
        growth: growth?,
        queue_length: queue_length?,
        first_token: first_token?,
        deadline: deadline?,
        max_deadline: max_deadline?,
        retry_share: retry_share?,
        host_link: host_link?,
        origin_link: origin_link?,
        region_link: region_link?,
        host_share: host_share?,
        origin_share: origin_share?,
        region_share: region_share?,
        permits: permits?,
        drain: drain?,
    })
}
