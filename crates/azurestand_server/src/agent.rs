//! The agent: the one process of the system on a target host.

mod bulk;
mod engine;
mod inbound;
mod manifests;
mod origin;
mod permits;
mod reports;
mod spread;
mod sse;
pub(crate) mod status;
mod target;
mod vault;
mod web;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use azurestand_types::{Digest, ModelName};
use azurestand_wire::Role;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::client::HttpClient;
use crate::error::ServerError;
use crate::event::Event;
use crate::node::{GossipEvent, Node, Started};
use crate::settings::{Settings, TargetKind, TargetSettings};

use origin::Origin;
use spread::SpreadView;
use target::{Handle, Input, Surroundings};
pub(crate) use target::{failed, raw, refused};
use vault::Vault;

const DRAIN_POLL: Duration = Duration::from_millis(20);
/// How long entries may take to hear that this host is leaving.
const LEAVE_NOTICE: Duration = Duration::from_millis(600);

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    node: Node,
    targets: Vec<Handle>,
    spread: SpreadView,
    web: SocketAddr,
}

impl Agent {
    /// Binds the agent's addresses and starts its work.
    ///
    /// # Errors
    ///
    /// [`ServerError`] when an address can't be bound.
    pub async fn start(settings: Settings) -> Result<Self, ServerError> {
        let listener = TcpListener::bind(settings.listen)
            .await
            .map_err(|error| ServerError::Bind(settings.listen, error))?;
        let web = listener.local_addr().map_err(ServerError::Io)?;
        let peers = settings.peers;
        let Started { node, arrivals } = Node::start(settings, Role::Agent)
            .await
            .map_err(|error| ServerError::Bind(peers, error))?;
        let client = HttpClient::new();
        let vault = Vault::default();
        let region = node.settings.region.clone();
        let origin = node
            .settings
            .origin
            .map(|address| Origin::new(client.clone(), address, region));
        let (spread_inputs, view) = spread::start(spread::Parts {
            node: node.clone(),
            models: models(&node.settings),
            vault: vault.clone(),
            origin,
            bulk: arrivals.bulk,
        });
        let around = Surroundings {
            client,
            spread: view.clone(),
            vault: vault.clone(),
            source: format!("http://{web}"),
        };
        let start = |settings: &TargetSettings| target::start(&node, settings.clone(), &around);
        let targets: Vec<_> = node.settings.targets.iter().map(start).collect();
        let entries = reports::start(&node, targets.clone(), view.clone());
        let inbound = inbound::Dispatcher {
            node: node.clone(),
            targets: targets.clone(),
            spread: spread_inputs,
            entries,
        };
        tokio::spawn(inbound.run(arrivals.inbound));
        tokio::spawn(node.stop.clone().run_until_cancelled_owned(web::serve(
            listener,
            vault,
            view.clone(),
        )));
        Event::Started.log(format_args!(
            "agent of {} at {}",
            node.settings.host,
            node.address()
        ));
        Ok(Self {
            node,
            targets,
            spread: view,
            web,
        })
    }

    /// Where other processes reach the agent.
    pub fn address(&self) -> SocketAddr {
        self.node.address()
    }

    /// Where engines fetch weights.
    pub fn web(&self) -> SocketAddr {
        self.web
    }

    /// Whether every chunk of the version with this manifest is here and verified.
    pub fn holds(&self, manifest: &Digest) -> bool {
        self.spread.complete.borrow().contains_key(manifest)
    }

    /// Leaves service: no new work, every answer whole, then the end.
    /// Gives whether all work ended within the settings' limit.
    pub async fn stop(self) -> bool {
        Event::Stopping.log(&self.node.settings.host);
        self.node.leaving.cancel();
        let _ = self.node.gossip.send(GossipEvent::Leave).await;
        for target in &self.targets {
            let _ = target.inputs.send(Input::Leave).await;
        }
        sleep(LEAVE_NOTICE).await;
        let drained = timeout(self.node.settings.drain, self.drain())
            .await
            .is_ok();
        let event = if drained {
            Event::Stopped
        } else {
            Event::StopCut
        };
        event.log(&self.node.settings.host);
        self.node.end().await;
        drained
    }

    async fn drain(&self) {
        while self
            .targets
            .iter()
            .any(|target| target.view.borrow().busy > 0)
        {
            sleep(DRAIN_POLL).await;
        }
    }

    /// Ends at once, as a crash would; for tests and stand-ins.
    pub fn kill(self) {
        self.node.stop.cancel();
        self.node.links.close();
    }
}

fn models(settings: &Settings) -> BTreeSet<ModelName> {
    let kinds = settings.targets.iter().map(|target| &target.kind);
    kinds
        .filter_map(|kind| match kind {
            TargetKind::Engine { model, .. } => Some(model.clone()),
            TargetKind::Service { .. } => None,
        })
        .collect()
}
