//! Alerts on burn rates.

use dragonflycart_burn::ObjectiveSnapshot;
use dragonflycart_core::WallTime;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Minute in milliseconds.
const MINUTE_MS: u64 = 60_000;
/// Hour in milliseconds.
const HOUR_MS: u64 = 60 * MINUTE_MS;
/// Windows for which burn rates are reported.
pub(crate) const RATE_WINDOWS_MS: [u64; 4] = [5 * MINUTE_MS, 30 * MINUTE_MS, HOUR_MS, 6 * HOUR_MS];
/// At this rate an hour uses 2% of the budget of 30 days.
const FAST_RATE: f64 = 14.4;
/// At this rate six hours use 5% of the budget of 30 days.
const SLOW_RATE: f64 = 6.0;

/// Alert on the burn rate of an objective.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum BurnAlert {
    /// No alert.
    None,
    /// The rate is at least 6 over both 30 min and 6 h: act today.
    Slow,
    /// The rate is at least 14.4 over both 5 min and 1 h: act now.
    Fast,
}

impl BurnAlert {
    /// Judges the rates of an objective. Both windows of a pair must exceed the limit: the long
    /// one shows that the loss matters, the short one that it has not already ended.
    pub fn judge(counts: &ObjectiveSnapshot, now: WallTime) -> BurnAlert {
        let over = |window_ms: u64, limit: f64| counts.burn_rate(now, window_ms) >= limit;
        if over(5 * MINUTE_MS, FAST_RATE) && over(HOUR_MS, FAST_RATE) {
            return BurnAlert::Fast;
        }
        if over(30 * MINUTE_MS, SLOW_RATE) && over(6 * HOUR_MS, SLOW_RATE) {
            return BurnAlert::Slow;
        }
        BurnAlert::None
    }
}
