//! The two deployments that the users run today.

use std::fmt::Write;
use std::time::Duration;

use azurestand_types::Digest;

/// The fleet key of every local deployment; it protects nothing.
pub const FLEET_KEY: &str = "a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5";

const DEFAULT_DRAIN: Duration = Duration::from_secs(30);
const LIMITS: &str = "cold_slots = 2\nwarm_slots = 8\npermits = 1\n";

/// One data centre of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CentrePlan {
    /// The data centre's name.
    pub name: &'static str,
    /// The region's name.
    pub region: &'static str,
    /// Entry hosts.
    pub entries: usize,
    /// Model runners, each on a host of its own.
    pub engines: usize,
    /// Booking runners.
    pub bookings: usize,
    /// Instances of the idempotent service.
    pub clerks: usize,
}

/// A deployment to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// What the deployment is called.
    pub title: &'static str,
    /// The model.
    pub model: &'static str,
    /// The service whose calls may not be repeated.
    pub booking: &'static str,
    /// The service whose calls may be repeated.
    pub clerk: &'static str,
    /// The data centres; the store stands in the first.
    pub centres: Vec<CentrePlan>,
    /// Client accounts, the large ones first.
    pub accounts: usize,
    /// The data centre that is taken out and brought back.
    pub moving: &'static str,
    /// Bytes a second of the origin's link.
    pub origin: u64,
    /// The section `limits`.
    pub limits: String,
    /// How long a daemon that stops waits for its work.
    pub drain: Duration,
}

fn centre(name: &'static str, region: &'static str, entries: usize, engines: usize) -> CentrePlan {
    CentrePlan {
        name,
        region,
        entries,
        engines,
        bookings: 1,
        clerks: 0,
    }
}

impl Plan {
    /// The plough rota of Winter Roads.
    pub fn winter_roads() -> Self {
        let mut centres = vec![
            centre("tov", "tov", 3, 4),
            centre("khentii", "khentii", 2, 3),
            centre("arkhangai", "arkhangai", 2, 3),
        ];
        centres[0].clerks = 1;
        Self {
            title: "Winter Roads",
            model: "dispatch",
            booking: "shifts",
            clerk: "clerk",
            centres,
            accounts: 10,
            moving: "khentii",
            origin: 32 * 1024 * 1024,
            limits: LIMITS.to_owned(),
            drain: DEFAULT_DRAIN,
        }
    }

    /// The heater replacements of Nuanshi.
    pub fn nuanshi() -> Self {
        let mut centres = vec![
            centre("north", "north", 3, 5),
            centre("central", "central", 3, 5),
            centre("south", "south", 3, 5),
        ];
        centres[0].clerks = 1;
        Self {
            title: "Nuanshi",
            model: "drafter",
            booking: "installs",
            clerk: "billing",
            centres,
            accounts: 10,
            moving: "central",
            origin: 32 * 1024 * 1024,
            limits: LIMITS.to_owned(),
            drain: DEFAULT_DRAIN,
        }
    }

    /// A small deployment for tests: `centres` data centres with one entry each.
    pub fn small(engines: usize) -> Self {
        let mut plan = Self::winter_roads();
        for centre in &mut plan.centres {
            centre.entries = 1;
            centre.engines = engines;
        }
        plan
    }

    /// Model runners in all.
    pub fn engines(&self) -> usize {
        self.centres.iter().map(|centre| centre.engines).sum()
    }

    /// The bearer key of an account.
    pub fn account_key(&self, account: usize) -> String {
        format!("key-{account}")
    }

    /// The first document, without any version of the model's weights.
    pub(crate) fn document(&self, digest: Digest) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "# Owned by the model team.\n{}",
            self.models("v1", &[("v1", digest)])
        );
        let _ = writeln!(
            text,
            "# Owned by the service team.\n[services.{}]",
            self.clerk
        );
        let _ = writeln!(text, "idempotent = true\n\n[services.{}]", self.booking);
        let _ = writeln!(text, "idempotent = false\nretry_window = \"10m\"");
        let homes = self.homes().join("\", \"");
        let _ = writeln!(
            text,
            "homes = [\"{homes}\"]\n\n# Owned by the network team."
        );
        for centre in &self.centres {
            let _ = writeln!(
                text,
                "[data_centres.{}]\nregion = \"{}\"\n",
                centre.name, centre.region
            );
        }
        let _ = writeln!(
            text,
            "# Owned by the service desk.\n[priorities.urgent]\nlevel = 0\n\n[priorities.normal]\nlevel = 5\n"
        );
        text.push_str(&self.account_section());
        let _ = write!(text, "# Owned by operations.\n[limits]\n{}", self.limits);
        text
    }

    /// The section `models` with these versions, of which `wanted` is in force.
    pub(crate) fn models(&self, wanted: &str, versions: &[(&str, Digest)]) -> String {
        let mut text = format!("[models.{}]\nversion = \"{wanted}\"\n\n", self.model);
        let _ = writeln!(text, "[models.{}.versions]", self.model);
        for (version, digest) in versions {
            let _ = writeln!(text, "{version} = \"{digest}\"");
        }
        text
    }

    /// The booking runners, which keep the idempotency keys.
    fn homes(&self) -> Vec<String> {
        let centres = self.centres.iter();
        centres
            .flat_map(|centre| {
                (0..centre.bookings).map(|n| format!("{}-{}-{n}", centre.name, self.booking))
            })
            .collect()
    }

    fn account_section(&self) -> String {
        let mut text = String::new();
        for account in 0..self.accounts {
            let digest = Digest::of(self.account_key(account).as_bytes());
            // The first accounts are large.
            let (priority, rate) = if account < 3 {
                ("normal", 400)
            } else {
                ("urgent", 60)
            };
            let _ = writeln!(text, "[accounts.account-{account}]\nkey = \"{digest}\"");
            let _ = writeln!(
                text,
                "priority = \"{priority}\"\nrate = {rate}\nburst = {rate}"
            );
            let _ = writeln!(text, "concurrency = {rate}\n");
        }
        text
    }
}
