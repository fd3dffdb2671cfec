//! Counts list entries before decoding, so that a small message can't cause a large allocation.

use prost::encoding::{DecodeContext, WireType, decode_key, decode_varint, skip_field};

use super::{GossipError, MAX_BRIEFS, MAX_HEARD, MAX_RECORDS};
use crate::config::MAX_SECTIONS;

const RECORDS_TAG: u32 = 5;
const HEARD_TAG: u32 = 4;
const FIRST_BODY_TAG: u32 = 8;
const LAST_BODY_TAG: u32 = 16;
const DELTA_TAG: u32 = 16;

/// Counts the list entries of a packet without allocating.
pub(super) fn scan(mut bytes: &[u8]) -> Result<(), GossipError> {
    let (mut records, mut heard) = (0, 0);
    while !bytes.is_empty() {
        let (tag, wire) = decode_key(&mut bytes)?;
        let body = (FIRST_BODY_TAG..=LAST_BODY_TAG).contains(&tag);
        match tag {
            RECORDS_TAG => records += 1,
            HEARD_TAG => heard += 1,
            _ if body && wire == WireType::LengthDelimited => {
                let limit = if tag == DELTA_TAG {
                    MAX_SECTIONS * 2 + 1
                } else {
                    MAX_BRIEFS + 2
                };
                scan_body(field(bytes)?, limit)?;
            }
            _ => {}
        }
        skip_field(wire, tag, &mut bytes, DecodeContext::default())?;
    }
    if records > MAX_RECORDS {
        return Err(GossipError::TooMany("records"));
    }
    if heard > MAX_HEARD {
        return Err(GossipError::TooMany("data centres"));
    }
    Ok(())
}

/// The content of the length-delimited field at the start of `bytes`.
fn field(mut bytes: &[u8]) -> Result<&[u8], GossipError> {
    let length = decode_varint(&mut bytes)?;
    let length = usize::try_from(length).map_err(|_| GossipError::Value("field length"))?;
    bytes
        .get(..length)
        .ok_or(GossipError::Value("field length"))
}

fn scan_body(mut bytes: &[u8], limit: usize) -> Result<(), GossipError> {
    let mut fields = 0;
    while !bytes.is_empty() {
        let (tag, wire) = decode_key(&mut bytes)?;
        skip_field(wire, tag, &mut bytes, DecodeContext::default())?;
        fields += 1;
        if fields > limit {
            return Err(GossipError::TooMany("list entries"));
        }
    }
    Ok(())
}
