//! Moves chunks between hosts over links of their own.
//!
//! The holder pushes: it opens one bulk link to each receiver and keeps it for
//! the chunks that follow. Every chunk is checked by its digest at the receiver.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurestand_spread::{MAX_CHUNK_BYTES, Rate};
use azurestand_types::{Digest, HostName, Incarnation};
use azurestand_wire::{Body, Outbox, Piece};
use bytes::{Bytes, BytesMut};
use tokio::sync::{Mutex, mpsc};
use tokio::time::{Instant, sleep_until, timeout};

use crate::node::links::{BulkLink, Links};

const PIECE_BYTES: usize = 64 * 1024;
const SEND_LIMIT: Duration = Duration::from_secs(10);

/// A chunk that another host pushed here. Its content isn't checked yet.
#[derive(Debug)]
pub(crate) struct Pushed {
    pub(crate) from: HostName,
    pub(crate) incarnation: Incarnation,
    pub(crate) digest: Digest,
    pub(crate) content: Bytes,
}

/// The receiver of a push.
#[derive(Debug, Clone)]
pub(crate) struct Receiver {
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
}

type Kept = Arc<Mutex<HashMap<SocketAddr, Outbox>>>;

/// Pushes chunks to other hosts.
#[derive(Debug, Clone)]
pub(crate) struct Pusher {
    links: Links,
    kept: Kept,
}

impl Pusher {
    pub(crate) fn new(links: Links) -> Self {
        Self {
            links,
            kept: Kept::default(),
        }
    }

    /// Pushes one chunk no faster than `rate`; tells whether all of it was sent.
    pub(crate) async fn push(
        &self,
        to: &Receiver,
        digest: Digest,
        content: Bytes,
        rate: Rate,
    ) -> bool {
        let Some(outbox) = self.outbox(to).await else {
            return false;
        };
        let start = Instant::now();
        let mut offset = 0;
        while offset < content.len() {
            let end = content.len().min(offset + PIECE_BYTES);
            let piece = Piece {
                digest: Bytes::copy_from_slice(digest.as_bytes()),
                offset: offset as u64,
                bytes: content.slice(offset..end),
                last: end == content.len(),
            };
            match timeout(SEND_LIMIT, outbox.send(Body::Piece(piece))).await {
                Ok(Ok(())) => (),
                _ => return false,
            }
            offset = end;
            sleep_until(start + rate.duration_of(offset as u64)).await;
        }
        true
    }

    async fn outbox(&self, to: &Receiver) -> Option<Outbox> {
        let known = self.kept.lock().await.get(&to.address).cloned();
        if let Some(outbox) = known.filter(|outbox| !outbox.is_closed()) {
            return Some(outbox);
        }
        let link = self.links.bulk(to.address).await.ok()?;
        // The address may belong to a later life, which wants nothing of this.
        if link.peer.incarnation != to.incarnation {
            link.outbox.close();
            return None;
        }
        let outbox = link.outbox.clone();
        tokio::spawn(idle(link));
        self.kept.lock().await.insert(to.address, outbox.clone());
        Some(outbox)
    }
}

/// Nothing comes back over a pushed link but heartbeats; reading finds its end.
async fn idle(mut link: BulkLink) {
    while link.inbox.receive().await.is_some() {}
}

/// Puts the pieces that come over one bulk link together.
pub(crate) async fn receive(mut link: BulkLink, pushed: mpsc::Sender<Pushed>) {
    let mut parts: HashMap<Digest, BytesMut> = HashMap::new();
    while let Some(body) = link.inbox.receive().await {
        let Body::Piece(piece) = body else { continue };
        let Ok(digest) = Digest::try_from(&piece.digest[..]) else {
            continue;
        };
        let part = parts.entry(digest).or_default();
        // A push that starts again replaces what was left of the last one.
        part.truncate(usize::try_from(piece.offset).unwrap_or(usize::MAX));
        let whole = part.len() + piece.bytes.len();
        if part.len() as u64 != piece.offset || whole > MAX_CHUNK_BYTES as usize {
            parts.remove(&digest);
            continue;
        }
        part.extend_from_slice(&piece.bytes);
        if !piece.last {
            continue;
        }
        let content = parts.remove(&digest).unwrap_or_default().freeze();
        let news = Pushed {
            from: link.peer.host.clone(),
            incarnation: link.peer.incarnation,
            digest,
            content,
        };
        if pushed.send(news).await.is_err() {
            return;
        }
    }
}
