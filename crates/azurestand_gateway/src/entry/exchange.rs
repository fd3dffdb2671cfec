//! Exchanges notices with the other entries.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{Incarnation, LimitNotice, PartChange, PartId, PartNotice, RateLimit};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::Mutex;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::barred;
use super::quarantine::log_change;
use super::shared::Shared;
use crate::clock::BootClock;
use crate::error::GatewayError;
use crate::log::LogEvent;
use crate::notice::{
    LeavingState, LimitState, MAX_BYTES, MAX_LEAVING, MAX_LIMITS, MAX_PARTS, Notices, PartState,
};
use crate::platform::Platform;
use crate::supervise::restart_on_panic;

/// The interval at which everything known is sent to some entries.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The entries that get everything each time.
const REPEAT_PEERS: usize = 3;
/// How long what a target said is repeated; later, its answers tell it.
const TARGET_REPEAT_TIME: Duration = Duration::from_secs(2);
/// How long an entry that has started waits for another's reply before it is ready.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// An interval between two repetitions from which on notices may have been lost.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Changes that wait to be sent; those beyond are sent at the next interval.
const QUEUE_CAPACITY: usize = 256;

/// A change that all other entries have to learn.
#[derive(Debug)]
pub(crate) enum Topic {
    /// What is known of a part of prompts.
    Part(PartId),
    /// The rate limit of a target.
    Limit(LimitNotice),
    /// A target that leaves.
    Leaving(Incarnation),
}

/// The sending side of the exchange.
#[derive(Debug)]
pub(crate) struct Exchange {
    changed: Sender<Topic>,
}

impl Exchange {
    /// Creates the sending side, and the queue for the task.
    pub(crate) fn new() -> (Self, Receiver<Topic>) {
        let (changed, queue) = channel(QUEUE_CAPACITY);
        (Self { changed }, queue)
    }

    /// Tells all other entries of a change.
    pub(crate) fn tell(&self, topic: Topic) {
        // If the queue is full, it is sent at the next interval.
        let _ = self.changed.try_send(topic);
    }
}

/// Why an entry sends what it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// Others should know it.
    Tell,
    /// The same, and the receivers should tell all that they know.
    Ask,
    /// The receiver has asked.
    Reply,
}

/// What an entry tells others.
#[derive(Debug, Default)]
struct Known {
    parts: Vec<PartNotice>,
    limits: Vec<LimitNotice>,
    leaving: Vec<Incarnation>,
}

impl Known {
    fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.limits.is_empty() && self.leaving.is_empty()
    }

    /// The messages that hold all of it; one at least.
    fn messages(&self, purpose: Purpose) -> Vec<Notices> {
        let now = BootClock.now();
        let message = || Notices {
            wants_all: purpose == Purpose::Ask,
            is_reply: purpose == Purpose::Reply,
            ..Notices::default()
        };
        let parts = self.parts.chunks(MAX_PARTS).map(|chunk| Notices {
            parts: chunk
                .iter()
                .map(|notice| PartState::encode(now, notice))
                .collect(),
            ..message()
        });
        let limits = self.limits.chunks(MAX_LIMITS).map(|chunk| Notices {
            limits: chunk
                .iter()
                .map(|notice| LimitState::encode(now, notice))
                .collect(),
            ..message()
        });
        let leaving = self.leaving.chunks(MAX_LEAVING).map(|chunk| Notices {
            leaving: chunk.iter().map(LeavingState::from).collect(),
            ..message()
        });
        let mut messages: Vec<Notices> = parts.chain(limits).chain(leaving).collect();
        if messages.is_empty() {
            messages.push(message());
        }
        messages
    }
}

/// Binds the socket and starts the task that exchanges notices.
pub(crate) async fn start<P>(
    shared: &Arc<Shared<P>>,
    queue: Receiver<Topic>,
) -> Result<(), GatewayError>
where
    P: Platform,
{
    let settings = &shared.settings;
    let address = SocketAddr::new(settings.ip, settings.notice_port());
    let bound = UdpSocket::bind(address).await;
    let socket = bound.map_err(|error| GatewayError::Bind(address, error))?;
    let task = Arc::new(Task {
        shared: shared.clone(),
        socket,
        queue: Mutex::new(queue),
    });
    tokio::spawn(restart_on_panic("exchange", move || task.clone().run()));
    Ok(())
}

struct Task<P> {
    shared: Arc<Shared<P>>,
    socket: UdpSocket,
    /// Held by the task while it runs.
    queue: Mutex<Receiver<Topic>>,
}

impl<P> Task<P>
where
    P: Platform,
{
    async fn run(self: Arc<Self>) {
        let mut queue = self.queue.lock().await;
        let mut buffer = [0; MAX_BYTES];
        let started = Instant::now();
        let mut last_tick = BootClock.now();
        let mut ticks = interval(REPEAT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    if started.elapsed() >= REPLY_TIMEOUT {
                        self.shared.set_informed();
                    }
                    let now = BootClock.now();
                    let was_suspended = now.since(last_tick) >= STALL_TIME;
                    last_tick = now;
                    self.repeat(was_suspended);
                }
                received = self.socket.recv_from(&mut buffer) => {
                    // An earlier datagram to a closed port causes an error here.
                    let Ok((length, from)) = received else { continue };
                    match Notices::decode(&buffer[..length]) {
                        Ok(notices) => self.receive(from, notices),
                        Err(error) => log_unreadable(from, &error.to_string()),
                    }
                }
                Some(topic) = queue.recv() => self.tell_all(topic),
            }
        }
    }

    fn peers(&self) -> Vec<IpAddr> {
        let entries = self.shared.entries().into_iter().map(|(ip, _)| ip);
        entries
            .filter(|ip| *ip != self.shared.settings.ip)
            .collect()
    }

    /// Sends to some entries all that is known of parts, and what targets said last;
    /// asks them for everything until one has replied, or if this process was suspended.
    fn repeat(&self, was_suspended: bool) {
        let now = BootClock.now();
        let mut state = self.shared.state();
        state.quarantine.expire(now);
        let known = Known {
            parts: state.quarantine.notices(now),
            limits: state.placement.changed_limits(now, TARGET_REPEAT_TIME),
            leaving: state.placement.recently_leaving(now, TARGET_REPEAT_TIME),
        };
        drop(state);
        let purpose = if was_suspended || !self.shared.is_informed() {
            Purpose::Ask
        } else {
            Purpose::Tell
        };
        if known.is_empty() && purpose == Purpose::Tell {
            return;
        }
        let mut peers = self.peers();
        fastrand::shuffle(&mut peers);
        peers.truncate(REPEAT_PEERS);
        self.send(&peers, &known, purpose);
    }

    fn tell_all(&self, topic: Topic) {
        let known = match topic {
            Topic::Part(part) => Known {
                parts: vec![self.shared.state().quarantine.notice(BootClock.now(), part)],
                ..Known::default()
            },
            Topic::Limit(limit) => Known {
                limits: vec![limit],
                ..Known::default()
            },
            Topic::Leaving(incarnation) => Known {
                leaving: vec![incarnation],
                ..Known::default()
            },
        };
        self.send(&self.peers(), &known, Purpose::Tell);
    }

    fn send(&self, peers: &[IpAddr], known: &Known, purpose: Purpose) {
        for message in known.messages(purpose) {
            let bytes = message.encode_to_vec();
            for peer in peers {
                let address = SocketAddr::new(*peer, self.shared.settings.notice_port());
                // What can't be sent now is sent again after the interval.
                let _ = self.socket.try_send_to(&bytes, address);
            }
        }
    }

    fn receive(&self, from: SocketAddr, notices: Notices) {
        if notices.is_reply {
            self.shared.set_informed();
        }
        self.receive_parts(from, notices.parts);
        self.receive_limits(from, notices.limits);
        self.receive_leaving(from, notices.leaving);
        if notices.wants_all {
            let now = BootClock.now();
            let mut state = self.shared.state();
            let known = Known {
                parts: state.quarantine.notices(now),
                limits: state.placement.limits_in_force(),
                leaving: state.placement.latest_leaving(),
            };
            drop(state);
            self.send(&[from.ip()], &known, Purpose::Reply);
        }
    }

    fn receive_parts(&self, from: SocketAddr, parts: Vec<PartState>) {
        let now = BootClock.now();
        let mut contradicted = Known::default();
        for part in parts {
            let notice = part.decode(now);
            let part = notice.part;
            let mut state = self.shared.state();
            let merged = state.quarantine.merge(now, notice);
            if merged.contradicts {
                let known = state.quarantine.notice(now, part);
                contradicted.parts.push(known);
            }
            drop(state);
            if let Some(change) = merged.change {
                self.apply_change(from, &change);
            }
        }
        if !contradicted.is_empty() {
            self.send(&[from.ip()], &contradicted, Purpose::Tell);
        }
    }

    fn receive_limits(&self, from: SocketAddr, limits: Vec<LimitState>) {
        let now = BootClock.now();
        for limit in limits {
            match limit.decode(now) {
                Ok(notice) => {
                    if self.shared.state().placement.merge_limit(now, &notice) {
                        log_limit(&notice, &from.ip().to_string());
                    }
                }
                Err(error) => log_unreadable(from, &error.to_string()),
            }
        }
    }

    fn receive_leaving(&self, from: SocketAddr, leaving: Vec<LeavingState>) {
        for state in leaving {
            match state.decode() {
                Some(incarnation) => {
                    barred::record_leaving(&self.shared, &incarnation, &from.ip().to_string());
                }
                None => log_unreadable(from, "the name of a leaving target is too long"),
            }
        }
    }

    /// Logs what another entry's notice changed. A clearance is passed on, since only the
    /// entry that had told of the crash gets it.
    fn apply_change(&self, from: SocketAddr, change: &PartChange) {
        log_change(&self.shared, change, &from.ip().to_string());
        self.shared.notify_quarantine();
        if let PartChange::Cleared(part) = change {
            self.tell_all(Topic::Part(*part));
        }
    }
}

/// Logs another rate limit than before, and from which host it was learned.
pub(super) fn log_limit(notice: &LimitNotice, host: &str) {
    LogEvent::LimitNamed.log(&[
        ("target", notice.target.as_ref().into()),
        ("limit", notice.limit.map(RateLimit::per_second).into()),
        ("host", host.into()),
    ]);
}

fn log_unreadable(from: SocketAddr, why: &str) {
    LogEvent::NoticeUnreadable.log(&[("from", from.to_string().into()), ("why", why.into())]);
}
