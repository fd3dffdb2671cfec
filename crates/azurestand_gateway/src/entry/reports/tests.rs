use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;

use super::in_order;

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
