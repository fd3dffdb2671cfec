//! Choice of the members that watch the store.

use std::time::Duration;

use azurestand_membership::Role;

use crate::net::{Net, config, identity};

fn watchers(net: &Net, centre: &str) -> usize {
    let local = |address| net.processes[address].member.identity().centre.as_str() == centre;
    net.watchers()
        .iter()
        .filter(|address| local(*address))
        .count()
}

#[test]
fn two_entries_of_each_data_centre_watch_the_store() {
    let mut net = Net::fleet(21, &["north", "south"], 3, 8);
    net.run(Duration::from_secs(20));
    for centre in ["north", "south"] {
        assert_eq!(watchers(&net, centre), 2);
    }
    for address in net.watchers() {
        assert_eq!(net.processes[&address].member.identity().role, Role::Entry);
    }
}

#[test]
fn killed_watchers_are_replaced_and_the_next_edit_arrives() {
    let mut net = Net::fleet(22, &["north", "south"], 3, 4);
    net.write(&config(1, "one"));
    net.run(Duration::from_secs(15));
    let killed: Vec<_> = net
        .watchers()
        .iter()
        .map(|address| net.processes[address].member.identity().clone())
        .filter(|identity| identity.centre.as_str() == "north")
        .map(|identity| identity.host.to_string())
        .collect();
    for name in &killed {
        net.kill(name);
    }
    let span = Duration::from_secs(15);
    let replaced = net.run_until(span, |net| watchers(net, "north") == 2);
    assert!(
        replaced.is_some(),
        "agents did not replace the entries as watchers"
    );
    net.write(&config(2, "two"));
    assert!(
        net.run_until(Duration::from_secs(2), |net| net.in_force(2))
            .is_some()
    );
}

#[test]
fn restarted_entry_becomes_a_watcher_again() {
    let mut net = Net::fleet(23, &["north"], 2, 3);
    net.run(Duration::from_secs(10));
    net.kill("north-e1");
    net.run(Duration::from_secs(12));
    assert_eq!(watchers(&net, "north"), 2);
    net.start("north-e1", "north", Role::Entry, 2);
    net.run(Duration::from_secs(10));
    assert_eq!(watchers(&net, "north"), 2);
    let back = identity("north-e1", "north", Role::Entry, 2).address;
    assert!(net.watchers().contains(&back));
}

#[test]
fn leaving_watcher_stops_at_once() {
    let mut net = Net::fleet(24, &["north"], 3, 3);
    net.run(Duration::from_secs(10));
    let address = net.watchers()[0];
    let name = net.processes[&address].member.identity().host.to_string();
    net.send_event(&name, azurestand_membership::Event::Leave);
    assert!(!net.watchers().contains(&address));
    net.run(Duration::from_secs(5));
    assert_eq!(watchers(&net, "north"), 2);
}

#[test]
fn statuses_of_all_hosts_reach_every_entry() {
    let mut net = Net::fleet(25, &["north", "south"], 3, 6);
    net.write(&config(3, "three"));
    net.run(Duration::from_secs(12));
    let names: Vec<_> = net
        .processes
        .values()
        .map(|process| process.member.identity().host.clone())
        .collect();
    for name in &names {
        let blob = format!("state of {name}").into_bytes().into();
        net.send_event(name.as_str(), azurestand_membership::Event::Status(blob));
    }
    let known = |net: &Net| {
        net.processes
            .values()
            .filter(|process| process.member.identity().role == Role::Entry)
            .all(|process| {
                names.iter().all(|name| {
                    let record = process.member.view().get(name);
                    let wanted = format!("state of {name}");
                    record.is_some_and(|record| *record.status.blob == *wanted.as_bytes())
                })
            })
    };
    assert!(net.run_until(Duration::from_secs(40), known).is_some());
    let entry = net.process("north-e0").member.view();
    assert!(entry.lagging(azurestand_types::Revision(3)).is_empty());
    assert_eq!(
        entry.lagging(azurestand_types::Revision(4)).len(),
        names.len()
    );
}
