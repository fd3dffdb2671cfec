//! The identities that both ends of a link exchange in the handshake.

use std::net::SocketAddr;

use azurestand_types::{DataCentre, HostName, Incarnation, NameError};
use bytes::Bytes;
use derive_more::Display;
use quick_error::quick_error;

use crate::message::Hello;

pub(crate) const PROTOCOL: u32 = 1;

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Role {
    /// Accepts callers' requests.
    #[display("entry")]
    Entry,
    /// Runs beside the targets of one host.
    #[display("agent")]
    Agent,
}

/// The kind of traffic that a link carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Purpose {
    /// Requests, reports and gossip.
    #[display("control")]
    Control,
    /// Chunks of weights.
    #[display("bulk")]
    Bulk,
}

/// The identity that a process announces in its hello.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The process's host.
    pub host: HostName,
    /// The incarnation of that host name.
    pub incarnation: Incarnation,
    /// The role of the process.
    pub role: Role,
    /// The host's data centre.
    pub centre: DataCentre,
    /// The address on which the process accepts links.
    pub address: SocketAddr,
}

quick_error! {
    /// Why a hello was refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HelloError {
        /// The peer uses another protocol version.
        Protocol(found: u32) {
            display("the other end speaks protocol {found}; run a version with protocol 1 there")
        }
        /// A name is malformed.
        Name(error: NameError) {
            display("the other end's name is refused: {error}")
            from()
        }
        /// An enumerated field has an unknown value, or the address can't be parsed.
        Field(name: &'static str) {
            display("the other end's hello has a bad {name}; run the same version on both hosts")
        }
    }
}

impl Identity {
    pub(crate) fn hello(&self, purpose: Purpose, nonce: Bytes) -> Hello {
        let role = match self.role {
            Role::Entry => 1,
            Role::Agent => 2,
        };
        let purpose = match purpose {
            Purpose::Control => 1,
            Purpose::Bulk => 2,
        };
        Hello {
            protocol: PROTOCOL,
            nonce,
            host: self.host.to_string(),
            incarnation: self.incarnation.0,
            role,
            purpose,
            centre: self.centre.to_string(),
            address: self.address.to_string(),
        }
    }
}

impl TryFrom<&Hello> for Purpose {
    type Error = HelloError;

    fn try_from(hello: &Hello) -> Result<Self, HelloError> {
        match hello.purpose {
            1 => Ok(Self::Control),
            2 => Ok(Self::Bulk),
            _ => Err(HelloError::Field("purpose")),
        }
    }
}

impl TryFrom<&Hello> for Identity {
    type Error = HelloError;

    fn try_from(hello: &Hello) -> Result<Self, HelloError> {
        if hello.protocol != PROTOCOL {
            return Err(HelloError::Protocol(hello.protocol));
        }
        let role = match hello.role {
            1 => Role::Entry,
            2 => Role::Agent,
            _ => return Err(HelloError::Field("role")),
        };
        let address = hello
            .address
            .parse()
            .map_err(|_| HelloError::Field("address"))?;
        Ok(Self {
            host: HostName::try_from(hello.host.as_str())?,
            incarnation: Incarnation(hello.incarnation),
            role,
            centre: DataCentre::try_from(hello.centre.as_str())?,
            address,
        })
    }
}
