use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv6Addr};
use std::sync::Arc;

use bytes::Bytes;
use prost::Message;

use super::{EngineReport, EntryGroup, KnownEntry, MAX_BYTES, MAX_ENTRIES};

/// The entries of a deployment with eight data centres.
fn entries(count: usize) -> Vec<KnownEntry> {
    let entry = |number: usize| {
        let [.., high, low] = number.to_be_bytes();
        KnownEntry {
            ip: IpAddr::from([10, 0, high, low]),
            centre: format!("region-{}-data-centre", number % 8).into(),
        }
    };
    (0..count).map(entry).collect()
}

fn report(entries: &[KnownEntry]) -> EngineReport {
    EngineReport {
        known_entries: EntryGroup::group(entries),
        ..EngineReport::default()
    }
}

fn listed(report: &EngineReport) -> BTreeSet<(IpAddr, Arc<str>)> {
    let groups = report.known_entries.iter();
    let entries = groups.flat_map(EntryGroup::entries);
    entries.map(|entry| (entry.ip, entry.centre)).collect()
}

/// Agents named the first 60 of 148 entries. The others took themselves for unknown: each of
/// them read the store itself, waited for seconds before it fetched weights, and never sent
/// anything to engines that were cold.
#[test]
fn a_report_lists_every_entry_of_a_large_deployment() {
    for count in [0, 1, 60, 148, 370, MAX_ENTRIES] {
        let known = entries(count);
        let bytes = report(&known).encode_to_vec();
        assert!(bytes.len() <= MAX_BYTES, "{count} entries: {}", bytes.len());
        let decoded = EngineReport::decode(bytes.as_slice()).unwrap();
        let expected = known.into_iter().map(|entry| (entry.ip, entry.centre));
        assert_eq!(listed(&decoded), expected.collect());
    }
}

#[test]
fn a_report_never_exceeds_a_datagram() {
    let bytes = report(&entries(5 * MAX_ENTRIES)).encode_to_vec();
    assert!(bytes.len() <= MAX_BYTES);
}

#[test]
fn addresses_of_both_families_are_kept_and_malformed_ones_skipped() {
    let ip = IpAddr::from(Ipv6Addr::LOCALHOST);
    let centre: Arc<str> = "north".into();
    let mut groups = EntryGroup::group(&[KnownEntry { ip, centre }]);
    groups[0].addresses.push(Bytes::from_static(b"12345"));
    let listed: Vec<IpAddr> = groups[0].entries().map(|entry| entry.ip).collect();
    assert_eq!(listed, [ip]);
}
