//! Bounds the memory of the responses that are read completely before they are passed on.
//!
//! Each response may hold some bytes of its own. Larger ones draw on memory that all of them
//! share, so that a few endless responses can't use up the memory of the process, and small
//! responses need not wait for them.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};
use hyper::body::Body;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::client::{CollectError, collect};

/// What each response may hold without drawing on the shared memory, in bytes.
const OWN_BYTES: usize = 64 * 1024;
/// The unit in which shared memory is reserved, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;
/// What all responses may hold of the shared memory, in bytes. A buffer that has grown may
/// take up twice the bytes in it.
const SHARED_BYTES: usize = 32 << 20;

/// The free blocks of the shared memory.
static FREE_BLOCKS: Semaphore = Semaphore::const_new(SHARED_BYTES / BLOCK_BYTES);

/// Shared memory that a response has reserved; free again on drop.
#[derive(Debug, Default)]
struct Reserved {
    blocks: usize,
    permit: Option<SemaphorePermit<'static>>,
}

impl Reserved {
    /// Reserves memory for a response of `bytes` bytes; returns whether there is enough.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let needed = bytes.saturating_sub(OWN_BYTES).div_ceil(BLOCK_BYTES);
        let more = needed.saturating_sub(self.blocks);
        let count = u32::try_from(more).unwrap_or(u32::MAX);
        let Ok(permit) = FREE_BLOCKS.try_acquire_many(count) else {
            return false;
        };
        match self.permit.as_mut() {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
        self.blocks += more;
        true
    }
}

/// A complete response with its reservation, which lasts until the caller has the bytes.
struct Collected {
    bytes: BytesMut,
    _reserved: Reserved,
}

impl AsRef<[u8]> for Collected {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a response of at most `max_bytes` bytes.
pub(crate) async fn collect_response<B>(body: B, max_bytes: usize) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let mut reserved = Reserved::default();
    let bytes = collect(body, max_bytes, |length| reserved.grow_to(length)).await?;
    Ok(Bytes::from_owner(Collected {
        bytes,
        _reserved: reserved,
    }))
}
