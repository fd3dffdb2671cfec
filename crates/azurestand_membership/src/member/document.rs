//! Fetches the newest document from the store or from peers; never goes back to an older one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::{HostName, Moment, Revision};

use super::Member;
use crate::gossip::{Body, Delta, Marks};
use crate::record::Record;
use crate::{Action, Config, Note, Section, Source, Stamp, StoreOutcome};

/// How often a revision is requested before lower ones are considered again.
const MAX_TRIES: u32 = 3;

/// The document in force and the state of fetching a newer one.
#[derive(Debug, Default)]
pub(super) struct Document {
    in_force: Option<Arc<Config>>,
    /// When the store last answered this member or a peer that reported it.
    store_contact: Option<Moment>,
    pull: Option<Pull>,
    /// When to announce the revision in force a second time.
    repeat: Option<Moment>,
    read_at: Option<Moment>,
    pause: Duration,
}

/// A request for a newer document.
#[derive(Debug)]
struct Pull {
    stamp: Stamp,
    sent: Moment,
    tries: u32,
    /// The latest member that offered this revision or a higher one.
    other: Record,
}

impl Document {
    pub(super) fn in_force(&self) -> Option<&Arc<Config>> {
        self.in_force.as_ref()
    }

    pub(super) fn store_age(&self, now: Moment) -> Option<Duration> {
        self.store_contact.map(|heard| now.since(heard))
    }

    pub(super) fn record_contact(&mut self, moment: Moment) {
        self.store_contact = self.store_contact.max(Some(moment));
    }

    fn revision(&self) -> Option<Revision> {
        self.in_force.as_ref().map(|config| config.revision())
    }
}

impl Member {
    /// Handles the outcome of a store read or watch.
    pub(super) fn handle_store(&mut self, outcome: StoreOutcome) {
        match outcome {
            StoreOutcome::Config(config) => {
                self.document.record_contact(self.now);
                self.offer(config, Source::Store);
            }
            StoreOutcome::Current => self.document.record_contact(self.now),
            // The next read is already scheduled; the daemon repairs a broken watch.
            StoreOutcome::Failed => {}
        }
    }

    /// The only place where documents are adopted: a revision that isn't higher is refused
    /// from any source.
    fn offer(&mut self, config: Arc<Config>, source: Source) {
        let Some(in_force) = self.stamp() else {
            return self.adopt(config);
        };
        let offered = config.stamp();
        if offered.revision > in_force.revision {
            self.adopt(config);
        } else if offered.revision < in_force.revision {
            self.note(Note::LowerRevision {
                source,
                offered,
                in_force,
            });
        } else if offered.digest != in_force.digest {
            self.note(Note::Conflict {
                source,
                offered,
                in_force,
            });
        }
    }

    fn adopt(&mut self, config: Arc<Config>) {
        self.document.in_force = Some(config.clone());
        self.document.pull = None;
        self.document.repeat = Some(self.now + self.limits.tick);
        self.out.push(Action::Adopt(config));
        self.status_changed();
        self.announce();
        if self.watching {
            self.announce_remote();
        }
    }

    /// Announces the revision in force to a few peers; those with a lower one request it.
    fn announce(&mut self) {
        for peer in self.local_peers(self.limits.fan_out) {
            let gossip = self.message(Body::Push);
            self.send(peer.identity.address, gossip);
        }
    }

    /// Compares the stamp in a peer's message with the document in force.
    pub(super) fn check_stamp(&mut self, sender: &Record, stamp: Stamp) {
        let in_force = self.stamp();
        if in_force.is_none_or(|mine| stamp.revision > mine.revision) {
            return self.request(sender, stamp);
        }
        let conflict =
            |mine: &Stamp| mine.revision == stamp.revision && mine.digest != stamp.digest;
        if let Some(in_force) = in_force.filter(conflict) {
            let source = Source::Peer(sender.identity.host.clone());
            self.note(Note::Conflict {
                source,
                offered: stamp,
                in_force,
            });
        }
    }

    fn request(&mut self, from: &Record, stamp: Stamp) {
        let wait = self.limits.pull_timeout;
        if let Some(pull) = &mut self.document.pull {
            let waits = self.now.since(pull.sent) < wait;
            if waits && stamp.revision >= pull.stamp.revision {
                pull.other = from.without_status();
            }
            if waits || stamp.revision < pull.stamp.revision {
                return;
            }
        }
        self.pull(from, stamp, self.marks(), 1);
    }

    fn pull(&mut self, from: &Record, stamp: Stamp, marks: Marks, tries: u32) {
        self.document.pull = Some(Pull {
            stamp,
            sent: self.now,
            tries,
            other: from.without_status(),
        });
        let gossip = self.message(Body::Pull { marks });
        self.send(from.identity.address, gossip);
    }

    /// The sections in force and their revisions.
    fn marks(&self) -> Marks {
        let in_force = self.document.in_force();
        in_force.map_or_else(Marks::new, |config| marks(config))
    }

    /// Answers a pull with the sections that differ.
    pub(super) fn answer_pull(&mut self, sender: &Record, known: &Marks) {
        let Some(config) = self.document.in_force().cloned() else {
            return;
        };
        let changed = |(name, section): &(_, &Section)| known.get(*name) != Some(&section.revision);
        let texts = config
            .sections()
            .iter()
            .filter(changed)
            .map(|(name, section)| (name.clone(), section.text.clone()))
            .collect();
        let delta = Delta {
            stamp: config.stamp(),
            marks: marks(&config),
            texts,
        };
        let gossip = self.message(Body::Delta(delta));
        self.send(sender.identity.address, gossip);
    }

    /// Assembles a document from a delta and the sections in force.
    pub(super) fn apply_delta(&mut self, sender: &Record, delta: &Delta) {
        let in_force = self.document.revision();
        if in_force.is_some_and(|mine| delta.stamp.revision <= mine) {
            return;
        }
        let whole = delta.texts.len() == delta.marks.len();
        match self.assemble(delta) {
            Some(config) => {
                let source = Source::Peer(sender.identity.host.clone());
                self.offer(Arc::new(config), source);
            }
            None if whole => self.note_bad_delta(&sender.identity.host),
            None => {
                self.note_bad_delta(&sender.identity.host);
                self.pull(sender, delta.stamp, Marks::new(), 1);
            }
        }
    }

    fn note_bad_delta(&mut self, host: &HostName) {
        self.note(Note::BadDelta(host.clone()));
    }

    /// The whole document, if the delta and the sections in force match its digest.
    fn assemble(&self, delta: &Delta) -> Option<Config> {
        let mut sections = BTreeMap::new();
        for (name, revision) in &delta.marks {
            let text = match delta.texts.get(name) {
                Some(text) => text.clone(),
                None => self.held_text(name, *revision)?,
            };
            let section = Section {
                revision: *revision,
                text,
            };
            sections.insert(name.clone(), section);
        }
        let config = Config::new(delta.stamp.revision, sections).ok()?;
        (config.stamp() == delta.stamp).then_some(config)
    }

    fn held_text(&self, name: &crate::SectionName, revision: Revision) -> Option<Arc<str>> {
        let section = self.document.in_force()?.sections().get(name)?;
        (section.revision == revision).then(|| section.text.clone())
    }

    pub(super) fn document_tick(&mut self) {
        self.repeat_pull();
        if self.document.repeat.is_some_and(|at| self.now >= at) {
            self.document.repeat = None;
            self.announce();
        }
        self.read_tick();
    }

    /// Repeats a request that timed out, to the latest member that offered the revision.
    fn repeat_pull(&mut self) {
        let wait = self.limits.pull_timeout;
        let late = |pull: &Pull| self.now.since(pull.sent) >= wait;
        let Some(pull) = self.document.pull.take_if(|pull| late(pull)) else {
            return;
        };
        // The member that offered it may be gone; then lower revisions are considered again.
        if pull.tries < MAX_TRIES && self.document.revision() < Some(pull.stamp.revision) {
            let marks = self.marks();
            self.pull(&pull.other, pull.stamp, marks, pull.tries + 1);
        }
    }

    /// Reads the store with growing, jittered pauses while no recent answer from it is known.
    fn read_tick(&mut self) {
        let limits = &self.limits;
        let fresh = self.document.store_contact.unwrap_or(Moment::START);
        let quiet = self.now.since(fresh.max(self.timers.settled)) > limits.store_silence_timeout;
        if self.watching || !quiet {
            self.document.read_at = None;
            self.document.pause = limits.store_silence_timeout;
            return;
        }
        let pause = self.document.pause;
        let due = self.document.read_at;
        if due.is_some_and(|at| self.now < at) {
            return;
        }
        if due.is_some() {
            self.out.push(Action::ReadStore);
            self.document.pause = (pause * 2).min(self.limits.read_pause);
        }
        let jitter = self.jitter(pause);
        let least = if due.is_some() {
            pause / 2
        } else {
            Duration::ZERO
        };
        self.document.read_at = Some(self.now + least + jitter);
    }
}

fn marks(config: &Config) -> Marks {
    let sections = config.sections().iter();
    sections
        .map(|(name, section)| (name.clone(), section.revision))
        .collect()
}
