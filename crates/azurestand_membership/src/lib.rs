//! Cluster membership: failure detection, choice of the store watchers, and
//! dissemination of new configuration documents.
//!
//! A [`Member`] takes events and the current time and returns actions, which the
//! daemon carries out. [docs/MEMBERSHIP.md](../../../docs/MEMBERSHIP.md) compares
//! the possible designs and gives the measurements.
//!
//! ```
//! use azurestand_membership::{Action, Event, Identity, Limits, Member, Role, Subjects};
//! use azurestand_types::{DataCentre, HostName, Incarnation, Moment, Region};
//!
//! let identity = |host: &str, port| Identity {
//!     host: HostName::try_from(host).unwrap(),
//!     role: Role::Entry,
//!     centre: DataCentre::try_from("north-1").unwrap(),
//!     region: Region::try_from("north").unwrap(),
//!     address: ([127, 0, 0, 1], port).into(),
//!     subjects: Subjects::default(),
//!     incarnation: Incarnation(1),
//! };
//! let (a, b) = (identity("a", 1), identity("b", 2));
//! let random = fastrand::Rng::with_seed(7);
//! let mut member = Member::new(a, vec![b.address], Limits::default(), random.clone());
//! let mut other = Member::new(b, vec![], Limits::default(), random);
//!
//! // The first tick contacts the seed, which adds the sender to its view.
//! for action in member.handle(Moment::START, Event::Tick) {
//!     if let Action::Send { gossip, .. } = action {
//!         other.handle(Moment::START, Event::Received(gossip));
//!     }
//! }
//! assert_eq!(other.view().members().count(), 2);
//! ```

mod config;
mod event;
mod fingerprint;
mod gossip;
mod identity;
mod limits;
mod member;
mod record;
mod view;

pub use config::{
    Config, ConfigError, MAX_CONFIG_BYTES, MAX_REVISION, MAX_SECTIONS, Section, SectionName, Stamp,
};
pub use event::{Action, Change, Event, Listing, Note, Source, StoreOutcome};
pub use gossip::{Gossip, GossipError, MAX_GOSSIP_BYTES};
pub use identity::{Identity, Role, Subjects};
pub use limits::Limits;
pub use member::Member;
pub use record::{MAX_STATUS_BYTES, Record, State, Status};
pub use view::View;
