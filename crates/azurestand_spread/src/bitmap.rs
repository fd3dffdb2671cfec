//! A bitmap of the chunks of a manifest that a host holds.

/// A fixed-length bit string; bit `i` stands for the manifest's chunk `i`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Bitmap {
    bytes: Vec<u8>,
    length: usize,
}

impl Bitmap {
    pub(crate) fn new(length: usize) -> Self {
        Self {
            bytes: vec![0; length.div_ceil(8)],
            length,
        }
    }

    /// Reads a received bitmap; bits past the end are ignored, missing bytes are zero.
    pub(crate) fn from_bytes(raw: &[u8], length: usize) -> Self {
        let mut map = Self::new(length);
        for (own, other) in map.bytes.iter_mut().zip(raw) {
            *own = *other;
        }
        if let (Some(last), 1..) = (map.bytes.last_mut(), length % 8) {
            *last &= (1 << (length % 8)) - 1;
        }
        map
    }

    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub(crate) fn get(&self, index: usize) -> bool {
        index < self.length && self.bytes[index / 8] & (1 << (index % 8)) != 0
    }

    /// Sets or clears a bit; returns whether it changed.
    pub(crate) fn set(&mut self, index: usize, value: bool) -> bool {
        if index >= self.length || self.get(index) == value {
            return false;
        }
        self.bytes[index / 8] ^= 1 << (index % 8);
        true
    }

    /// Adds the bits of `other`.
    pub(crate) fn union(&mut self, other: &Self) {
        for (own, other) in self.bytes.iter_mut().zip(&other.bytes) {
            *own |= other;
        }
    }

    /// Removes the bits of `other`.
    pub(crate) fn subtract(&mut self, other: &Self) {
        for (own, other) in self.bytes.iter_mut().zip(&other.bytes) {
            *own &= !other;
        }
    }

    /// The set bits, starting near `start` and wrapping around.
    pub(crate) fn ones(&self, start: usize) -> impl Iterator<Item = usize> + '_ {
        let first = start / 8;
        let order = (first..self.bytes.len()).chain(0..first);
        order.flat_map(|byte| {
            let value = self.bytes[byte];
            let bits = if value == 0 { 0..0 } else { 0..8 };
            bits.filter(move |bit| value & (1 << bit) != 0)
                .map(move |bit| byte * 8 + bit)
        })
    }

    /// The bits that differ from those of `old`, with their new values.
    pub(crate) fn changes(&self, old: Option<&Self>) -> impl Iterator<Item = (usize, bool)> {
        let bytes = self.bytes.iter().enumerate();
        bytes.flat_map(move |(byte, &value)| {
            let changed = value ^ old.map_or(0, |old| old.bytes[byte]);
            let bits = if changed == 0 { 0..0 } else { 0..8 };
            bits.filter(move |bit| changed & (1 << bit) != 0)
                .map(move |bit| (byte * 8 + bit, value & (1 << bit) != 0))
        })
    }

    pub(crate) fn count(&self) -> usize {
        self.bytes
            .iter()
            .map(|byte| byte.count_ones() as usize)
            .sum()
    }
}
