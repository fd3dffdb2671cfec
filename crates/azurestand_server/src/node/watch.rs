//! Reads and watches the document in the platform's store.

use std::sync::Arc;

use azurestand_config::{DOCUMENT_KEY, Document};
use azurestand_membership::{Config, StoreOutcome};
use azurestand_store::{Change, FollowTiming, FollowUpdate, Follower, Key, Scope, Store};

use super::{GossipEvent, Node, document};
use crate::event::Event;

/// Reads the document once.
pub(crate) async fn read(node: Node) {
    let Ok(key) = Key::try_from(DOCUMENT_KEY) else {
        return;
    };
    let outcome = match node.store.read(&key).await {
        Ok(Some(versioned)) => check(&versioned.value),
        Ok(None) => StoreOutcome::Current,
        Err(_) => StoreOutcome::Failed,
    };
    tell(&node, outcome).await;
}

/// Follows the document until dropped.
pub(crate) async fn follow(node: Node) {
    let Ok(key) = Key::try_from(DOCUMENT_KEY) else {
        return;
    };
    let seed = node.links.own().incarnation.0;
    let timing = FollowTiming::default();
    let mut follower = Follower::start(node.store.clone(), Scope::One(key), timing, seed);
    let mut answers = true;
    loop {
        let update = follower.next().await;
        answers = log_outage(&update, answers);
        tell(&node, translate(update)).await;
    }
}

async fn tell(node: &Node, outcome: StoreOutcome) {
    let _ = node.gossip.send(GossipEvent::Store(outcome)).await;
}

/// Logs when the store goes or comes back; gives whether it answers.
fn log_outage(update: &FollowUpdate, answered: bool) -> bool {
    let answers = !matches!(update, FollowUpdate::Unreachable(_));
    match update {
        FollowUpdate::Restored { previous, found } => {
            Event::StoreRestored.log(format_args!("from version {previous} to {found}"));
        }
        FollowUpdate::Unreachable(error) if answered => Event::StoreLost.log(error),
        _ if answers && !answered => Event::StoreBack.log("the document is followed again"),
        _ => (),
    }
    answers
}

fn translate(update: FollowUpdate) -> StoreOutcome {
    match update {
        FollowUpdate::Snapshot(listing) => {
            let entry = listing.entries.first();
            entry.map_or(StoreOutcome::Current, |entry| check(&entry.value))
        }
        FollowUpdate::Changed(changes) => {
            let put = changes.iter().rev().find_map(|change| match change {
                Change::Put(entry) => Some(&entry.value),
                Change::Deleted { .. } => None,
            });
            put.map_or(StoreOutcome::Current, |value| check(value))
        }
        // A restored store is read again; membership refuses a lower revision.
        FollowUpdate::Current { .. } | FollowUpdate::Restored { .. } => StoreOutcome::Current,
        FollowUpdate::Unreachable(_) => StoreOutcome::Failed,
    }
}

/// A document that doesn't check is as good as none: the last one stays in force.
fn check(value: &[u8]) -> StoreOutcome {
    match read_document(value) {
        Ok(config) => StoreOutcome::Config(Arc::new(config)),
        Err(reason) => {
            Event::DocumentRefused.log(reason);
            StoreOutcome::Current
        }
    }
}

fn read_document(value: &[u8]) -> Result<Config, String> {
    let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
    let document = Document::parse(text).map_err(|error| error.to_string())?;
    document::cut(&document).map_err(|error| error.to_string())
}
