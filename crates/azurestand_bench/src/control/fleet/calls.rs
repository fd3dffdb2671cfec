//! The daemon's part of a node: its calls to the store.

use std::sync::Arc;
use std::time::Duration;

use azurestand_membership::{Config, Event, StoreOutcome};
use azurestand_types::Moment;

use super::{Due, FRAME_BYTES, Fleet, Reply, cross};
use crate::control::links::{STORE_REGION, pair, region};
use crate::control::store::{self, BACK_OFF, WATCH_SPAN};

/// How long a call takes to fail while the store is down.
const FAILURE: Duration = Duration::from_millis(2);

impl Fleet {
    /// A call to the store: a read, or the opening of a watch.
    pub(super) fn call(&mut self, node: usize, watching: bool) {
        self.tally.call(self.now);
        if watching {
            self.nodes[node].watch += 1;
        }
        let watch = watching.then_some(self.nodes[node].watch);
        if self.store.down {
            let at = self.now + FAILURE;
            self.answer(node, watch, Reply::Failed, at);
            return;
        }
        let held = self.nodes[node].member.revision();
        let newest = self.store.config.as_ref().map(|config| config.revision());
        let news = newest.is_some_and(|newest| newest > held);
        if watch.is_some() && !news {
            // Nothing new: the watch waits.
            self.store.watchers.insert(node);
            self.handle(node, || Some(Event::Store(StoreOutcome::Current)));
            let again = Due::Watch(node, self.nodes[node].watch);
            self.push(self.now + WATCH_SPAN, again);
            return;
        }
        self.reply(node, watch);
    }

    pub(super) fn reply(&mut self, node: usize, watch: Option<u64>) {
        let Some(config) = &self.store.config else {
            return;
        };
        let size = store::size(config) + FRAME_BYTES;
        let revision = config.revision().0;
        let served = self.store.serve(self.now);
        let centre = self.nodes[node].centre;
        self.tally.links[pair(STORE_REGION, region(centre))] += cross(0, centre, size);
        self.tally.bytes[node] += size as u64;
        let at = self.links.store_arrival(served, centre, size);
        self.answer(node, watch, Reply::Document(revision), at);
    }

    pub(super) fn answer(&mut self, node: usize, watch: Option<u64>, reply: Reply, at: Moment) {
        self.push(at, Due::Answer(node, watch, reply));
    }

    pub(super) fn answered(&mut self, node: usize, watch: Option<u64>, reply: &Reply) {
        let news = match reply {
            Reply::Failed => StoreOutcome::Failed,
            Reply::Document(revision) => {
                let wanted = |config: &&Arc<Config>| config.revision().0 == *revision;
                let Some(config) = self.documents.iter().rfind(wanted) else {
                    return;
                };
                StoreOutcome::Config(config.clone())
            }
        };
        let failed = matches!(reply, Reply::Failed);
        self.handle(node, || Some(Event::Store(news)));
        if let Some(watch) = watch.filter(|watch| *watch == self.nodes[node].watch) {
            let pause = if failed {
                BACK_OFF.mul_f64(self.random.f64())
            } else {
                Duration::ZERO
            };
            self.push(self.now + pause, Due::Watch(node, watch));
        }
    }
}
