//! The priorities of one service's routes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::rules::Route;

/// The priorities of the routes to one service, each with its shortest latency target.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Levels(BTreeMap<u8, Duration>);

impl Levels {
    /// The priorities of those routes that lead to `service`.
    pub(crate) fn of<'a, R>(routes: R, service: &str) -> Self
    where
        R: Iterator<Item = &'a Arc<Route>>,
    {
        let mut levels: BTreeMap<u8, Duration> = BTreeMap::new();
        for route in routes {
            let mut shares = route.shares.iter();
            if !shares.any(|share| share.weight > 0 && share.service.as_ref() == service) {
                continue;
            }
            let shortest = levels.entry(route.priority).or_insert(Duration::MAX);
            *shortest = route.latency_target.min(*shortest);
        }
        Self(levels)
    }

    /// Whether there are several priorities.
    pub(crate) fn compete(&self) -> bool {
        self.0.len() > 1
    }

    /// The most urgent priority.
    pub(crate) fn most_urgent(&self) -> u8 {
        self.0.keys().next().copied().unwrap_or_default()
    }

    /// The shortest latency target of the routes that are more urgent than `priority`.
    pub(crate) fn shortest_above(&self, priority: u8) -> Option<Duration> {
        let above = self.0.range(..priority);
        above.map(|(_, target)| *target).min()
    }

    /// The number of priorities that are more urgent than this one.
    pub(crate) fn above(&self, priority: u8) -> usize {
        self.0.range(..priority).count()
    }
}

impl FromIterator<(u8, Duration)> for Levels {
    fn from_iter<I>(levels: I) -> Self
    where
        I: IntoIterator<Item = (u8, Duration)>,
    {
        Self(levels.into_iter().collect())
    }
}
