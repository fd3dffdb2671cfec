//! The section `priorities`.

use azurestand_types::Priority;

use crate::check::Check;
use crate::error::{ConfigErrors, Fault};
use crate::options::{Raw, options};

options! {
    /// The raw options of one priority.
    PriorityOptions {
        level: u8, "a whole number from 0 to 255", None,
            "How urgent work of this priority is. 0 goes first.";
    }
}

/// The checked level of one priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Level(pub(crate) Priority);

impl TryFrom<Raw<'_, PriorityOptions>> for Level {
    type Error = ConfigErrors;

    fn try_from(raw: Raw<'_, PriorityOptions>) -> Result<Self, ConfigErrors> {
        let (mut check, options) = Check::begin(raw);
        let level = check.required(options.level, |level| Ok::<_, Fault>(Priority(level)));
        check.finish(level.map(Self))
    }
}
