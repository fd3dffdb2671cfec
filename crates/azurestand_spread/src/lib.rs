//! Decides which host fetches which chunk of a model's weights, from where, when and how fast.
//!
//! One [`Transfer`] runs on each host. It takes the current moment and an [`Event`],
//! and returns [`Action`]s; it opens no socket and reads no clock. No host coordinates
//! the others: each derives the same fetch order from the live view, so that about one
//! copy per region is read from the origin, however many hosts wait. See
//! [docs/SPREADING.md](../../../docs/SPREADING.md) for the alternatives that were
//! considered and their measurements.
//!
//! ```
//! use std::sync::Arc;
//! use azurestand_spread::{Action, Event, Limits, Site, Source, Transfer, Verified, split_chunks};
//! use azurestand_types::{DataCentre, HostName, Incarnation, ModelName, Moment, Region, VersionName};
//!
//! let site = Site {
//!     host: HostName::try_from("host-1").unwrap(),
//!     incarnation: Incarnation(1),
//!     centre: DataCentre::try_from("north-1").unwrap(),
//!     region: Region::try_from("north").unwrap(),
//! };
//! let model = ModelName::try_from("draft").unwrap();
//! let version = VersionName::try_from("v1").unwrap();
//! let (manifest, chunks) = split_chunks(model, version, 4, [b"weights".to_vec()]).unwrap();
//!
//! let mut transfer = Transfer::new(site, Limits::default(), fastrand::Rng::with_seed(1));
//! let mut now = Moment::START;
//! let mut actions = transfer.handle(now, Event::Wanted(vec![Arc::new(manifest)]));
//! let mut complete = false;
//! while !complete {
//!     now = now + std::time::Duration::from_millis(100);
//!     actions.extend(transfer.handle(now, Event::Tick));
//!     for action in std::mem::take(&mut actions) {
//!         match action {
//!             Action::Fetch { digest, .. } => {
//!                 let chunk = chunks.iter().find(|chunk| chunk.digest == digest).unwrap();
//!                 let outcome = Verified::check(digest, &chunk.content);
//!                 let event = Event::Fetched { digest, source: Source::Origin, outcome };
//!                 actions.extend(transfer.handle(now, event));
//!             }
//!             Action::Complete { .. } => complete = true,
//!             _ => {}
//!         }
//!     }
//! }
//! assert_eq!(transfer.progress(now)[0].held, 2);
//! ```

mod bitmap;
mod bucket;
mod chunker;
mod event;
mod limits;
mod manifest;
mod message;
mod plan;
mod progress;
mod transfer;

pub use bucket::{Bucket, Rate};
pub use chunker::{CHUNK_BYTES, ChunkContent, Chunker, split_chunks};
pub use event::{Action, Event, Failure, LiveTraffic, LogMessage, Peer, Site, Source, Verified};
pub use limits::{Limits, Policy};
pub use manifest::{Chunk, MAX_CHUNK_BYTES, MAX_CHUNKS, Manifest, ManifestError};
pub use message::{Envelope, Message, MessageError, RefuseReason};
pub use plan::{SpreadLinks, min_duration};
pub use progress::{Progress, SourceBytes};
pub use transfer::Transfer;
