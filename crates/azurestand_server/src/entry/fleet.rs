//! What an entry knows of the targets in its data centre and of other entries.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use azurestand_membership::{Role, State};
use azurestand_route::{
    AccountLimits, Attempt, Choice, HostReport, Load, Prefix, QueueLimits, RetryBudget, Spill,
    SpillSettings, Table, TargetRequirements,
};
use azurestand_types::{DataCentre, Digest, HostName, Incarnation, Moment, RequestId, TargetName};
use azurestand_wire::{Identity, Outbox, TargetLoad};
use prost::Message;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use super::homes::Holders;
use super::outstanding::{Answer, Outstanding, Waiting};
use super::relay::Relays;
use crate::agent::status::HostStatus;
use crate::node::Node;
use crate::node::links::Links;

const TEND_INTERVAL: Duration = Duration::from_millis(250);
/// The part of a link between regions, beside spreading, that passed-on requests may use.
const LIVE_SHARE: f64 = 0.8;

/// The agent that a request was sent to.
#[derive(Debug, Clone)]
pub(super) struct Agent {
    pub(super) host: HostName,
    pub(super) incarnation: Incarnation,
    pub(super) address: SocketAddr,
    pub(super) outbox: Outbox,
    /// The newest moment heard of the agent's clock.
    pub(super) clock: Moment,
    /// What its last report said, from which shorter ones are completed.
    pub(super) targets: Arc<[TargetLoad]>,
}

#[derive(Debug)]
struct Inner {
    table: Table,
    agents: BTreeMap<HostName, Agent>,
    waiting: Waiting,
    relays: Relays,
    holders: Holders,
    accounts: AccountLimits,
    retries: RetryBudget,
    spill: Spill,
    rng: fastrand::Rng,
}

/// The entry's shared knowledge.
#[derive(Debug, Clone)]
pub(super) struct Fleet(Arc<Mutex<Inner>>);

impl Fleet {
    pub(super) fn new(node: &Node) -> Self {
        let own = node.links.own();
        let share = node.document().limits().retry_share;
        Self(Arc::new(Mutex::new(Inner {
            table: Table::default(),
            agents: BTreeMap::new(),
            waiting: Waiting::default(),
            relays: Relays::default(),
            holders: Holders::default(),
            accounts: AccountLimits::default(),
            retries: RetryBudget::new(share),
            spill: Spill::new(spill_settings(node)),
            rng: fastrand::Rng::with_seed(own.incarnation.0),
        })))
    }

    fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an agent's report in.
    pub(super) fn report(
        &self,
        now: Moment,
        peer: &Identity,
        outbox: &Outbox,
        report: azurestand_wire::Report,
    ) {
        let mut inner = self.inner();
        let known = inner.agents.get(&peer.host);
        if known.is_some_and(|agent| agent.incarnation > peer.incarnation) {
            return;
        }
        let same = known.filter(|agent| agent.outbox.is_same(outbox));
        let names = same.map(|agent| agent.targets.clone()).unwrap_or_default();
        let Some(targets) = complete(&names, report.targets) else {
            return;
        };
        let agent = Agent {
            host: peer.host.clone(),
            incarnation: peer.incarnation,
            address: peer.address,
            outbox: outbox.clone(),
            clock: Moment::from_micros(report.agent_time),
            targets: targets.clone().into(),
        };
        inner.agents.insert(peer.host.clone(), agent);
        let loads = targets.into_iter().filter_map(check_load);
        let report = HostReport {
            host: peer.host.clone(),
            incarnation: peer.incarnation,
            sequence: report.sequence,
            leaving: report.leaving,
            loads: loads.collect(),
        };
        inner.table.apply_report(now, report);
    }

    /// Forgets a host whose link ended, and tells the requests that wait for it.
    pub(super) fn lose(&self, peer: &Identity, outbox: &Outbox) {
        let mut inner = self.inner();
        let current = inner.agents.get(&peer.host);
        // Another link may have taken this one's place already.
        if current.is_some_and(|agent| !agent.outbox.is_same(outbox)) {
            return;
        }
        inner.agents.remove(&peer.host);
        inner.table.remove_host(&peer.host);
        inner.waiting.lose(&peer.host);
    }

    /// Hands a message to the request that it answers, if that waits for this host.
    pub(super) fn deliver(&self, peer: &HostName, id: RequestId, body: azurestand_wire::Body) {
        self.inner().waiting.deliver(peer, id, body);
    }

    /// Chooses a target.
    pub(super) fn choose(&self, now: Moment, wanted: &TargetRequirements) -> Option<Choice> {
        let mut inner = self.inner();
        let Inner { table, rng, .. } = &mut *inner;
        table.choose(now, wanted, rng)
    }

    /// Counts a send and expects its answers from `host`.
    pub(super) fn expect(
        &self,
        now: Moment,
        id: RequestId,
        choice: &Choice,
        attempt: Attempt,
        prefix: &Prefix,
        answers: mpsc::UnboundedSender<Answer>,
    ) {
        let mut inner = self.inner();
        inner.table.record_send(now, &choice.target, prefix);
        let outstanding = Outstanding {
            host: choice.host.clone(),
            target: choice.target.clone(),
            attempt,
            answers,
        };
        if let Some(earlier) = inner.waiting.expect(id, outstanding) {
            inner.table.record_end(&earlier);
        }
    }

    /// Expects no more answers for the carrier behind `answers`.
    pub(super) fn settle(&self, id: RequestId, answers: &mpsc::UnboundedSender<Answer>) {
        let mut inner = self.inner();
        if let Some(target) = inner.waiting.settle(id, answers) {
            inner.table.record_end(&target);
        }
    }

    /// Whether a later carrier than the one behind `answers` took the request up.
    pub(super) fn is_taken(&self, id: RequestId, answers: &mpsc::UnboundedSender<Answer>) -> bool {
        self.inner().waiting.is_taken(id, answers)
    }

    /// A target that refused is passed over for a moment.
    pub(super) fn refused(&self, now: Moment, target: &TargetName) {
        self.inner().table.record_refusal(now, target);
    }

    /// A target answers, so its next refusal is the first again.
    pub(super) fn took(&self, target: &TargetName) {
        self.inner().table.record_accept(target);
    }

    /// Tells how long targets' queues are and how many entries fill them.
    fn set_queue_limits(&self, queue_limits: QueueLimits) {
        self.inner().table.set_queue_limits(queue_limits);
    }

    /// Does something with the ways to other data centres.
    pub(super) fn spill<F, T>(&self, act: F) -> T
    where
        F: FnOnce(&mut Spill, &mut fastrand::Rng) -> T,
    {
        let inner = &mut *self.inner();
        act(&mut inner.spill, &mut inner.rng)
    }

    /// The agent of `host`, if its link is open.
    pub(super) fn agent(&self, host: &HostName) -> Option<Agent> {
        self.inner().agents.get(host).cloned()
    }

    /// The host of `target`, if it is known.
    pub(super) fn host(&self, target: &TargetName) -> Option<HostName> {
        self.inner().table.host(target).cloned()
    }

    /// Does something with the requests of other entries.
    pub(super) fn relays<F, T>(&self, act: F) -> T
    where
        F: FnOnce(&mut Relays) -> T,
    {
        act(&mut self.inner().relays)
    }

    /// Does something with what is known of the holders of keys.
    pub(super) fn holders<F, T>(&self, act: F) -> T
    where
        F: FnOnce(&mut Holders) -> T,
    {
        act(&mut self.inner().holders)
    }

    /// Does something with the account limits.
    pub(super) fn accounts<F, T>(&self, act: F) -> T
    where
        F: FnOnce(&mut AccountLimits) -> T,
    {
        act(&mut self.inner().accounts)
    }

    /// Does something with the retry budget.
    pub(super) fn retries<F, T>(&self, act: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        act(&mut self.inner().retries)
    }

    /// A random number below `bound`.
    pub(super) fn draw(&self, bound: usize) -> usize {
        self.inner().rng.usize(..bound.max(1))
    }

    /// A fresh request id.
    pub(super) fn draw_id(&self) -> RequestId {
        RequestId(self.inner().rng.u128(..))
    }
}

/// Puts the names and weights of the link's last report where a shorter one leaves them
/// out; none if that report is not known.
fn complete(known: &[TargetLoad], targets: Vec<TargetLoad>) -> Option<Vec<TargetLoad>> {
    let whole = targets.into_iter().enumerate().map(|(place, load)| {
        if !load.target.is_empty() {
            return Some(load);
        }
        let known = known.get(place)?;
        Some(TargetLoad {
            state: load.state,
            limit: load.limit,
            running: load.running,
            waiting: load.waiting,
            ..known.clone()
        })
    });
    whole.collect()
}

fn check_load(load: TargetLoad) -> Option<Load> {
    Some(Load {
        target: TargetName::try_from(load.target).ok()?,
        subject: load.subject.into(),
        weights: Digest::try_from(&load.weights[..]).ok(),
        limit: load.limit,
        running: load.running,
        waiting: load.waiting,
    })
}

/// Keeps a link to each agent of the data centre, and says where callers are taken.
pub(super) fn start(node: &Node, fleet: Fleet, web: SocketAddr) {
    let status = HostStatus {
        callers: web.to_string(),
        ..HostStatus::default()
    };
    node.publish(status.encode_to_vec().into());
    tokio::spawn(
        node.stop
            .clone()
            .run_until_cancelled_owned(tend(node.clone(), fleet)),
    );
}

async fn tend(node: Node, fleet: Fleet) {
    let mut ticks = interval(TEND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut views = node.neighbours.clone();
    let dialling = Arc::new(Mutex::new(BTreeSet::new()));
    loop {
        tokio::select! {
            _ = ticks.tick() => (),
            Ok(()) = views.changed() => (),
        }
        let share = node.document().limits().retry_share;
        fleet.retries(|retries| retries.set_share(share));
        let now = node.clock.now();
        fleet.spill(|spill, _| spill.set_settings(now, spill_settings(&node)));
        fleet.set_queue_limits(QueueLimits {
            queue_length: node.document().limits().queue_length,
            entries: u32::try_from(count_near(&node)).unwrap_or(u32::MAX),
        });
        fleet.relays(|relays| relays.forget_old(now));
        for address in agents(&node) {
            if node.links.known(address).is_none() {
                dial(&node.links, address, &dialling);
            }
        }
    }
}

fn agents(node: &Node) -> Vec<SocketAddr> {
    let centre = node.links.own().centre.clone();
    let neighbours = node.neighbours();
    let near = neighbours.0.values().filter(|neighbour| {
        let identity = &neighbour.record.identity;
        identity.role == Role::Agent && identity.centre == centre && neighbour.state.is_present()
    });
    near.map(|neighbour| neighbour.record.identity.address)
        .collect()
}

type Dialling = Arc<Mutex<BTreeSet<SocketAddr>>>;

fn dial(links: &Links, address: SocketAddr, dialling: &Dialling) {
    let fresh = dialling
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .insert(address);
    if !fresh {
        return;
    }
    let (links, dialling) = (links.clone(), dialling.clone());
    tokio::spawn(async move {
        let _ = links.control(address).await;
        dialling
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&address);
    });
}

/// This entry's part of what live traffic leaves free on a link between regions.
fn spill_settings(node: &Node) -> SpillSettings {
    let document = node.document();
    let limits = document.limits();
    let link = f64::from(u32::try_from(limits.region_link).unwrap_or(u32::MAX));
    let share = (1.0 - limits.region_share) * LIVE_SHARE;
    SpillSettings::new(link, share, count_near(node))
}

/// How many entries send to the targets of this data centre.
fn count_near(node: &Node) -> usize {
    let centre = node.links.own().centre.clone();
    let neighbours = node.neighbours();
    let near = neighbours.0.values().filter(|neighbour| {
        let identity = &neighbour.record.identity;
        identity.role == Role::Entry && identity.centre == centre && neighbour.state == State::Alive
    });
    near.count().max(1)
}

/// The entries of other data centres in service, by what membership says.
pub(super) fn others(node: &Node) -> Vec<(DataCentre, SocketAddr)> {
    let document = node.document();
    let own = node.links.own().centre.clone();
    let neighbours = node.neighbours();
    let entries = neighbours.0.values().filter(|neighbour| {
        let identity = &neighbour.record.identity;
        identity.role == Role::Entry
            && neighbour.state == State::Alive
            && identity.centre != own
            && document.in_service(&identity.centre)
    });
    entries
        .map(|neighbour| &neighbour.record.identity)
        .map(|identity| (identity.centre.clone(), identity.address))
        .collect()
}

/// How many entries share an account's allowance.
pub(super) fn count_entries(node: &Node) -> usize {
    let neighbours = node.neighbours();
    let live = neighbours.0.values().filter(|neighbour| {
        neighbour.record.identity.role == Role::Entry && neighbour.state == State::Alive
    });
    live.count().max(1)
}
