//! Applies updates from the store: the operators' values and the list of targets.

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{Naming, Rules};
use azurestand_store::{Change, Entry, Era, Key, Position, Scope, Snapshot};
use azurestand_types::Moment;
use tokio::time::{Instant, sleep};

use super::shared::{Shared, State};
use crate::clock::BootClock;
use crate::feed::{ChangeTime, FeedUpdate, Pace, follow};
use crate::log::{LogEvent, millis};
use crate::platform::{OperatorItem, Platform};
use crate::relay::Peers;
use crate::supervise::restart_on_panic;

/// The pace of the calls for changes. One watch covers the operators' values and the list of
/// targets; its wait bounds the age of the proof that keys are still valid.
const PACE: Pace = Pace {
    wait: Duration::from_millis(1_400),
    batch_pause: Duration::from_millis(300),
    max_proof_age: Duration::from_millis(1_450),
};
/// How long to wait for an agent to report which entries exist.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval of the check for vanished targets that have expired.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(250);

/// Starts the tasks that follow the store and expire vanished targets.
pub(crate) fn start<P>(shared: &Arc<Shared<P>>)
where
    P: Platform,
{
    let follower = shared.clone();
    tokio::spawn(restart_on_panic("follow the store", move || {
        follow_store(follower.clone())
    }));
    let shared = shared.clone();
    tokio::spawn(restart_on_panic("expire targets", move || {
        expire(shared.clone())
    }));
}

/// Follows the store and applies its updates. Never returns.
async fn follow_store<P>(follower: Arc<Shared<P>>)
where
    P: Platform,
{
    let platform = follower.platform.clone();
    let mut store_lost = false;
    let mut position = None;
    let known = follower.clone();
    let settings = &follower.settings;
    let peers = Peers::new(
        follower.client.clone(),
        settings.centre.clone(),
        Some(settings.ip),
        settings.piece_port(),
        move || known.local_entries(),
    );
    follow(platform.as_ref(), peers, Scope::All, PACE, |update| {
        log_store_state(&update, &mut store_lost);
        log_restart(&update, &mut position);
        follower.relay.record(&update);
        apply(&follower, update);
    })
    .await;
}

fn log_store_state(update: &FeedUpdate, store_lost: &mut bool) {
    match update.failure() {
        Some(why) if !*store_lost => {
            *store_lost = true;
            LogEvent::StoreLost.log(&[("why", why.into())]);
        }
        None if *store_lost => {
            *store_lost = false;
            LogEvent::StoreBack.log(&[]);
        }
        Some(_) | None => {}
    }
}

/// Logs if the store came back from an older copy since the last update, at `known`.
fn log_restart(update: &FeedUpdate, known: &mut Option<Position>) {
    let Some(found) = update.position() else {
        return;
    };
    let previous = known.replace(found);
    let Some(previous) = previous.filter(|previous| !previous.continues_to(found)) else {
        return;
    };
    LogEvent::StoreRestarted.log(&[
        ("previous", previous.to_string().into()),
        ("found", found.to_string().into()),
    ]);
}

fn apply<P>(shared: &Shared<P>, update: FeedUpdate)
where
    P: Platform,
{
    let now = BootClock.now();
    let mut state = shared.state();
    match update {
        FeedUpdate::Snapshot {
            snapshot,
            called_at,
            changed,
            restarted,
            ..
        } => {
            state.directory.record_read(now);
            if restarted {
                state.directory.record_restart(now);
                state.freshness.record_restart(now);
            }
            let listing = UpdateListing {
                snapshot: &snapshot,
                changed,
                restarted,
            };
            apply_listing(shared, &mut state, now, &listing);
            state.freshness.record_proof(called_at);
        }
        FeedUpdate::Changed {
            changes,
            position,
            called_at,
            changed,
            ..
        } => {
            state.directory.record_read(now);
            let read = Read {
                now,
                changed,
                era: position.era,
            };
            apply_changes(shared, &mut state, read, &changes);
            state.freshness.record_proof(called_at);
        }
        FeedUpdate::Failed(_) => state.directory.record_read_failure(),
        // The store may be well, and then a target that vanishes is gone.
        FeedUpdate::RelayTimedOut => {}
    }
}

/// All values of the store, as an update returned them.
struct UpdateListing<'a> {
    snapshot: &'a Snapshot,
    /// When the changes among them were made.
    changed: ChangeTime,
    /// Whether they come from an older copy of the store.
    restarted: bool,
}

/// When and where values were read.
#[derive(Debug, Clone, Copy)]
struct Read {
    now: Moment,
    /// When the values were written.
    changed: ChangeTime,
    /// The store's era.
    era: Era,
}

fn apply_listing<P>(shared: &Shared<P>, state: &mut State, now: Moment, listing: &UpdateListing<'_>)
where
    P: Platform,
{
    let changed = if state.rules.is_none() {
        let before = shared.named_before_start(now, listing.changed);
        state.named_before = Some(before);
        ChangeTime::NotBefore(before)
    } else {
        listing.changed
    };
    let entries = &listing.snapshot.entries;
    let read = Read {
        now,
        changed,
        era: listing.snapshot.position.era,
    };
    let operator_scope = shared.platform.operator_scope();
    let target_scope = shared.platform.target_scope();
    let excluded = entries
        .iter()
        .filter_map(|entry| shared.platform.excluded_centre(&entry.key));
    let excluded = excluded.collect();
    if listing.restarted {
        state.exclusions.replace_restarted(now, excluded);
    } else {
        state.exclusions.replace(excluded);
    }
    for entry in entries
        .iter()
        .filter(|entry| operator_scope.covers(&entry.key))
    {
        apply_item(shared, state, read, entry);
    }
    let targets = entries
        .iter()
        .filter(|entry| target_scope.covers(&entry.key));
    let targets = targets.filter_map(|entry| read_target(shared, entry));
    let targets = targets.collect();
    state.directory.replace(now, targets);
    state.targets_read = true;
    refresh(shared, state, now);
}

fn apply_changes<P>(shared: &Shared<P>, state: &mut State, read: Read, changes: &[Change])
where
    P: Platform,
{
    let operator_scope = shared.platform.operator_scope();
    let target_scope = shared.platform.target_scope();
    for change in changes {
        match change {
            change if target_scope.covers(change.key()) => {
                apply_target(shared, state, read.now, change);
            }
            Change::Put(entry) if operator_scope.covers(&entry.key) => {
                apply_item(shared, state, read, entry);
            }
            Change::Deleted { key, .. } => include_centre(shared, state, key),
            Change::Put(_) => {}
        }
    }
    if !changes.is_empty() {
        refresh(shared, state, read.now);
    }
}

fn include_centre<P>(shared: &Shared<P>, state: &mut State, key: &Key)
where
    P: Platform,
{
    if let Some(centre) = shared.platform.excluded_centre(key) {
        LogEvent::CentreIncluded.log(&[("centre", centre.as_ref().into())]);
        state.exclusions.include(&centre);
    }
}

fn apply_item<P>(shared: &Shared<P>, state: &mut State, read: Read, entry: &Entry)
where
    P: Platform,
{
    let Read { now, changed, era } = read;
    let position = Position::new(era, entry.version);
    let proof = state.freshness.proved_at();
    let proof_age = proof.map(|proof| now.since(proof));
    match shared.platform.read_operator(&entry.key, &entry.value) {
        Ok(OperatorItem::Rules(parts)) => adopt_rules(state, Rules::from(*parts), position),
        Ok(OperatorItem::Excluded(centre)) => {
            LogEvent::CentreExcluded.log(&[
                ("centre", centre.as_ref().into()),
                ("position", position.to_string().into()),
            ]);
            state.exclusions.exclude(centre);
        }
        Ok(OperatorItem::Weights { model, version }) => {
            let versions = state.versions.entry(model.clone()).or_default();
            let is_newer = match changed {
                ChangeTime::Known(at) => versions.record_observed(version, at),
                ChangeTime::NotBefore(at) => versions.record_assumed(version, at),
                ChangeTime::AtStart => {
                    let since = shared.named_before_start(now, changed);
                    versions.record_assumed(version, since)
                }
                ChangeTime::AfterOutage => versions.record_recovered(version, now),
            };
            let naming = versions.get(version).copied().filter(|_| is_newer);
            if let Some(naming) = naming {
                log_naming(&model, &naming, proof_age);
                if !matches!(changed, ChangeTime::AtStart) {
                    shared.announce_weights(&model, version);
                }
            }
        }
        Ok(OperatorItem::Other) => {}
        Err(error) => LogEvent::ConfigRefused.log(&[
            ("key", entry.key.as_str().into()),
            ("why", error.to_string().into()),
        ]),
    }
}

/// Logs a newly named version; `proof_age` is the age of the last update before this one.
fn log_naming(model: &str, naming: &Naming, proof_age: Option<Duration>) {
    let age = BootClock.now().since(naming.named.since);
    LogEvent::WeightsNamed.log(&[
        ("model", model.into()),
        ("version", naming.named.version.into()),
        ("age_ms", millis(age)),
        ("source", naming.source.to_string().into()),
        ("proof_age_ms", proof_age.map(millis).into()),
    ]);
}

/// Puts a configuration in force unless its version is not newer; versions only increase
/// within a process. One that the operators wrote again after the store had lost it may
/// differ under the same version.
fn adopt_rules(state: &mut State, rules: Rules, position: Position) {
    let known = state.rules.as_ref().map(|rules| rules.version());
    let is_rewritten = position.era > state.rules_position.era;
    let is_older = |known| known > rules.version() || known == rules.version() && !is_rewritten;
    if known.is_some_and(is_older) {
        return;
    }
    LogEvent::ConfigAdopted.log(&[
        ("version", rules.version().into()),
        ("position", position.to_string().into()),
    ]);
    state.rules_position = position;
    state.rules = Some(Arc::new(rules));
}

fn apply_target<P>(shared: &Shared<P>, state: &mut State, now: Moment, change: &Change)
where
    P: Platform,
{
    match change {
        Change::Put(entry) => {
            if let Some(target) = read_target(shared, entry) {
                LogEvent::TargetSeen.log(&[
                    ("target", target.id.as_ref().into()),
                    ("state", format!("{:?}", target.state).into()),
                    ("cold_ms", millis(target.cold)),
                ]);
                state.directory.put(now, target);
            } else {
                let name = shared.platform.target_name(&entry.key);
                state.directory.remove(now, &name);
            }
        }
        Change::Deleted { key, .. } => {
            let name = shared.platform.target_name(key);
            LogEvent::TargetGone.log(&[("target", name.as_ref().into())]);
            state.directory.remove(now, &name);
        }
    }
}

fn read_target<P>(shared: &Shared<P>, entry: &Entry) -> Option<azurestand_direct::Target>
where
    P: Platform,
{
    match shared.platform.read_target(&entry.key, &entry.value) {
        Ok(target) => Some(target),
        Err(error) => {
            LogEvent::TargetUnreadable.log(&[
                ("key", entry.key.as_str().into()),
                ("why", error.to_string().into()),
            ]);
            None
        }
    }
}

/// Updates the placement with the list of targets and closes connections to removed targets.
fn refresh<P>(shared: &Shared<P>, state: &mut State, now: Moment) {
    let State {
        placement,
        directory,
        exclusions,
        ..
    } = state;
    placement.set_excluded(exclusions.centres());
    placement.set_targets(now, directory);
    state.wake_queues();
    let known: Vec<_> = state
        .directory
        .targets()
        .map(|target| target.address)
        .collect();
    shared
        .client
        .close_idle(|address, incarnation| !incarnation.is_empty() && !known.contains(address));
}

async fn expire<P>(shared: Arc<Shared<P>>)
where
    P: Platform,
{
    let started = Instant::now();
    loop {
        sleep(EXPIRE_INTERVAL).await;
        if started.elapsed() >= DISCOVERY_TIMEOUT {
            shared.assume_entries();
        }
        let now = BootClock.now();
        let mut state = shared.state();
        let changed = state.directory.expire(now);
        let included = state.exclusions.expire(now);
        for centre in &included {
            LogEvent::CentreIncluded.log(&[
                ("centre", centre.as_ref().into()),
                ("why", "the store came back without its mark".into()),
            ]);
        }
        if !changed.is_empty() || !included.is_empty() {
            refresh(&shared, &mut state, now);
        }
    }
}
