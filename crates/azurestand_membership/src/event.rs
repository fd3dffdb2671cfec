//! A member's inputs (events) and outputs (actions).

use std::net::SocketAddr;
use std::sync::Arc;

use azurestand_types::{DataCentre, HostName, Incarnation};
use bytes::Bytes;
use derive_more::Display;

use crate::{Config, Gossip, Stamp, State};

/// An input to the member.
#[derive(Debug, Clone)]
pub enum Event {
    /// [`Limits::tick`](crate::Limits::tick) has passed.
    Tick,
    /// A peer's authenticated and decoded message arrived.
    Received(Box<Gossip>),
    /// A connection to this peer opened, or a check showed that it works.
    Connected(HostName),
    /// A connection to this peer broke or timed out.
    Disconnected(HostName),
    /// The platform's list, which lags behind, was read.
    Listed(Listing),
    /// The store answered, or failed to.
    Store(StoreOutcome),
    /// The process's own status changed; at most 512 bytes, a longer one is cut off.
    Status(Bytes),
    /// The process starts to leave: it completes its current work and takes no new work.
    Leave,
    /// The process is about to end.
    Shutdown,
}

/// What the platform's lagging list says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Addresses of listed processes; used to find peers, never as evidence that they run.
    pub live: Vec<SocketAddr>,
    /// Hosts listed as leaving.
    pub leaving: Vec<HostName>,
}

/// The outcome of a store read or watch.
#[derive(Debug, Clone)]
pub enum StoreOutcome {
    /// A read or a watch gave this document.
    Config(Arc<Config>),
    /// The store answered and holds nothing newer; sent whenever a watch is reopened,
    /// which a daemon does every ten seconds, since a silent connection may be broken.
    Current,
    /// A read failed or the watch broke.
    Failed,
}

/// A task for the daemon.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send this message to the process at this address; delivery isn't guaranteed.
    Send {
        /// Where the receiver listens.
        to: SocketAddr,
        /// What to send.
        gossip: Box<Gossip>,
    },
    /// Read the document and watch it until [`Action::StopWatch`], reconnecting with back-off.
    StartWatch,
    /// Stop watching the document.
    StopWatch,
    /// Read the document once.
    ReadStore,
    /// Put this document in force; its revision is higher than that of any earlier one.
    Adopt(Arc<Config>),
    /// A member's state changed.
    Changed(Change),
    /// Write this to the event log.
    Note(Note),
}

/// A member's new state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The member's host.
    pub host: HostName,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// The new state.
    pub state: State,
}

/// Where an offered document came from.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Source {
    /// The platform's store.
    #[display("the store")]
    Store,
    /// A peer.
    #[display("peer {_0}")]
    Peer(HostName),
}

/// An entry for the operators' event log.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Note {
    /// A source offered an older document than the one in force; it was refused.
    #[display(
        "{source} holds revision {offered}, older than {in_force} in force; \
         it was refused: apply the wanted document again if the store was restored"
    )]
    LowerRevision {
        /// Who offered it.
        source: Source,
        /// What it offered.
        offered: Stamp,
        /// What is in force.
        in_force: Stamp,
    },
    /// A source holds another document under the revision in force.
    #[display(
        "{source} holds {offered}, other content than {in_force} in force under the same revision; \
         it was refused: apply the wanted document again, which raises the revision"
    )]
    Conflict {
        /// Who offered it.
        source: Source,
        /// What it offered.
        offered: Stamp,
        /// What is in force.
        in_force: Stamp,
    },
    /// A message came from an earlier incarnation of a host name; it was refused.
    #[display("a message of incarnation {stale} of {host} was refused; {known} has replaced it")]
    StaleSender {
        /// The sender's host.
        host: HostName,
        /// The sender's incarnation.
        stale: Incarnation,
        /// The newest incarnation known.
        known: Incarnation,
    },
    /// Another process runs under this process's host name with a higher incarnation.
    #[display("incarnation {known} runs under our host name {host}; stop one of the two processes")]
    Replaced {
        /// The host name that both processes use.
        host: HostName,
        /// The other process's incarnation.
        known: Incarnation,
    },
    /// This process was suspected or declared dead and refuted it.
    #[display("{by} took us for {state}; refuted with count {refutation}")]
    Refuted {
        /// Whose message carried the suspicion.
        by: HostName,
        /// The state that the message claimed.
        state: State,
        /// Our new refutation count.
        refutation: u64,
    },
    /// No message from a data centre for longer than the limit.
    #[display("data centre {_0} is silent; check the links to it")]
    CentreSilent(DataCentre),
    /// Messages arrive again from a data centre that was silent.
    #[display("data centre {_0} sends messages again")]
    CentreBack(DataCentre),
    /// A configuration delta that doesn't match its digest was refused.
    #[display(
        "a configuration delta from {_0} did not add up to its digest; asked for the whole document"
    )]
    BadDelta(HostName),
}
