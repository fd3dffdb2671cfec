//! The section `services`.

use std::time::Duration;

use azurestand_types::TargetName;
use toml::Spanned;

use crate::check::Check;
use crate::error::{ConfigErrors, Fault};
use crate::options::{Raw, options};

const RETRY_WINDOW: Duration = Duration::from_hours(24);

options! {
    /// The raw options of one service.
    ServiceOptions {
        idempotent: bool, "true or false", Some("false"),
            "Whether a call may be repeated. When it may not, a call runs at most once.";
        retry_window: String, "a duration such as \"24h\"", Some("24h"),
            "How long a caller may repeat a call with the same `Idempotency-Key`.";
        homes: Vec<Spanned<String>>, "a list of target names", Some("none"),
            "The targets over which idempotency keys are spread. A service that isn't idempotent needs at least one. Change the list only when targets come or go for good.";
    }
}

/// One service other than an inference engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Whether a call may be repeated.
    pub idempotent: bool,
    /// How long a caller may repeat a call with the same idempotency key.
    pub retry_window: Duration,
    /// The targets over which idempotency keys are spread by rendezvous hashing.
    pub homes: Vec<TargetName>,
}

impl TryFrom<Raw<'_, ServiceOptions>> for Service {
    type Error = ConfigErrors;

    fn try_from(raw: Raw<'_, ServiceOptions>) -> Result<Self, ConfigErrors> {
        let (mut check, options) = Check::begin(raw);
        let idempotent = check.plain(options.idempotent, false);
        let window = check.duration(options.retry_window, RETRY_WINDOW);
        let homes = check.list(options.homes, TargetName::try_from);
        if idempotent == Some(false) && homes.as_ref().is_some_and(Vec::is_empty) {
            check.report_at_table("homes", Fault::NoHomes);
        }
        let service = idempotent.zip(window).zip(homes);
        let service = service.map(|((idempotent, retry_window), homes)| Self {
            idempotent,
            retry_window,
            homes,
        });
        check.finish(service)
    }
}
