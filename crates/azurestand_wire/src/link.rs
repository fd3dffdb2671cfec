//! A link: a TCP connection with a session, a read task, a write task and heartbeats.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use quick_error::quick_error;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{self, error::TrySendError};
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use crate::handshake::{HelloError, Identity, Purpose};
use crate::key::FleetKey;
use crate::message::{Body, Hello, Ping};
use crate::session::{Direction, MAX_FRAME_BYTES, SealError, Session};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
const QUEUE_FRAMES: usize = 512;
const MAX_HELLO_BYTES: usize = 1_024;
const NONCE_BYTES: usize = 24;

quick_error! {
    /// Why a link could not be opened or was closed.
    #[derive(Debug)]
    pub enum LinkError {
        /// The operating system refused or broke the connection.
        Io(error: io::Error) {
            display("the connection failed: {error}; check the address and the network")
            from()
        }
        /// The peer sent no valid frame in time.
        Silent {
            display("the other end is silent; check that the process runs and has the same fleet_key")
        }
        /// The other end's hello was refused.
        Hello(error: HelloError) {
            display("{error}")
            from()
        }
        /// The peer's hello can't be decoded.
        Malformed {
            display("the other end's hello is malformed; check the address and the version there")
        }
        /// A frame was refused.
        Seal(error: SealError) {
            display("{error}")
            from()
        }
        /// The link has ended.
        Closed {
            display("the link has ended; open another")
        }
    }
}

/// The sending side of a link; clones share it.
#[derive(Debug, Clone)]
pub struct Outbox {
    frames: mpsc::Sender<Body>,
    ended: CancellationToken,
}

impl Outbox {
    /// Queues `body`, waiting for space in the queue.
    ///
    /// # Errors
    ///
    /// [`LinkError::Closed`] when the link has ended. Success means queued, not received.
    pub async fn send(&self, body: Body) -> Result<(), LinkError> {
        tokio::select! {
            sent = self.frames.send(body) => sent.map_err(|_| LinkError::Closed),
            () = self.ended.cancelled() => Err(LinkError::Closed),
        }
    }

    /// Queues `body` if the queue has space; for messages that a later one supersedes.
    pub fn offer(&self, body: Body) -> bool {
        self.try_send(body).is_ok()
    }

    /// Queues `body` if the queue has space.
    ///
    /// # Errors
    ///
    /// Returns `body` when the queue is full or the link has ended.
    pub fn try_send(&self, body: Body) -> Result<(), Body> {
        if self.ended.is_cancelled() {
            return Err(body);
        }
        self.frames.try_send(body).map_err(TrySendError::into_inner)
    }

    /// Closes the link at both ends.
    pub fn close(&self) {
        self.ended.cancel();
    }

    /// Whether `other` sends over the same link.
    pub fn is_same(&self, other: &Self) -> bool {
        self.frames.same_channel(&other.frames)
    }

    /// Whether the link has ended.
    pub fn is_closed(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Completes when the link has ended.
    pub async fn closed(&self) {
        self.ended.cancelled().await;
    }
}

/// Why a link ended.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum LinkEnd {
    /// Either end closed the connection, or the network failed.
    #[display("it was closed")]
    Closed,
    /// No frame arrived within the silence timeout, which exceeds the heartbeat interval.
    #[display("the other end is silent; new work goes over a new link")]
    Silent,
    /// A frame was forged, replayed or malformed.
    #[display("{_0}")]
    Refused(SealError),
}

/// The receiving side of a link.
#[derive(Debug)]
pub struct Inbox {
    messages: mpsc::Receiver<Body>,
    end: Arc<OnceLock<LinkEnd>>,
}

impl Inbox {
    /// Returns the next message that isn't a heartbeat, or `None` when the link has ended.
    pub async fn receive(&mut self) -> Option<Body> {
        self.messages.recv().await
    }

    /// Why the link ended; [`LinkEnd::Closed`] unless another reason is known.
    pub fn end(&self) -> LinkEnd {
        self.end.get().cloned().unwrap_or(LinkEnd::Closed)
    }
}

/// An open link to an authenticated process.
#[derive(Debug)]
pub struct Link {
    /// The identity of the peer.
    pub peer: Identity,
    /// The kind of traffic that the link carries.
    pub purpose: Purpose,
    /// The sending side.
    pub outbox: Outbox,
    /// The receiving side.
    pub inbox: Inbox,
}

type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

struct Framed {
    reader: Reader,
    writer: Writer,
}

impl Framed {
    fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        // Until the peer is authenticated, its frames are limited to the size of a hello.
        let hello_codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_HELLO_BYTES)
            .new_codec();
        let frame_codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Ok(Self {
            reader: FramedRead::new(read, hello_codec),
            writer: FramedWrite::new(write, frame_codec),
        })
    }

    async fn send_hello(&mut self, hello: &Hello) -> Result<(), LinkError> {
        self.writer
            .send(Bytes::from(hello.encode_to_vec()))
            .await
            .map_err(LinkError::from)
    }

    async fn receive_hello(&mut self) -> Result<Hello, LinkError> {
        let frame = self.reader.next().await.ok_or(LinkError::Closed)??;
        Hello::decode(frame).map_err(|_| LinkError::Malformed)
    }

    /// Exchanges one sealed frame each way, which proves that both ends have the key.
    async fn prove(&mut self, session: &mut Session) -> Result<(), LinkError> {
        let proof = session.seal(Body::Ping(Ping {}));
        self.writer.send(proof).await?;
        let frame = self.reader.next().await.ok_or(LinkError::Closed)??;
        session.open(&frame.freeze())?;
        self.reader
            .decoder_mut()
            .set_max_frame_length(MAX_FRAME_BYTES);
        Ok(())
    }
}

fn random_nonce() -> Bytes {
    // The standard library seeds its hash keys from the operating system's generator.
    use std::hash::{BuildHasher, RandomState};
    let hashes = (0..NONCE_BYTES / 8).map(|n| RandomState::new().hash_one(n));
    hashes.flat_map(u64::to_le_bytes).collect()
}

/// Opens a link to `address`.
///
/// # Errors
///
/// [`LinkError`] when the connection fails, or the peer isn't authenticated in time.
pub async fn connect(
    address: SocketAddr,
    key: &FleetKey,
    own: &Identity,
    purpose: Purpose,
) -> Result<Link, LinkError> {
    let opening = async {
        let stream = TcpStream::connect(address).await?;
        let mut framed = Framed::new(stream)?;
        let ours = own.hello(purpose, random_nonce());
        framed.send_hello(&ours).await?;
        let theirs = framed.receive_hello().await?;
        let peer = Identity::try_from(&theirs)?;
        let mut session = Session::opener(key, &transcript(&ours), &transcript(&theirs));
        framed.prove(&mut session).await?;
        Ok(start(peer, purpose, framed, session))
    };
    timeout(HANDSHAKE_TIMEOUT, opening)
        .await
        .unwrap_or(Err(LinkError::Silent))
}

/// Accepts a link on `stream`.
///
/// # Errors
///
/// [`LinkError`] when the peer isn't authenticated in time.
pub async fn accept(stream: TcpStream, key: &FleetKey, own: &Identity) -> Result<Link, LinkError> {
    let accepting = async {
        let mut framed = Framed::new(stream)?;
        let theirs = framed.receive_hello().await?;
        let peer = Identity::try_from(&theirs)?;
        let purpose = Purpose::try_from(&theirs)?;
        let ours = own.hello(purpose, random_nonce());
        framed.send_hello(&ours).await?;
        let mut session = Session::accepter(key, &transcript(&theirs), &transcript(&ours));
        framed.prove(&mut session).await?;
        Ok(start(peer, purpose, framed, session))
    };
    timeout(HANDSHAKE_TIMEOUT, accepting)
        .await
        .unwrap_or(Err(LinkError::Silent))
}

/// The whole hello goes into the session key, so that altering any part of it is detected.
fn transcript(hello: &Hello) -> Vec<u8> {
    hello.encode_to_vec()
}

fn start(peer: Identity, purpose: Purpose, framed: Framed, session: Session) -> Link {
    let (frames, queue) = mpsc::channel(QUEUE_FRAMES);
    let (deliver, inbox) = mpsc::channel(QUEUE_FRAMES);
    let ended = CancellationToken::new();
    let end = Arc::new(OnceLock::new());
    let Session { outward, inward } = session;
    let Framed { reader, writer } = framed;
    tokio::spawn(write_frames(writer, outward, queue, ended.clone()));
    let reading = read_frames(reader, inward, deliver, end.clone());
    let token = ended.clone();
    tokio::spawn(async move {
        let _guard = token.clone().drop_guard();
        tokio::select! {
            () = reading => (),
            () = token.cancelled() => (),
        }
    });
    Link {
        peer,
        purpose,
        outbox: Outbox { frames, ended },
        inbox: Inbox {
            messages: inbox,
            end,
        },
    }
}

async fn write_frames(
    mut writer: Writer,
    mut direction: Direction,
    mut queue: mpsc::Receiver<Body>,
    ended: CancellationToken,
) {
    let _guard = ended.clone().drop_guard();
    loop {
        let next = tokio::select! {
            next = timeout(HEARTBEAT_INTERVAL, queue.recv()) => next,
            () = ended.cancelled() => return,
        };
        let body = match next {
            Ok(Some(body)) => body,
            Ok(None) => return,
            Err(_) => Body::Ping(Ping {}),
        };
        // A peer that no longer reads is handled like a silent one.
        let sent = timeout(
            SILENCE_TIMEOUT,
            flush(&mut writer, &mut direction, body, &mut queue),
        );
        if !matches!(sent.await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Writes `body` and all messages already queued, so that one system call sends many frames.
async fn flush(
    writer: &mut Writer,
    direction: &mut Direction,
    body: Body,
    queue: &mut mpsc::Receiver<Body>,
) -> io::Result<()> {
    writer.feed(direction.seal(body)).await?;
    while let Ok(body) = queue.try_recv() {
        writer.feed(direction.seal(body)).await?;
    }
    SinkExt::<Bytes>::flush(writer).await
}

async fn read_frames(
    mut reader: Reader,
    mut direction: Direction,
    deliver: mpsc::Sender<Body>,
    end: Arc<OnceLock<LinkEnd>>,
) {
    loop {
        let frame = match timeout(SILENCE_TIMEOUT, reader.next()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(_) => return,
            Err(_) => {
                let _ = end.set(LinkEnd::Silent);
                return;
            }
        };
        let body = match direction.open(frame.freeze()) {
            Ok(Some(Body::Ping(_)) | None) => continue,
            Ok(Some(body)) => body,
            Err(error) => {
                let _ = end.set(LinkEnd::Refused(error));
                return;
            }
        };
        if deliver.send(body).await.is_err() {
            return;
        }
    }
}
