//! The operators' rules that are in force: routes, services, accounts and limits.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::admission::Levels;
use crate::engine::CostModel;
use crate::residency::Regions;

/// Whether and how a route's requests may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of numbered events.
    Streaming {
        /// Whether another target may resume after the last event that was passed on.
        resumable: bool,
        /// The longest pause between events with which an answer counts as on time.
        gap_target: Duration,
    },
}

impl RouteKind {
    /// Whether a request that may have run already may be sent again.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Streaming { resumable, .. } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// How requests for one host and path prefix are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host name in requests.
    pub host: Arc<str>,
    /// The path prefix.
    pub prefix: Arc<str>,
    /// Whether and how requests may be retried.
    pub kind: RouteKind,
    /// The maximum time until the whole answer.
    pub timeout: Duration,
    /// The latency target: the time within which an answer counts as on time.
    pub latency_target: Duration,
    /// The priority; 0 goes first.
    pub priority: u8,
    /// The services that its requests are shared among.
    pub shares: Vec<Share>,
    /// The maximum number of targets that one request may be sent to.
    pub attempts: u32,
    /// Whether requests need no account key.
    pub keyless: bool,
    /// The regions that may serve it.
    pub regions: Regions,
}

/// Where the weights of models come from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// The origin's address.
    pub address: SocketAddr,
    /// Its data centre; empty if that isn't configured.
    pub centre: Arc<str>,
    /// How long its link takes for one piece; zero if that isn't configured.
    pub piece_time: Duration,
}

/// A group of interchangeable targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// Requests per second that a cold target can take; none if unlimited.
    pub cold_rate: Option<f64>,
    /// The cost model of its engines; none for a plain service.
    pub engine: Option<CostModel>,
    /// The models that its engines serve.
    pub models: Vec<Arc<str>>,
    /// The number of pieces of each version of their weights; none if that isn't configured.
    pub pieces: Option<usize>,
}

/// Limits on the size and duration of what a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InputLimits {
    /// The maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum time to receive a head or a body.
    pub head_time: Duration,
    /// The maximum time for which a connection may stay idle.
    pub idle_time: Duration,
}

/// The customer on whose behalf a request is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// The account's name.
    pub name: Arc<str>,
    /// A priority that overrides the route's.
    pub priority: Option<u8>,
    /// The regions that may serve it.
    pub regions: Regions,
}

/// The parts from which [`Rules`] are built.
#[derive(Debug, Clone)]
pub struct RulesParts {
    /// The version, which only increases.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The origin of weights, if there is one.
    pub origin: Option<Origin>,
    /// Limits on what callers send.
    pub limits: InputLimits,
    /// Whether requests need account keys, except on keyless routes.
    pub needs_keys: bool,
    /// The accounts, each with its keys.
    pub accounts: Vec<(Account, Vec<Arc<str>>)>,
}

/// The operators' rules, indexed for lookups.
#[derive(Debug, Clone)]
pub struct Rules {
    version: u64,
    /// By host name, the longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: BTreeMap<Arc<str>, Arc<Service>>,
    origin: Option<Origin>,
    limits: InputLimits,
    needs_keys: bool,
    accounts: HashMap<Arc<str>, Arc<Account>>,
}

impl From<RulesParts> for Rules {
    fn from(parts: RulesParts) -> Self {
        let mut routes: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in parts.routes {
            routes
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for list in routes.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = parts.services.into_iter();
        let mut accounts = HashMap::new();
        for (account, keys) in parts.accounts {
            let account = Arc::new(account);
            for key in keys {
                accounts.insert(key, account.clone());
            }
        }
        Self {
            version: parts.version,
            routes,
            services: services
                .map(|service| (service.name.clone(), Arc::new(service)))
                .collect(),
            origin: parts.origin,
            limits: parts.limits,
            needs_keys: parts.needs_keys,
            accounts,
        }
    }
}

impl Rules {
    /// The version, which only increases.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on what callers send.
    pub fn limits(&self) -> InputLimits {
        self.limits
    }

    /// The origin of weights.
    pub fn origin(&self) -> Option<&Origin> {
        self.origin.as_ref()
    }

    /// The route whose prefix is the longest one that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_ref()))
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The levels of urgency of the requests for this service.
    pub fn levels(&self, service: &str) -> Levels {
        let routes = self.routes.values().flatten();
        Levels::of(routes, self.accounts.values(), service)
    }

    /// The number of pieces of each version of the model's weights, if that is configured.
    pub fn pieces(&self, model: &str) -> Option<usize> {
        let serves = |service: &&Arc<Service>| {
            let mut models = service.models.iter();
            models.any(|served| served.as_ref() == model)
        };
        self.services().find(serves)?.pieces
    }

    /// Whether a request on `route` needs an account.
    pub fn needs_account(&self, route: &Route) -> bool {
        self.needs_keys && !route.keyless
    }

    /// The regions that may serve a request: those of its route and of the account that its key
    /// belongs to. A route or key that isn't known restricts nothing.
    pub(crate) fn regions(&self, host: &str, path: &str, key: Option<&str>) -> Regions {
        let account = key.and_then(|key| self.account(key));
        let of_account = account.map_or(&Regions::Any, |account| &account.regions);
        let route = self.route(host, path);
        let of_route = route.map_or(&Regions::Any, |route| &route.regions);
        of_route.intersection(of_account)
    }

    /// The account that `key` belongs to.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.get(key)
    }
}

impl Route {
    /// The service for a request by weight, where `draw` is a random number from 0 to 1.
    pub fn choose_service(&self, draw: f64) -> Option<&Arc<str>> {
        let weights = self.shares.iter().map(|share| f64::from(share.weight));
        let mut remaining = draw * weights.sum::<f64>();
        for share in &self.shares {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        let last = self.shares.iter().rfind(|share| share.weight > 0);
        last.map(|share| &share.service)
    }
}
