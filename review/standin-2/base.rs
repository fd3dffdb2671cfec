//! The record of a case, SHA-256, Base64 and random numbers.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3}  {text}");
        let _ = file.flush();
    }
}

/// A random number of the system.
pub fn random() -> u64 {
    use std::collections::hash_map::RandomState;
    use std::hash::{BuildHasher, Hasher};
    RandomState::new().build_hasher().finish()
}

pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= part.len() {
                text.push(SET[(word >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn sha256(bytes: &[u8]) -> String {
    let primes = |count: usize| {
        (2u64..).filter(|n| (2..*n).take_while(|d| d * d <= *n).all(|d| n % d != 0)).take(count)
    };
    // The first 32 bits of the fraction of a root, found by integer search.
    let fraction = |n: u64, cube: bool| -> u32 {
        let (mut low, mut high) = (0u128, 1u128 << 40);
        while high - low > 1 {
            let mid = (low + high) / 2;
            let fits = if cube {
                mid * mid * mid <= u128::from(n) << 96
            } else {
                mid * mid <= u128::from(n) << 64
            };
            if fits {
                low = mid;
            } else {
                high = mid;
            }
        }
        low as u32
    };
    static TABLES: std::sync::OnceLock<([u32; 8], Vec<u32>)> = std::sync::OnceLock::new();
    let (first, k) = TABLES.get_or_init(|| {
        let mut h = [0u32; 8];
        for (slot, prime) in h.iter_mut().zip(primes(8)) {
            *slot = fraction(prime, false);
        }
        (h, primes(64).map(|prime| fraction(prime, true)).collect())
    });
    let mut h = *first;
    let mut data = bytes.to_vec();
    data.push(0x80);
    while data.len() % 64 != 56 {
        data.push(0);
    }
    data.extend_from_slice(&((bytes.len() as u64) * 8).to_be_bytes());
    for block in data.chunks(64) {
        let mut w = [0u32; 64];
        for i in 0..16 {
            w[i] = u32::from_be_bytes(block[i * 4..i * 4 + 4].try_into().unwrap());
        }
        for i in 16..64 {
            let a = w[i - 15].rotate_right(7) ^ w[i - 15].rotate_right(18) ^ (w[i - 15] >> 3);
            let b = w[i - 2].rotate_right(17) ^ w[i - 2].rotate_right(19) ^ (w[i - 2] >> 10);
            w[i] = w[i - 16].wrapping_add(a).wrapping_add(w[i - 7]).wrapping_add(b);
        }
        let mut s = h;
        for i in 0..64 {
            let e = s[4].rotate_right(6) ^ s[4].rotate_right(11) ^ s[4].rotate_right(25);
            let choice = (s[4] & s[5]) ^ (!s[4] & s[6]);
            let one = s[7].wrapping_add(e).wrapping_add(choice).wrapping_add(k[i]).wrapping_add(w[i]);
            let a = s[0].rotate_right(2) ^ s[0].rotate_right(13) ^ s[0].rotate_right(22);
            let two = a.wrapping_add((s[0] & s[1]) ^ (s[0] & s[2]) ^ (s[1] & s[2]));
            s = [one.wrapping_add(two), s[0], s[1], s[2], s[3].wrapping_add(one), s[4], s[5], s[6]];
        }
        for (slot, value) in h.iter_mut().zip(s) {
            *slot = slot.wrapping_add(value);
        }
    }
    h.iter().map(|word| format!("{word:08x}")).collect()
}

/// The number behind `"name":` in a text of JSON.
pub fn number(text: &str, name: &str) -> Option<u64> {
    let start = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let digits: String = text[start..].trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
