//! Who asks whom for the digests of a version.

use azurestand_direct::{DigestSource, PieceHost, digest_sources};
use proptest::prelude::*;

const CENTRES: [&str; 5] = ["north", "west", "middle", "east", "south"];

fn host(number: usize) -> PieceHost {
    PieceHost {
        name: format!("10.0.0.{number}").into(),
        centre: CENTRES[number % CENTRES.len()].into(),
    }
}

fn hosts(count: usize) -> Vec<PieceHost> {
    (0..count).map(host).collect()
}

fn asks_origin_first(own: &PieceHost, hosts: &[PieceHost]) -> bool {
    digest_sources("m/2/digests", own, hosts).first() == Some(&DigestSource::Origin)
}

/// With 148 entries and 90 agents the digests of one version were fetched from the origin 238
/// times, which kept its link busy for seconds and exceeded its connections.
#[test]
fn one_host_of_all_asks_the_origin_for_digests_first() {
    let entries = hosts(148);
    let asking = entries
        .iter()
        .filter(|own| asks_origin_first(own, &entries));
    assert_eq!(asking.count(), 1);
    let agent = PieceHost {
        name: "10.0.9.1".into(),
        centre: "north".into(),
    };
    assert!(!asks_origin_first(&agent, &entries));
}

#[test]
fn a_host_that_knows_no_other_asks_the_origin() {
    let own = host(0);
    assert_eq!(
        digest_sources("m/2/digests", &own, &[]),
        [DigestSource::Origin]
    );
}

proptest! {
    /// Nobody waits for itself or in a circle: whoever is asked before the origin asks only
    /// hosts that precede it.
    #[test]
    fn hosts_ask_no_one_who_may_wait_for_them(count in 1..40_usize, start in 0..40_usize) {
        let entries = hosts(count);
        let mut own = &entries[start % count];
        for _ in 0..=count {
            match digest_sources("m/2/digests", own, &entries).remove(0) {
                DigestSource::Origin => return Ok(()),
                DigestSource::Host(name) => {
                    prop_assert_ne!(&name, &own.name);
                    own = entries.iter().find(|host| host.name == name).unwrap();
                }
            }
        }
        prop_assert!(false, "hosts wait for each other in a circle");
    }

    #[test]
    fn the_origin_is_always_asked_and_no_source_twice(count in 0..40_usize, own in 0..50_usize) {
        let sources = digest_sources("m/2/digests", &host(own), &hosts(count));
        prop_assert!(sources.contains(&DigestSource::Origin));
        for (index, source) in sources.iter().enumerate() {
            prop_assert!(!sources[..index].contains(source));
        }
        prop_assert!(!sources.contains(&DigestSource::Host(host(own).name)));
    }
}
