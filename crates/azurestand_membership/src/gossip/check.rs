//! Conversions between the wire's messages and the checked ones.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use azurestand_types::{DataCentre, HostName, Incarnation, Region, Revision};
use bytes::Bytes;

use super::wire;
use super::{BUCKETS, Body, Brief, Delta, Gossip, GossipError, Heard, MAX_BRIEFS, Marks, Summary};
use crate::config::{MAX_SECTIONS, SectionName};
use crate::record::{Health, MAX_STATUS_BYTES, Record, Stage, Status, Version};
use crate::{Identity, Role, Stamp};

const V4_BYTES: usize = 6;
const V6_BYTES: usize = 18;

impl From<&Gossip> for wire::Packet {
    fn from(gossip: &Gossip) -> Self {
        let heard = |heard: &Heard| wire::Heard {
            centre: heard.centre.to_string(),
            age: millis(heard.age),
        };
        Self {
            sender: Some(wire::record(&gossip.sender, true)),
            stamp: gossip.stamp.map(wire::Stamp::from),
            store_age: gossip.store_age.map(millis),
            heard: gossip.heard.iter().map(heard).collect(),
            records: gossip
                .records
                .iter()
                .map(|record| wire::record(record, true))
                .collect(),
            body: Some(wire::Body::from(&gossip.body)),
        }
    }
}

impl TryFrom<wire::Packet> for Gossip {
    type Error = GossipError;

    fn try_from(packet: wire::Packet) -> Result<Self, GossipError> {
        let sender = packet.sender.ok_or(GossipError::Missing("sender"))?;
        let body = packet.body.ok_or(GossipError::Missing("body"))?;
        Ok(Self {
            sender: Record::try_from(sender)?,
            stamp: packet.stamp.map(Stamp::from),
            store_age: packet
                .store_age
                .map(|age| Duration::from_millis(age.into())),
            heard: convert(packet.heard)?,
            records: convert(packet.records)?,
            body: Body::try_from(body)?,
        })
    }
}

fn convert<R, C>(raw: Vec<R>) -> Result<Vec<C>, GossipError>
where
    C: TryFrom<R, Error = GossipError>,
{
    raw.into_iter().map(C::try_from).collect()
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

fn encode_address(address: SocketAddr) -> Bytes {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend_from_slice(&address.port().to_be_bytes());
    bytes.into()
}

fn decode_address(bytes: &[u8]) -> Result<SocketAddr, GossipError> {
    let unusable = || GossipError::Value("address");
    if !matches!(bytes.len(), V4_BYTES | V6_BYTES) {
        return Err(unusable());
    }
    let (ip, port) = bytes.split_at(bytes.len() - 2);
    let port = u16::from_be_bytes(port.try_into().map_err(|_| unusable())?);
    let ip = match <[u8; 4]>::try_from(ip) {
        Ok(octets) => IpAddr::V4(Ipv4Addr::from(octets)),
        Err(_) => IpAddr::V6(Ipv6Addr::from(
            <[u8; 16]>::try_from(ip).map_err(|_| unusable())?,
        )),
    };
    Ok(SocketAddr::new(ip, port))
}

impl From<Stamp> for wire::Stamp {
    fn from(stamp: Stamp) -> Self {
        Self {
            revision: stamp.revision.0,
            digest: stamp.digest,
        }
    }
}

impl From<wire::Stamp> for Stamp {
    fn from(stamp: wire::Stamp) -> Self {
        Self {
            revision: Revision(stamp.revision),
            digest: stamp.digest,
        }
    }
}

impl TryFrom<wire::Heard> for Heard {
    type Error = GossipError;

    fn try_from(heard: wire::Heard) -> Result<Self, GossipError> {
        Ok(Self {
            centre: DataCentre::try_from(heard.centre)?,
            age: Duration::from_millis(heard.age.into()),
        })
    }
}

impl wire::Status {
    fn new(status: &Status) -> Option<Self> {
        (status.counter > 0).then(|| Self {
            counter: status.counter,
            stamp: Some(status.stamp.into()),
            blob: status.blob.clone(),
        })
    }
}

/// A record for the wire, with or without its status.
pub(super) fn record(record: &Record, status: bool) -> wire::Record {
    let identity = &record.identity;
    wire::Record {
        host: identity.host.to_string(),
        role: match identity.role {
            Role::Entry => 0,
            Role::Agent => 1,
        },
        centre: identity.centre.to_string(),
        region: identity.region.to_string(),
        address: encode_address(identity.address),
        incarnation: identity.incarnation.0,
        refutation: record.refutation,
        stage: record.stage as u32,
        health: record.health as u32,
        status: status.then(|| wire::Status::new(&record.status)).flatten(),
    }
}

fn stage(raw: u32) -> Result<Stage, GossipError> {
    match raw {
        0 => Ok(Stage::Active),
        1 => Ok(Stage::Leaving),
        2 => Ok(Stage::Left),
        _ => Err(GossipError::Value("stage")),
    }
}

fn health(raw: u32) -> Result<Health, GossipError> {
    match raw {
        0 => Ok(Health::Alive),
        1 => Ok(Health::Suspect),
        2 => Ok(Health::Dead),
        _ => Err(GossipError::Value("health")),
    }
}

impl TryFrom<wire::Record> for Record {
    type Error = GossipError;

    fn try_from(raw: wire::Record) -> Result<Self, GossipError> {
        let role = match raw.role {
            0 => Role::Entry,
            1 => Role::Agent,
            _ => return Err(GossipError::Value("role")),
        };
        let identity = Identity {
            host: HostName::try_from(raw.host)?,
            role,
            centre: DataCentre::try_from(raw.centre)?,
            region: Region::try_from(raw.region)?,
            address: decode_address(&raw.address)?,
            incarnation: Incarnation(raw.incarnation),
        };
        Ok(Self {
            identity,
            status: raw.status.map_or(Ok(Status::default()), Status::try_from)?,
            refutation: raw.refutation,
            stage: stage(raw.stage)?,
            health: health(raw.health)?,
        })
    }
}

impl TryFrom<wire::Status> for Status {
    type Error = GossipError;

    fn try_from(raw: wire::Status) -> Result<Self, GossipError> {
        if raw.blob.len() > MAX_STATUS_BYTES {
            return Err(GossipError::Value("status"));
        }
        Ok(Self {
            counter: raw.counter,
            stamp: raw.stamp.map(Stamp::from).unwrap_or_default(),
            blob: raw.blob,
        })
    }
}

impl TryFrom<wire::Brief> for Brief {
    type Error = GossipError;

    fn try_from(raw: wire::Brief) -> Result<Self, GossipError> {
        Ok(Self {
            host: HostName::try_from(raw.host)?,
            version: Version {
                incarnation: Incarnation(raw.incarnation),
                refutation: raw.refutation,
                health: health(raw.health)?,
                stage: stage(raw.stage)?,
            },
            counter: raw.counter,
        })
    }
}

impl From<&Brief> for wire::Brief {
    fn from(brief: &Brief) -> Self {
        Self {
            host: brief.host.to_string(),
            incarnation: brief.version.incarnation.0,
            refutation: brief.version.refutation,
            stage: brief.version.stage as u32,
            health: brief.version.health as u32,
            counter: brief.counter,
        }
    }
}

fn encode_marks(marks: &Marks) -> Vec<wire::Mark> {
    let mark = |(name, revision): (&SectionName, &Revision)| wire::Mark {
        name: name.to_string(),
        revision: revision.0,
    };
    marks.iter().map(mark).collect()
}

fn decode_marks(raw: Vec<wire::Mark>) -> Result<Marks, GossipError> {
    if raw.len() > MAX_SECTIONS {
        return Err(GossipError::TooMany("sections"));
    }
    raw.into_iter()
        .map(|mark| {
            let name = SectionName::try_from(mark.name.as_str())?;
            Ok((name, Revision(mark.revision)))
        })
        .collect()
}

impl From<&Body> for wire::Body {
    fn from(body: &Body) -> Self {
        match body {
            Body::Ping(number) => Self::Ping(*number),
            Body::Ack(number) => Self::Ack(*number),
            Body::Relay { number, address } => Self::Relay(wire::Relay {
                number: *number,
                address: encode_address(*address),
            }),
            Body::Push => Self::Push(wire::Empty {}),
            Body::Digest { statuses, buckets } => Self::Digest(wire::Digest {
                statuses: *statuses,
                buckets: buckets.clone(),
            }),
            Body::Summary(summary) => Self::Summary(summary.into()),
            Body::Want { statuses, hosts } => Self::Want(wire::Want {
                statuses: *statuses,
                hosts: hosts.iter().map(ToString::to_string).collect(),
            }),
            Body::Pull { marks } => Self::Pull(wire::Pull {
                marks: encode_marks(marks),
            }),
            Body::Delta(delta) => Self::Delta(delta.into()),
        }
    }
}

impl From<&Summary> for wire::Summary {
    fn from(summary: &Summary) -> Self {
        let number = |bucket: &usize| u32::try_from(*bucket).unwrap_or(u32::MAX);
        Self {
            statuses: summary.statuses,
            buckets: summary.buckets.iter().map(number).collect(),
            briefs: summary.briefs.iter().map(wire::Brief::from).collect(),
        }
    }
}

impl From<&Delta> for wire::Delta {
    fn from(delta: &Delta) -> Self {
        Self {
            stamp: Some(delta.stamp.into()),
            marks: encode_marks(&delta.marks),
            sections: delta
                .texts
                .iter()
                .map(|(name, text)| wire::Section {
                    name: name.to_string(),
                    text: text.to_string(),
                })
                .collect(),
        }
    }
}

impl TryFrom<wire::Body> for Body {
    type Error = GossipError;

    fn try_from(raw: wire::Body) -> Result<Self, GossipError> {
        Ok(match raw {
            wire::Body::Ping(number) => Self::Ping(number),
            wire::Body::Ack(number) => Self::Ack(number),
            wire::Body::Relay(relay) => Self::Relay {
                number: relay.number,
                address: decode_address(&relay.address)?,
            },
            wire::Body::Push(_) => Self::Push,
            wire::Body::Digest(digest) => {
                if digest.buckets.len() != BUCKETS {
                    return Err(GossipError::Value("bucket count"));
                }
                Self::Digest {
                    statuses: digest.statuses,
                    buckets: digest.buckets,
                }
            }
            wire::Body::Summary(summary) => Self::Summary(summary.try_into()?),
            wire::Body::Want(want) => {
                if want.hosts.len() > MAX_BRIEFS {
                    return Err(GossipError::TooMany("hosts"));
                }
                let hosts: Result<_, _> = want.hosts.into_iter().map(HostName::try_from).collect();
                Self::Want {
                    statuses: want.statuses,
                    hosts: hosts?,
                }
            }
            wire::Body::Pull(pull) => Self::Pull {
                marks: decode_marks(pull.marks)?,
            },
            wire::Body::Delta(delta) => Self::Delta(delta.try_into()?),
        })
    }
}

impl TryFrom<wire::Summary> for Summary {
    type Error = GossipError;

    fn try_from(raw: wire::Summary) -> Result<Self, GossipError> {
        if raw.briefs.len() > MAX_BRIEFS || raw.buckets.len() > BUCKETS {
            return Err(GossipError::TooMany("briefs"));
        }
        let bucket = |raw: &u32| {
            usize::try_from(*raw)
                .ok()
                .filter(|bucket| *bucket < BUCKETS)
                .ok_or(GossipError::Value("bucket"))
        };
        let buckets: Result<_, _> = raw.buckets.iter().map(bucket).collect();
        Ok(Self {
            statuses: raw.statuses,
            buckets: buckets?,
            briefs: convert(raw.briefs)?,
        })
    }
}

impl TryFrom<wire::Delta> for Delta {
    type Error = GossipError;

    fn try_from(raw: wire::Delta) -> Result<Self, GossipError> {
        if raw.sections.len() > MAX_SECTIONS {
            return Err(GossipError::TooMany("sections"));
        }
        let mut texts = std::collections::BTreeMap::new();
        for section in raw.sections {
            let name = SectionName::try_from(section.name.as_str())?;
            texts.insert(name, section.text.into());
        }
        Ok(Self {
            stamp: raw.stamp.ok_or(GossipError::Missing("stamp"))?.into(),
            marks: decode_marks(raw.marks)?,
            texts,
        })
    }
}
