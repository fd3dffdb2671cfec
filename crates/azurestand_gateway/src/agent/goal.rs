//! The model and versions that the engine should load.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{NamedVersion, Origin, Rules, next_version};
use azurestand_store::{Change, Entry, Position};
use azurestand_types::Moment;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::Shared;
use crate::clock::BootClock;
use crate::feed::{ChangeTime, FeedUpdate, Pace, follow};
use crate::log::{LogEvent, millis};
use crate::platform::{OperatorItem, Platform};

/// The pace of calls for changes of the operators' values.
const PACE: Pace = Pace {
    wait: Duration::from_secs(5),
    batch_pause: Duration::from_millis(20),
    max_proof_age: Duration::MAX,
};

/// The mean interval between reads of the configuration.
const RULES_INTERVAL: Duration = Duration::from_secs(20);
/// The pause after a read of the configuration that failed or found none.
const RULES_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// How long an agent without a configuration waits for entries, which subscribe to its
/// reports once they have one, before it reads the store.
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(3);
/// How often it looks for such entries.
const ENTRIES_INTERVAL: Duration = Duration::from_millis(100);

/// How long the engine's weights are assumed to remain usable when an agent that has just
/// started finds a newer version.
const FOUND_GRACE: Duration = Duration::from_millis(3_500);

/// What one engine should load.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Goal {
    /// The model that the engine serves.
    pub(super) model: Option<Arc<str>>,
    /// The versions that the operators named, in ascending order.
    pub(super) named: Vec<NamedVersion>,
    /// The number of layers of the model.
    pub(super) layers: u32,
    /// The number of pieces of each version; none if that isn't configured.
    pub(super) pieces: Option<usize>,
    /// The origin of the weights.
    pub(super) origin: Option<Origin>,
    /// A number that grows with the store's history, also when its versions go back.
    pub(super) fence: u64,
}

/// The current goal and the notification of its changes.
#[derive(Debug)]
pub(super) struct Goals(watch::Sender<Goal>);

impl Goal {
    /// The version that an engine with version `held` should load next.
    pub(super) fn next(&self, held: u64, bound: Duration) -> Option<u64> {
        next_version(BootClock.now(), &self.named, held, bound)
    }

    /// Whether weights can't be loaded since it isn't known how many pieces they have.
    fn lacks_pieces(&self) -> bool {
        self.model.is_some() && self.origin.is_some() && self.pieces.is_none()
    }

    /// The newest named version.
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
    pub(super) fn current(&self) -> Goal {
        self.0.borrow().clone()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Goal> {
        self.0.subscribe()
    }
}

/// The operators' values read so far.
#[derive(Debug, Default)]
pub(super) struct OperatorValues {
    rules: Option<Rules>,
    versions: BTreeMap<Arc<str>, Vec<NamedVersion>>,
    /// The store's position up to which updates were applied.
    position: Position,
}

/// Follows the versions of weights that the operators name. Never returns.
pub(super) async fn follow_weights<P>(shared: Arc<Shared<P>>)
where
    P: Platform,
{
    let mut lost = false;
    let scope = shared.platform.weights_scope();
    let platform = shared.platform.clone();
    follow(platform.as_ref(), shared.peers(), scope, PACE, |update| {
        let entries: Vec<Entry>;
        let store_position;
        let made_at;
        match update {
            FeedUpdate::Snapshot {
                snapshot, changed, ..
            } => {
                store_position = snapshot.position;
                made_at = changed;
                entries = snapshot.entries;
            }
            FeedUpdate::Changed {
                changes,
                position,
                changed,
                ..
            } => {
                store_position = position;
                made_at = changed;
                let puts = changes.into_iter().filter_map(|change| match change {
                    Change::Put(entry) => Some(entry),
                    Change::Deleted { .. } => None,
                });
                entries = puts.collect();
            }
            FeedUpdate::Failed(_) | FeedUpdate::RelayTimedOut => {
                if let Some(why) = update.failure().filter(|_| !lost) {
                    LogEvent::StoreLost.log(&[("why", why.into())]);
                }
                lost = true;
                return;
            }
        }
        if lost {
            LogEvent::StoreBack.log(&[]);
            lost = false;
        }
        let mut values = shared.values();
        for entry in &entries {
            apply(&shared, &mut values, entry, made_at);
        }
        values.position = values.position.max(store_position);
        publish(&shared, &values);
    })
    .await;
}

/// When a version is assumed to have been named that an agent finds on its start: it was
/// named some time ago, so entries may use an older one only for a short time. After an
/// outage of the store the bound on old versions starts again.
fn assumed_naming(bound: Duration) -> Moment {
    BootClock.now() - bound.saturating_sub(FOUND_GRACE)
}

/// Reads the configuration periodically and never returns. It is polled because what an
/// agent uses, its engine's parameters and the origin of weights, rarely changes.
pub(super) async fn read_rules<P>(shared: Arc<Shared<P>>)
where
    P: Platform,
{
    let scope = shared.platform.rules_scope();
    loop {
        let pause = match shared.list(&scope).await {
            Ok(entries) => {
                let mut values = shared.values();
                for entry in &entries {
                    apply(&shared, &mut values, entry, ChangeTime::AtStart);
                }
                publish(&shared, &values);
                if values.rules.is_some() {
                    RULES_INTERVAL.mul_f64(0.5 + fastrand::f64())
                } else {
                    RULES_RETRY_PAUSE
                }
            }
            Err(error) => {
                LogEvent::StoreLost.log(&[("why", error.to_string().into())]);
                RULES_RETRY_PAUSE
            }
        };
        sleep(pause).await;
        if shared.values().rules.is_none() {
            let entries = until_subscribed(&shared);
            // Without entries, the store may have the configuration.
            let _ = timeout(ENTRIES_TIMEOUT, entries).await;
        }
    }
}

/// Completes when an entry of this data centre subscribes to the agent's reports.
async fn until_subscribed<P>(shared: &Arc<Shared<P>>)
where
    P: Platform,
{
    while shared.local_entries().is_empty() {
        sleep(ENTRIES_INTERVAL).await;
    }
}

/// Applies a value that was written at `changed`. After an outage of the store a version
/// counts as named now.
fn apply<P>(shared: &Shared<P>, values: &mut OperatorValues, entry: &Entry, changed: ChangeTime)
where
    P: Platform,
{
    match shared.platform.read_operator(&entry.key, &entry.value) {
        Ok(OperatorItem::Rules(parts)) => {
            let rules = Rules::from(*parts);
            let newer = |old: &Rules| old.version() < rules.version();
            if values.rules.as_ref().is_none_or(newer) {
                values.rules = Some(rules);
            }
        }
        Ok(OperatorItem::Weights { model, version }) => {
            let named = values.versions.entry(model.clone()).or_default();
            if named.last().is_none_or(|newest| newest.version < version) {
                let now = BootClock.now();
                let since = match changed {
                    ChangeTime::Known(at) | ChangeTime::NotBefore(at) => at,
                    ChangeTime::AtStart => assumed_naming(shared.settings.bounds.now().version),
                    ChangeTime::AfterOutage => now,
                };
                LogEvent::WeightsNamed.log(&[
                    ("model", model.as_ref().into()),
                    ("version", version.into()),
                    ("age_ms", millis(now.since(since))),
                    ("source", changed.to_string().into()),
                ]);
                named.push(NamedVersion { version, since });
                shared.status.add_named(&model, version, changed.known());
            }
        }
        Ok(OperatorItem::Excluded(_) | OperatorItem::Other) => {}
        Err(error) => LogEvent::ConfigRefused.log(&[
            ("key", entry.key.as_str().into()),
            ("why", error.to_string().into()),
        ]),
    }
}

/// Recomputes the goal and notifies the agent's tasks if it changed.
fn publish<P>(shared: &Shared<P>, values: &OperatorValues) {
    let rules = values.rules.as_ref();
    let service = rules.and_then(|rules| rules.service(&shared.engine.service));
    let model = service.and_then(|service| service.models.first().cloned());
    let named = model.as_ref().and_then(|model| values.versions.get(model));
    let origin = rules.and_then(Rules::origin);
    let engine = service.and_then(|service| service.engine);
    let goal = Goal {
        named: named.cloned().unwrap_or_default(),
        origin: origin.cloned(),
        layers: engine.map_or(0, |engine| engine.layers),
        pieces: service.and_then(|service| service.pieces),
        fence: values.position.fencing_number(),
        model,
    };
    shared.goals.0.send_if_modified(|old| {
        let changed = *old != goal;
        if changed && goal.lacks_pieces() && !old.lacks_pieces() {
            log_no_pieces(&goal);
        }
        *old = goal;
        changed
    });
}

fn log_no_pieces(goal: &Goal) {
    LogEvent::ConfigRefused.log(&[
        ("model", goal.model.as_deref().into()),
        (
            "why",
            "the number of pieces of its weights isn't configured, so none are loaded".into(),
        ),
    ]);
}
