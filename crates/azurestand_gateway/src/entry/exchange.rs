//! Exchanges notices with the other entries.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{PartChange, PartId, PartNotice};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::quarantine::log_change;
use super::shared::Shared;
use crate::clock::BootClock;
use crate::error::GatewayError;
use crate::log::LogEvent;
use crate::notice::{MAX_BYTES, MAX_PARTS, Notices, PartState};
use crate::platform::Platform;

/// The interval at which everything known is sent to some entries.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The entries that get everything each time.
const REPEAT_PEERS: usize = 3;
/// How long an entry that has started waits for another's reply before it is ready.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Changes that wait to be sent; those beyond are sent at the next interval.
const QUEUE_CAPACITY: usize = 256;

/// The sending side of the exchange.
#[derive(Debug)]
pub(crate) struct Exchange {
    changed: Sender<PartId>,
}

impl Exchange {
    /// Creates the sending side, and the queue for the task.
    pub(crate) fn new() -> (Self, Receiver<PartId>) {
        let (changed, queue) = channel(QUEUE_CAPACITY);
        (Self { changed }, queue)
    }

    /// Tells all other entries what is known of a part.
    pub(crate) fn tell(&self, part: PartId) {
        // If the queue is full, it is sent at the next interval.
        let _ = self.changed.try_send(part);
    }
}

/// Binds the socket and starts the task that exchanges notices.
pub(crate) async fn start<P>(
    shared: &Arc<Shared<P>>,
    queue: Receiver<PartId>,
) -> Result<(), GatewayError>
where
    P: Platform,
{
    let settings = &shared.settings;
    let address = SocketAddr::new(settings.ip, settings.notice_port());
    let bound = UdpSocket::bind(address).await;
    let socket = bound.map_err(|error| GatewayError::Bind(address, error))?;
    let task = Task {
        shared: shared.clone(),
        socket,
    };
    tokio::spawn(task.run(queue));
    Ok(())
}

struct Task<P> {
    shared: Arc<Shared<P>>,
    socket: UdpSocket,
}

impl<P> Task<P>
where
    P: Platform,
{
    async fn run(self, mut queue: Receiver<PartId>) {
        let mut buffer = [0; MAX_BYTES];
        let started = Instant::now();
        let mut ticks = interval(REPEAT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    if started.elapsed() >= REPLY_TIMEOUT {
                        self.shared.set_informed();
                    }
                    self.repeat();
                }
                received = self.socket.recv_from(&mut buffer) => {
                    // An earlier datagram to a closed port causes an error here.
                    let Ok((length, from)) = received else { continue };
                    match Notices::decode(&buffer[..length]) {
                        Ok(notices) => self.receive(from, notices),
                        Err(error) => LogEvent::NoticeUnreadable.log(&[
                            ("from", from.to_string().into()),
                            ("why", error.to_string().into()),
                        ]),
                    }
                }
                Some(part) = queue.recv() => self.tell_all(part),
            }
        }
    }

    fn peers(&self) -> Vec<IpAddr> {
        let entries = self.shared.entries().into_iter().map(|(ip, _)| ip);
        entries
            .filter(|ip| *ip != self.shared.settings.ip)
            .collect()
    }

    /// Sends everything to some entries, and asks them for everything until one has replied.
    fn repeat(&self) {
        let now = BootClock.now();
        let mut state = self.shared.state();
        state.quarantine.expire(now);
        let notices = state.quarantine.notices(now);
        drop(state);
        let wants_all = !self.shared.is_informed();
        if notices.is_empty() && !wants_all {
            return;
        }
        let mut peers = self.peers();
        fastrand::shuffle(&mut peers);
        for peer in peers.into_iter().take(REPEAT_PEERS) {
            self.send(peer, &notices, wants_all, false);
        }
    }

    fn tell_all(&self, part: PartId) {
        let notice = self.shared.state().quarantine.notice(BootClock.now(), part);
        for peer in self.peers() {
            self.send(peer, std::slice::from_ref(&notice), false, false);
        }
    }

    fn send(&self, peer: IpAddr, notices: &[PartNotice], wants_all: bool, is_reply: bool) {
        let now = BootClock.now();
        let mut chunks: Vec<&[PartNotice]> = notices.chunks(MAX_PARTS).collect();
        if chunks.is_empty() {
            chunks.push(&[]);
        }
        let address = SocketAddr::new(peer, self.shared.settings.notice_port());
        for chunk in chunks {
            let message = Notices {
                parts: chunk
                    .iter()
                    .map(|notice| PartState::encode(now, notice))
                    .collect(),
                wants_all,
                is_reply,
            };
            // What can't be sent now is sent again after the interval.
            let _ = self.socket.try_send_to(&message.encode_to_vec(), address);
        }
    }

    fn receive(&self, from: SocketAddr, notices: Notices) {
        let now = BootClock.now();
        if notices.is_reply {
            self.shared.set_informed();
        }
        let mut contradicted = Vec::new();
        for part in notices.parts {
            let notice = part.decode(now);
            let mut state = self.shared.state();
            let merged = state.quarantine.merge(now, notice.clone());
            if merged.contradicts {
                contradicted.push(state.quarantine.notice(now, notice.part));
            }
            drop(state);
            if let Some(change) = merged.change {
                self.apply_change(from, &change, &notice);
            }
        }
        if !contradicted.is_empty() {
            self.send(from.ip(), &contradicted, false, false);
        }
        if notices.wants_all {
            let known = self.shared.state().quarantine.notices(now);
            self.send(from.ip(), &known, false, true);
        }
    }

    /// Logs what another entry's notice changed. A clearance is passed on, since only the
    /// entry that had told of the crash gets it.
    fn apply_change(&self, from: SocketAddr, change: &PartChange, notice: &PartNotice) {
        log_change(change, &notice.crashes, &from.ip().to_string());
        self.shared.notify_quarantine();
        if let PartChange::Cleared(part) = change {
            self.tell_all(*part);
        }
    }
}
