//! The deployment as an entry's status page has it, and as text.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// A target of a host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Target {
    #[serde(rename = "target")]
    name: String,
    subject: String,
    state: String,
    weights: String,
}

/// A version under way on a host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Version {
    manifest: String,
    held: u32,
    wanted: u32,
    origin_bytes: u64,
    cross_bytes: u64,
    near_bytes: u64,
    remaining_seconds: u32,
}

/// A process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Node {
    host: String,
    centre: String,
    region: String,
    role: String,
    state: String,
    incarnation: u64,
    revision: u64,
    targets: Vec<Target>,
    versions: Vec<Version>,
}

/// The whole deployment.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Overview {
    revision: u64,
    nodes: Vec<Node>,
}

/// How far one version is in one data centre.
#[derive(Debug, Default)]
struct Spread {
    hosts: usize,
    whole: usize,
    live: usize,
    origin: u64,
    cross: u64,
    near: u64,
    remaining: u32,
}

impl Overview {
    /// Progress by manifest and data centre.
    fn spreads(&self) -> BTreeMap<(&str, &str), Spread> {
        let mut spreads: BTreeMap<_, Spread> = BTreeMap::new();
        for node in &self.nodes {
            for version in &node.versions {
                let place = (version.manifest.as_str(), node.centre.as_str());
                let spread = spreads.entry(place).or_default();
                let serving = node.targets.iter();
                let live = serving.filter(|target| target.weights == version.manifest);
                spread.hosts += 1;
                spread.whole += usize::from(version.held == version.wanted);
                spread.live += live.count();
                spread.origin += version.origin_bytes;
                spread.cross += version.cross_bytes;
                spread.near += version.near_bytes;
                spread.remaining = spread.remaining.max(version.remaining_seconds);
            }
        }
        spreads
    }
}

impl fmt::Display for Overview {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "revision {} in force at this entry", self.revision)?;
        writeln!(
            f,
            "\n{:<24} {:<12} {:<6} {:<8} {:>8}  targets",
            "host", "data centre", "role", "state", "revision"
        )?;
        for node in &self.nodes {
            let lag = if node.revision < self.revision {
                " (lags)"
            } else {
                ""
            };
            let targets = node.targets.iter().map(|target| {
                let digits = target.weights.get(..8).unwrap_or("");
                format!("{} {} {digits}", target.name, target.state)
            });
            let targets: Vec<_> = targets.collect();
            writeln!(
                f,
                "{:<24} {:<12} {:<6} {:<8} {:>8}{lag}  {}",
                node.host,
                node.centre,
                node.role,
                node.state,
                node.revision,
                targets.join(", ").trim_end()
            )?;
        }
        for ((manifest, centre), spread) in self.spreads() {
            write!(
                f,
                "\nversion {manifest} in {centre}: live on {} targets, whole on {} of {} hosts; bytes from origin {}, other regions {}, near {}",
                spread.live, spread.whole, spread.hosts, spread.origin, spread.cross, spread.near
            )?;
            if spread.whole < spread.hosts {
                write!(f, "; about {} s left", spread.remaining)?;
            }
        }
        Ok(())
    }
}
