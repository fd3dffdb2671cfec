//! The links: delays by place, and thin links between regions.

use std::time::Duration;

use azurestand_types::Moment;

use super::CENTRES;

/// How many regions the data centres lie in.
pub(super) const REGIONS: usize = 3;

/// The region that the store stands in.
pub(super) const STORE_REGION: usize = 0;

const INSIDE: Duration = Duration::from_micros(250);
const BETWEEN_CENTRES: Duration = Duration::from_micros(500);
const BETWEEN_REGIONS: Duration = Duration::from_millis(2);

/// A link between regions carries 20 Mbit/s each way.
const NANOS_A_BYTE: u64 = 400;

/// The thin links, each with the moment until which it is busy.
#[derive(Debug)]
pub(super) struct Links {
    busy: Vec<Moment>,
}

/// The region of a data centre: three, three and two of them.
pub(super) fn region(centre: usize) -> usize {
    centre * REGIONS / CENTRES
}

/// The number of a directed pair of regions.
pub(super) fn pair(from: usize, to: usize) -> usize {
    from * REGIONS + to
}

impl Links {
    pub(super) fn new() -> Self {
        Self {
            busy: vec![Moment::START; REGIONS * REGIONS],
        }
    }

    /// When `bytes` sent now between two data centres arrive.
    pub(super) fn arrival(&mut self, now: Moment, from: usize, to: usize, bytes: usize) -> Moment {
        if from == to {
            return now + INSIDE;
        }
        let (from, to) = (region(from), region(to));
        if from == to {
            return now + BETWEEN_CENTRES;
        }
        self.cross(now, from, to, bytes)
    }

    /// When `bytes` from the store arrive in a data centre.
    pub(super) fn store_arrival(&mut self, now: Moment, centre: usize, bytes: usize) -> Moment {
        let region = region(centre);
        if region == STORE_REGION {
            return now + BETWEEN_CENTRES;
        }
        self.cross(now, STORE_REGION, region, bytes)
    }

    fn cross(&mut self, now: Moment, from: usize, to: usize, bytes: usize) -> Moment {
        let busy = &mut self.busy[pair(from, to)];
        let span = Duration::from_nanos(NANOS_A_BYTE * bytes as u64);
        *busy = (*busy).max(now) + span;
        *busy + BETWEEN_REGIONS
    }
}
