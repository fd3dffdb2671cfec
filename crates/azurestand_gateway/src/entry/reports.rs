//! Asks agents what their engines do and takes their reports in.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{Report, Target};
use azurestand_types::Moment;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::shared::{Shared, State};
use crate::clock::BootClock;
use crate::edge::Platform;
use crate::error::GatewayError;
use crate::presence::{EngineReport, Hello, KnownEntry, MAX_BYTES};

/// How often agents are asked to go on with reports.
const HELLO_EVERY: Duration = Duration::from_secs(1);
/// How often they are asked by an entry that has just started.
const FIRST_EVERY: Duration = Duration::from_millis(200);
/// How long an entry counts as just started.
const FIRST_TIME: Duration = Duration::from_secs(2);
/// Entries that start together are known to agents after this.
const MEETING_TIME: Duration = Duration::from_millis(500);
/// How long an agent's word counts on which entries there are.
const NAMES_LIFE: Duration = Duration::from_secs(3);
/// Agents that are asked each time which entries there are; such an answer is long.
const NAMERS: usize = 3;

/// Starts to ask and to listen.
pub(crate) async fn start<P>(shared: &Arc<Shared<P>>) -> Result<(), GatewayError>
where
    P: Platform,
{
    let address = SocketAddr::new(shared.settings.ip, shared.settings.report_port());
    let bound = UdpSocket::bind(address).await;
    let socket = bound.map_err(|error| GatewayError::Bind(address, error))?;
    tokio::spawn(run(shared.clone(), socket));
    Ok(())
}

async fn run<P>(shared: Arc<Shared<P>>, socket: UdpSocket)
where
    P: Platform,
{
    let mut buffer = [0; MAX_BYTES];
    let started = Instant::now();
    let mut due = interval(FIRST_EVERY);
    due.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut names = Names::default();
    let mut heard: BTreeMap<IpAddr, (u32, Instant)> = BTreeMap::new();
    loop {
        tokio::select! {
            _ = due.tick() => {
                if greet(&shared, &socket) > 0 {
                    names.ask(Instant::now());
                }
                let is_fresh = started.elapsed() < FIRST_TIME;
                due.reset_after(if is_fresh { FIRST_EVERY } else { HELLO_EVERY });
            }
            received = socket.recv_from(&mut buffer) => {
                // An address that nobody listens at is told so here.
                let Ok((length, from)) = received else { continue };
                if let Ok(report) = EngineReport::decode(&buffer[..length]) {
                    let now = Instant::now();
                    if let Some(known) = names.hear(now, from.ip(), &report.known) {
                        shared.meet(known);
                    }
                    take(&shared, from.ip(), &report, &mut heard);
                }
            }
        }
    }
}

/// Which entries there are, by what several agents say.
#[derive(Debug, Default)]
struct Names {
    /// When agents were asked first.
    asked: Option<Instant>,
    told: BTreeMap<IpAddr, (Instant, Vec<KnownEntry>)>,
}

impl Names {
    fn ask(&mut self, now: Instant) {
        self.asked.get_or_insert(now);
    }

    /// Takes in what an agent says; gives all entries that agents have named lately. Agents
    /// know those that have asked them, which are few while all start together; a share among
    /// too few would be too large.
    fn hear(
        &mut self,
        now: Instant,
        agent: IpAddr,
        known: &[KnownEntry],
    ) -> Option<Vec<KnownEntry>> {
        if known.is_empty() {
            return None;
        }
        self.told.insert(agent, (now, known.to_vec()));
        self.told
            .retain(|_, (at, _)| now.duration_since(*at) < NAMES_LIFE);
        let is_met = |asked| now.duration_since(asked) >= MEETING_TIME;
        if !self.asked.is_some_and(is_met) {
            return None;
        }
        let all = self.told.values().flat_map(|(_, known)| known);
        let all: BTreeMap<&str, &KnownEntry> =
            all.map(|entry| (entry.ip.as_str(), entry)).collect();
        Some(all.into_values().cloned().collect())
    }
}

/// Asks all agents; gives how many there are.
fn greet<P>(shared: &Shared<P>, socket: &UdpSocket) -> usize {
    let port = shared.settings.report_port();
    let hello = |names| {
        let hello = Hello {
            entry: shared.settings.name.to_string(),
            centre: shared.settings.centre.to_string(),
            names,
        };
        hello.encode_to_vec()
    };
    let hosts = engines(&shared.state())
        .map(|target| (target.address.ip(), target.centre.clone()))
        .collect();
    let hosts = in_order(hosts, &shared.settings.centre);
    let count = hosts.len();
    for (place, host) in hosts.into_iter().enumerate() {
        let bytes = hello(place < NAMERS);
        // A datagram that can't be sent now is sent again in a second.
        let _ = socket.try_send_to(&bytes, SocketAddr::new(host, port));
    }
    count
}

/// The hosts in random order, those of `centre` first.
fn in_order(mut hosts: Vec<(IpAddr, Arc<str>)>, centre: &Arc<str>) -> Vec<IpAddr> {
    fastrand::shuffle(&mut hosts);
    hosts.sort_by_key(|(_, other)| other != centre);
    hosts.into_iter().map(|(ip, _)| ip).collect()
}

fn engines(state: &State) -> impl Iterator<Item = &Arc<Target>> {
    let rules = state.rules.as_ref();
    state.directory.targets().filter(move |target| {
        let service = rules.and_then(|rules| rules.service(&target.service));
        service.is_some_and(|service| service.engine.is_some())
    })
}

fn take<P>(
    shared: &Shared<P>,
    host: IpAddr,
    report: &EngineReport,
    heard: &mut BTreeMap<IpAddr, (u32, Instant)>,
) {
    let mut state = shared.state();
    let now = Instant::now();
    heard.insert(host, (report.entries, now));
    heard.retain(|_, (_, at)| now.duration_since(*at) < HELLO_EVERY * 3);
    let entries = heard.values().map(|(entries, _)| *entries).max();
    state.placement.set_entries(entries.unwrap_or(1));
    let target = engines(&state)
        .find(|target| target.address.ip() == host)
        .cloned();
    let Some(target) = target else {
        return;
    };
    let present = BootClock.now();
    if report.born.is_some_and(|born| born != target.born) {
        state.placement.replaced(present, &target);
        return;
    }
    state.placement.told(present, &target);
    note_versions(&mut state, report, present);
    let load = Report {
        running: report.running,
        waiting: report.waiting,
    };
    state.placement.report(present, &target, load);
    let closes_in = report.closes_in.map(u64::from).map(Duration::from_millis);
    let closes_at = closes_in.map(|time| present + time);
    state.placement.set_closing(&target, closes_at);
    if let Some(line) = state.lines.get(&target.service) {
        line.wake_first();
    }
}

/// Takes in since when versions are named, which a fresh process can't know.
fn note_versions(state: &mut State, report: &EngineReport, now: Moment) {
    let Some(before) = state.named_before else {
        return;
    };
    for named in &report.named {
        if let Some(versions) = state.versions.get_mut(named.model.as_str()) {
            let since = named.age.map(|age| now - Duration::from_millis(age));
            versions.tell(named.version, since, before);
        }
    }
}
