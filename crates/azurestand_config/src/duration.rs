//! Parsing of the durations in the operators' document.

use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// Why a text can't be parsed as a duration.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DurationError {
        /// The text isn't a whole number with a unit.
        Malformed(raw: String) {
            display("{raw:?} is not a duration; write a whole number with ms, s, m, h or d, such as \"30s\"")
        }
        /// The duration is zero or longer than a year.
        Range(raw: String) {
            display("duration {raw:?} is out of range; give 1ms to 365d")
        }
    }
}

const YEAR_MILLIS: u64 = 365 * 24 * 3_600 * 1_000;

/// Reads a duration such as `250ms` or `24h`.
///
/// # Errors
///
/// A [`DurationError`] when the text has no known unit, or isn't between 1 ms and a year.
pub(crate) fn parse_duration(raw: &str) -> Result<Duration, DurationError> {
    let malformed = || DurationError::Malformed(raw.to_owned());
    let digits = raw.bytes().take_while(u8::is_ascii_digit).count();
    let (count, unit) = raw.split_at(digits);
    let millis: u64 = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return Err(malformed()),
    };
    let count: u64 = count.parse().map_err(|_| malformed())?;
    match count.checked_mul(millis) {
        Some(total @ 1..=YEAR_MILLIS) => Ok(Duration::from_millis(total)),
        _ => Err(DurationError::Range(raw.to_owned())),
    }
}
