//! Names, revisions, digests and outcomes shared by every crate.
//!
//! Raw input is parsed into these checked types where it enters a process; the
//! rest of the code never handles an unchecked name or number. See
//! [docs/GLOSSARY.md](../../../docs/GLOSSARY.md) for the terms.
//!
//! ```
//! use azurestand_types::{HostName, rendezvous};
//!
//! let hosts = ["a", "b", "c"].map(|name| HostName::try_from(name).unwrap());
//! let order = rendezvous::order(b"chunk 7", &hosts);
//! assert_eq!(order.len(), 3);
//! ```

mod digest;
mod moment;
mod name;
mod number;
mod outcome;
/// Rendezvous (highest-random-weight) hashing, used wherever nodes must agree
/// without exchanging messages.
pub mod rendezvous;
mod request;

pub use digest::{Digest, DigestError};
pub use moment::Moment;
pub use name::{
    AccountName, DataCentre, HostName, ModelName, NameError, PriorityName, Region, ServiceName,
    TargetName, VersionName,
};
pub use number::{BootId, ChangeId, ChangeIdError, Epoch, Fence, Incarnation, Priority, Revision};
pub use outcome::{Outcome, Refusal, Uncertainty};
pub use request::{RequestId, RequestIdError, RequestKey, RequestKeyError};
