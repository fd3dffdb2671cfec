//! Which version of which model the engine is to have.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{NamedVersion, Origin, Rules, next_version};
use azurestand_store::{Change, Entry, Version};
use azurestand_types::Moment;
use tokio::sync::watch;
use tokio::time::sleep;

use super::Around;
use crate::clock::BootClock;
use crate::edge::{OperatorItem, Platform};
use crate::feed::{FeedNews, Pace, follow};
use crate::log::LogEvent;

/// How the operators' changes are asked for.
const PACE: Pace = Pace {
    wait: Duration::from_secs(5),
    gather: Duration::from_millis(20),
};

/// How often the configuration is read.
const RULES_EVERY: Duration = Duration::from_secs(20);
/// The pause after it could not be read.
const RULES_RETRY: Duration = Duration::from_millis(400);

/// How long the engine's weights are taken to be of use still, where a fresh agent finds
/// a newer version.
const FOUND_TIME: Duration = Duration::from_millis(3_500);

/// What the operators want of one engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Goal {
    /// The model that the engine serves.
    pub(super) model: Option<Arc<str>>,
    /// The versions that were named, in ascending order.
    pub(super) named: Vec<NamedVersion>,
    /// The layers of the model.
    pub(super) layers: u32,
    /// Where weights come from.
    pub(super) origin: Option<Origin>,
    /// The store's version, which only grows.
    pub(super) store_version: u64,
}

/// The present goal, for whoever waits for another one.
#[derive(Debug)]
pub(super) struct Goals(watch::Sender<Goal>);

impl Goal {
    /// The version to load next at an engine that holds `held`.
    pub(super) fn next(&self, held: u64, bound: Duration) -> Option<u64> {
        next_version(BootClock.now(), &self.named, held, bound)
    }

    /// The newest version that was named.
    pub(super) fn newest(&self) -> Option<u64> {
        self.named.last().map(|named| named.version)
    }
}

impl Default for Goals {
    fn default() -> Self {
        Self(watch::Sender::new(Goal::default()))
    }
}

impl Goals {
    pub(super) fn now(&self) -> Goal {
        self.0.borrow().clone()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Goal> {
        self.0.subscribe()
    }
}

/// What is known of the operators' values.
#[derive(Debug, Default)]
pub(super) struct Known {
    rules: Option<Rules>,
    versions: BTreeMap<Arc<str>, Vec<NamedVersion>>,
    /// The store's version of it.
    version: Version,
}

/// Follows which weights the operators name, for ever.
pub(super) async fn follow_weights<P>(around: Arc<Around<P>>)
where
    P: Platform,
{
    let mut lost = false;
    let mut is_first = true;
    let scope = around.platform.weights_scope();
    let platform = around.platform.clone();
    follow(platform.as_ref(), around.peers(), scope, PACE, |news| {
        let entries: Vec<Entry>;
        let store_version;
        let named_at;
        match news {
            FeedNews::Whole { listing, made, .. } => {
                store_version = listing.version;
                named_at = made;
                entries = listing.entries;
            }
            FeedNews::Changed {
                changes,
                version,
                made,
                ..
            } => {
                store_version = version;
                named_at = made;
                let puts = changes.into_iter().filter_map(|change| match change {
                    Change::Put(entry) => Some(entry),
                    Change::Deleted { .. } => None,
                });
                entries = puts.collect();
            }
            FeedNews::Failed(error) => {
                if !lost {
                    LogEvent::StoreLost.log(&[("why", error.to_string().into())]);
                }
                lost = true;
                is_first = false;
                return;
            }
        }
        let found_at = is_first.then(|| found_at(around.settings.bounds.now().version));
        is_first = false;
        if lost {
            LogEvent::StoreBack.log(&[]);
            lost = false;
        }
        let mut known = around.known();
        for entry in &entries {
            take(&around, &mut known, entry, named_at, found_at);
        }
        known.version = known.version.max(store_version);
        tell(&around, &known);
    })
    .await;
}

/// Since when a version counts as named that a fresh agent finds: it was named some time
/// ago, and entries may hardly send to an older one any more. After an outage of the
/// store the bound begins anew.
fn found_at(bound: Duration) -> Moment {
    BootClock.now() - bound.saturating_sub(FOUND_TIME)
}

/// Reads the configuration now and then, for ever. What an agent needs of it, its
/// engine's figures and where weights come from, hardly ever changes.
pub(super) async fn read_rules<P>(around: Arc<Around<P>>)
where
    P: Platform,
{
    let scope = around.platform.rules_scope();
    loop {
        let pause = match around.list(&scope).await {
            Ok(entries) => {
                let mut known = around.known();
                for entry in &entries {
                    take(&around, &mut known, entry, None, None);
                }
                tell(&around, &known);
                RULES_EVERY.mul_f64(0.5 + fastrand::f64())
            }
            Err(error) => {
                LogEvent::StoreLost.log(&[("why", error.to_string().into())]);
                RULES_RETRY
            }
        };
        sleep(pause).await;
    }
}

/// Takes a value in; a version of an unknown time counts as named at `found_at`, or now.
fn take<P>(
    around: &Around<P>,
    known: &mut Known,
    entry: &Entry,
    named_at: Option<Moment>,
    found_at: Option<Moment>,
) where
    P: Platform,
{
    match around.platform.read_operator(&entry.key, &entry.value) {
        Ok(OperatorItem::Rules(parts)) => {
            let rules = Rules::from(*parts);
            let newer = |old: &Rules| old.version() < rules.version();
            if known.rules.as_ref().is_none_or(newer) {
                known.rules = Some(rules);
            }
        }
        Ok(OperatorItem::Weights { model, version }) => {
            let named = known.versions.entry(model.clone()).or_default();
            if named.last().is_none_or(|newest| newest.version < version) {
                LogEvent::WeightsNamed.log(&[
                    ("model", model.as_ref().into()),
                    ("version", version.into()),
                ]);
                let found_at = found_at.unwrap_or_else(|| BootClock.now());
                let since = named_at.unwrap_or(found_at);
                named.push(NamedVersion { version, since });
                around.pulse.set_named(&model, version, named_at);
            }
        }
        Ok(OperatorItem::Excluded(_) | OperatorItem::Other) => {}
        Err(error) => LogEvent::ConfigRefused.log(&[
            ("key", entry.key.as_str().into()),
            ("why", error.to_string().into()),
        ]),
    }
}

fn tell<P>(around: &Around<P>, known: &Known) {
    let rules = known.rules.as_ref();
    let service = rules.and_then(|rules| rules.service(&around.site.service));
    let model = service.and_then(|service| service.models.first().cloned());
    let named = model.as_ref().and_then(|model| known.versions.get(model));
    let origin = rules.and_then(Rules::origin);
    let engine = service.and_then(|service| service.engine);
    let goal = Goal {
        named: named.cloned().unwrap_or_default(),
        origin: origin.cloned(),
        layers: engine.map_or(0, |engine| engine.layers),
        store_version: known.version.0,
        model,
    };
    around.goals.0.send_if_modified(|old| {
        let changed = *old != goal;
        *old = goal;
        changed
    });
}
