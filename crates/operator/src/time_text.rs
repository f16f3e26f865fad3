//! Parsing and formatting of times with an explicit UTC offset, as in plan files.

use dragonflycart_core::WallTime;
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// Length of `2026-12-04`.
const DATE_LENGTH: usize = 10;
/// Length of `06:30`.
const SHORT_TIME_LENGTH: usize = 5;

/// Parses a time such as `2026-12-04T06:30+04:00`. The `T` may be a space, the offset may follow a
/// space or be `Z`, which means `+00:00`, and the time may have seconds. Returns `None` for other
/// texts, in particular for times without an offset.
pub fn parse_time(text: &str) -> Option<WallTime> {
    let (date, rest) = text.split_at_checked(DATE_LENGTH)?;
    let rest = rest.strip_prefix(['T', 't', ' '])?.trim();
    let offset_start = rest.find(['+', '-', 'Z', 'z'])?;
    let (clock, offset) = rest.split_at(offset_start);
    let clock = clock.trim_end();
    let seconds = if clock.len() == SHORT_TIME_LENGTH { ":00" } else { "" };
    let full = format!("{date}T{clock}{seconds}{offset}");
    let parsed = OffsetDateTime::parse(&full, &Rfc3339).ok()?;
    let millis = parsed.unix_timestamp_nanos() / 1_000_000;
    u64::try_from(millis).ok().map(WallTime::from_unix_millis)
}

/// Formats a time in UTC, truncated to whole seconds.
pub fn format_time(time: WallTime) -> String {
    let seconds = i64::try_from(time.as_unix_millis() / 1_000).unwrap_or(i64::MAX);
    let parsed = OffsetDateTime::from_unix_timestamp(seconds).ok();
    let text = parsed.and_then(|time| time.format(&Rfc3339).ok());
    text.unwrap_or_else(|| format!("{} ms since 1970", time.as_unix_millis()))
}
