//! Authenticated UDP datagrams for probes and gossip.
//!
//! A process probes hundreds of peers, each of them rarely. A connection to each
//! peer would cost more heartbeats than probes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use azurestand_types::{HostName, Incarnation};
use bytes::Bytes;
use prost::Message;
use quick_error::quick_error;
use subtle::ConstantTimeEq;
use tokio::net::UdpSocket;

use crate::key::FleetKey;

const CODE_BYTES: usize = 16;
const WINDOW: u64 = 64;
const MAX_SENDERS: usize = 4_096;

/// The maximum payload of one datagram, in bytes; it fits in an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_300;

quick_error! {
    /// Why a datagram was dropped.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DatagramError {
        /// The authentication code is wrong, or the bytes are not a valid datagram.
        Code {
            display("a datagram's code is wrong; check that both hosts have the same fleet_key")
        }
        /// The datagram was received before, or it is too old for the replay window.
        Replayed {
            display("a datagram was replayed; if it goes on, find who sends it")
        }
    }
}

#[derive(Clone, PartialEq, Message)]
struct Contents {
    #[prost(string, tag = "1")]
    host: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(bytes = "bytes", tag = "4")]
    payload: Bytes,
}

/// Authenticates the outgoing datagrams of one process.
#[derive(Debug)]
pub struct Sealer {
    code: [u8; 32],
    host: HostName,
    incarnation: Incarnation,
    sequence: AtomicU64,
}

impl Sealer {
    /// Creates a sealer that sends as `host` in its current `incarnation`.
    pub fn new(key: &FleetKey, host: HostName, incarnation: Incarnation) -> Self {
        Self {
            code: key.derive("azurestand datagram", &[]),
            host,
            incarnation,
            sequence: AtomicU64::new(1),
        }
    }

    /// Encodes `payload` as the next datagram, with its authentication code.
    pub fn seal(&self, payload: Bytes) -> Bytes {
        let contents = Contents {
            host: self.host.to_string(),
            incarnation: self.incarnation.0,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            payload,
        };
        let encoded = contents.encode_to_vec();
        let mut datagram = code(&self.code, &encoded).to_vec();
        datagram.extend_from_slice(&encoded);
        datagram.into()
    }
}

fn code(key: &[u8; 32], body: &[u8]) -> [u8; CODE_BYTES] {
    let mut code = [0; CODE_BYTES];
    blake3::Hasher::new_keyed(key)
        .update(body)
        .finalize_xof()
        .fill(&mut code);
    code
}

/// The replay window of one sender: which of its latest datagrams were received.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    incarnation: u64,
    highest: u64,
    seen: u64,
}

impl Window {
    /// Records a datagram and returns whether it is new; datagrams may arrive out of order.
    fn accept(&mut self, incarnation: u64, sequence: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Self {
                incarnation,
                ..Self::default()
            };
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = self
                .seen
                .checked_shl(u32::try_from(shift).unwrap_or(64))
                .unwrap_or(0)
                | 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        let bit = 1_u64
            .checked_shl(u32::try_from(age).unwrap_or(64))
            .unwrap_or(0);
        let fresh = age < WINDOW && self.seen & bit == 0;
        self.seen |= bit;
        fresh
    }
}

/// Verifies incoming datagrams and accepts each at most once.
#[derive(Debug)]
pub struct Opener {
    code: [u8; 32],
    windows: BTreeMap<HostName, Window>,
}

impl Opener {
    /// Creates an opener for datagrams sealed with `key`.
    pub fn new(key: &FleetKey) -> Self {
        Self {
            code: key.derive("azurestand datagram", &[]),
            windows: BTreeMap::new(),
        }
    }

    /// Verifies a datagram and returns its payload.
    ///
    /// # Errors
    ///
    /// [`DatagramError`] when it is forged, malformed or replayed.
    pub fn open(&mut self, datagram: &[u8]) -> Result<Bytes, DatagramError> {
        let (sent, body) = datagram
            .split_at_checked(CODE_BYTES)
            .ok_or(DatagramError::Code)?;
        if !bool::from(code(&self.code, body).ct_eq(sent)) {
            return Err(DatagramError::Code);
        }
        let contents = Contents::decode(body).map_err(|_| DatagramError::Code)?;
        let host = HostName::try_from(contents.host.as_str()).map_err(|_| DatagramError::Code)?;
        if self.windows.len() >= MAX_SENDERS && !self.windows.contains_key(&host) {
            self.windows.pop_first();
        }
        let window = self.windows.entry(host).or_default();
        if window.accept(contents.incarnation, contents.sequence) {
            Ok(contents.payload)
        } else {
            Err(DatagramError::Replayed)
        }
    }
}

/// Receives the next datagram from `socket` and verifies it.
///
/// # Errors
///
/// Returns the socket's error; a rejected datagram is the inner error.
pub async fn receive(
    socket: &UdpSocket,
    opener: &mut Opener,
) -> io::Result<Result<(SocketAddr, Bytes), DatagramError>> {
    let mut buffer = [0; 2_048];
    let (length, from) = socket.recv_from(&mut buffer).await?;
    Ok(opener
        .open(&buffer[..length])
        .map(|payload| (from, payload)))
}
