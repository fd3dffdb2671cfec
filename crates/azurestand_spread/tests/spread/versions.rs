//! Versions that change, are withdrawn, return or run side by side, and hosts that join
//! late.

use azurestand_spread::{Event, LogMessage, Message};
use azurestand_types::Incarnation;

use super::net::{Net, host, version};

/// Changes the version when every host holds `percent` of it; half of the chunks are shared.
fn supersede_at(percent: usize, seed: u64) {
    let mut net = Net::new(12, seed);
    let (v1, v2) = (
        version("draft", "v1", 60, 30),
        version("draft", "v2", 60, 30),
    );
    net.want(&[&v1]);
    net.run_until(|net| net.fewest_held(&v1) * 100 >= 60 * percent);
    let kept = net.fewest_held(&v2);
    net.want(&[&v2]);
    assert!(net.fewest_held(&v2) >= kept, "shared chunks were dropped");
    net.run_until_live(&v2);
    let old = v1.manifest.chunks().iter().skip(30);
    for node in net.nodes.values() {
        assert_eq!(node.completed.last(), Some(&v2.manifest.digest()));
        assert!(old.clone().all(|chunk| !node.transfer.holds(chunk.digest)));
    }
}

#[test]
fn newest_version_completes_when_the_old_one_was_at_a_tenth() {
    supersede_at(10, 21);
}

#[test]
fn newest_version_completes_when_the_old_one_was_at_half() {
    supersede_at(50, 22);
}

#[test]
fn newest_version_completes_when_the_old_one_was_at_nine_tenths() {
    supersede_at(90, 23);
}

#[test]
fn withdrawn_version_is_removed_completely() {
    let mut net = Net::new(9, 24);
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    net.run_until(|net| net.fewest_held(&v1) >= 20);
    net.want(&[]);
    net.run(10_000);
    for node in net.nodes.values() {
        assert!(node.completed.is_empty());
        assert_eq!(node.transfer.staged(), 0);
        assert!(node.content.is_empty());
    }
}

#[test]
fn rolled_back_version_completes_again() {
    let mut net = Net::new(9, 25);
    let (v1, v2) = (
        version("draft", "v1", 40, 20),
        version("draft", "v2", 40, 20),
    );
    net.want(&[&v1]);
    net.run_until_live(&v1);
    net.want(&[&v2]);
    net.run_until(|net| net.fewest_held(&v2) >= 25);
    net.want(&[&v1]);
    let twice = |net: &Net| net.nodes.values().all(|node| node.completed.len() == 2);
    net.run_until(twice);
}

#[test]
fn next_version_completes_beside_the_current_one() {
    let mut net = Net::new(9, 26);
    let (v1, v2) = (
        version("draft", "v1", 40, 20),
        version("draft", "v2", 40, 20),
    );
    net.want(&[&v1]);
    net.run_until_live(&v1);
    net.want(&[&v1, &v2]);
    net.run_until_live(&v2);
    assert_eq!(net.fewest_held(&v1), 40);
    let shared: Vec<_> = v1.manifest.chunks()[..20].to_vec();
    let most = shared.iter().map(|chunk| net.fetched.get(&chunk.digest));
    assert!(most.flatten().all(|fetches| *fetches <= 3));
}

#[test]
fn two_models_complete_at_once() {
    let mut net = Net::new(12, 27);
    let (a, b) = (version("draft", "v1", 40, 0), version("route", "v1", 40, 0));
    net.want(&[&a, &b]);
    net.run_until_live(&a);
    net.run_until_live(&b);
}

#[test]
fn late_host_fetches_nothing_from_the_origin() {
    let mut net = Net::new(12, 28);
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    net.run_until_live(&v1);
    let before = net.fetches(&v1);
    let late = net.join(12, 1);
    net.refresh();
    net.want_at(&late, &[&v1]);
    net.run_until_live(&v1);
    assert_eq!(net.fetches(&v1), before);
}

#[test]
fn host_that_returns_empty_under_a_new_incarnation_completes() {
    let mut net = Net::new(9, 29);
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    net.run_until(|net| net.fewest_held(&v1) >= 20);
    let back = net.join(4, 2);
    // The others still send to the old incarnation until the view shows the new one.
    net.run(500);
    assert!(net.nodes[&back].content.is_empty());
    net.refresh();
    net.want_at(&back, &[&v1]);
    net.run_until_live(&v1);
}

#[test]
fn late_message_of_an_earlier_incarnation_is_rejected() {
    let mut net = Net::new(6, 30);
    let v1 = version("draft", "v1", 10, 0);
    net.want(&[&v1]);
    net.run_until_live(&v1);
    let (back, other) = (net.join(4, 2), host("host-1"));
    net.refresh();
    let request = |from, sender, receiver| azurestand_spread::Envelope {
        from,
        sender: Incarnation(sender),
        receiver: Incarnation(receiver),
        message: Message::Request {
            digest: v1.manifest.chunks()[0].digest,
        },
    };
    let uploads = net.nodes[&other].uploads;
    let late = request(back.clone(), 1, 1);
    net.handle(&other, Event::Received(late));
    let stale = LogMessage::StaleIncarnation { host: back.clone() };
    assert!(net.nodes[&other].log_messages.contains(&stale));
    assert_eq!(net.nodes[&other].uploads, uploads);
    let misdirected = request(other.clone(), 1, 1);
    net.handle(&back, Event::Received(misdirected));
    assert!(
        net.nodes[&back]
            .log_messages
            .contains(&LogMessage::StaleIncarnation { host: other })
    );
}
