use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{Target, TargetState};
use tokio::time::Instant;

use super::{DISCOVERY_DELAY, ENTRIES_TTL, KnownEntries, query_order, reporting_target};
use crate::presence::{EngineReport, KnownEntry};

fn ip(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

/// Guards against every agent sending its list of entries to every entry, which loaded the
/// links between regions.
#[test]
fn agents_of_the_same_data_centre_are_asked_first_in_random_order() {
    let (north, south): (Arc<str>, Arc<str>) = ("north".into(), "south".into());
    let mut firsts = BTreeSet::new();
    for _ in 0..200 {
        let local = (1..=4).map(|last| (ip(last), north.clone()));
        let hosts = (5..=9).map(|last| (ip(last), south.clone())).chain(local);
        let order = query_order(hosts.collect(), &north);
        assert_eq!(order.len(), 9);
        assert!(order[..4].iter().all(|host| *host <= ip(4)));
        firsts.insert(order[0]);
    }
    assert_eq!(firsts.len(), 4);
}

#[test]
fn agents_of_other_data_centres_are_asked_when_none_is_local() {
    let hosts = vec![(ip(1), Arc::from("south"))];
    assert_eq!(query_order(hosts, &"north".into()), vec![ip(1)]);
}

fn known(lasts: &[u8]) -> Vec<KnownEntry> {
    let name = |last: &u8| KnownEntry {
        ip: ip(*last),
        centre: "north".into(),
    };
    lasts.iter().map(name).collect()
}

fn count(named: Option<Vec<KnownEntry>>) -> Option<usize> {
    named.map(|named| named.len())
}

/// When all machines start at once, an agent at first knows only the first entry that asked
/// it. That entry took the whole rate of cold targets for itself and overloaded them.
#[test]
fn no_entries_are_known_until_the_discovery_delay_has_passed() {
    let mut known_entries = KnownEntries::default();
    let start = Instant::now();
    assert_eq!(
        count(known_entries.update(start, ip(1), &known(&[7]))),
        None
    );
    known_entries.start_query(start);
    assert_eq!(
        count(known_entries.update(start, ip(1), &known(&[7]))),
        None
    );
    let complete = start + DISCOVERY_DELAY;
    known_entries.start_query(complete);
    assert_eq!(
        count(known_entries.update(complete, ip(1), &known(&[7, 8, 9]))),
        Some(3)
    );
    assert_eq!(count(known_entries.update(complete, ip(1), &[])), None);
}

/// An agent that has restarted knows few entries for about a second.
#[test]
fn entries_on_the_recent_list_of_any_agent_are_known() {
    let mut known_entries = KnownEntries::default();
    let start = Instant::now();
    known_entries.start_query(start);
    let complete = start + DISCOVERY_DELAY;
    known_entries.update(complete, ip(1), &known(&[7, 8, 9]));
    assert_eq!(
        count(known_entries.update(complete, ip(2), &known(&[9]))),
        Some(3)
    );
    let later = complete + ENTRIES_TTL;
    assert_eq!(
        count(known_entries.update(later, ip(2), &known(&[9]))),
        Some(1)
    );
}

/// An entry of the list with the address of a sound target got the reports on that target,
/// which then counted as one that its agent had stopped reporting on.
#[test]
fn a_report_counts_for_the_listed_target_of_its_incarnation() {
    let target = |id: &str, started_at| Target {
        id: id.into(),
        started_at,
        service: "llm".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        centre: "north".into(),
        state: TargetState::Ready,
        slots: 16,
        cold: Duration::ZERO,
        held: Vec::new(),
        writes: 1,
    };
    let targets = [target("a", 1).into(), target("b", 2).into()];
    let reported = |started_at| {
        let report = EngineReport {
            started_at,
            ..EngineReport::default()
        };
        let target = reporting_target(targets.iter(), ip(1), &report);
        target.map(|target| target.id.to_string())
    };
    assert_eq!(reported(Some(1)).as_deref(), Some("a"));
    assert_eq!(reported(Some(2)).as_deref(), Some("b"));
    assert_eq!(reported(Some(3)).as_deref(), Some("a"));
    assert_eq!(reported(None).as_deref(), Some("a"));
}
