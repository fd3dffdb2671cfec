//! Which regions a request may reach.
//!
//! A request may be sent more than once, and the operators may change its route or account in
//! between. So the regions are decided by the rules that admitted it, and narrowed by those that
//! are in force at each later attempt.

use std::sync::Arc;

use derive_more::Display;

use crate::rules::Rules;

/// A set of regions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Display)]
pub enum Regions {
    /// All regions, also those of data centres whose region isn't known.
    #[default]
    #[display("any")]
    Any,
    /// These regions only; none at all if there are none.
    #[display("{}", joined(_0))]
    Only(Arc<[Arc<str>]>),
}

impl From<Vec<Arc<str>>> for Regions {
    /// The regions in the operators' list, where an empty one restricts nothing.
    fn from(listed: Vec<Arc<str>>) -> Self {
        if listed.is_empty() {
            Self::Any
        } else {
            Self::Only(listed.into())
        }
    }
}

impl Regions {
    /// The regions that are in both sets.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, regions) | (regions, Self::Any) => regions.clone(),
            (Self::Only(one), Self::Only(other)) => {
                let common = one.iter().filter(|region| other.contains(region));
                Self::Only(common.cloned().collect())
            }
        }
    }

    /// Whether the region is in the set; an unknown one is only if all are.
    pub fn contains(&self, region: Option<&Arc<str>>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }
}

fn joined(regions: &[Arc<str>]) -> String {
    let names: Vec<&str> = regions.iter().map(AsRef::as_ref).collect();
    names.join(",")
}

/// The regions that may serve one request, with what they follow from.
#[derive(Debug, Clone)]
pub struct Residency {
    host: Arc<str>,
    path: Arc<str>,
    key: Option<Arc<str>>,
    rules: Arc<Rules>,
    regions: Regions,
}

impl Residency {
    /// The regions of a request that is admitted by `rules`.
    pub fn new(rules: Arc<Rules>, host: &str, path: &str, key: Option<Arc<str>>) -> Self {
        Self {
            host: host.into(),
            path: path.into(),
            regions: rules.regions(host, path, key.as_deref()),
            key,
            rules,
        }
    }

    /// The regions that may serve the request while `rules` are in force.
    pub fn regions(&self, rules: &Arc<Rules>) -> Regions {
        if Arc::ptr_eq(&self.rules, rules) {
            return self.regions.clone();
        }
        let current = rules.regions(&self.host, &self.path, self.key.as_deref());
        self.regions.intersection(&current)
    }

    /// The regions by the rules that admitted the request.
    pub fn admitted(&self) -> &Regions {
        &self.regions
    }

    /// The version of the rules that admitted the request.
    pub fn version(&self) -> u64 {
        self.rules.version()
    }
}
