//! The descriptions of the sections in the generated reference.

use crate::account::AccountOptions;
use crate::centre::CentreOptions;
use crate::limits::LimitsOptions;
use crate::model::ModelOptions;
use crate::priority::PriorityOptions;
use crate::service::ServiceOptions;
use crate::{Key, Section};

/// Describes one section for the generated reference.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reference {
    /// The section.
    pub section: Section,
    /// The section's meaning, in full sentences.
    pub about: &'static str,
    /// The header of one of its tables.
    pub header: &'static str,
    /// The keys of the table.
    pub keys: &'static [Key],
    /// An example of the section's text.
    pub example: &'static str,
}

impl Section {
    /// The description of the section in the generated reference.
    pub fn reference(self) -> Reference {
        let section = self;
        match self {
            Self::Models => Reference {
                section,
                about: "Models and the versions of their weights. Each model has a table of its own.",
                header: "[models.NAME]",
                keys: ModelOptions::KEYS,
                example: MODELS,
            },
            Self::Services => Reference {
                section,
                about: "Services other than inference engines. Each service has a table of its own.",
                header: "[services.NAME]",
                keys: ServiceOptions::KEYS,
                example: SERVICES,
            },
            Self::Centres => Reference {
                section,
                about: "Data centres, and whether each is in service. Each data centre has a table of its own. One that isn't listed accepts no work.",
                header: "[data_centres.NAME]",
                keys: CentreOptions::KEYS,
                example: CENTRES,
            },
            Self::Priorities => Reference {
                section,
                about: "Named priorities. Each priority has a table of its own.",
                header: "[priorities.NAME]",
                keys: PriorityOptions::KEYS,
                example: PRIORITIES,
            },
            Self::Accounts => Reference {
                section,
                about: "Client accounts. Each account has a table of its own, and a key of its own.",
                header: "[accounts.NAME]",
                keys: AccountOptions::KEYS,
                example: ACCOUNTS,
            },
            Self::Limits => Reference {
                section,
                about: "Limits of targets, links and requests, in one table. Every key may be left out.",
                header: "[limits]",
                keys: LimitsOptions::KEYS,
                example: LIMITS,
            },
        }
    }
}

const MODELS: &str = r#"# Owned by the models team.
[models.drafter]
version = "v3"
canary_version = "v4"
canary_share = 0.1

[models.drafter.versions]
v3 = "af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262"
v4 = "2d3adedff11b61f14c886e35afa036736dcd87a74d27b5c1510225d0f592e213"
"#;

const SERVICES: &str = r#"# Owned by the booking crew.
[services.booking]
idempotent = false
retry_window = "24h"
homes = ["booking-tov-1", "booking-khentii-1"]

[services.status]
idempotent = true
"#;

const CENTRES: &str = r#"# Owned by the network team.
[data_centres.tov]
region = "centre"

[data_centres.khentii]
region = "east"
in_service = false
"#;

const PRIORITIES: &str = r"# Owned by the dispatchers.
[priorities.storm]
level = 0

[priorities.ordinary]
level = 100
";

const ACCOUNTS: &str = r#"# Owned by the account managers.
[accounts.depot]
key = "e5fd8e9e0e0cd0d3b2a6c0e7c5c24f4d2eb7d5a87c2c5d7c8f14ad9b37c6f0aa"
priority = "storm"
rate = 20.0
burst = 40
concurrency = 16
"#;

const LIMITS: &str = r#"# Owned by the platform team.
[limits]
cold_slots = 1
warm_slots = 32
first_token = "510ms"
region_link = 2500000
region_share = 0.5
"#;
