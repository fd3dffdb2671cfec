//! One test per fault; each causes it and expects the newest version on all hosts.

use azurestand_spread::{Event, Limits, LiveTraffic, LogMessage, Rate, Source};
use azurestand_types::{HostName, Region};

use super::net::{Faults, Net, host, limits, version};

fn corrupt_from(net: &Net, from: &Source) -> usize {
    let log_messages = net.nodes.values().flat_map(|node| &node.log_messages);
    let is_from =
        |log: &&LogMessage| matches!(log, LogMessage::Corrupt { from: seen, .. } if seen == from);
    log_messages.filter(is_from).count()
}

#[test]
fn without_faults_about_one_copy_is_fetched_from_the_origin() {
    let mut net = Net::new(18, 1);
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    net.run_until_live(&v1);
    let fetches = net.fetches(&v1);
    assert!(
        (60..=90).contains(&fetches),
        "{fetches} fetches for 60 chunks"
    );
}

#[test]
fn spread_completes_with_five_percent_of_chunks_corrupted() {
    let mut net = Net::new(12, 2);
    net.faults.corrupt = 0.05;
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    net.run_until_live(&v1);
    assert!(net.progress().iter().any(|p| p.source_bytes.corrupt > 0));
}

#[test]
fn spread_completes_when_one_host_corrupts_all_that_it_sends() {
    let mut net = Net::new(12, 3);
    let corrupting = host("host-4");
    net.corrupting.insert(corrupting.clone());
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    net.run_until_live(&v1);
    let corrupted = corrupt_from(&net, &Source::Peer(corrupting));
    assert!(
        (1..=60).contains(&corrupted),
        "{corrupted} corrupt chunks received"
    );
}

#[test]
fn spread_completes_after_the_origin_stalled() {
    let mut net = Net::new(12, 4);
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    net.run(100);
    net.stalled = true;
    net.run(60_000);
    assert_eq!(net.live(v1.manifest.digest()), 0);
    let attempts = net.fetches(&v1);
    net.stalled = false;
    net.run_until_live(&v1);
    assert!(
        attempts < 240,
        "{attempts} fetches while the origin was stalled"
    );
}

#[test]
fn spread_completes_when_designated_hosts_fail_mid_chunk() {
    let mut net = Net::new(18, 5);
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    net.run(50);
    let fetching: Vec<HostName> = net.names();
    let fetching = fetching
        .into_iter()
        .filter(|name| net.nodes[name].transfer.staged() > 0);
    let failed: Vec<_> = fetching.take(4).collect();
    assert_eq!(failed.len(), 4);
    for name in &failed {
        net.kill(name);
    }
    // The view is late: the next in the order take over before it shows the failed
    // hosts.
    net.run(8_000);
    net.refresh();
    net.run_until_live(&v1);
    assert_eq!(net.alive(), 14);
}

#[test]
fn spread_completes_when_the_view_never_shows_failed_designated_hosts() {
    let mut net = Net::new(18, 6);
    let v1 = version("draft", "v1", 40, 0);
    net.want(&[&v1]);
    net.run(20);
    for index in 0..6 {
        net.kill(&host(&format!("host-{index}")));
    }
    net.run_until_live(&v1);
}

#[test]
fn region_isolated_during_a_spread_completes_from_the_origin() {
    let mut net = Net::new(12, 7);
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    net.run(200);
    net.isolated.insert(Region::try_from("region-1").unwrap());
    net.run_until_live(&v1);
}

#[test]
fn region_without_links_and_origin_completes_once_the_links_are_back() {
    let mut net = Net::new(12, 8);
    let v1 = version("draft", "v1", 60, 0);
    let region = Region::try_from("region-1").unwrap();
    net.want(&[&v1]);
    net.run(200);
    net.isolated.insert(region.clone());
    net.unsupplied.insert(region.clone());
    net.run_until(|net| net.live(v1.manifest.digest()) == 8);
    net.run(60_000);
    assert_eq!(net.live(v1.manifest.digest()), 8);
    net.isolated.remove(&region);
    net.run_until_live(&v1);
}

#[test]
fn spread_does_not_wait_for_a_host_that_uploads_slowly() {
    let mut net = Net::new(12, 15);
    let slow = host("host-4");
    net.slow.insert(slow.clone());
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    let start = net.now;
    net.run_until_live(&v1);
    let from = Source::Peer(slow);
    let log_messages = net.nodes.values().flat_map(|node| &node.log_messages);
    let is_late =
        |log: &&LogMessage| matches!(log, LogMessage::Late { from: seen, .. } if *seen == from);
    assert!(log_messages.filter(is_late).count() > 0);
    assert!(net.now - start < 60_000_000, "the slow host was waited for");
}

#[test]
fn spread_completes_with_lost_repeated_and_reordered_messages() {
    let mut net = Net::new(12, 9);
    net.faults = Faults {
        loss: 0.2,
        duplication: 0.3,
        corrupt: 0.0,
    };
    let v1 = version("draft", "v1", 40, 0);
    net.want(&[&v1]);
    net.run_until_live(&v1);
}

#[test]
fn differing_views_cost_only_extra_origin_fetches() {
    let mut net = Net::new(18, 10);
    let v1 = version("draft", "v1", 40, 0);
    let all: Vec<_> = net.nodes.values().map(|node| node.peer.clone()).collect();
    for (index, name) in net.names().into_iter().enumerate() {
        let mut view = all.clone();
        view.retain(|peer| {
            peer.host == name || !peer.host.as_str().ends_with(&format!("{}", index % 10))
        });
        net.handle(&name, Event::Peers(view));
    }
    net.want(&[&v1]);
    net.run_until_live(&v1);
    let fetches = net.fetches(&v1);
    assert!(fetches <= 3 * 40, "{fetches} fetches for 40 chunks");
}

#[test]
fn halves_that_do_not_see_each_other_fetch_a_copy_each() {
    let mut net = Net::new(18, 14);
    let v1 = version("draft", "v1", 40, 0);
    let all: Vec<_> = net.nodes.values().map(|node| node.peer.clone()).collect();
    for name in net.names() {
        let even = |host: &HostName| host.as_str().ends_with(['0', '2', '4', '6', '8']);
        let mut view = all.clone();
        view.retain(|peer| even(&peer.host) == even(&name));
        net.handle(&name, Event::Peers(view));
    }
    net.want(&[&v1]);
    net.run_until_live(&v1);
    let fetches = net.fetches(&v1);
    assert!(
        (80..=96).contains(&fetches),
        "{fetches} fetches for 40 chunks"
    );
}

#[test]
fn staged_bytes_stay_within_their_limit() {
    // The net checks the bound after every event.
    let tight = Limits {
        staging: 2_500,
        ..limits()
    };
    let mut net = Net::with_limits(9, 11, tight);
    let v1 = version("draft", "v1", 40, 0);
    net.want(&[&v1]);
    net.run_until_live(&v1);
}

#[test]
fn live_traffic_slows_transfers_down() {
    let time = |load: u64| {
        let mut net = Net::new(6, 12);
        for name in net.names() {
            let live_traffic = LiveTraffic {
                inbound: Rate(load),
                outbound: Rate(load),
                cross: Rate(0),
            };
            net.handle(&name, Event::LiveTraffic(live_traffic));
        }
        let v1 = version("draft", "v1", 60, 0);
        net.want(&[&v1]);
        let start = net.now;
        net.run_until_live(&v1);
        net.now - start
    };
    // 98% less 80% of 100 kB/s leaves 18 kB/s for 60 kB, of which two chunks may be saved up.
    let (free, busy) = (time(0), time(80_000));
    assert!(busy >= 3_200_000, "{busy} µs under load, {free} µs without");
    assert!(free < busy);
}

#[test]
fn weight_store_is_preferred_and_the_origin_replaces_it_on_failure() {
    let with_store = Limits {
        store: Some(Rate(200_000)),
        ..limits()
    };
    let mut net = Net::with_limits(6, 13, with_store);
    let v1 = version("draft", "v1", 40, 0);
    net.want(&[&v1]);
    net.run_until_live(&v1);
    let (stored, fetches) = (net.store_fetches, net.fetches(&v1));
    assert!(
        stored >= 36 && fetches <= 4,
        "{stored} stored, {fetches} fetched"
    );
    net.store_down = true;
    let v2 = version("draft", "v2", 40, 0);
    net.want(&[&v2]);
    net.run_until_live(&v2);
}
