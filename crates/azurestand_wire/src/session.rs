//! Authenticates and verifies the frames of one link.

use bytes::{BufMut, Bytes, BytesMut};
use prost::Message;
use quick_error::quick_error;
use subtle::ConstantTimeEq;

use crate::key::FleetKey;
use crate::message::{Body, Envelope};

const CODE_BYTES: usize = 16;

/// The maximum frame that a process reads, in bytes; a longer one closes the link.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

quick_error! {
    /// Why a frame was rejected. The link is closed, since nothing after it can be trusted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SealError {
        /// The authentication code is wrong: another key, or a forged or replayed frame.
        Code {
            display("a frame's code is wrong; check that both hosts have the same fleet_key")
        }
        /// The frame is not a message of this protocol.
        Malformed(reason: String) {
            display("a frame is malformed ({reason}); run the same version on both hosts")
        }
    }
}

/// The key of one direction and the number of its next frame.
#[derive(Debug)]
pub(crate) struct Direction {
    key: [u8; 32],
    counter: u64,
}

impl Direction {
    fn new(key: [u8; 32]) -> Self {
        Self { key, counter: 0 }
    }

    fn code(&mut self, body: &[u8]) -> [u8; CODE_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.counter.to_le_bytes());
        hasher.update(body);
        self.counter += 1;
        let mut code = [0; CODE_BYTES];
        hasher.finalize_xof().fill(&mut code);
        code
    }

    /// Encodes `body`, preceded by its authentication code.
    pub(crate) fn seal(&mut self, body: Body) -> Bytes {
        let envelope = Envelope { body: Some(body) };
        let encoded = envelope.encode_to_vec();
        let mut frame = BytesMut::with_capacity(CODE_BYTES + encoded.len());
        frame.put_slice(&self.code(&encoded));
        frame.put_slice(&encoded);
        frame.freeze()
    }

    /// Verifies the authentication code, then decodes.
    pub(crate) fn open(&mut self, mut frame: Bytes) -> Result<Option<Body>, SealError> {
        if frame.len() < CODE_BYTES {
            return Err(SealError::Code);
        }
        let code = frame.split_to(CODE_BYTES);
        let expected = self.code(&frame);
        if !bool::from(expected.ct_eq(&code[..])) {
            return Err(SealError::Code);
        }
        let envelope =
            Envelope::decode(frame).map_err(|error| SealError::Malformed(error.to_string()))?;
        Ok(envelope.body)
    }
}

/// The keys and frame counters of both directions, at one end of a link.
#[derive(Debug)]
pub struct Session {
    pub(crate) outward: Direction,
    pub(crate) inward: Direction,
}

impl Session {
    /// The session of the end that opened the link.
    pub(crate) fn opener(key: &FleetKey, opener: &[u8], accepter: &[u8]) -> Self {
        Self {
            outward: Direction::new(key.derive("azurestand opener", &[opener, accepter])),
            inward: Direction::new(key.derive("azurestand accepter", &[opener, accepter])),
        }
    }

    /// The session of the end that accepted the link.
    pub(crate) fn accepter(key: &FleetKey, opener: &[u8], accepter: &[u8]) -> Self {
        let Self { outward, inward } = Self::opener(key, opener, accepter);
        Self {
            outward: inward,
            inward: outward,
        }
    }

    /// Both ends of one session, for tests and embedding.
    pub fn pair(key: &FleetKey, opener: &[u8], accepter: &[u8]) -> (Self, Self) {
        (
            Self::opener(key, opener, accepter),
            Self::accepter(key, opener, accepter),
        )
    }

    /// Encodes `body` as the next outgoing frame.
    pub fn seal(&mut self, body: Body) -> Bytes {
        self.outward.seal(body)
    }

    /// Verifies and decodes the next incoming frame. A message of an unknown kind is
    /// returned as a ping.
    ///
    /// # Errors
    ///
    /// [`SealError`] when the frame is forged, replayed, out of order or malformed.
    pub fn open(&mut self, frame: &Bytes) -> Result<Body, SealError> {
        let body = self.inward.open(frame.clone())?;
        Ok(body.unwrap_or(Body::Ping(crate::message::Ping {})))
    }
}
