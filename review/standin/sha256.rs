//! SHA-256, for the digests of pieces.

/// The digest as 64 hexadecimal digits.
pub fn hex(data: &[u8]) -> String {
    let primes = || (2_u64..).filter(|n| (2..*n).take_while(|d| d * d <= *n).all(|d| n % d != 0));
    // The first 32 bits of the fractional part of the root, found with integers.
    let root = |prime: u64, power: u32| {
        let target = u128::from(prime) << (32 * power);
        let (mut low, mut high) = (0_u128, 1_u128 << 40);
        while low + 1 < high {
            let middle = (low + high) / 2;
            if middle.pow(power) <= target {
                low = middle;
            } else {
                high = middle;
            }
        }
        low as u32
    };
    let k: Vec<u32> = primes().take(64).map(|prime| root(prime, 3)).collect();
    let mut h: Vec<u32> = primes().take(8).map(|prime| root(prime, 2)).collect();
    let mut message = data.to_vec();
    message.push(0x80);
    while message.len() % 64 != 56 {
        message.push(0);
    }
    message.extend_from_slice(&(data.len() as u64 * 8).to_be_bytes());
    for block in message.chunks(64) {
        let mut w: Vec<u32> = block.chunks(4).map(|word| u32::from_be_bytes(word.try_into().unwrap())).collect();
        for t in 16..64 {
            let s0 = w[t - 15].rotate_right(7) ^ w[t - 15].rotate_right(18) ^ (w[t - 15] >> 3);
            let s1 = w[t - 2].rotate_right(17) ^ w[t - 2].rotate_right(19) ^ (w[t - 2] >> 10);
            w.push(w[t - 16].wrapping_add(s0).wrapping_add(w[t - 7]).wrapping_add(s1));
        }
        let mut v = h.clone();
        for t in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let ch = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let t1 = v[7].wrapping_add(s1).wrapping_add(ch).wrapping_add(k[t]).wrapping_add(w[t]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let maj = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            v.rotate_right(1);
            v[4] = v[4].wrapping_add(t1);
            v[0] = t1.wrapping_add(s0.wrapping_add(maj));
        }
        for (sum, value) in h.iter_mut().zip(&v) {
            *sum = sum.wrapping_add(*value);
        }
    }
    h.iter().map(|word| format!("{word:08x}")).collect()
}
