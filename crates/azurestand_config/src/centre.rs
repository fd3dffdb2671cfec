//! The section `data_centres`.

use azurestand_types::Region;

use crate::check::Check;
use crate::error::ConfigErrors;
use crate::options::{Raw, options};

options! {
    /// The raw options of one data centre.
    CentreOptions {
        region: String, "the name of a region", None,
            "The region. Links inside a region are cheap, links between regions are scarce.";
        in_service: bool, "true or false", Some("true"),
            "Whether the data centre accepts new work. `azurestand dc out NAME` sets it to false.";
    }
}

/// One data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Centre {
    /// The region in which it is located.
    pub region: Region,
    /// Whether it accepts new work.
    pub in_service: bool,
}

impl TryFrom<Raw<'_, CentreOptions>> for Centre {
    type Error = ConfigErrors;

    fn try_from(raw: Raw<'_, CentreOptions>) -> Result<Self, ConfigErrors> {
        let (mut check, options) = Check::begin(raw);
        let region = check.required(options.region, Region::try_from);
        let in_service = check.plain(options.in_service, true);
        let centre = region.zip(in_service);
        let centre = centre.map(|(region, in_service)| Self { region, in_service });
        check.finish(centre)
    }
}
