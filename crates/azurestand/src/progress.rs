//! Which nodes have a revision, by data centre.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::fmt;

use azurestand_types::{DataCentre, HostName, Revision};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// An entry's answer to `GET /admin/status`, as far as it is needed here.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub(crate) struct NodeList {
    /// The nodes that the entry sees, itself among them.
    pub(crate) nodes: Vec<Node>,
}

/// One node as an entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{host} {state} {revision}")]
pub(crate) struct Node {
    /// Its host.
    pub(crate) host: HostName,
    /// Its data centre.
    pub(crate) centre: DataCentre,
    /// The revision that it has in force, as far as the entry knows.
    pub(crate) revision: Revision,
    /// Whether it answers the other nodes.
    #[serde(default)]
    pub(crate) state: NodeState,
}

/// Whether a node answers the others, as an entry says it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum NodeState {
    /// It said goodbye.
    #[display("left, last at revision")]
    Left,
    /// It doesn't answer any more.
    #[display("dead, last at revision")]
    Dead,
    /// It may answer: alive, suspect, leaving, or a state of a later version.
    #[default]
    #[serde(other)]
    #[display("at revision")]
    Present,
}

/// How far a revision has come in one data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(crate) struct CentreProgress {
    /// Nodes that have it.
    pub(crate) reached: usize,
    /// Nodes that don't, and are waited for.
    pub(crate) missing: Vec<Node>,
    /// Nodes that don't answer any more, and aren't waited for.
    pub(crate) dead: Vec<Node>,
}

/// How far a revision has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Progress {
    /// The revision.
    pub(crate) revision: Revision,
    /// Each data centre.
    pub(crate) centres: BTreeMap<DataCentre, CentreProgress>,
}

impl NodeList {
    /// The highest revision that any node has; 0 if there is no node.
    pub(crate) fn highest(&self) -> Revision {
        let revisions = self.nodes.iter().map(|node| node.revision);
        revisions.max().unwrap_or_default()
    }

    /// How far `revision` has come. A higher one counts, as it holds the change.
    pub(crate) fn progress(self, revision: Revision) -> Progress {
        let mut centres: BTreeMap<DataCentre, CentreProgress> = BTreeMap::new();
        for node in self.nodes {
            let progress = centres.entry(node.centre.clone()).or_default();
            match node.state {
                NodeState::Left => {}
                _ if node.revision >= revision => progress.reached += 1,
                NodeState::Dead => progress.dead.push(node),
                NodeState::Present => progress.missing.push(node),
            }
        }
        centres.values_mut().for_each(CentreProgress::suspect_cut);
        Progress { revision, centres }
    }
}

impl CentreProgress {
    /// A data centre none of whose nodes answers is cut off rather than dead,
    /// and may go on with what it has: its nodes count as missing.
    fn suspect_cut(&mut self) {
        if self.reached == 0 && self.missing.is_empty() {
            self.missing.append(&mut self.dead);
        }
    }
}

impl Progress {
    /// Whether every node has the revision. No node at all is no proof.
    pub(crate) fn complete(&self) -> bool {
        let mut centres = self.centres.values();
        !self.centres.is_empty() && centres.all(|centre| centre.missing.is_empty())
    }
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.centres.is_empty() {
            return write!(f, "no node is known yet");
        }
        for (name, centre) in &self.centres {
            let total = centre.reached + centre.missing.len();
            let reached = centre.reached;
            write!(
                f,
                "{name}: {reached} of {total} nodes at revision {}",
                self.revision
            )?;
            for node in &centre.missing {
                write!(f, "\n  missing: {node}")?;
            }
            for node in &centre.dead {
                write!(f, "\n  not waited for: {node}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
