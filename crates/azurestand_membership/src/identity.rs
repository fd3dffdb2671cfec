//! The identity of a process.

use std::net::SocketAddr;

use azurestand_types::{DataCentre, HostName, Incarnation, Region, rendezvous};
use derive_more::Display;

/// What a process does for the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Role {
    /// Takes requests from callers and routes them.
    #[display("entry")]
    Entry,
    /// Stands in front of one target on the target's host.
    #[display("agent")]
    Agent,
}

/// The models and services of a host's targets, one bit of 32 for each name.
///
/// Every record carries the set, so it has to be small; hosts that distribute a
/// model's weights use it to skip hosts that don't serve the model. Two names may
/// share a bit; the cost is an unneeded request, which the host declines.
///
/// ```
/// use azurestand_membership::Subjects;
///
/// let subjects = Subjects::of(["dispatch"]);
/// assert!(subjects.may_serve("dispatch"));
/// assert!(!Subjects::default().may_serve("dispatch"));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Subjects(pub(crate) u32);

impl Subjects {
    /// The set of these names.
    pub fn of<'a, I>(names: I) -> Self
    where
        I: IntoIterator<Item = &'a str>,
    {
        Self(names.into_iter().fold(0, |bits, name| bits | bit(name)))
    }

    /// Whether `name` may be in the set: false positives are possible, false negatives are not.
    pub fn may_serve(self, name: &str) -> bool {
        self.0 & bit(name) != 0
    }
}

fn bit(name: &str) -> u32 {
    1 << (rendezvous::score(b"subject", name) % u64::from(u32::BITS))
}

/// What a process announces about itself; it does not change while the process runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The host's name, which a replacement may reuse.
    pub host: HostName,
    /// What the process does.
    pub role: Role,
    /// The host's data centre.
    pub centre: DataCentre,
    /// The region of that data centre.
    pub region: Region,
    /// Where peers reach the process.
    pub address: SocketAddr,
    /// What the host's targets serve.
    pub subjects: Subjects,
    /// Distinguishes successive processes under one host name; the daemon derives it
    /// from the start time, so that a later process always has a higher one.
    pub incarnation: Incarnation,
}
