//! One test a failure; each causes it and expects the newest version everywhere.

use azurestand_spread::{Event, Limits, Load, Note, Rate, Source};
use azurestand_types::{HostName, Region};

use super::net::{Net, Noise, host, limits, version};

fn corrupt_from(net: &Net, from: &Source) -> usize {
    let notes = net.nodes.values().flat_map(|node| &node.notes);
    let is_from = |note: &&Note| matches!(note, Note::Corrupt { from: seen, .. } if seen == from);
    notes.filter(is_from).count()
}

#[test]
fn quiet_links_take_about_one_copy_from_the_origin() {
    let mut net = Net::new(18, 1);
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    net.run_until_live(&v1);
    let draws = net.draws(&v1);
    assert!((60..=90).contains(&draws), "{draws} draws for 60 chunks");
}

#[test]
fn five_percent_of_chunks_corrupted() {
    let mut net = Net::new(12, 2);
    net.noise.corrupt = 0.05;
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    net.run_until_live(&v1);
    assert!(net.progress().iter().any(|p| p.sourced.corrupt > 0));
}

#[test]
fn one_host_corrupts_all_that_it_sends() {
    let mut net = Net::new(12, 3);
    let liar = host("host-4");
    net.liars.insert(liar.clone());
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    net.run_until_live(&v1);
    let lies = corrupt_from(&net, &Source::Peer(liar));
    assert!((1..=60).contains(&lies), "{lies} corrupt chunks received");
}

#[test]
fn origin_stalls_and_returns() {
    let mut net = Net::new(12, 4);
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    net.run(100);
    net.stalled = true;
    net.run(60_000);
    assert_eq!(net.live(v1.manifest.digest()), 0);
    let wasted = net.draws(&v1);
    net.stalled = false;
    net.run_until_live(&v1);
    assert!(wasted < 240, "{wasted} draws while the origin was stalled");
}

#[test]
fn drawing_agents_die_mid_chunk() {
    let mut net = Net::new(18, 5);
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    net.run(50);
    let drawing: Vec<HostName> = net.names();
    let drawing = drawing
        .into_iter()
        .filter(|name| net.nodes[name].transfer.staged() > 0);
    let dying: Vec<_> = drawing.take(4).collect();
    assert_eq!(dying.len(), 4);
    for name in &dying {
        net.kill(name);
    }
    // The view is late: the next in order step in before it shows the deaths.
    net.run(8_000);
    net.refresh();
    net.run_until_live(&v1);
    assert_eq!(net.alive(), 14);
}

#[test]
fn drawing_agents_die_and_the_view_never_shows_it() {
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
fn region_cut_mid_burst_goes_on_from_the_origin() {
    let mut net = Net::new(12, 7);
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    net.run(200);
    net.cut.insert(Region::try_from("region-1").unwrap());
    net.run_until_live(&v1);
}

#[test]
fn region_without_links_and_origin_is_served_once_the_links_heal() {
    let mut net = Net::new(12, 8);
    let v1 = version("draft", "v1", 60, 0);
    let region = Region::try_from("region-1").unwrap();
    net.want(&[&v1]);
    net.run(200);
    net.cut.insert(region.clone());
    net.dry.insert(region.clone());
    net.run_until(|net| net.live(v1.manifest.digest()) == 8);
    net.run(60_000);
    assert_eq!(net.live(v1.manifest.digest()), 8);
    net.cut.remove(&region);
    net.run_until_live(&v1);
}

#[test]
fn one_host_uploads_too_slowly() {
    let mut net = Net::new(12, 15);
    let slow = host("host-4");
    net.slow.insert(slow.clone());
    let v1 = version("draft", "v1", 60, 0);
    net.want(&[&v1]);
    let start = net.now;
    net.run_until_live(&v1);
    let from = Source::Peer(slow);
    let notes = net.nodes.values().flat_map(|node| &node.notes);
    let is_late = |note: &&Note| matches!(note, Note::Late { from: seen, .. } if *seen == from);
    assert!(notes.filter(is_late).count() > 0);
    assert!(net.now - start < 60_000_000, "the slow host was waited for");
}

#[test]
fn lost_repeated_and_reordered_messages() {
    let mut net = Net::new(12, 9);
    net.noise = Noise {
        loss: 0.2,
        twice: 0.3,
        corrupt: 0.0,
    };
    let v1 = version("draft", "v1", 40, 0);
    net.want(&[&v1]);
    net.run_until_live(&v1);
}

#[test]
fn views_that_differ_cost_origin_bytes_and_nothing_else() {
    let mut net = Net::new(18, 10);
    let v1 = version("draft", "v1", 40, 0);
    let all: Vec<_> = net.nodes.values().map(|node| node.peer.clone()).collect();
    for (index, name) in net.names().into_iter().enumerate() {
        let mut view = all.clone();
        view.retain(|peer| {
            peer.host == name || !peer.host.as_str().ends_with(&format!("{}", index % 10))
        });
        net.feed(&name, Event::Peers(view));
    }
    net.want(&[&v1]);
    net.run_until_live(&v1);
    let draws = net.draws(&v1);
    assert!(draws <= 3 * 40, "{draws} draws for 40 chunks");
}

#[test]
fn halves_that_do_not_see_each_other_draw_a_copy_each() {
    let mut net = Net::new(18, 14);
    let v1 = version("draft", "v1", 40, 0);
    let all: Vec<_> = net.nodes.values().map(|node| node.peer.clone()).collect();
    for name in net.names() {
        let even = |host: &HostName| host.as_str().ends_with(['0', '2', '4', '6', '8']);
        let mut view = all.clone();
        view.retain(|peer| even(&peer.host) == even(&name));
        net.feed(&name, Event::Peers(view));
    }
    net.want(&[&v1]);
    net.run_until_live(&v1);
    let draws = net.draws(&v1);
    assert!((80..=96).contains(&draws), "{draws} draws for 40 chunks");
}

#[test]
fn staged_bytes_stay_under_their_bound() {
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
            let load = Load {
                inbound: Rate(load),
                outbound: Rate(load),
                cross: Rate(0),
            };
            net.feed(&name, Event::Load(load));
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
fn weight_store_is_preferred_and_the_origin_replaces_it() {
    let with_store = Limits {
        store: Some(Rate(200_000)),
        ..limits()
    };
    let mut net = Net::with_limits(6, 13, with_store);
    let v1 = version("draft", "v1", 40, 0);
    net.want(&[&v1]);
    net.run_until_live(&v1);
    let (stored, draws) = (net.stored, net.draws(&v1));
    assert!(stored >= 36 && draws <= 4, "{stored} stored, {draws} drawn");
    net.store_down = true;
    let v2 = version("draft", "v2", 40, 0);
    net.want(&[&v2]);
    net.run_until_live(&v2);
}
