//! Takes in what the store tells: the operators' values and the list of targets.

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::Rules;
use azurestand_store::{Change, Entry, Key, Scope};
use azurestand_types::Moment;
use tokio::time::{Instant, sleep};

use super::shared::{Shared, State};
use crate::clock::BootClock;
use crate::edge::{OperatorItem, Platform};
use crate::feed::{FeedNews, Pace, follow, named_since};
use crate::log::LogEvent;
use crate::relay::Peers;

/// How changes are asked for. One watch covers the operators' values and the
/// list of targets; its wait bounds the age of the proof that keys are good.
const PACE: Pace = Pace {
    wait: Duration::from_millis(1_400),
    gather: Duration::from_millis(300),
};
/// How long to wait for an agent to tell which entries there are.
const MEETING_TIME: Duration = Duration::from_secs(3);
/// How often targets that vanished are looked over.
const EXPIRE_EVERY: Duration = Duration::from_millis(250);

/// Since when a version that the store tells of is named.
#[derive(Debug, Clone, Copy)]
enum Naming {
    /// Before this process started, at this moment at the latest.
    Found(Moment),
    /// At this moment at the earliest.
    Seen(Moment),
}

/// Starts to follow the store.
pub(crate) fn start<P>(shared: &Arc<Shared<P>>)
where
    P: Platform,
{
    let follower = shared.clone();
    tokio::spawn(async move {
        let platform = follower.platform.clone();
        let mut lost = false;
        let known = follower.clone();
        let settings = &follower.settings;
        let peers = Peers::new(
            follower.client.clone(),
            settings.centre.clone(),
            Some(settings.ip),
            settings.piece_port(),
            move || known.neighbours(),
        );
        follow(platform.as_ref(), peers, Scope::Everything, PACE, |news| {
            note_store(&news, &mut lost);
            follower.relay.take(&news);
            take(&follower, news);
        })
        .await;
    });
    tokio::spawn(expire(shared.clone()));
}

fn note_store(news: &FeedNews, lost: &mut bool) {
    match news {
        FeedNews::Failed(error) if !*lost => {
            *lost = true;
            LogEvent::StoreLost.log(&[("why", error.to_string().into())]);
        }
        FeedNews::Whole { .. } | FeedNews::Changed { .. } if *lost => {
            *lost = false;
            LogEvent::StoreBack.log(&[]);
        }
        FeedNews::Whole { .. } | FeedNews::Changed { .. } | FeedNews::Failed(_) => {}
    }
}

fn take<P>(shared: &Shared<P>, news: FeedNews)
where
    P: Platform,
{
    let now = BootClock.now();
    let mut state = shared.state();
    let proof = state.freshness.proved();
    match news {
        FeedNews::Whole {
            listing,
            sent,
            made,
            ..
        } => {
            state.directory.contact(now);
            let seen = named_since(now, made, proof);
            take_whole(shared, &mut state, now, seen, &listing.entries);
            state.freshness.prove(sent);
        }
        FeedNews::Changed {
            changes,
            sent,
            made,
            ..
        } => {
            state.directory.contact(now);
            let seen = named_since(now, made, proof);
            take_changes(shared, &mut state, now, seen, &changes);
            state.freshness.prove(sent);
        }
        FeedNews::Failed(_) => {
            state.failed_first |= state.rules.is_none();
            state.directory.trouble();
        }
    }
}

fn take_whole<P>(
    shared: &Shared<P>,
    state: &mut State,
    now: Moment,
    seen: Moment,
    entries: &[Entry],
) where
    P: Platform,
{
    let naming = if state.rules.is_none() {
        let before = shared.named_before_start(now, state.failed_first);
        state.named_before = Some(before);
        Naming::Found(before)
    } else {
        Naming::Seen(seen)
    };
    let operators = shared.platform.operator_scope();
    let listed = shared.platform.target_scope();
    state.excluded.clear();
    for entry in entries.iter().filter(|entry| operators.covers(&entry.key)) {
        take_item(shared, state, entry, naming);
    }
    let targets = entries.iter().filter(|entry| listed.covers(&entry.key));
    let targets = targets.filter_map(|entry| read_target(shared, entry));
    let targets = targets.collect();
    state.directory.replace(now, targets);
    state.listed = true;
    refresh(shared, state, now);
}

fn take_changes<P>(
    shared: &Shared<P>,
    state: &mut State,
    now: Moment,
    seen: Moment,
    changes: &[Change],
) where
    P: Platform,
{
    let operators = shared.platform.operator_scope();
    let listed = shared.platform.target_scope();
    for change in changes {
        match change {
            change if listed.covers(change.key()) => change_target(shared, state, now, change),
            Change::Put(entry) if operators.covers(&entry.key) => {
                take_item(shared, state, entry, Naming::Seen(seen));
            }
            Change::Deleted { key, .. } => include(shared, state, key),
            Change::Put(_) => {}
        }
    }
    if !changes.is_empty() {
        refresh(shared, state, now);
    }
}

fn include<P>(shared: &Shared<P>, state: &mut State, key: &Key)
where
    P: Platform,
{
    if let Some(centre) = shared.platform.excluded_centre(key) {
        LogEvent::CentreIncluded.log(&[("centre", centre.as_ref().into())]);
        state.excluded.remove(&centre);
    }
}

fn take_item<P>(shared: &Shared<P>, state: &mut State, entry: &Entry, naming: Naming)
where
    P: Platform,
{
    let version = entry.version.0;
    match shared.platform.read_operator(&entry.key, &entry.value) {
        Ok(OperatorItem::Rules(parts)) => adopt(state, Rules::from(*parts), version),
        Ok(OperatorItem::Excluded(centre)) => {
            LogEvent::CentreExcluded.log(&[
                ("centre", centre.as_ref().into()),
                ("store_version", version.into()),
            ]);
            state.excluded.insert(centre);
        }
        Ok(OperatorItem::Weights { model, version }) => {
            let versions = state.versions.entry(model.clone()).or_default();
            let is_newer = match naming {
                Naming::Found(since) => versions.find(version, since),
                Naming::Seen(since) => versions.see(version, since),
            };
            if is_newer {
                LogEvent::WeightsNamed.log(&[
                    ("model", model.as_ref().into()),
                    ("version", version.into()),
                ]);
            }
        }
        Ok(OperatorItem::Other) => {}
        Err(error) => LogEvent::ConfigRefused.log(&[
            ("key", entry.key.as_str().into()),
            ("why", error.to_string().into()),
        ]),
    }
}

/// Versions only grow within a process.
fn adopt(state: &mut State, rules: Rules, store_version: u64) {
    let known = state.rules.as_ref().map(|rules| rules.version());
    if known.is_some_and(|known| known >= rules.version()) {
        return;
    }
    LogEvent::ConfigAdopted.log(&[
        ("version", rules.version().into()),
        ("store_version", store_version.into()),
    ]);
    state.rules = Some(Arc::new(rules));
}

fn change_target<P>(shared: &Shared<P>, state: &mut State, now: Moment, change: &Change)
where
    P: Platform,
{
    match change {
        Change::Put(entry) => {
            if let Some(target) = read_target(shared, entry) {
                LogEvent::TargetSeen.log(&[
                    ("target", target.id.as_ref().into()),
                    ("state", format!("{:?}", target.state).into()),
                    ("cold_ms", super::deliver::millis(target.cold)),
                ]);
                state.directory.put(target);
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

/// Passes the list on to the placement and closes connections to what is gone.
fn refresh<P>(shared: &Shared<P>, state: &mut State, now: Moment) {
    let State {
        placement,
        directory,
        excluded,
        ..
    } = state;
    placement.set_excluded(excluded.clone());
    placement.set_targets(now, directory);
    state.wake_lines();
    let known: Vec<_> = state
        .directory
        .targets()
        .map(|target| target.address)
        .collect();
    shared
        .client
        .forget(|address, life| !life.is_empty() && !known.contains(address));
}

async fn expire<P>(shared: Arc<Shared<P>>)
where
    P: Platform,
{
    let began = Instant::now();
    loop {
        sleep(EXPIRE_EVERY).await;
        if began.elapsed() >= MEETING_TIME {
            shared.assume_entries();
        }
        let now = BootClock.now();
        let mut state = shared.state();
        let gone = state.directory.expire(now);
        if !gone.is_empty() {
            refresh(&shared, &mut state, now);
        }
    }
}
