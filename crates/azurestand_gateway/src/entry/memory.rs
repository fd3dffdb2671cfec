//! Bounds the memory of what is read completely before it is passed on: callers' requests, and
//! responses that aren't streams.
//!
//! Each body may hold some bytes of its own. Larger ones draw on memory that all bodies of its
//! kind share, so that a few long ones can't use up the memory of the process, and small ones
//! need not wait for them.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};
use hyper::body::Body;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::client::{CollectError, MIN_PART_BYTES, collect};

/// The unit in which shared memory is reserved, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;
/// What all bodies of a kind may hold of their shared memory, in bytes. A buffer that has grown
/// may take up twice the bytes in it.
const SHARED_BYTES: usize = 32 << 20;
/// What each response may hold without drawing on the shared memory, in bytes. Targets run few
/// requests at a time.
const RESPONSE_OWN_BYTES: usize = 64 * 1024;
/// What each request may hold, in bytes. There may be as many as the process has descriptors.
const REQUEST_OWN_BYTES: usize = 8 * 1024;

static RESPONSES: Pool = Pool::new(RESPONSE_OWN_BYTES);
static REQUESTS: Pool = Pool::new(REQUEST_OWN_BYTES);

/// The memory of all bodies of a kind.
struct Pool {
    own_bytes: usize,
    free_blocks: Semaphore,
}

impl Pool {
    const fn new(own_bytes: usize) -> Self {
        Self {
            own_bytes,
            free_blocks: Semaphore::const_new(SHARED_BYTES / BLOCK_BYTES),
        }
    }

    fn reserve(&'static self) -> Reserved {
        Reserved {
            pool: self,
            blocks: 0,
            permit: None,
        }
    }
}

/// Shared memory that a body has reserved; free again on drop.
struct Reserved {
    pool: &'static Pool,
    blocks: usize,
    permit: Option<SemaphorePermit<'static>>,
}

impl Reserved {
    /// Reserves memory for a body of `bytes` bytes; returns whether there is enough.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let shared = bytes.saturating_sub(self.pool.own_bytes);
        let more = shared.div_ceil(BLOCK_BYTES).saturating_sub(self.blocks);
        let count = u32::try_from(more).unwrap_or(u32::MAX);
        let Ok(permit) = self.pool.free_blocks.try_acquire_many(count) else {
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

/// A complete body with its reservation, which lasts as long as anything holds the bytes.
struct Collected {
    bytes: BytesMut,
    _reserved: Reserved,
}

impl AsRef<[u8]> for Collected {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Collected {
    fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

/// Reads a response of at most `max_bytes` bytes.
pub(crate) async fn collect_response<B>(body: B, max_bytes: usize) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let mut reserved = RESPONSES.reserve();
    let grow = |length| reserved.grow_to(length);
    let bytes = collect(body, max_bytes, MIN_PART_BYTES, grow).await?;
    let collected = Collected {
        bytes,
        _reserved: reserved,
    };
    Ok(collected.into_bytes())
}

/// Reads the body of a request of at most `max_bytes` bytes. Memory for a body that states its
/// length is reserved before anything is read, so that those that are begun can be completed.
pub(crate) async fn collect_request<B>(body: B, max_bytes: usize) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > max_bytes {
        return Err(CollectError::TooLarge(max_bytes));
    }
    let mut reserved = REQUESTS.reserve();
    if !reserved.grow_to(stated) {
        return Err(CollectError::NoMemory);
    }
    // The time for a request's body is limited by the operators.
    let bytes = collect(body, max_bytes, 0, |length| reserved.grow_to(length)).await?;
    let collected = Collected {
        bytes,
        _reserved: reserved,
    };
    Ok(collected.into_bytes())
}
