use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;

use tokio::time::Instant;

use super::{MEETING_TIME, NAMES_LIFE, Names, in_order};
use crate::presence::KnownEntry;

fn ip(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

/// Every agent told every entry of every other one, over the links between regions.
#[test]
fn near_agents_are_asked_for_names_first_and_by_turns() {
    let (north, south): (Arc<str>, Arc<str>) = ("north".into(), "south".into());
    let mut firsts = BTreeSet::new();
    for _ in 0..200 {
        let near = (1..=4).map(|last| (ip(last), north.clone()));
        let hosts = (5..=9).map(|last| (ip(last), south.clone())).chain(near);
        let order = in_order(hosts.collect(), &north);
        assert_eq!(order.len(), 9);
        assert!(order[..4].iter().all(|host| *host <= ip(4)));
        firsts.insert(order[0]);
    }
    assert_eq!(firsts.len(), 4);
}

#[test]
fn where_no_agent_is_near_others_are_asked() {
    let hosts = vec![(ip(1), Arc::from("south"))];
    assert_eq!(in_order(hosts, &"north".into()), vec![ip(1)]);
}

fn known(lasts: &[u8]) -> Vec<KnownEntry> {
    let name = |last: &u8| KnownEntry {
        ip: ip(*last).to_string(),
        centre: "north".into(),
    };
    lasts.iter().map(name).collect()
}

fn count(named: Option<Vec<KnownEntry>>) -> Option<usize> {
    named.map(|named| named.len())
}

/// All machines start at once: the first entry that asks an agent is the only one it knows.
/// It divided the rate of cold targets by one and sent too much to them.
#[test]
fn what_agents_say_counts_once_others_have_asked_them() {
    let mut names = Names::default();
    let start = Instant::now();
    assert_eq!(count(names.hear(start, ip(1), &known(&[7]))), None);
    names.ask(start);
    assert_eq!(count(names.hear(start, ip(1), &known(&[7]))), None);
    let met = start + MEETING_TIME;
    names.ask(met);
    assert_eq!(count(names.hear(met, ip(1), &known(&[7, 8, 9]))), Some(3));
    assert_eq!(count(names.hear(met, ip(1), &[])), None);
}

/// An agent that has restarted knows few entries for a second.
#[test]
fn entries_that_any_agent_has_named_lately_count() {
    let mut names = Names::default();
    let start = Instant::now();
    names.ask(start);
    let met = start + MEETING_TIME;
    names.hear(met, ip(1), &known(&[7, 8, 9]));
    assert_eq!(count(names.hear(met, ip(2), &known(&[9]))), Some(3));
    let later = met + NAMES_LIFE;
    assert_eq!(count(names.hear(later, ip(2), &known(&[9]))), Some(1));
}
