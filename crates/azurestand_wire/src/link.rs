//! One link: a TCP connection with a session, two pumps and heartbeats.

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
use crate::session::{Half, MAX_FRAME_BYTES, SealError, Session};

const HANDSHAKE_LIMIT: Duration = Duration::from_secs(2);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
const QUEUE_FRAMES: usize = 512;
const MAX_HELLO_BYTES: usize = 1_024;
const NONCE_BYTES: usize = 24;

quick_error! {
    /// Why a link could not be opened or has ended.
    #[derive(Debug)]
    pub enum LinkError {
        /// The operating system refused or broke the connection.
        Io(error: io::Error) {
            display("the connection failed: {error}; check the address and the network")
            from()
        }
        /// The other end sent no valid frame in time.
        Silent {
            display("the other end is silent; check that the process runs and has the same fleet_key")
        }
        /// The other end's hello was refused.
        Hello(error: HelloError) {
            display("{error}")
            from()
        }
        /// The other end's hello is no message.
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
    /// Queues `body`, waiting for room.
    ///
    /// # Errors
    ///
    /// [`LinkError::Closed`] when the link has ended. Success means queued, not arrived.
    pub async fn send(&self, body: Body) -> Result<(), LinkError> {
        tokio::select! {
            sent = self.frames.send(body) => sent.map_err(|_| LinkError::Closed),
            () = self.ended.cancelled() => Err(LinkError::Closed),
        }
    }

    /// Queues `body` if there is room now; for messages that a later one replaces.
    pub fn offer(&self, body: Body) -> bool {
        self.try_send(body).is_ok()
    }

    /// Queues `body` if there is room now.
    ///
    /// # Errors
    ///
    /// Gives `body` back when there is no room or the link has ended.
    pub fn try_send(&self, body: Body) -> Result<(), Body> {
        if self.ended.is_cancelled() {
            return Err(body);
        }
        self.frames.try_send(body).map_err(TrySendError::into_inner)
    }

    /// Ends the link at both sides.
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
    /// One of the ends closed it, or the network broke it.
    #[display("it was closed")]
    Closed,
    /// Nothing was heard for longer than a heartbeat may take.
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
    /// The next message that isn't a heartbeat, or none when the link has ended.
    pub async fn receive(&mut self) -> Option<Body> {
        self.messages.recv().await
    }

    /// Why the link ended; closed as long as nothing worse is known.
    pub fn end(&self) -> LinkEnd {
        self.end.get().cloned().unwrap_or(LinkEnd::Closed)
    }
}

/// An open link to a process whose identity is proved.
#[derive(Debug)]
pub struct Link {
    /// Who is at the other end.
    pub peer: Identity,
    /// What the link is for.
    pub purpose: Purpose,
    /// The sending side.
    pub outbox: Outbox,
    /// The receiving side.
    pub inbox: Inbox,
}

type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

struct Ends {
    reader: Reader,
    writer: Writer,
}

impl Ends {
    fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        // Until the other end has proved the key, it may send no more than a hello.
        let small = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_HELLO_BYTES)
            .new_codec();
        let large = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Ok(Self {
            reader: FramedRead::new(read, small),
            writer: FramedWrite::new(write, large),
        })
    }

    async fn greet(&mut self, hello: &Hello) -> Result<(), LinkError> {
        self.writer
            .send(Bytes::from(hello.encode_to_vec()))
            .await
            .map_err(LinkError::from)
    }

    async fn hear(&mut self) -> Result<Hello, LinkError> {
        let frame = self.reader.next().await.ok_or(LinkError::Closed)??;
        Hello::decode(frame).map_err(|_| LinkError::Malformed)
    }

    /// Exchanges one sealed frame each way, which proves the key and the session.
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

fn draw_nonce() -> Bytes {
    // The standard library's hash keys come from the operating system's generator.
    use std::hash::{BuildHasher, RandomState};
    let words = (0..NONCE_BYTES / 8).map(|n| RandomState::new().hash_one(n));
    words.flat_map(u64::to_le_bytes).collect()
}

/// Opens a link to `address`.
///
/// # Errors
///
/// [`LinkError`] when the connection fails, or the other end doesn't prove the key in time.
pub async fn connect(
    address: SocketAddr,
    key: &FleetKey,
    own: &Identity,
    purpose: Purpose,
) -> Result<Link, LinkError> {
    let opening = async {
        let stream = TcpStream::connect(address).await?;
        let mut ends = Ends::new(stream)?;
        let ours = own.hello(purpose, draw_nonce());
        ends.greet(&ours).await?;
        let theirs = ends.hear().await?;
        let peer = Identity::try_from(&theirs)?;
        let mut session = Session::opener(key, &transcript(&ours), &transcript(&theirs));
        ends.prove(&mut session).await?;
        Ok(start(peer, purpose, ends, session))
    };
    timeout(HANDSHAKE_LIMIT, opening)
        .await
        .unwrap_or(Err(LinkError::Silent))
}

/// Accepts a link on `stream`.
///
/// # Errors
///
/// [`LinkError`] when the other end doesn't prove the key in time.
pub async fn accept(stream: TcpStream, key: &FleetKey, own: &Identity) -> Result<Link, LinkError> {
    let accepting = async {
        let mut ends = Ends::new(stream)?;
        let theirs = ends.hear().await?;
        let peer = Identity::try_from(&theirs)?;
        let purpose = Purpose::try_from(&theirs)?;
        let ours = own.hello(purpose, draw_nonce());
        ends.greet(&ours).await?;
        let mut session = Session::accepter(key, &transcript(&theirs), &transcript(&ours));
        ends.prove(&mut session).await?;
        Ok(start(peer, purpose, ends, session))
    };
    timeout(HANDSHAKE_LIMIT, accepting)
        .await
        .unwrap_or(Err(LinkError::Silent))
}

/// The whole hello enters the session's key, so that no part of it can be altered.
fn transcript(hello: &Hello) -> Vec<u8> {
    hello.encode_to_vec()
}

fn start(peer: Identity, purpose: Purpose, ends: Ends, session: Session) -> Link {
    let (frames, queue) = mpsc::channel(QUEUE_FRAMES);
    let (deliver, inbox) = mpsc::channel(QUEUE_FRAMES);
    let ended = CancellationToken::new();
    let end = Arc::new(OnceLock::new());
    let Session { outward, inward } = session;
    let Ends { reader, writer } = ends;
    tokio::spawn(pump_out(writer, outward, queue, ended.clone()));
    let pump = pump_in(reader, inward, deliver, end.clone());
    let token = ended.clone();
    tokio::spawn(async move {
        let _guard = token.clone().drop_guard();
        tokio::select! {
            () = pump => (),
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

async fn pump_out(
    mut writer: Writer,
    mut half: Half,
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
        // A peer that takes no bytes any more is as good as silent.
        let sent = timeout(
            SILENCE_LIMIT,
            flush(&mut writer, &mut half, body, &mut queue),
        );
        if !matches!(sent.await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Writes `body` and what else already waits, so that one system call carries many frames.
async fn flush(
    writer: &mut Writer,
    half: &mut Half,
    body: Body,
    queue: &mut mpsc::Receiver<Body>,
) -> io::Result<()> {
    writer.feed(half.seal(body)).await?;
    while let Ok(body) = queue.try_recv() {
        writer.feed(half.seal(body)).await?;
    }
    SinkExt::<Bytes>::flush(writer).await
}

async fn pump_in(
    mut reader: Reader,
    mut half: Half,
    deliver: mpsc::Sender<Body>,
    end: Arc<OnceLock<LinkEnd>>,
) {
    loop {
        let frame = match timeout(SILENCE_LIMIT, reader.next()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(_) => return,
            Err(_) => {
                let _ = end.set(LinkEnd::Silent);
                return;
            }
        };
        let body = match half.open(frame.freeze()) {
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
