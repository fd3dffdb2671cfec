//! Settings files of a local deployment's daemons.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use crate::plan::FLEET_KEY;

/// Where a daemon runs and whom it knows.
#[derive(Debug, Clone)]
pub(super) struct Place {
    pub(super) host: String,
    pub(super) centre: &'static str,
    pub(super) region: &'static str,
    pub(super) store: SocketAddr,
    pub(super) origin: SocketAddr,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) drain: Duration,
}

/// The target beside an agent.
#[derive(Debug, Clone)]
pub(super) struct AgentTarget {
    name: String,
    kind: String,
    address: SocketAddr,
}

impl AgentTarget {
    pub(super) fn engine(name: &str, model: &str, address: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            kind: format!("model = \"{model}\"\nfencing = true"),
            address,
        }
    }

    pub(super) fn service(name: &str, service: &str, address: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            kind: format!("service = \"{service}\""),
            address,
        }
    }
}

pub(super) fn entry_settings(place: &Place) -> String {
    let mut text = format!("host = \"{}\"\n", place.host);
    let _ = writeln!(
        text,
        "data_centre = \"{}\"\nregion = \"{}\"",
        place.centre, place.region
    );
    let _ = writeln!(
        text,
        "listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\""
    );
    let _ = writeln!(
        text,
        "store = [\"{}\"]\norigin = \"{}\"",
        place.store, place.origin
    );
    let seeds: Vec<_> = place
        .seeds
        .iter()
        .map(|seed| format!("\"{seed}\""))
        .collect();
    let _ = writeln!(
        text,
        "seeds = [{}]\nfleet_key = \"{FLEET_KEY}\"",
        seeds.join(", ")
    );
    let _ = writeln!(text, "drain_seconds = {}", place.drain.as_secs());
    text
}

pub(super) fn agent_settings(place: &Place, target: &AgentTarget) -> String {
    let mut text = entry_settings(place);
    let _ = writeln!(text, "\n[[targets]]\nname = \"{}\"", target.name);
    let _ = writeln!(text, "address = \"{}\"\n{}", target.address, target.kind);
    text
}
