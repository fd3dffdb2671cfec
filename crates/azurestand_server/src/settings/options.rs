//! Settings as users write them, and their checks.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use azurestand_wire::FleetKey;
use serde::Deserialize;
use toml::Spanned;

use super::{InputLimits, LogFormat, Settings, TargetKind, TargetSettings};

const DEFAULT_DRAIN_SECONDS: u64 = 30;
const MAX_DRAIN_SECONDS: u64 = 3_600;
const DEFAULT_STAGING_BYTES: u64 = 1 << 30;
const DEFAULT_BODY_BYTES: u64 = 1 << 20;
/// A request must fit into one frame between processes with room for its headers.
const MAX_BODY_BYTES: u64 = (azurestand_wire::MAX_FRAME_BYTES as u64) * 3 / 4;
const DEFAULT_BODY_SECONDS: u64 = 10;
const MAX_BODY_SECONDS: u64 = 300;
const DEFAULT_REQUESTS: u64 = 4_096;
const MAX_REQUESTS: u64 = 65_536;

/// An impossible value, with its place in the text.
#[derive(Debug)]
pub(super) struct Fault {
    pub(super) place: usize,
    pub(super) key: String,
    pub(super) remedy: String,
}

type Text = Spanned<String>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Options {
    host: Text,
    data_centre: Text,
    region: Text,
    listen: Text,
    peer_listen: Text,
    store: Vec<Text>,
    origin: Option<Text>,
    #[serde(default)]
    seeds: Vec<Text>,
    fleet_key: Text,
    metrics: Option<Text>,
    log: Option<Text>,
    drain_seconds: Option<Spanned<u64>>,
    staging_bytes: Option<Spanned<u64>>,
    #[serde(default)]
    input: InputOptions,
    #[serde(default)]
    targets: Vec<TargetOptions>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct InputOptions {
    body_bytes: Option<Spanned<u64>>,
    body_seconds: Option<Spanned<u64>>,
    requests: Option<Spanned<u64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TargetOptions {
    name: Text,
    address: Text,
    model: Option<Text>,
    service: Option<Text>,
    fencing: Option<bool>,
}

fn fault<E>(text: &Text, key: &str, error: E) -> Fault
where
    E: Display,
{
    Fault {
        place: text.span().start,
        key: key.to_owned(),
        remedy: error.to_string(),
    }
}

fn name<N>(text: &Text, key: &str) -> Result<N, Fault>
where
    N: for<'a> TryFrom<&'a str, Error = azurestand_types::NameError>,
{
    N::try_from(text.as_ref().as_str()).map_err(|error| fault(text, key, error))
}

fn address(text: &Text, key: &str) -> Result<SocketAddr, Fault> {
    let remedy = "isn't an address; write an IP number and a port, such as \"10.0.0.7:7000\"";
    text.as_ref()
        .parse()
        .map_err(|_| fault(text, key, format!("{:?} {remedy}", text.as_ref())))
}

fn addresses(texts: &[Text], key: &str) -> Result<Vec<SocketAddr>, Fault> {
    texts.iter().map(|text| address(text, key)).collect()
}

fn bounded(value: Option<&Spanned<u64>>, key: &str, default: u64, most: u64) -> Result<u64, Fault> {
    let Some(value) = value else {
        return Ok(default);
    };
    let number = *value.as_ref();
    if (1..=most).contains(&number) {
        return Ok(number);
    }
    Err(Fault {
        place: value.span().start,
        key: key.to_owned(),
        remedy: format!("{number} is out of range; choose 1 to {most}"),
    })
}

fn count(value: Option<&Spanned<u64>>, key: &str, default: u64, most: u64) -> Result<usize, Fault> {
    let number = bounded(value, key, default, most)?;
    Ok(usize::try_from(number).unwrap_or(usize::MAX))
}

impl TryFrom<TargetOptions> for TargetSettings {
    type Error = Fault;

    fn try_from(options: TargetOptions) -> Result<Self, Fault> {
        let kind = match (&options.model, &options.service) {
            (Some(model), None) => TargetKind::Engine {
                model: name(model, "targets.model")?,
                fenced: options.fencing.unwrap_or(false),
            },
            (None, Some(service)) => TargetKind::Service {
                service: name(service, "targets.service")?,
            },
            _ => {
                let remedy = "names both or neither of model and service; set exactly one";
                return Err(fault(&options.name, "targets", remedy));
            }
        };
        Ok(Self {
            name: name(&options.name, "targets.name")?,
            address: address(&options.address, "targets.address")?,
            kind,
        })
    }
}

impl TryFrom<InputOptions> for InputLimits {
    type Error = Fault;

    fn try_from(options: InputOptions) -> Result<Self, Fault> {
        let seconds = bounded(
            options.body_seconds.as_ref(),
            "input.body_seconds",
            DEFAULT_BODY_SECONDS,
            MAX_BODY_SECONDS,
        )?;
        Ok(Self {
            body_bytes: count(
                options.body_bytes.as_ref(),
                "input.body_bytes",
                DEFAULT_BODY_BYTES,
                MAX_BODY_BYTES,
            )?,
            body_time: Duration::from_secs(seconds),
            requests: count(
                options.requests.as_ref(),
                "input.requests",
                DEFAULT_REQUESTS,
                MAX_REQUESTS,
            )?,
        })
    }
}

fn log_format(text: Option<&Text>) -> Result<LogFormat, Fault> {
    match text.map(|text| (text, text.as_ref().as_str())) {
        None | Some((_, "text")) => Ok(LogFormat::Text),
        Some((_, "json")) => Ok(LogFormat::Json),
        Some((text, _)) => Err(fault(
            text,
            "log",
            "is no format; choose \"text\" or \"json\"",
        )),
    }
}

fn check_targets(targets: Vec<TargetOptions>) -> Result<Vec<TargetSettings>, Fault> {
    let mut checked: Vec<TargetSettings> = Vec::new();
    for options in targets {
        let place = options.name.clone();
        let target = TargetSettings::try_from(options)?;
        if checked.iter().any(|other| other.name == target.name) {
            return Err(fault(
                &place,
                "targets.name",
                "stands twice; give each target its own",
            ));
        }
        checked.push(target);
    }
    Ok(checked)
}

impl TryFrom<Options> for Settings {
    type Error = Fault;

    fn try_from(options: Options) -> Result<Self, Fault> {
        if options.store.is_empty() {
            return Err(fault(
                &options.host,
                "store",
                "is empty; name at least one address",
            ));
        }
        let drain = bounded(
            options.drain_seconds.as_ref(),
            "drain_seconds",
            DEFAULT_DRAIN_SECONDS,
            MAX_DRAIN_SECONDS,
        )?;
        let origin = options.origin.as_ref();
        let metrics = options.metrics.as_ref();
        let key = FleetKey::try_from(options.fleet_key.as_ref().as_str());
        Ok(Self {
            host: name(&options.host, "host")?,
            centre: name(&options.data_centre, "data-centre")?,
            region: name(&options.region, "region")?,
            listen: address(&options.listen, "listen")?,
            peers: address(&options.peer_listen, "peer-listen")?,
            store: addresses(&options.store, "store")?,
            origin: origin.map(|text| address(text, "origin")).transpose()?,
            seeds: addresses(&options.seeds, "seeds")?,
            key: key.map_err(|error| fault(&options.fleet_key, "fleet_key", error))?,
            metrics: metrics.map(|text| address(text, "metrics")).transpose()?,
            log: log_format(options.log.as_ref())?,
            drain: Duration::from_secs(drain),
            staging: bounded(
                options.staging_bytes.as_ref(),
                "staging_bytes",
                DEFAULT_STAGING_BYTES,
                u64::MAX,
            )?,
            input: options.input.try_into()?,
            targets: check_targets(options.targets)?,
        })
    }
}
