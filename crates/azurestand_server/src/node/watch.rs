//! Reads and watches the document in the platform's store.

use std::sync::Arc;

use azurestand_config::{DOCUMENT_KEY, Document};
use azurestand_membership::{Config, StoreNews};
use azurestand_store::{Change, FollowTiming, FollowUpdate, Follower, Key, Scope, Store};

use super::{GossipEvent, Node, document};
use crate::event::Event;

/// Reads the document once.
pub(crate) async fn read(node: Node) {
    let Ok(key) = Key::try_from(DOCUMENT_KEY) else {
        return;
    };
    let news = match node.store.read(&key).await {
        Ok(Some(versioned)) => check(&versioned.value),
        Ok(None) => StoreNews::Current,
        Err(_) => StoreNews::Failed,
    };
    tell(&node, news).await;
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

async fn tell(node: &Node, news: StoreNews) {
    let _ = node.gossip.send(GossipEvent::Store(news)).await;
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

fn translate(update: FollowUpdate) -> StoreNews {
    match update {
        FollowUpdate::Snapshot(listing) => {
            let entry = listing.entries.first();
            entry.map_or(StoreNews::Current, |entry| check(&entry.value))
        }
        FollowUpdate::Changed(changes) => {
            let put = changes.iter().rev().find_map(|change| match change {
                Change::Put(entry) => Some(&entry.value),
                Change::Deleted { .. } => None,
            });
            put.map_or(StoreNews::Current, |value| check(value))
        }
        // A restored store is read again; membership refuses a lower revision.
        FollowUpdate::Current { .. } | FollowUpdate::Restored { .. } => StoreNews::Current,
        FollowUpdate::Unreachable(_) => StoreNews::Failed,
    }
}

/// A document that doesn't check is as good as none: the last one stays in force.
fn check(value: &[u8]) -> StoreNews {
    match read_document(value) {
        Ok(config) => StoreNews::Config(Arc::new(config)),
        Err(reason) => {
            Event::DocumentRefused.log(reason);
            StoreNews::Current
        }
    }
}

fn read_document(value: &[u8]) -> Result<Config, String> {
    let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
    let document = Document::parse(text).map_err(|error| error.to_string())?;
    document::cut(&document).map_err(|error| error.to_string())
}
