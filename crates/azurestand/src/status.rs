//! The statuses with which the process ends.

use std::process::ExitCode;

/// How a command ended, for scripts. The pages for operators list the numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// It did what was asked.
    Success,
    /// It could not; nothing was changed.
    Failure,
    /// The arguments, a file or the document are invalid; nothing was changed.
    Invalid,
    /// The change was refused; nothing was changed.
    Refused,
    /// The change may have taken effect; ask for its status.
    Unknown,
    /// The change is accepted, but some nodes don't have it yet.
    Lagging,
    /// What was asked for isn't there.
    NotFound,
}

impl ExitStatus {
    /// The number that a shell sees.
    pub(crate) fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Invalid => 2,
            Self::Refused => 3,
            Self::Unknown => 4,
            Self::Lagging => 5,
            Self::NotFound => 6,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}
