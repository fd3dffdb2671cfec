//! Settings files: what is refused names the file, the line, the key and the remedy.

use std::path::Path;

use azurestand_server::settings::{LogFormat, Settings, TargetKind};

const GOOD: &str = r#"
host = "tov-host-1"
data_centre = "tov"
region = "tov"
listen = "127.0.0.1:8080"
peer_listen = "127.0.0.1:7000"
store = ["127.0.0.1:2379"]
fleet_key = "a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5"
log = "json"

[[targets]]
name = "tov-engine-1"
address = "127.0.0.1:9000"
model = "dispatch"
fencing = true
"#;

fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse(text, Path::new("host.toml")).map_err(|error| error.to_string())
}

/// Changes one line and gives the error.
fn refusal(from: &str, to: &str) -> String {
    let text = GOOD.replacen(from, to, 1);
    assert_ne!(text, GOOD, "{from} must stand in the good settings");
    parse(&text).unwrap_err()
}

#[test]
fn good_settings_become_checked_types() {
    let settings = parse(GOOD).unwrap();
    assert_eq!(settings.host.as_str(), "tov-host-1");
    assert_eq!(settings.log, LogFormat::Json);
    let kind = &settings.targets[0].kind;
    assert!(matches!(kind, TargetKind::Engine { fenced: true, .. }));
}

#[test]
fn an_unknown_key_is_refused_with_its_line() {
    let error = refusal("log = \"json\"", "colour = \"red\"");
    assert!(error.starts_with("host.toml:9:"), "{error}");
    assert!(error.contains("colour"), "{error}");
}

#[test]
fn a_wrong_type_is_refused_with_its_line() {
    let error = refusal("store = [\"127.0.0.1:2379\"]", "store = 7");
    assert!(error.starts_with("host.toml:7:"), "{error}");
}

#[test]
fn impossible_values_name_key_line_and_remedy() {
    let cases = [
        (
            "host = \"tov-host-1\"",
            "host = \"Tov 1\"",
            "host.toml:2: host:",
            "use only a-z",
        ),
        (
            "listen = \"127.0.0.1:8080\"",
            "listen = \"here\"",
            "host.toml:5: listen:",
            "IP number",
        ),
        (
            "store = [\"127.0.0.1:2379\"]",
            "store = []",
            "host.toml:2: store:",
            "at least one",
        ),
        (
            "log = \"json\"",
            "log = \"xml\"",
            "host.toml:9: log:",
            "choose \"text\"",
        ),
        (
            "log = \"json\"",
            "drain_seconds = 0",
            "host.toml:9: drain_seconds:",
            "choose 1 to 3600",
        ),
        (
            "fencing = true",
            "service = \"x\"",
            "host.toml:12: targets:",
            "exactly one",
        ),
        (
            "fleet_key = \"a5",
            "fleet_key = \"zz",
            "host.toml:8: fleet_key:",
            "64 hexadecimal",
        ),
    ];
    for (from, to, place, remedy) in cases {
        let error = refusal(from, to);
        assert!(error.starts_with(place), "{error}");
        assert!(error.contains(remedy), "{error}");
    }
}

#[test]
fn a_target_named_twice_is_refused() {
    let target = GOOD.split("[[targets]]").nth(1).unwrap();
    let error = parse(&format!("{GOOD}\n[[targets]]{target}")).unwrap_err();
    assert!(error.contains("stands twice"), "{error}");
}

#[test]
fn the_fleet_key_is_never_printed() {
    let settings = parse(GOOD).unwrap();
    assert!(!format!("{settings:?}").contains("a5a5"));
}
