//! Routes by host and longest prefix, shares and account keys.

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{Account, Regions, Route, RouteKind, Rules, RulesParts, Share};
use proptest::prelude::*;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        priority: 1,
        shares: vec![Share {
            service: "desk".into(),
            weight: 1,
        }],
        attempts: 2,
        keyless: false,
        regions: Regions::Any,
    }
}

fn rules(routes: Vec<Route>) -> Rules {
    let account = Account {
        name: "winter".into(),
        priority: None,
        regions: Regions::Any,
    };
    Rules::from(RulesParts {
        version: 3,
        routes,
        services: Vec::new(),
        origin: None,
        limits: crate::common::limits(),
        needs_keys: true,
        accounts: vec![(account, vec![Arc::from("key-1"), Arc::from("key-2")])],
    })
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let rules = rules(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    let name = |path| {
        rules
            .route("a.example", path)
            .map(|route| route.name.to_string())
    };
    assert_eq!(name("/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(name("/x/1").as_deref(), Some("short"));
    assert_eq!(name("/1"), None);
    assert!(rules.route("c.example", "/x/").is_none());
}

#[test]
fn keys_identify_accounts_and_keyless_routes_need_none() {
    let mut open = route("open", "a.example", "/open/");
    open.keyless = true;
    let rules = rules(vec![open.clone(), route("closed", "a.example", "/x/")]);
    assert!(!rules.needs_account(&open));
    assert!(rules.needs_account(rules.route("a.example", "/x/").unwrap()));
    assert_eq!(rules.account("key-2").unwrap().name.as_ref(), "winter");
    assert!(rules.account("key-3").is_none());
}

proptest! {
    #[test]
    fn a_service_with_weight_zero_gets_no_requests(draw in 0.0_f64..1.0) {
        let mut split = route("split", "a.example", "/");
        let share = |service: &str, weight| Share { service: service.into(), weight };
        split.shares = vec![share("old", 0), share("new", 90), share("newer", 10), share("none", 0)];
        let picked = split.choose_service(draw).unwrap();
        let wanted = if draw < 0.9 { "new" } else { "newer" };
        prop_assert_eq!(picked.as_ref(), wanted);
    }
}

/// The sum of the weights overflowed.
#[test]
fn the_largest_weights_are_drawn_evenly() {
    let mut split = route("split", "a.example", "/");
    let share = |service: &str| Share {
        service: service.into(),
        weight: u32::MAX,
    };
    split.shares = vec![share("old"), share("new")];
    assert_eq!(split.choose_service(0.4).unwrap().as_ref(), "old");
    assert_eq!(split.choose_service(0.6).unwrap().as_ref(), "new");
}
