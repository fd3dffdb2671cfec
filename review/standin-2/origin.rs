//! The origin of weights. A piece's bytes follow from its number and version.

use std::net::TcpListener;
use std::sync::{Arc, Mutex};

use crate::base::{Record, sha256};
use crate::http::{Channel, serve};

pub const PIECES: usize = 96;
pub const PIECE_BYTES: usize = 24_576;
pub const LAYERS: usize = 16;
pub const MODEL: &str = "daka510000";

/// The bytes of a piece.
pub fn piece(number: usize, version: u64) -> Vec<u8> {
    let mut state = (number as u64 + 1) * 0x9E37_79B9_7F4A_7C15 ^ (version * 0xD1B5_4A32_D192_ED03);
    let mut bytes = Vec::with_capacity(PIECE_BYTES);
    while bytes.len() < PIECE_BYTES {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        bytes.extend_from_slice(&state.to_le_bytes());
    }
    bytes.truncate(PIECE_BYTES);
    bytes
}

/// What the origin does wrong.
#[derive(Default)]
pub struct Faults {
    /// How many of the next lists of digests have a corrupt one.
    pub corrupt_lists: Mutex<usize>,
}

pub fn start(listener: TcpListener, record: &Record) -> Arc<Faults> {
    let faults = Arc::new(Faults::default());
    let (served, record) = (faults.clone(), record.clone());
    serve(listener, move |channel| handle(channel, &served, &record));
    faults
}

/// The digests of a version, of which one has a changed digit if that is due.
fn digests(version: u64, faults: &Faults, record: &Record) -> Vec<String> {
    let mut digests: Vec<String> = (0..PIECES).map(|number| sha256(&piece(number, version))).collect();
    let mut corrupt = faults.corrupt_lists.lock().unwrap();
    if *corrupt > 0 {
        *corrupt -= 1;
        let last = digests[17].pop();
        digests[17].push(if last == Some('0') { '1' } else { '0' });
    }
    record.line(&format!("origin: the digests of version {version} are asked for; that of piece 17 is given as {}", digests[17]));
    digests
}

fn handle(mut channel: Channel, faults: &Faults, record: &Record) {
    while let Some(request) = channel.read_message() {
        let version = request.query("version").and_then(|text| text.parse().ok()).unwrap_or(2);
        let sent = if request.path().starts_with("/azurestand/manifest/") {
            let digests = digests(version, faults, record);
            let digests = format!("\"{}\"", digests.join("\",\""));
            let body = format!("{{\"model\":\"{MODEL}\",\"version\":{version},\"chunk_bytes\":{PIECE_BYTES},\"layers\":{LAYERS},\"digests\":[{digests}]}}");
            channel.answer("200 OK", &[("content-type", "application/json")], body.as_bytes())
        } else if request.path().starts_with("/azurestand/piece/") {
            let number = request.query("num").and_then(|text| text.parse().ok()).unwrap_or(0);
            channel.answer("200 OK", &[], &piece(number, version))
        } else {
            channel.answer("404 Not Found", &[], b"")
        };
        if !sent {
            return;
        }
    }
}
