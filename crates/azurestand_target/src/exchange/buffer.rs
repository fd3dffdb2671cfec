//! The buffered bytes of one answer.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

/// A byte buffer that grows at its end and is released from its start.
#[derive(Debug, Default)]
pub(crate) struct Buffer {
    chunks: VecDeque<Bytes>,
    /// The offset of the first buffered byte.
    start: u64,
    buffered: usize,
}

impl Buffer {
    pub(crate) fn len(&self) -> usize {
        self.buffered
    }

    /// The number of bytes ever appended, released ones included.
    pub(crate) fn end(&self) -> u64 {
        self.start + self.buffered as u64
    }

    pub(crate) fn push(&mut self, bytes: Bytes) {
        if !bytes.is_empty() {
            self.buffered += bytes.len();
            self.chunks.push_back(bytes);
        }
    }

    /// The buffered bytes from `offset` to the end of their chunk; empty at the
    /// end of the answer; none for bytes that were released or never appended.
    pub(crate) fn read(&self, offset: u64) -> Option<Bytes> {
        if offset > self.end() {
            return None;
        }
        let mut skip = usize::try_from(offset.checked_sub(self.start)?).ok()?;
        for chunk in &self.chunks {
            if skip < chunk.len() {
                return Some(chunk.slice(skip..));
            }
            skip -= chunk.len();
        }
        Some(Bytes::new())
    }

    /// All bytes from the first on, unless some were released.
    pub(crate) fn contents(&self) -> Option<Bytes> {
        if self.start > 0 {
            return None;
        }
        if let [chunk] = self.chunks.as_slices().0
            && self.chunks.len() == 1
        {
            return Some(chunk.clone());
        }
        let mut contents = BytesMut::with_capacity(self.buffered);
        for chunk in &self.chunks {
            contents.extend_from_slice(chunk);
        }
        Some(contents.freeze())
    }

    /// Releases everything before `offset` and returns the number of bytes
    /// released.
    pub(crate) fn release(&mut self, offset: u64) -> usize {
        let offset = offset.min(self.end());
        let Some(count) = offset.checked_sub(self.start) else {
            return 0;
        };
        let released = usize::try_from(count).unwrap_or(self.buffered);
        let mut left = released;
        while let Some(chunk) = self.chunks.front_mut() {
            if chunk.len() > left {
                let _ = chunk.split_to(left);
                break;
            }
            left -= chunk.len();
            self.chunks.pop_front();
        }
        self.buffered -= released;
        self.start = offset;
        released
    }
}
