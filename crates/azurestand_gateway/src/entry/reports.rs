//! Requests reports on engines from agents and applies them to the placement.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{Incarnation, Naming, Target, TargetLoad};
use azurestand_types::Moment;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::barred;
use super::shared::{Shared, State};
use crate::clock::BootClock;
use crate::error::GatewayError;
use crate::log::{LogEvent, millis};
use crate::platform::Platform;
use crate::presence::{EngineReport, EntryGroup, KnownEntry, MAX_BYTES, Subscribe};
use crate::supervise::restart_on_panic;

/// The interval of the messages that ask agents for further reports.
const SUBSCRIPTION_INTERVAL: Duration = Duration::from_secs(1);
/// The interval of these messages while the entry has just started.
const START_INTERVAL: Duration = Duration::from_millis(200);
/// How long an entry counts as just started.
const START_TIME: Duration = Duration::from_secs(2);
/// The time after which agents know all entries that started simultaneously.
const DISCOVERY_DELAY: Duration = Duration::from_millis(500);
/// How long an agent's list of entries is used.
const ENTRIES_TTL: Duration = Duration::from_secs(3);
/// The error of ages in reports, which are rounded and take time on their way.
const AGE_ERROR: Duration = Duration::from_millis(10);
/// Agents that are asked for their list of entries each time; few, since such replies are long.
const ENTRY_SOURCES: usize = 3;

/// Binds the socket and starts the task that requests and receives reports.
pub(crate) async fn start<P>(shared: &Arc<Shared<P>>) -> Result<(), GatewayError>
where
    P: Platform,
{
    let address = SocketAddr::new(shared.settings.ip, shared.settings.report_port());
    let bound = UdpSocket::bind(address).await;
    let socket = bound.map_err(|error| GatewayError::Bind(address, error))?;
    let (shared, socket) = (shared.clone(), Arc::new(socket));
    tokio::spawn(restart_on_panic("reports", move || {
        run(shared.clone(), socket.clone())
    }));
    Ok(())
}

async fn run<P>(shared: Arc<Shared<P>>, socket: Arc<UdpSocket>)
where
    P: Platform,
{
    let mut buffer = [0; MAX_BYTES];
    let started = Instant::now();
    let mut ticks = interval(START_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut known_entries = KnownEntries::default();
    let mut entry_counts = EntryCounts::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                set_entries(&shared, entry_counts.most(Instant::now()));
                if send_subscriptions(&shared, &socket) > 0 {
                    known_entries.start_query(Instant::now());
                }
                let is_starting = started.elapsed() < START_TIME;
                ticks.reset_after(if is_starting { START_INTERVAL } else { SUBSCRIPTION_INTERVAL });
            }
            received = socket.recv_from(&mut buffer) => {
                // An error here says that nothing listens at an address asked before.
                let Ok((length, from)) = received else { continue };
                if let Ok(report) = EngineReport::decode(&buffer[..length]) {
                    let now = Instant::now();
                    let listed: Vec<_> = report.known_entries.iter().flat_map(EntryGroup::entries).collect();
                    if let Some(known) = known_entries.update(now, from.ip(), &listed) {
                        shared.update_entries(known);
                    }
                    if entry_counts.record(now, from.ip(), report.entries) {
                        set_entries(&shared, entry_counts.most(now));
                    }
                    apply_report(&shared, from.ip(), &report);
                }
            }
        }
    }
}

/// The entries that exist, merged from the lists of several agents.
#[derive(Debug, Default)]
struct KnownEntries {
    /// When agents were first asked for their lists.
    query_start: Option<Instant>,
    lists: BTreeMap<IpAddr, (Instant, Vec<KnownEntry>)>,
}

impl KnownEntries {
    fn start_query(&mut self, now: Instant) {
        self.query_start.get_or_insert(now);
    }

    /// Stores an agent's list and returns the entries on all recent lists, or none before
    /// [`DISCOVERY_DELAY`] has passed. An agent lists the entries that have asked it, which
    /// are few while all start simultaneously; an entry's share of the load on cold targets
    /// would then be too large.
    fn update(
        &mut self,
        now: Instant,
        agent: IpAddr,
        known: &[KnownEntry],
    ) -> Option<Vec<KnownEntry>> {
        if known.is_empty() {
            return None;
        }
        self.lists.insert(agent, (now, known.to_vec()));
        self.lists
            .retain(|_, (at, _)| now.duration_since(*at) < ENTRIES_TTL);
        let is_complete = |query_start| now.duration_since(query_start) >= DISCOVERY_DELAY;
        if !self.query_start.is_some_and(is_complete) {
            return None;
        }
        let all = self.lists.values().flat_map(|(_, known)| known);
        let all: BTreeMap<IpAddr, &KnownEntry> = all.map(|entry| (entry.ip, entry)).collect();
        Some(all.into_values().cloned().collect())
    }
}

/// Asks all agents for reports; returns the number of agents.
fn send_subscriptions<P>(shared: &Shared<P>, socket: &UdpSocket) -> usize {
    let port = shared.settings.report_port();
    let subscription = |wants_entries| {
        let message = Subscribe {
            entry: shared.settings.name.to_string(),
            centre: shared.settings.centre.to_string(),
            wants_entries,
        };
        message.encode_to_vec()
    };
    let hosts = shared
        .state()
        .engine_targets()
        .map(|target| (target.address.ip(), target.centre.clone()))
        .collect();
    let hosts = query_order(hosts, &shared.settings.centre);
    let count = hosts.len();
    for (index, host) in hosts.into_iter().enumerate() {
        let bytes = subscription(index < ENTRY_SOURCES);
        // A datagram that can't be sent now is sent again after the interval.
        let _ = socket.try_send_to(&bytes, SocketAddr::new(host, port));
    }
    count
}

/// The hosts in random order, those of data centre `centre` first.
fn query_order(mut hosts: Vec<(IpAddr, Arc<str>)>, centre: &Arc<str>) -> Vec<IpAddr> {
    fastrand::shuffle(&mut hosts);
    hosts.sort_by_key(|(_, other)| other != centre);
    hosts.into_iter().map(|(ip, _)| ip).collect()
}

/// The numbers of entries that agents have reported.
#[derive(Debug, Default)]
struct EntryCounts {
    by_agent: BTreeMap<IpAddr, (u32, Instant)>,
    most: u32,
}

impl EntryCounts {
    /// Records an agent's count; returns whether it is larger than all recent ones.
    fn record(&mut self, now: Instant, agent: IpAddr, entries: u32) -> bool {
        self.by_agent.insert(agent, (entries, now));
        entries > self.most
    }

    /// The largest recent count; none without one.
    fn most(&mut self, now: Instant) -> Option<u32> {
        self.by_agent
            .retain(|_, (_, at)| now.duration_since(*at) < SUBSCRIPTION_INTERVAL * 3);
        let counts = self.by_agent.values().map(|(entries, _)| *entries);
        let most = counts.max();
        self.most = most.unwrap_or_default();
        most
    }
}

/// Sets how many entries send to the same targets, unless no agent has reported it lately.
fn set_entries<P>(shared: &Shared<P>, entries: Option<u32>) {
    if let Some(entries) = entries {
        shared.state().placement.set_entries(entries);
    }
}

fn apply_report<P>(shared: &Shared<P>, host: IpAddr, report: &EngineReport) {
    let mut state = shared.state();
    let Some(target) = reporting_target(state.engine_targets_at(host), host, report).cloned()
    else {
        return;
    };
    let boot_now = BootClock.now();
    if report
        .started_at
        .is_some_and(|started_at| started_at != target.started_at)
    {
        state.placement.record_incarnation_change(boot_now, &target);
        return;
    }
    state.placement.record_agent_report(boot_now, &target);
    record_versions(&mut state, host, report, boot_now);
    let load = TargetLoad {
        running: report.running,
        waiting: report.waiting,
    };
    state.placement.record_load(boot_now, &target, load);
    let closes_in = report.closes_in.map(u64::from).map(Duration::from_millis);
    let closes_at = closes_in.map(|time| boot_now + time);
    state.placement.set_closing(&target, closes_at);
    if let Some(line) = state.queues.get(&target.service) {
        line.wake_first();
    }
    drop(state);
    if report.is_leaving {
        barred::record_leaving(
            shared,
            &Incarnation::from(target.as_ref()),
            &host.to_string(),
        );
    }
}

/// The target on which the agent at `host` reports: of several that the list names there, the
/// one of the reported incarnation.
fn reporting_target<'a, I>(
    mut targets: I,
    host: IpAddr,
    report: &EngineReport,
) -> Option<&'a Arc<Target>>
where
    I: Iterator<Item = &'a Arc<Target>> + Clone,
{
    let listed = targets.clone().filter(|target| target.address.ip() == host);
    let mut reported = listed.filter(|target| report.started_at == Some(target.started_at));
    let is_there = |target: &&Arc<Target>| target.address.ip() == host;
    reported.next().or_else(|| targets.find(is_there))
}

/// Applies the reported naming times of versions, which this process may not know or have
/// learned late.
fn record_versions(state: &mut State, host: IpAddr, report: &EngineReport, now: Moment) {
    let Some(before) = state.named_before else {
        return;
    };
    for named in &report.named_versions {
        if let Some(versions) = state.versions.get_mut(named.model.as_str()) {
            let known = versions.get(named.version).copied();
            let since = named.age.map(|age| now - Duration::from_millis(age));
            versions.record_reported(named.version, since, before);
            if let Some(corrected) = versions.get(named.version).copied()
                && is_correction(known, corrected)
            {
                log_correction(now, host, &named.model, known, corrected);
            }
        }
    }
}

/// Whether the naming time changed by more than the error of reported ages.
fn is_correction(known: Option<Naming>, corrected: Naming) -> bool {
    known.is_none_or(|known| {
        let (old, new) = (known.named.since, corrected.named.since);
        old.since(new).max(new.since(old)) > AGE_ERROR
    })
}

/// Logs that a report from the agent at `host` changed what is known of a version.
fn log_correction(
    now: Moment,
    host: IpAddr,
    model: &str,
    known: Option<Naming>,
    corrected: Naming,
) {
    let age = |naming: Naming| millis(now.since(naming.named.since));
    LogEvent::NamingCorrected.log(&[
        ("model", model.into()),
        ("version", corrected.named.version.into()),
        ("age_ms", age(corrected)),
        ("source", corrected.source.to_string().into()),
        ("known_age_ms", known.map(age).into()),
        ("host", host.to_string().into()),
    ]);
}
