//! The origin of weights. A piece's bytes follow from its number and version.

use std::net::TcpListener;

use crate::base::sha256;
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

pub fn start(listener: TcpListener) {
    serve(listener, handle);
}

fn handle(mut channel: Channel) {
    while let Some(request) = channel.read_message() {
        let version = request.query("version").and_then(|text| text.parse().ok()).unwrap_or(2);
        let sent = if request.path().starts_with("/azurestand/manifest/") {
            let digests: Vec<String> =
                (0..PIECES).map(|number| format!("\"{}\"", sha256(&piece(number, version)))).collect();
            let digests = digests.join(",");
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
