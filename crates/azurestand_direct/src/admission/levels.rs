//! The levels of urgency that compete for one service's engines.

use std::sync::Arc;
use std::time::Duration;

use crate::rules::{Account, Route};

/// How urgent a request is by the operators' priorities; the smallest goes first.
///
/// An account's priority goes before its route's, which decides between accounts of the same
/// priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// The account's priority; the route's where the account has none.
    pub account: u8,
    /// The route's priority.
    pub route: u8,
}

impl Urgency {
    /// The urgency of a request on `route` for `account`.
    pub fn new(route: &Route, account: Option<&Account>) -> Self {
        let of_account = account.and_then(|account| account.priority);
        Self {
            account: of_account.unwrap_or(route.priority),
            route: route.priority,
        }
    }
}

/// One level: an urgency and the shortest latency target of its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Level {
    urgency: Urgency,
    latency_target: Duration,
}

/// The levels of urgency of the requests for one service, the most urgent first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Levels(Vec<Level>);

impl Levels {
    /// The levels of the requests that `accounts` may send on the routes to `service`; none if
    /// all of its routes have the same priority.
    pub(crate) fn of<'a, R, A>(routes: R, accounts: A, service: &str) -> Self
    where
        R: Iterator<Item = &'a Arc<Route>>,
        A: Iterator<Item = &'a Arc<Account>>,
    {
        let leads_there = |route: &&Arc<Route>| {
            let mut shares = route.shares.iter();
            shares.any(|share| share.weight > 0 && share.service.as_ref() == service)
        };
        let routes: Vec<&Arc<Route>> = routes.filter(leads_there).collect();
        let priorities = || routes.iter().map(|route| route.priority);
        if priorities().min() == priorities().max() {
            return Self::default();
        }
        let accounts: Vec<&Arc<Account>> = accounts.collect();
        let pairs = routes.iter().flat_map(|route| {
            let of_accounts = accounts.iter().map(|account| Some(account.as_ref()));
            let all = of_accounts.chain([None]);
            all.map(|account| (Urgency::new(route, account), route.latency_target))
        });
        pairs.collect()
    }

    /// Whether there are several levels.
    pub(crate) fn compete(&self) -> bool {
        self.0.len() > 1
    }

    /// The number of levels.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// The level of a request: the number of those that are more urgent.
    pub(crate) fn level(&self, urgency: Urgency) -> u8 {
        let above = self.0.partition_point(|level| level.urgency < urgency);
        u8::try_from(above).unwrap_or(u8::MAX)
    }

    /// The shortest latency target of the levels that are more urgent than this one.
    pub(crate) fn shortest_above(&self, level: u8) -> Option<Duration> {
        let above = self.0.iter().take(usize::from(level));
        above.map(|level| level.latency_target).min()
    }
}

impl FromIterator<(Urgency, Duration)> for Levels {
    fn from_iter<I>(requests: I) -> Self
    where
        I: IntoIterator<Item = (Urgency, Duration)>,
    {
        let mut levels: Vec<Level> = Vec::new();
        for (urgency, latency_target) in requests {
            let at = levels.partition_point(|level| level.urgency < urgency);
            match levels.get_mut(at) {
                Some(known) if known.urgency == urgency => {
                    known.latency_target = known.latency_target.min(latency_target);
                }
                _ => levels.insert(
                    at,
                    Level {
                        urgency,
                        latency_target,
                    },
                ),
            }
        }
        Self(levels)
    }
}
