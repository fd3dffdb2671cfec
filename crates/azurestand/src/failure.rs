//! Why a command failed.

use std::io;
use std::path::PathBuf;

use azurestand_config::{
    AuditError, ConfigErrors, EditError, EditingOutcome, RevertError, SectionError,
};
use azurestand_server::ServerError;
use azurestand_server::settings::SettingsError;
use azurestand_spread::ManifestError;
use azurestand_store::{KeyError, StoreError};
use azurestand_types::{ChangeIdError, NameError};
use quick_error::quick_error;

use crate::admin::AdminError;
use crate::origin::OriginError;
use crate::status::ExitStatus;

quick_error! {
    /// Why a command failed. Each message tells what to do.
    #[derive(Debug)]
    pub enum Failure {
        /// The command line is wrong.
        Usage(message: String) {
            display("{message}; see `azurestand help`")
            from(error: lexopt::Error) -> (error.to_string())
            from(error: SectionError) -> (error.to_string())
            from(error: NameError) -> (error.to_string())
            from(error: ChangeIdError) -> (error.to_string())
        }
        /// A file can't be read or written.
        File(path: PathBuf, error: io::Error) {
            display("{}: {error}; check the path and its permissions", path.display())
        }
        /// A file would be overwritten.
        Exists(path: PathBuf) {
            display("{} is there already; name another with --out, or overwrite it with --force", path.display())
        }
        /// A document or a section is invalid.
        Invalid(source: String, errors: ConfigErrors) {
            display("{source} is invalid:\n{errors}")
        }
        /// A daemon's settings are invalid.
        Settings(error: SettingsError) {
            from()
            display("{error}")
        }
        /// The settings of a daemon on the users' platform are invalid.
        PlatformSettings(error: azurestand_platform::SettingsError) {
            from()
            display("{error}")
        }
        /// A daemon on the users' platform can't start.
        Gateway(error: azurestand_gateway::GatewayError) {
            from()
            display("{error}")
        }
        /// A daemon can't start.
        Server(error: ServerError) {
            from()
            display("{error}")
        }
        /// The origin failed.
        Origin(error: OriginError) {
            from()
            display("{error}")
        }
        /// A file can't be published.
        Manifest(error: ManifestError) {
            from()
            display("{error}")
        }
        /// The process can't run.
        System(error: io::Error) {
            from()
            display("{error}; check the limits of this host")
        }
        /// The store failed.
        Store(error: StoreError) {
            from()
            display("{error}")
        }
        /// A store key is malformed.
        Key(error: KeyError) {
            from()
            display("{error}")
        }
        /// An entry failed.
        Admin(error: AdminError) {
            from()
            display("{error}")
        }
        /// An audit record is malformed.
        Audit(error: AuditError) {
            from()
            display("{error}")
        }
        /// A change can't be taken back.
        Revert(error: RevertError) {
            from()
            display("{error}")
        }
        /// An edit did not reach the store, or may not have.
        Editing(outcome: EditingOutcome) {
            display("{outcome}")
        }
        /// What was asked for isn't there.
        NotFound(message: String) {
            display("{message}")
        }
        /// What was asked for can't be done in the present state.
        Refused(message: String) {
            display("{message}")
        }
    }
}

impl Failure {
    /// The status with which the process ends.
    pub(crate) fn status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) | Self::Invalid(..) | Self::Settings(_) | Self::PlatformSettings(_) => {
                ExitStatus::Invalid
            }
            Self::File(..)
            | Self::System(_)
            | Self::Server(_)
            | Self::Gateway(_)
            | Self::Origin(_)
            | Self::Manifest(_)
            | Self::Store(_)
            | Self::Key(_)
            | Self::Admin(_)
            | Self::Audit(_) => ExitStatus::Failure,
            Self::Exists(_) | Self::Revert(_) | Self::Refused(_) => ExitStatus::Refused,
            Self::NotFound(_) => ExitStatus::NotFound,
            Self::Editing(outcome) => editing_status(outcome),
        }
    }

    /// The single errors of a document, where that is what failed.
    pub(crate) fn errors(&self) -> Option<&ConfigErrors> {
        match self {
            Self::Invalid(_, errors)
            | Self::Editing(
                EditingOutcome::InvalidDocument(errors)
                | EditingOutcome::Refused(EditError::Invalid(errors)),
            ) => Some(errors),
            _ => None,
        }
    }
}

fn editing_status(outcome: &EditingOutcome) -> ExitStatus {
    match outcome {
        EditingOutcome::Applied(_) | EditingOutcome::AlreadyApplied(_) => ExitStatus::Success,
        EditingOutcome::Refused(EditError::Invalid(_)) | EditingOutcome::InvalidDocument(_) => {
            ExitStatus::Invalid
        }
        EditingOutcome::Refused(_) | EditingOutcome::StoreRestored { .. } => ExitStatus::Refused,
        EditingOutcome::NoDocument => ExitStatus::NotFound,
        EditingOutcome::Rejected | EditingOutcome::Unreachable => ExitStatus::Failure,
        EditingOutcome::Unknown(_) => ExitStatus::Unknown,
    }
}
