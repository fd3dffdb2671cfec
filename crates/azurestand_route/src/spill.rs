//! Chooses another data centre for a request that the local one can't take.
//!
//! The caller tries local targets first and asks here only when none has room. A
//! request crosses between data centres at most once. A data centre that refused, or
//! that passes its own requests here, is full: it is skipped for a while, so that
//! requests don't go back and forth. Each link has a token bucket of bytes for
//! passed-on requests and their answers, since the link carries all other traffic too.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::{DataCentre, Moment};

/// How often a request may cross between data centres.
pub const MAX_HOPS: u32 = 1;
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const MAX_DOUBLINGS: u32 = 5;
/// How long a data centre that passes requests here is skipped as full.
const FULL_PAUSE: Duration = Duration::from_secs(1);

/// The share of each inter-centre link that one entry may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpillSettings {
    /// Bytes a second to each other data centre, answers included.
    pub rate: f64,
    /// Bytes that may be sent at once after an idle time.
    pub burst: f64,
}

impl SpillSettings {
    /// This entry's part of a link of `link` bytes a second, of which passed-on
    /// requests may use the fraction `share`, split between `entries` entries.
    pub fn new(link: f64, share: f64, entries: usize) -> Self {
        let count = f64::from(u32::try_from(entries.max(1)).unwrap_or(u32::MAX));
        let rate = link * share.clamp(0.0, 1.0) / count;
        Self { rate, burst: rate }
    }
}

#[derive(Debug, Clone)]
struct Link {
    tokens: f64,
    filled_at: Moment,
    paused_until: Moment,
    failures: u32,
}

/// The state of the links to other data centres, one for each that was ever a
/// candidate.
#[derive(Debug, Clone)]
pub struct Spill {
    settings: SpillSettings,
    links: BTreeMap<DataCentre, Link>,
}

impl Spill {
    /// Starts with all buckets full.
    pub fn new(settings: SpillSettings) -> Self {
        Self {
            settings,
            links: BTreeMap::new(),
        }
    }

    /// Changes the settings, as when entries join or leave.
    pub fn set_settings(&mut self, now: Moment, settings: SpillSettings) {
        for link in self.links.values_mut() {
            refill(link, now, self.settings);
            link.tokens = link.tokens.min(settings.burst);
        }
        self.settings = settings;
    }

    fn link(&mut self, now: Moment, centre: &DataCentre) -> &mut Link {
        let settings = self.settings;
        let link = self.links.entry(centre.clone()).or_insert(Link {
            tokens: settings.burst,
            filled_at: now,
            paused_until: Moment::START,
            failures: 0,
        });
        refill(link, now, settings);
        link
    }

    /// Chooses one of `centres` for a request of `bytes` that already crossed `hops`
    /// times, and takes its bytes from that link's bucket.
    ///
    /// Returns none when the request has crossed [`MAX_HOPS`] times, or every link is
    /// used up or paused.
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
            let link = self.link(now, centre);
            // A bucket with any tokens left admits one request of any size and pays
            // off the debt afterwards.
            if link.tokens > 0.0 && link.paused_until <= now {
                open.push((centre, link.tokens));
            }
        }
        let first = open.get(rng.usize(..open.len().max(1)))?;
        let second = open[rng.usize(..open.len())];
        let chosen = if second.1 > first.1 {
            second.0
        } else {
            first.0
        }
        .clone();
        self.spend(now, &chosen, bytes);
        Some(chosen)
    }

    /// Takes the bytes of a passed-on answer from the link's bucket.
    #[expect(clippy::cast_precision_loss, reason = "far fewer bytes than 2^52")]
    pub fn spend(&mut self, now: Moment, centre: &DataCentre, bytes: u64) {
        self.link(now, centre).tokens -= bytes as f64;
    }

    /// Pauses a data centre that refused or can't be reached, for longer with each
    /// consecutive failure.
    pub fn record_refusal(&mut self, now: Moment, centre: &DataCentre) {
        let link = self.link(now, centre);
        link.paused_until = now + FIRST_PAUSE * 2_u32.pow(link.failures.min(MAX_DOUBLINGS));
        link.failures += 1;
    }

    /// Records that a data centre accepted a request, which ends the run of consecutive
    /// failures.
    pub fn record_accept(&mut self, now: Moment, centre: &DataCentre) {
        self.link(now, centre).failures = 0;
    }

    /// Records that a data centre passed a request here, so it has no room itself.
    pub fn record_received(&mut self, now: Moment, centre: &DataCentre) {
        let link = self.link(now, centre);
        link.paused_until = link.paused_until.max(now + FULL_PAUSE);
    }
}

fn refill(link: &mut Link, now: Moment, settings: SpillSettings) {
    let earned = now.since(link.filled_at).as_secs_f64() * settings.rate;
    link.filled_at = now;
    link.tokens = (link.tokens + earned).min(settings.burst);
}
