use azurestand_types::Revision;

use super::NodeList;

fn list(json: &str) -> NodeList {
    serde_json::from_str(json).unwrap()
}

const NODES: &str = r#"{"nodes": [
    {"host": "e1", "centre": "tov", "role": "entry", "incarnation": 3, "revision": 7},
    {"host": "a1", "centre": "tov", "role": "agent", "incarnation": 1, "revision": 8},
    {"host": "a2", "centre": "khentii", "role": "agent", "incarnation": 1, "revision": 6}
]}"#;

#[test]
fn lagging_nodes_are_named_by_data_centre() {
    let progress = list(NODES).progress(Revision(7));
    assert!(!progress.complete());
    assert_eq!(
        progress.to_string(),
        "khentii: 0 of 1 nodes at revision 7\n  missing: a2 at revision 6\ntov: 2 of 2 nodes at revision 7\n"
    );
    assert!(list(NODES).progress(Revision(6)).complete());
    assert_eq!(list(NODES).highest(), Revision(8));
}

#[test]
fn no_node_is_no_proof() {
    assert!(!list(r#"{"nodes": []}"#).progress(Revision(1)).complete());
}

#[test]
fn a_dead_host_is_named_but_not_waited_for() {
    let progress = list(
        r#"{"nodes": [
            {"host": "a1", "centre": "tov", "revision": 8, "state": "suspect"},
            {"host": "a2", "centre": "tov", "revision": 5, "state": "dead"},
            {"host": "a3", "centre": "tov", "revision": 5, "state": "left"}
        ]}"#,
    );
    let progress = progress.progress(Revision(8));
    assert!(progress.complete());
    assert_eq!(
        progress.to_string(),
        "tov: 1 of 1 nodes at revision 8\n  not waited for: a2 dead, last at revision 5\n"
    );
}

#[test]
fn a_data_centre_that_is_cut_off_counts_as_missing() {
    let progress = list(
        r#"{"nodes": [
            {"host": "a1", "centre": "tov", "revision": 8, "state": "alive"},
            {"host": "b1", "centre": "khentii", "revision": 7, "state": "dead"}
        ]}"#,
    );
    assert!(!progress.progress(Revision(8)).complete());
}
