//! Decisions about requests that go straight to targets, each under the load or the
//! fault that it handles.

mod admission;
mod barred;
mod claims;
mod common;
mod correction;
mod digests;
mod directory;
mod events;
mod exclusions;
mod freshness;
mod lateness;
mod pieces;
mod place;
mod quarantine;
mod queue;
mod residency;
mod rules;
mod share;
mod spread_at_size;
mod stop;
mod versions;
