//! Seconds as a date, for people who read the audit trail.

#[cfg(test)]
mod tests;

const DAY_SECONDS: u64 = 86_400;
const ERA_DAYS: u64 = 146_097;
/// Days from 0000-03-01 to 1970-01-01.
const EPOCH_DAYS: u64 = 719_468;

/// Writes the seconds since 1970 as `2026-01-31T23:59:59Z`.
///
/// Years are counted from March, so that the leap day ends a year.
pub(crate) fn date(seconds: u64) -> String {
    let days = seconds / DAY_SECONDS + EPOCH_DAYS;
    let (era, day) = (days / ERA_DAYS, days % ERA_DAYS);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let march_month = (5 * day + 2) / 153;
    let day = day - (153 * march_month + 2) / 5 + 1;
    let month = if march_month < 10 {
        march_month + 3
    } else {
        march_month - 9
    };
    let year = era * 400 + year + u64::from(month <= 2);
    let time = seconds % DAY_SECONDS;
    let (hour, minute, second) = (time / 3_600, time / 60 % 60, time % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}
