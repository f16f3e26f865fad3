//! Parsing and formatting of durations and sizes with units.

use std::time::Duration;

/// Units of durations in milliseconds, largest first.
const DURATION_UNITS_MS: [(&str, u64); 5] =
    [("d", 86_400_000), ("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

/// Units of sizes in bytes, largest first.
const SIZE_UNITS_BYTES: [(&str, u64); 4] =
    [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits_end = text.find(|character: char| !character.is_ascii_digit())?;
    let (digits, unit) = text.split_at(digits_end);
    let number = digits.parse::<u64>().ok()?;
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    number.checked_mul(*factor)
}

fn format_with_unit(value: u64, units: &[(&str, u64)]) -> String {
    for (name, factor) in units {
        if value != 0 && value.is_multiple_of(*factor) {
            return format!("{}{name}", value / factor);
        }
    }
    let smallest = units.last().map_or("", |(name, _)| *name);
    format!("{value}{smallest}")
}

/// Parses a whole number with one of the units `ms`, `s`, `m`, `h` and `d`. A number without a
/// unit is rejected, because it is ambiguous.
pub fn parse_duration(text: &str) -> Option<Duration> {
    parse_with_unit(text, &DURATION_UNITS_MS).map(Duration::from_millis)
}

/// Formats a duration in the largest unit that divides it, truncated to whole milliseconds.
pub fn format_duration(duration: Duration) -> String {
    format_with_unit(duration.as_millis() as u64, &DURATION_UNITS_MS)
}

/// Parses a whole number with one of the units `B`, `KiB`, `MiB` and `GiB`; the result is in
/// bytes.
pub fn parse_size(text: &str) -> Option<u64> {
    parse_with_unit(text, &SIZE_UNITS_BYTES)
}

/// Formats a number of bytes in the largest unit that divides it.
pub fn format_size(bytes: u64) -> String {
    format_with_unit(bytes, &SIZE_UNITS_BYTES)
}
