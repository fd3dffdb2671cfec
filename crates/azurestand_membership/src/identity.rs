//! Who a process is.

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
/// Every record carries it, so it has to be small; hosts that spread a model's
/// weights need it to leave out those that don't serve the model. Two names may
/// share a bit: then a host is asked once too often and declines.
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

    /// Whether `name` may be in the set; a no is certain.
    pub fn may_serve(self, name: &str) -> bool {
        self.0 & bit(name) != 0
    }
}

fn bit(name: &str) -> u32 {
    1 << (rendezvous::score(b"subject", name) % u64::from(u32::BITS))
}

/// What a process tells its peers about itself; it does not change while the process lives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The host's name, which a replacement may carry again.
    pub host: HostName,
    /// What the process does.
    pub role: Role,
    /// The data centre that the host stands in.
    pub centre: DataCentre,
    /// The region of that data centre.
    pub region: Region,
    /// Where peers reach the process.
    pub address: SocketAddr,
    /// What the host's targets serve.
    pub subjects: Subjects,
    /// The life of the host name; the daemon derives it from the time at start,
    /// so that a later process under the same name always has a higher one.
    pub incarnation: Incarnation,
}
