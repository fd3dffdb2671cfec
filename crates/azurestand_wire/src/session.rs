//! Seals and opens the frames of one link.

use bytes::{BufMut, Bytes, BytesMut};
use prost::Message;
use quick_error::quick_error;
use subtle::ConstantTimeEq;

use crate::key::FleetKey;
use crate::message::{Body, Envelope};

const CODE_BYTES: usize = 16;

/// The longest frame that a process reads, in bytes; a longer one ends the link.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

quick_error! {
    /// Why a frame was refused. The link ends, since nothing after it can be trusted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SealError {
        /// The frame's code is wrong: another key, a forged or a replayed frame.
        Code {
            display("a frame's code is wrong; check that both hosts have the same fleet_key")
        }
        /// The frame is no message of this protocol.
        Malformed(reason: String) {
            display("a frame is malformed ({reason}); run the same version on both hosts")
        }
    }
}

/// One direction's key and the place of the next frame.
#[derive(Debug)]
pub(crate) struct Half {
    key: [u8; 32],
    counter: u64,
}

impl Half {
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

    /// Encodes `body` behind its code.
    pub(crate) fn seal(&mut self, body: Body) -> Bytes {
        let envelope = Envelope { body: Some(body) };
        let encoded = envelope.encode_to_vec();
        let mut frame = BytesMut::with_capacity(CODE_BYTES + encoded.len());
        frame.put_slice(&self.code(&encoded));
        frame.put_slice(&encoded);
        frame.freeze()
    }

    /// Checks the code, then decodes.
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

/// Both directions of one link, as one of its ends sees them.
#[derive(Debug)]
pub struct Session {
    pub(crate) outward: Half,
    pub(crate) inward: Half,
}

impl Session {
    /// The session of the end that opened the link.
    pub(crate) fn opener(key: &FleetKey, opener: &[u8], accepter: &[u8]) -> Self {
        Self {
            outward: Half::new(key.derive("azurestand opener", &[opener, accepter])),
            inward: Half::new(key.derive("azurestand accepter", &[opener, accepter])),
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

    /// Encodes `body` as the next frame outward.
    pub fn seal(&mut self, body: Body) -> Bytes {
        self.outward.seal(body)
    }

    /// Decodes the next frame inward. An unknown kind of message is an empty ping.
    ///
    /// # Errors
    ///
    /// [`SealError`] when the frame is forged, replayed, out of order or malformed.
    pub fn open(&mut self, frame: &Bytes) -> Result<Body, SealError> {
        let body = self.inward.open(frame.clone())?;
        Ok(body.unwrap_or(Body::Ping(crate::message::Ping {})))
    }
}
