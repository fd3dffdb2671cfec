//! Which other data centre may be asked when this one can't take a request.
//!
//! Local targets come first; the caller asks here only when none has room. A
//! request crosses between data centres once. A data centre that refused, or
//! that sends its own work here, is full: it is passed over for a while, so
//! that work never goes back and forth. Each link has a bucket of bytes for
//! passed-on requests and their answers, since it carries all traffic.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::{DataCentre, Moment};

/// How often a request may cross between data centres.
pub const MAX_HOPS: u32 = 1;
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const MAX_DOUBLINGS: u32 = 5;
/// How long a data centre that passes its work here counts as full.
const FULL_TIME: Duration = Duration::from_secs(1);

/// The share of each link that one entry may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpillSettings {
    /// Bytes a second towards each other data centre, answers included.
    pub rate: f64,
    /// Bytes that may go at once after a pause.
    pub burst: f64,
}

impl SpillSettings {
    /// This entry's part of a `link` in bytes a second of which passed-on
    /// requests may use `share`, where `entries` use it.
    pub fn new(link: f64, share: f64, entries: usize) -> Self {
        let count = f64::from(u32::try_from(entries.max(1)).unwrap_or(u32::MAX));
        let rate = link * share.clamp(0.0, 1.0) / count;
        Self { rate, burst: rate }
    }
}

#[derive(Debug, Clone)]
struct Route {
    bytes: f64,
    filled: Moment,
    paused: Moment,
    streak: u32,
}

/// The state of the ways to other data centres, one for each that was ever asked.
#[derive(Debug, Clone)]
pub struct Spill {
    settings: SpillSettings,
    routes: BTreeMap<DataCentre, Route>,
}

impl Spill {
    /// Begins with all buckets full.
    pub fn new(settings: SpillSettings) -> Self {
        Self {
            settings,
            routes: BTreeMap::new(),
        }
    }

    /// Changes the share, as when entries join or leave.
    pub fn set(&mut self, now: Moment, settings: SpillSettings) {
        for route in self.routes.values_mut() {
            fill(route, now, self.settings);
            route.bytes = route.bytes.min(settings.burst);
        }
        self.settings = settings;
    }

    fn route(&mut self, now: Moment, centre: &DataCentre) -> &mut Route {
        let settings = self.settings;
        let route = self.routes.entry(centre.clone()).or_insert(Route {
            bytes: settings.burst,
            filled: now,
            paused: Moment::START,
            streak: 0,
        });
        fill(route, now, settings);
        route
    }

    /// Chooses one of `centres` for a request of `bytes` that crossed `hops` times
    /// already, and takes its bytes from that link's share.
    ///
    /// None when it crossed often enough or every way is full or rests.
    pub fn choose(
        &mut self,
        now: Moment,
        hops: u32,
        bytes: u64,
        centres: &[DataCentre],
        rng: &mut fastrand::Rng,
    ) -> Option<DataCentre> {
        if hops >= MAX_HOPS {
            return None;
        }
        let mut open = Vec::new();
        for centre in centres {
            let route = self.route(now, centre);
            // A bucket in credit lets one request of any size go and then pays it off.
            if route.bytes > 0.0 && route.paused <= now {
                open.push((centre, route.bytes));
            }
        }
        let one = open.get(rng.usize(..open.len().max(1)))?;
        let other = open[rng.usize(..open.len())];
        let chosen = if other.1 > one.1 { other.0 } else { one.0 }.clone();
        self.spend(now, &chosen, bytes);
        Some(chosen)
    }

    /// Takes the bytes of a passed-on answer from the link's share.
    #[expect(clippy::cast_precision_loss, reason = "far fewer bytes than 2^52")]
    pub fn spend(&mut self, now: Moment, centre: &DataCentre, bytes: u64) {
        self.route(now, centre).bytes -= bytes as f64;
    }

    /// Passes a data centre over that refused or can't be reached, longer each time.
    pub fn refused(&mut self, now: Moment, centre: &DataCentre) {
        let route = self.route(now, centre);
        route.paused = now + FIRST_PAUSE * 2_u32.pow(route.streak.min(MAX_DOUBLINGS));
        route.streak += 1;
    }

    /// Notes that a data centre answers.
    pub fn took(&mut self, now: Moment, centre: &DataCentre) {
        self.route(now, centre).streak = 0;
    }

    /// Notes that a data centre passed a request here: it has no room itself.
    pub fn came(&mut self, now: Moment, centre: &DataCentre) {
        let route = self.route(now, centre);
        route.paused = route.paused.max(now + FULL_TIME);
    }
}

fn fill(route: &mut Route, now: Moment, settings: SpillSettings) {
    let earned = now.since(route.filled).as_secs_f64() * settings.rate;
    route.filled = now;
    route.bytes = (route.bytes + earned).min(settings.burst);
}
