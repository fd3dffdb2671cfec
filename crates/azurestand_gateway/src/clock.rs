//! A clock that also counts the time in which the machine is suspended.

use azurestand_types::Moment;
use rustix::time::{ClockId, clock_gettime};

/// The time since the machine started, suspensions included.
///
/// The runtime's monotonic clock stops while a machine is suspended, so the age
/// of cached data has to be measured with this one.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// The current time.
    pub fn now(self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        Moment::from_micros(seconds * 1_000_000 + nanos / 1_000)
    }
}
