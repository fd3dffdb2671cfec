use std::collections::BTreeSet;
use std::net::IpAddr;

use super::order;

fn ip(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

const COUNT: u8 = 9;

fn known() -> Vec<IpAddr> {
    (1..=COUNT).map(ip).collect()
}

#[test]
fn all_entries_agree_on_who_asks_the_store() {
    let known = known();
    let asks = |own: &&IpAddr| order("north", Some(**own), &known, false).is_empty();
    let first: Vec<_> = known.iter().filter(asks).collect();
    assert_eq!(first.len(), 1);
    for own in &known {
        let order = order("north", Some(*own), &known, false);
        assert!(order.first().is_none_or(|ip| ip == first[0]));
    }
    assert_eq!(order("north", None, &known, false).first(), Some(first[0]));
}

#[test]
fn nobody_waits_for_somebody_that_waits_for_it() {
    let known = known();
    for own in &known {
        for other in order("north", Some(*own), &known, false) {
            let back = order("north", Some(other), &known, false);
            assert!(!back.contains(own), "{own} and {other}");
        }
    }
}

/// The store turns the first entry away; it hears of changes from the others.
#[test]
fn an_entry_that_the_store_turns_away_asks_all_others() {
    let known = known();
    for own in &known {
        let asked = order("north", Some(*own), &known, true);
        let asked: BTreeSet<_> = asked.into_iter().collect();
        assert_eq!(asked.len(), usize::from(COUNT) - 1);
        assert!(!asked.contains(own));
    }
}

#[test]
fn an_entry_that_others_do_not_know_yet_knows_its_own_place() {
    let known: Vec<_> = (2..=COUNT).map(ip).collect();
    let whole = self::known();
    assert_eq!(
        order("north", Some(ip(1)), &known, false),
        order("north", Some(ip(1)), &whole, false)
    );
}

#[test]
fn where_no_entry_is_known_the_store_is_asked() {
    assert!(order("north", Some(ip(1)), &[], false).is_empty());
    assert!(order("north", Some(ip(1)), &[ip(1)], true).is_empty());
    assert!(order("north", None, &[], true).is_empty());
}
