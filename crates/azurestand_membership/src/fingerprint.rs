//! A record's contribution to the digest of a view.

use azurestand_types::HostName;

use crate::gossip::BUCKETS;
use crate::record::Record;

/// The bucket and the hashes of a record, cached so that computing a digest is cheap.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fingerprint {
    pub(crate) bucket: usize,
    member: u32,
    status: u32,
}

impl Fingerprint {
    pub(crate) fn of(record: &Record) -> Self {
        let version = record.version();
        let name = fnv1a(0, record.identity.host.as_str().as_bytes());
        let parts = [
            version.incarnation.0,
            version.refutation,
            version.health as u64,
            version.stage as u64,
        ];
        let add = |hash, part: &u64| fnv1a(hash, &part.to_le_bytes());
        let member = parts.iter().fold(name, add);
        let status = add(member, &record.status.counter);
        Self {
            bucket: bucket(&record.identity.host),
            member: high(member),
            status: high(status),
        }
    }

    /// The hash of the membership part, or of that and the status.
    pub(crate) fn hash(self, statuses: bool) -> u32 {
        if statuses { self.status } else { self.member }
    }
}

fn bucket(host: &HostName) -> usize {
    usize::try_from(fnv1a(0, host.as_str().as_bytes()) % BUCKETS as u64).unwrap_or(0)
}

fn high(hash: u64) -> u32 {
    u32::try_from(hash >> 32).unwrap_or(0)
}

/// FNV-1a with a final mix; the digest detects differences and needn't resist forgery.
fn fnv1a(start: u64, bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    let hash = bytes.iter().fold(start ^ OFFSET, step);
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
