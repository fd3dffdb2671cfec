//! Gives each event of a stream an id by which a caller can take the stream up again.

use azurestand_types::{DataCentre, RequestId, TargetName};
use bytes::{Bytes, BytesMut};

/// An event longer than this is passed on without an id.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// The offset is padded, so that an id's length doesn't depend on it.
const OFFSET_DIGITS: usize = 12;

/// Cuts a stream into events and puts an id into each.
#[derive(Debug)]
pub(crate) struct Stamper {
    prefix: String,
    rest: BytesMut,
    offset: u64,
}

impl Stamper {
    /// The id names the target and its data centre, so that any entry finds it.
    pub(crate) fn new(id: RequestId, target: &TargetName, centre: &DataCentre) -> Self {
        Self {
            prefix: format!("id: {id}:{target}@{centre}:"),
            rest: BytesMut::new(),
            offset: 0,
        }
    }

    /// Takes the next part of the engine's stream and gives what can go on.
    pub(crate) fn push(&mut self, part: &[u8]) -> Bytes {
        self.rest.extend_from_slice(part);
        let mut out = BytesMut::new();
        while let Some(end) = find_end(&self.rest) {
            let event = self.rest.split_to(end);
            self.stamp(&event, &mut out);
        }
        if self.rest.len() > MAX_EVENT_BYTES {
            out.extend_from_slice(&self.flush());
        }
        out.freeze()
    }

    /// Whether the stream ends between events, so that nothing of one is missing.
    pub(crate) fn is_at_boundary(&self) -> bool {
        self.rest.iter().all(u8::is_ascii_whitespace)
    }

    /// What is left when the stream has ended.
    pub(crate) fn flush(&mut self) -> Bytes {
        let rest = self.rest.split().freeze();
        self.offset += rest.len() as u64;
        rest
    }

    fn stamp(&mut self, event: &[u8], out: &mut BytesMut) {
        let line = self.prefix.len() + OFFSET_DIGITS + 1;
        self.offset += (line + event.len()) as u64;
        let id = format!("{}{:0OFFSET_DIGITS$}\n", self.prefix, self.offset);
        out.extend_from_slice(id.as_bytes());
        out.extend_from_slice(event);
    }
}

/// The length of the first whole event, its blank line included.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let found = bytes.windows(2).position(|pair| pair == b"\n\n")?;
    Some(found + 2)
}
