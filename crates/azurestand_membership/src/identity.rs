//! Who a process is.

use std::net::SocketAddr;

use azurestand_types::{DataCentre, HostName, Incarnation, Region};
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
    /// The life of the host name; the daemon derives it from the time at start,
    /// so that a later process under the same name always has a higher one.
    pub incarnation: Incarnation,
}
