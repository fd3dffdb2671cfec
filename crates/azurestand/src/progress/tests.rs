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
