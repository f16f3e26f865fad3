//! Usual results of one route, as known to one VM or to several.

/// Minimum number of results that a comparison is based on.
const MIN_RESULTS: u64 = 3;
/// Multiple of the usual time from which a time is slow.
const SLOW_FACTOR: f64 = 3.0;
/// Additional time allowed, in milliseconds. Short times vary by this much.
const SLOW_MARGIN_MS: f64 = 30.0;
/// Bad results and number of results that are added to those counted, since few results say little
/// about a share.
const PRIOR: (f64, f64) = (1.0, 16.0);

/// Usual results of one route.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct UsualResults {
    /// Median time to a response, in milliseconds. Zero if there was none.
    pub time_ms: f64,
    /// Median pause between the first events of a stream, in milliseconds. Zero if there was none.
    pub pause_ms: f64,
    /// Number of bad results.
    pub bad: u64,
    /// Number of results.
    pub total: u64,
}

impl UsualResults {
    /// Combines the results of several VMs. The times are weighted medians.
    pub fn combine(parts: &[UsualResults]) -> UsualResults {
        UsualResults {
            time_ms: weighted_median(parts, |part| part.time_ms),
            pause_ms: weighted_median(parts, |part| part.pause_ms),
            bad: parts.iter().map(|part| part.bad).sum(),
            total: parts.iter().map(|part| part.total).sum(),
        }
    }

    /// Returns whether there are enough results for a comparison.
    pub fn is_known(&self) -> bool {
        self.total >= MIN_RESULTS
    }

    /// Returns whether a response is slow if it takes this long, in milliseconds.
    pub fn is_slow_time(&self, time_ms: f64) -> bool {
        is_slow(self.time_ms, time_ms)
    }

    /// Returns whether a stream is slow if its pauses are this long, in milliseconds.
    pub fn is_slow_pause(&self, pause_ms: f64) -> bool {
        is_slow(self.pause_ms, pause_ms)
    }

    /// Returns the share of bad results.
    pub fn bad_share(&self) -> f64 {
        let (bad, total) = PRIOR;
        (self.bad as f64 + bad) / (self.total as f64 + total)
    }
}

fn is_slow(usual_ms: f64, time_ms: f64) -> bool {
    usual_ms > 0.0 && time_ms > SLOW_FACTOR * usual_ms + SLOW_MARGIN_MS
}

fn weighted_median(parts: &[UsualResults], value: impl Fn(&UsualResults) -> f64) -> f64 {
    let mut sorted: Vec<(f64, u64)> =
        parts.iter().map(|part| (value(part), part.total)).filter(|(ms, _)| *ms > 0.0).collect();
    sorted.sort_by(|(first, _), (second, _)| first.total_cmp(second));
    let total: u64 = sorted.iter().map(|(_, weight)| weight).sum();
    let mut below = 0;
    for (ms, weight) in sorted {
        below += weight;
        if 2 * below >= total {
            return ms;
        }
    }
    0.0
}
