//! Uploads to other hosts, limited by slots, a queue and the link's rate.

use std::collections::VecDeque;

use azurestand_types::{Digest, HostName, Incarnation, Moment};

use super::Transfer;
use super::peers::Locality;
use crate::event::Action;
use crate::message::{Message, RefuseReason};

/// The most uploads running at once within the region; a second one fills the gaps of
/// the first.
const RUNNING_UPLOADS: usize = 2;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Job {
    pub(crate) to: HostName,
    incarnation: Incarnation,
    digest: Digest,
    locality: Locality,
    length: u32,
}

#[derive(Debug, Default)]
pub(crate) struct Uploads {
    queue: VecDeque<Job>,
    running: Vec<Job>,
}

impl Uploads {
    fn count(&self, locality: Locality) -> usize {
        let all = self.queue.iter().chain(&self.running);
        all.filter(|job| job.locality == locality).count()
    }

    fn running(&self, locality: Locality) -> usize {
        let running = self.running.iter();
        running.filter(|job| job.locality == locality).count()
    }

    fn contains(&self, to: &HostName, digest: Digest) -> bool {
        let mut all = self.queue.iter().chain(&self.running);
        all.any(|job| job.to == *to && job.digest == digest)
    }

    fn cancel(&mut self, to: &HostName, digest: Digest) {
        self.queue
            .retain(|job| job.to != *to || job.digest != digest);
    }

    fn end(&mut self, to: &HostName, digest: Digest) {
        self.running
            .retain(|job| job.to != *to || job.digest != digest);
    }

    /// Removes all uploads to a host that is gone.
    pub(crate) fn remove_host(&mut self, host: &HostName) {
        self.queue.retain(|job| job.to != *host);
        self.running.retain(|job| job.to != *host);
    }

    pub(crate) fn drop_chunk(&mut self, digest: Digest) {
        self.queue.retain(|job| job.digest != digest);
    }
}

impl Transfer {
    pub(crate) fn handle_request(&mut self, from: &HostName, digest: Digest, now: Moment) {
        if self.uploads.contains(from, digest) {
            return;
        }
        let Some(&length) = self.held.get(&digest) else {
            self.refuse(from, digest, RefuseReason::Missing);
            return;
        };
        let Some(neighbour) = self.peers.get(from) else {
            return;
        };
        let locality = neighbour.locality;
        if self.uploads.count(locality) >= self.limits.uploads {
            self.refuse(from, digest, RefuseReason::Busy);
            return;
        }
        self.uploads.queue.push_back(Job {
            to: from.clone(),
            incarnation: neighbour.peer.incarnation,
            digest,
            locality,
            length,
        });
        self.upload(now);
    }

    pub(crate) fn handle_cancel(&mut self, from: &HostName, digest: Digest) {
        self.uploads.cancel(from, digest);
    }

    pub(crate) fn handle_uploaded(&mut self, to: &HostName, digest: Digest, now: Moment) {
        self.uploads.end(to, digest);
        self.upload(now);
    }

    /// Starts queued uploads as far as slots and the link's rate allow.
    pub(crate) fn upload(&mut self, now: Moment) {
        while let Some(index) = self.next_upload() {
            let length = u64::from(self.uploads.queue[index].length);
            if !self.egress.take(length, now) {
                return;
            }
            let Some(job) = self.uploads.queue.remove(index) else {
                return;
            };
            self.actions.push(Action::Upload {
                to: job.to.clone(),
                incarnation: job.incarnation,
                digest: job.digest,
                rate: self.egress.rate(),
            });
            self.uploads.running.push(job);
        }
    }

    /// The next upload that may start; uploads to other regions don't count, since they
    /// can't fill this host's link.
    fn next_upload(&self) -> Option<usize> {
        let uploads = &self.uploads;
        let near = uploads.running(Locality::Centre) + uploads.running(Locality::Region);
        let is_next = |job: &Job| job.locality == Locality::Cross || near < RUNNING_UPLOADS;
        uploads.queue.iter().position(is_next)
    }

    fn refuse(&mut self, to: &HostName, digest: Digest, reason: RefuseReason) {
        self.send(to, Message::Refuse { digest, reason });
    }
}
