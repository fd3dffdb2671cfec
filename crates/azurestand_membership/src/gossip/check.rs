//! Conversions between the wire messages and the validated ones.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::{DataCentre, HostName, Revision};

use super::records::{decode_address, encode_address};
use super::wire;
use super::{BUCKETS, Body, Delta, Gossip, GossipError, Heard, MAX_BRIEFS, Marks, Summary};
use crate::Stamp;
use crate::config::{ConfigError, MAX_REVISION, MAX_SECTIONS, SectionName};
use crate::record::Record;

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
            stamp: packet.stamp.map(Stamp::try_from).transpose()?,
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

impl From<Stamp> for wire::Stamp {
    fn from(stamp: Stamp) -> Self {
        Self {
            revision: stamp.revision.0,
            digest: stamp.digest,
        }
    }
}

impl TryFrom<wire::Stamp> for Stamp {
    type Error = GossipError;

    fn try_from(stamp: wire::Stamp) -> Result<Self, GossipError> {
        let revision = Revision(stamp.revision);
        if revision > MAX_REVISION {
            return Err(ConfigError::Revision(revision).into());
        }
        Ok(Self {
            revision,
            digest: stamp.digest,
        })
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
        let mut texts = BTreeMap::new();
        for section in raw.sections {
            let name = SectionName::try_from(section.name.as_str())?;
            texts.insert(name, section.text.into());
        }
        Ok(Self {
            stamp: raw.stamp.ok_or(GossipError::Missing("stamp"))?.try_into()?,
            marks: decode_marks(raw.marks)?,
            texts,
        })
    }
}
