//! What a member is told and what it asks of the daemon.

use std::net::SocketAddr;
use std::sync::Arc;

use azurestand_types::{DataCentre, HostName, Incarnation};
use bytes::Bytes;
use derive_more::Display;

use crate::{Config, Gossip, Stamp, State};

/// One thing that happened to the process.
#[derive(Debug, Clone)]
pub enum Event {
    /// [`Limits::tick`](crate::Limits::tick) has passed.
    Tick,
    /// A peer's authenticated and decoded message arrived.
    Received(Box<Gossip>),
    /// A connection to this peer opened or proved to be alive.
    Connected(HostName),
    /// A connection to this peer broke or went silent.
    Lost(HostName),
    /// The platform's list was read; it lags.
    Listed(Listing),
    /// The store answered, or failed to.
    Store(StoreNews),
    /// The process's own status changed; at most 512 bytes, a longer one is cut off.
    Status(Bytes),
    /// The process starts to leave: it finishes what it has and wants no new work.
    Leave,
    /// The process is about to end.
    Goodbye,
}

/// What the platform's lagging list says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Where processes are said to live; used to find peers, never as proof of life.
    pub live: Vec<SocketAddr>,
    /// Hosts that are said to be leaving.
    pub leaving: Vec<HostName>,
}

/// What the daemon heard from the store.
#[derive(Debug, Clone)]
pub enum StoreNews {
    /// A read or a watch gave this document.
    Config(Arc<Config>),
    /// The store answered and holds nothing newer; told whenever a watch is opened again,
    /// which a daemon does every ten seconds, since a silent connection proves nothing.
    Current,
    /// A read failed or the watch broke.
    Failed,
}

/// One thing that the daemon is asked to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send this message to the process at this address; losing it is allowed.
    Send {
        /// Where the receiver listens.
        to: SocketAddr,
        /// What to send.
        gossip: Box<Gossip>,
    },
    /// Read the document and watch it until told to stop, reconnecting with back-off.
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
    /// Whose state.
    pub host: HostName,
    /// Which life of the host name.
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

/// What operators should find in the event log.
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
    /// A message came from an earlier life of a host name; it was refused.
    #[display("a message of incarnation {stale} of {host} was refused; {known} has replaced it")]
    StaleSender {
        /// Whose message.
        host: HostName,
        /// The sender's incarnation.
        stale: Incarnation,
        /// The newest incarnation known.
        known: Incarnation,
    },
    /// Another process runs under this process's host name with a higher incarnation.
    #[display("incarnation {known} runs under our host name {host}; stop one of the two processes")]
    Replaced {
        /// The name in dispute.
        host: HostName,
        /// The other process's incarnation.
        known: Incarnation,
    },
    /// This process was suspected or declared dead and refuted it.
    #[display("{by} took us for {state}; refuted with count {refutation}")]
    Refuted {
        /// Whose message carried the suspicion.
        by: HostName,
        /// What we were taken for.
        state: State,
        /// Our new refutation count.
        refutation: u64,
    },
    /// No word from a data centre for longer than the limit.
    #[display("data centre {_0} is silent; check the links to it")]
    CentreSilent(DataCentre),
    /// A silent data centre is heard again.
    #[display("data centre {_0} is heard again")]
    CentreHeard(DataCentre),
    /// A message with inconsistent content was refused.
    #[display(
        "a configuration delta from {_0} did not add up to its digest; asked for the whole document"
    )]
    BadDelta(HostName),
}
