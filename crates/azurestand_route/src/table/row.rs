//! What is known of one target, and how much it is trusted.

use std::collections::VecDeque;
use std::time::Duration;

use azurestand_types::{HostName, Moment};

use super::{Load, Room};
use crate::account::Standing;

/// The time that a send takes to show in a report.
const TRANSIT: Duration = Duration::from_millis(20);
/// Sends remembered until a report shows them; more count as this many.
const MAX_RECENT: usize = 1_024;
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_DOUBLINGS: u32 = 6;
/// Refusals in a row from which a report of room isn't believed any more.
const LIAR_STREAK: u32 = 3;

#[derive(Debug, Clone)]
pub(super) struct Row {
    pub(super) host: HostName,
    pub(super) load: Load,
    pub(super) heard: Moment,
    /// Sends of this entry that the newest report may not show.
    recent: VecDeque<Moment>,
    /// Ends of this entry's requests that the newest report does not show.
    ended: u32,
    paused: Moment,
    streak: u32,
}

impl Row {
    pub(super) fn new(now: Moment, host: HostName, load: Load) -> Self {
        Self {
            host,
            load,
            heard: now,
            recent: VecDeque::new(),
            ended: 0,
            paused: Moment::START,
            streak: 0,
        }
    }

    pub(super) fn update(&mut self, now: Moment, host: HostName, load: Load) {
        self.host = host;
        self.load = load;
        self.heard = now;
        self.ended = 0;
        while self.recent.front().is_some_and(|at| *at + TRANSIT < now) {
            self.recent.pop_front();
        }
        // Room again after an honest refusal; whoever refuses all the same is let rest.
        if self.free() > 0 && self.streak < LIAR_STREAK {
            self.paused = now;
        }
    }

    pub(super) fn send(&mut self, now: Moment) {
        if self.recent.len() < MAX_RECENT {
            self.recent.push_back(now);
        }
    }

    pub(super) fn end(&mut self) {
        self.ended += 1;
    }

    /// Each refusal in a row doubles the pause.
    pub(super) fn refuse(&mut self, now: Moment) {
        let pause = FIRST_PAUSE * 2_u32.pow(self.streak.min(MAX_DOUBLINGS));
        self.paused = now + pause;
        self.streak += 1;
    }

    pub(super) fn take(&mut self) {
        self.streak = 0;
    }

    pub(super) fn is_paused(&self, now: Moment) -> bool {
        self.paused > now
    }

    /// What runs and waits: reports lag, so what this entry sent since counts on top.
    fn work(&self) -> u32 {
        let recent = u32::try_from(self.recent.len()).unwrap_or(u32::MAX);
        let reported = self.load.running + self.load.waiting;
        reported.saturating_add(recent).saturating_sub(self.ended)
    }

    pub(super) fn free(&self) -> u32 {
        self.load.limit.saturating_sub(self.work())
    }

    /// Whether one more fits, by the report and by what this entry may add to it.
    ///
    /// All entries see the same room until the next report. Each takes only its
    /// part of it, or together they would fill it as often as they are many.
    pub(super) fn may_send(&self, room: Room, standing: Standing) -> bool {
        let queue = match standing {
            Standing::Modest => room.queue,
            Standing::Large => room.queue / 2,
        };
        let most = self.load.limit.saturating_add(queue);
        let reported = self.load.running + self.load.waiting;
        let part = most.saturating_sub(reported) / room.entries.max(1);
        let recent = u32::try_from(self.recent.len()).unwrap_or(u32::MAX);
        self.work() < most && recent.saturating_sub(self.ended) < part.max(1)
    }

    /// Work for each slot once one more request is there.
    pub(super) fn pressure(&self) -> f64 {
        f64::from(self.work().saturating_add(1)) / f64::from(self.load.limit.max(1))
    }
}
