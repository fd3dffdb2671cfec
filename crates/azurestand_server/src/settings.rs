//! A daemon's settings: what one process must know before it can reach anything else.
//!
//! Everything that operators change while the system runs is in their document
//! instead; see [docs/CONFIGURING.md](../../../docs/CONFIGURING.md).

mod options;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use azurestand_types::{DataCentre, HostName, ModelName, Region, ServiceName, TargetName};
use azurestand_wire::FleetKey;
use quick_error::quick_error;

use options::Options;

quick_error! {
    /// Why a settings file was refused.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file can't be read.
        Unreadable(file: PathBuf, error: std::io::Error) {
            display("{}: can't be read ({error}); check the path and its permissions", file.display())
        }
        /// The file isn't TOML, or a key is unknown, missing or of the wrong type.
        Malformed(file: PathBuf, line: usize, reason: String) {
            display("{}:{line}: {reason}; correct this line, `azurestand help check` lists the keys", file.display())
        }
        /// A key's value is impossible.
        Value(file: PathBuf, line: usize, key: String, remedy: String) {
            display("{}:{line}: {key}: {remedy}", file.display())
        }
    }
}

/// What a target runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine.
    Engine {
        /// The model that it serves.
        model: ModelName,
        /// Whether it refuses an order with an old fencing number.
        fenced: bool,
    },
    /// An instance of a plain service.
    Service {
        /// The service.
        service: ServiceName,
    },
}

impl TargetKind {
    /// The name of the model or service.
    pub fn subject(&self) -> &str {
        match self {
            Self::Engine { model, .. } => model.as_str(),
            Self::Service { service } => service.as_str(),
        }
    }
}

/// One target beside an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSettings {
    /// The target's name, unique in the deployment.
    pub name: TargetName,
    /// Where the target listens.
    pub address: SocketAddr,
    /// What it runs.
    pub kind: TargetKind,
}

/// How log lines look.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Bounds on what one caller can make an entry hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InputLimits {
    /// The longest request body, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send its head and body.
    pub body_time: Duration,
    /// Requests that one entry carries at once.
    pub requests: usize,
}

/// A daemon's checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The host's name.
    pub host: HostName,
    /// The host's data centre.
    pub centre: DataCentre,
    /// The data centre's region.
    pub region: Region,
    /// Where callers (entry) or targets (agent) reach the process over HTTP.
    pub listen: SocketAddr,
    /// Where other processes reach this one.
    pub peers: SocketAddr,
    /// The platform's store.
    pub store: Vec<SocketAddr>,
    /// The origin of weights.
    pub origin: Option<SocketAddr>,
    /// Processes to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The deployment's shared key.
    pub key: FleetKey,
    /// Where metrics go.
    pub metrics: Option<SocketAddr>,
    /// How log lines look.
    pub log: LogFormat,
    /// The longest planned stop.
    pub drain: Duration,
    /// Memory for chunks of weights, in bytes.
    pub staging: u64,
    /// Bounds on input.
    pub input: InputLimits,
    /// The targets beside an agent; empty for an entry.
    pub targets: Vec<TargetSettings>,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the file, the line, the key and the remedy.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(file)
            .map_err(|error| SettingsError::Unreadable(file.to_owned(), error))?;
        Self::parse(&text, file)
    }

    /// Checks the text of a settings file; `file` only names it in errors.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the file, the line, the key and the remedy.
    pub fn parse(text: &str, file: &Path) -> Result<Self, SettingsError> {
        let options: Options = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(1, |span| line_at(text, span.start));
            SettingsError::Malformed(file.to_owned(), line, error.message().replace('\n', " "))
        })?;
        Self::try_from(options).map_err(|fault| {
            let line = line_at(text, fault.place);
            SettingsError::Value(file.to_owned(), line, fault.key, fault.remedy)
        })
    }
}

fn line_at(text: &str, place: usize) -> usize {
    let before = text.get(..place).unwrap_or(text);
    before.matches('\n').count() + 1
}
