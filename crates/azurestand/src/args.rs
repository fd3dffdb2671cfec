//! The command line, read into checked types.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use azurestand_config::{Author, Section};
use azurestand_types::{ChangeId, DataCentre, ModelName, VersionName};
use http::Uri;
use lexopt::prelude::*;

use crate::author;
use crate::commands::Publication;
use crate::failure::Failure;
use crate::report::Format;
use crate::verbs::{self, Flag, Verb};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
const STORE_VARIABLE: &str = "AZURESTAND_STORE";
const ENTRY_VARIABLE: &str = "AZURESTAND_ENTRY";

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Command {
    ConfigShow(Option<Section>),
    ConfigEdit(Section),
    ConfigCheck(PathBuf),
    ConfigDiff(Section, PathBuf),
    ConfigApply(Section, PathBuf),
    ConfigHistory,
    ConfigRevert(ChangeId),
    ConfigStatus(ChangeId),
    ConfigInit(PathBuf),
    ConfigRecover,
    Audit,
    CentreOut(DataCentre),
    CentreIn(DataCentre),
    Entry(PathBuf),
    Agent(PathBuf),
    Explain {
        request: String,
        files: Vec<PathBuf>,
    },
    PlatformEntry(Option<PathBuf>),
    PlatformAgent(Option<PathBuf>),
    PlatformCheck(Option<PathBuf>),
    Publish(Publication),
    Status {
        watch: bool,
    },
    Check(PathBuf),
    Version,
    Help(Option<&'static Verb>),
}

impl Command {
    /// Whether the command runs until it is told to stop.
    pub(crate) fn is_daemon(&self) -> bool {
        matches!(self, Self::Entry(_) | Self::Agent(_))
    }
}

/// The options of all verbs.
#[derive(Debug, Clone, Default)]
pub(crate) struct Options {
    pub(crate) author: Option<String>,
    pub(crate) change: Option<ChangeId>,
    pub(crate) entries: Vec<Uri>,
    pub(crate) force: bool,
    pub(crate) format: Format,
    pub(crate) limit: Option<usize>,
    pub(crate) model: Option<ModelName>,
    pub(crate) origin: Option<SocketAddr>,
    pub(crate) out: Option<PathBuf>,
    pub(crate) settings: Option<PathBuf>,
    pub(crate) stores: Vec<SocketAddr>,
    pub(crate) timeout: Option<Duration>,
    pub(crate) version: Option<VersionName>,
    pub(crate) wait: bool,
    pub(crate) watch: bool,
}

/// The whole command line.
#[derive(Debug, Clone)]
pub(crate) struct Args {
    pub(crate) command: Command,
    pub(crate) options: Options,
}

impl Args {
    /// Reads the command line and the environment.
    pub(crate) fn parse<I>(args: I) -> Result<Self, Failure>
    where
        I: IntoIterator<Item = OsString>,
    {
        let mut parser = lexopt::Parser::from_iter(args);
        let mut options = Options::default();
        let mut given = Vec::new();
        let mut words: Vec<String> = Vec::new();
        let mut help = false;
        while let Some(arg) = parser.next()? {
            let name = match arg {
                Value(word) => {
                    words.push(word.string()?);
                    continue;
                }
                Short('h') | Long("help") => {
                    help = true;
                    continue;
                }
                // `publish` has an option of this name, so it is the verb's short form only up front.
                Short('V') | Long("version") if words.is_empty() => {
                    words = vec!["version".to_owned()];
                    continue;
                }
                Long("format") => {
                    options.format = format(&parser.value()?.string()?)?;
                    continue;
                }
                Long(name) => name.to_owned(),
                Short(_) => return Err(arg.unexpected().into()),
            };
            let flag = Flag::ALL.into_iter().find(|flag| flag.name() == name);
            let flag = flag.ok_or_else(|| usage(format!("there is no option --{name}")))?;
            options.take(flag, &mut parser)?;
            given.push(flag);
        }
        let command = if help || words.is_empty() {
            Command::Help(verbs::find(&words).map(|(verb, _)| verb))
        } else {
            command(&words, &given, &options)?
        };
        options.add_environment()?;
        Ok(Self { command, options })
    }
}

impl Options {
    fn take(&mut self, flag: Flag, parser: &mut lexopt::Parser) -> Result<(), Failure> {
        match flag {
            Flag::Author => self.author = Some(parser.value()?.string()?),
            Flag::Change => self.change = Some(parser.value()?.string()?.try_into()?),
            Flag::Entry => self.entries.push(entry(&parser.value()?.string()?)?),
            Flag::Force => self.force = true,
            Flag::Limit => self.limit = Some(parser.value()?.parse()?),
            Flag::Out => self.out = Some(parser.value()?.into()),
            Flag::Settings => self.settings = Some(parser.value()?.into()),
            Flag::Store => self.stores.push(store(&parser.value()?.string()?)?),
            Flag::Timeout => self.timeout = Some(timeout(parser.value()?.parse()?)?),
            Flag::Model => self.model = Some(parser.value()?.string()?.try_into()?),
            Flag::Origin => self.origin = Some(origin(&parser.value()?.string()?)?),
            Flag::Version => self.version = Some(parser.value()?.string()?.try_into()?),
            Flag::Wait => self.wait = true,
            Flag::Watch => self.watch = true,
        }
        Ok(())
    }

    /// Lists in variables are separated by commas; options go before them.
    fn add_environment(&mut self) -> Result<(), Failure> {
        if self.stores.is_empty() {
            self.stores = variable(STORE_VARIABLE)
                .iter()
                .map(|raw| store(raw))
                .collect::<Result<_, _>>()?;
        }
        if self.entries.is_empty() {
            self.entries = variable(ENTRY_VARIABLE)
                .iter()
                .map(|raw| entry(raw))
                .collect::<Result<_, _>>()?;
        }
        Ok(())
    }

    fn settings(&self) -> Result<PathBuf, Failure> {
        let missing = || usage("name the file with --settings".to_owned());
        self.settings.clone().ok_or_else(missing)
    }

    fn publication(&self, file: &str) -> Result<Publication, Failure> {
        let missing = |name: &str| usage(format!("publish needs --{name}"));
        Ok(Publication {
            file: file.into(),
            model: self.model.clone().ok_or_else(|| missing("model"))?,
            version: self.version.clone().ok_or_else(|| missing("version"))?,
            origin: self.origin.ok_or_else(|| missing("origin"))?,
        })
    }

    /// How long to wait for nodes.
    pub(crate) fn patience(&self) -> Duration {
        self.timeout.unwrap_or(DEFAULT_TIMEOUT)
    }

    /// Who makes the change.
    pub(crate) fn author(&self) -> Result<Author, Failure> {
        author::find(self.author.clone())
    }
}

fn command(words: &[String], given: &[Flag], options: &Options) -> Result<Command, Failure> {
    let unknown = || usage(format!("there is no verb {:?}", words.join(" ")));
    let (verb, count) = verbs::find(words).ok_or_else(unknown)?;
    if let Some(flag) = given.iter().find(|flag| !verb.flags.contains(flag)) {
        let message = format!("`azurestand {}` takes no --{}", verb.name, flag.name());
        return Err(usage(message));
    }
    let operands: Vec<&str> = words[count..].iter().map(String::as_str).collect();
    let wrong = || {
        usage(format!(
            "write `azurestand {} {}`",
            verb.name, verb.operands
        ))
    };
    Ok(match (verb.name, &operands[..]) {
        ("config show", []) => Command::ConfigShow(None),
        ("config show", [section]) => Command::ConfigShow(Some(Section::try_from(*section)?)),
        ("config edit", [section]) => Command::ConfigEdit(Section::try_from(*section)?),
        ("config check", [file]) => Command::ConfigCheck(file.into()),
        ("config diff", [section, file]) => {
            Command::ConfigDiff(Section::try_from(*section)?, file.into())
        }
        ("config apply", [section, file]) => {
            Command::ConfigApply(Section::try_from(*section)?, file.into())
        }
        ("config history", []) => Command::ConfigHistory,
        ("config revert", [change]) => Command::ConfigRevert((*change).to_owned().try_into()?),
        ("config status", [change]) => Command::ConfigStatus((*change).to_owned().try_into()?),
        ("config init", [file]) => Command::ConfigInit(file.into()),
        ("config recover", []) => Command::ConfigRecover,
        ("audit", []) => Command::Audit,
        ("dc out", [name]) => Command::CentreOut(DataCentre::try_from(*name)?),
        ("dc in", [name]) => Command::CentreIn(DataCentre::try_from(*name)?),
        ("entry", []) => Command::Entry(options.settings()?),
        ("agent", []) => Command::Agent(options.settings()?),
        ("explain", [request, files @ ..]) => Command::Explain {
            request: (*request).to_owned(),
            files: files.iter().map(PathBuf::from).collect(),
        },
        ("platform entry", []) => Command::PlatformEntry(options.settings.clone()),
        ("platform agent", []) => Command::PlatformAgent(options.settings.clone()),
        ("platform check", []) => Command::PlatformCheck(options.settings.clone()),
        ("publish", [file]) => Command::Publish(options.publication(file)?),
        ("status", []) => Command::Status {
            watch: options.watch,
        },
        ("check", []) => Command::Check(options.settings()?),
        ("version", []) => Command::Version,
        ("help", []) => Command::Help(None),
        ("help", _) => {
            let (verb, _) = verbs::find(&words[count..]).ok_or_else(unknown)?;
            Command::Help(Some(verb))
        }
        _ => return Err(wrong()),
    })
}

fn format(raw: &str) -> Result<Format, Failure> {
    match raw {
        "text" => Ok(Format::Text),
        "json" => Ok(Format::Json),
        _ => Err(usage(format!(
            "there is no format {raw:?}; give text or json"
        ))),
    }
}

fn store(raw: &str) -> Result<SocketAddr, Failure> {
    address(raw).ok_or_else(|| usage(format!("{raw:?} is no store; give http://IP:PORT")))
}

fn origin(raw: &str) -> Result<SocketAddr, Failure> {
    address(raw).ok_or_else(|| usage(format!("{raw:?} is no origin; give http://IP:PORT")))
}

/// Programs talk by IP numbers, so a server is an address, with or without a scheme.
fn address(raw: &str) -> Option<SocketAddr> {
    let address = raw.strip_prefix("http://").unwrap_or(raw);
    address.trim_end_matches('/').parse().ok()
}

fn entry(raw: &str) -> Result<Uri, Failure> {
    let message = || usage(format!("{raw:?} is no entry; give http://IP:PORT"));
    let uri: Uri = raw.trim_end_matches('/').parse().map_err(|_| message())?;
    let whole = uri.scheme_str() == Some("http") && uri.authority().is_some();
    if whole { Ok(uri) } else { Err(message()) }
}

fn timeout(seconds: f64) -> Result<Duration, Failure> {
    let span = Duration::try_from_secs_f64(seconds);
    span.map_err(|_| usage("--timeout takes a number of seconds".to_owned()))
}

fn variable(name: &str) -> Vec<String> {
    let raw = std::env::var(name).unwrap_or_default();
    let items = raw
        .split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty());
    items.map(str::to_owned).collect()
}

fn usage(message: String) -> Failure {
    Failure::Usage(message)
}
