//! Conversions of records, statuses and addresses.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use azurestand_types::{DataCentre, HostName, Incarnation, Region};
use bytes::Bytes;

use super::wire;
use super::{Brief, GossipError};
use crate::identity::Subjects;
use crate::record::{Health, MAX_STATUS_BYTES, Record, Stage, Status, Version};
use crate::{Identity, Role, Stamp};

const V4_BYTES: usize = 6;
const V6_BYTES: usize = 18;

pub(super) fn encode_address(address: SocketAddr) -> Bytes {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend_from_slice(&address.port().to_be_bytes());
    bytes.into()
}

pub(super) fn decode_address(bytes: &[u8]) -> Result<SocketAddr, GossipError> {
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
        subjects: identity.subjects.0,
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
            subjects: Subjects(raw.subjects),
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
        let stamp = raw.stamp.map(Stamp::try_from).transpose()?;
        Ok(Self {
            counter: raw.counter,
            stamp: stamp.unwrap_or_default(),
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
