//! The bytes of an answer that may still be asked for.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

/// A run of bytes that grows at its end and is released from its start.
#[derive(Debug, Default)]
pub(crate) struct Buffer {
    pieces: VecDeque<Bytes>,
    /// Offset of the first byte held.
    start: u64,
    held: usize,
}

impl Buffer {
    pub(crate) fn held(&self) -> usize {
        self.held
    }

    /// Bytes that were ever added.
    pub(crate) fn length(&self) -> u64 {
        self.start + self.held as u64
    }

    pub(crate) fn push(&mut self, bytes: Bytes) {
        if !bytes.is_empty() {
            self.held += bytes.len();
            self.pieces.push_back(bytes);
        }
    }

    /// The piece at `offset`; empty at the end; none where nothing is held.
    pub(crate) fn read(&self, offset: u64) -> Option<Bytes> {
        if offset > self.length() {
            return None;
        }
        let mut skip = usize::try_from(offset.checked_sub(self.start)?).ok()?;
        for piece in &self.pieces {
            if skip < piece.len() {
                return Some(piece.slice(skip..));
            }
            skip -= piece.len();
        }
        Some(Bytes::new())
    }

    /// Everything from the first byte on, unless some was released.
    pub(crate) fn whole(&self) -> Option<Bytes> {
        if self.start > 0 {
            return None;
        }
        if let [piece] = self.pieces.as_slices().0
            && self.pieces.len() == 1
        {
            return Some(piece.clone());
        }
        let mut whole = BytesMut::with_capacity(self.held);
        for piece in &self.pieces {
            whole.extend_from_slice(piece);
        }
        Some(whole.freeze())
    }

    /// Releases everything before `offset` and says how many bytes that were.
    pub(crate) fn release(&mut self, offset: u64) -> usize {
        let offset = offset.min(self.length());
        let Some(ahead) = offset.checked_sub(self.start) else {
            return 0;
        };
        let released = usize::try_from(ahead).unwrap_or(self.held);
        let mut left = released;
        while let Some(piece) = self.pieces.front_mut() {
            if piece.len() > left {
                let _ = piece.split_to(left);
                break;
            }
            left -= piece.len();
            self.pieces.pop_front();
        }
        self.held -= released;
        self.start = offset;
        released
    }
}
