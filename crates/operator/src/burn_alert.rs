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
/// At this burn rate 2% of the error budget of 30 days is used in one hour.
const FAST_RATE: f64 = 14.4;
/// At this burn rate 5% of the error budget of 30 days is used in six hours.
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
    /// The burn rate is at least 6 over both 30 min and 6 h: act today.
    Slow,
    /// The burn rate is at least 14.4 over both 5 min and 1 h: act now.
    Fast,
}

impl BurnAlert {
    /// Evaluates the burn rates of an objective. Both windows of a pair must reach the limit: the
    /// long window shows that the loss is significant, the short one that it is still going on.
    pub fn evaluate(counts: &ObjectiveSnapshot, now: WallTime) -> BurnAlert {
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
