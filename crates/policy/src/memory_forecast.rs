//! Forecast of the peak memory use of a server.

/// Group of running requests with the same expected remaining length.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ForecastGroup {
    /// Tokens that each request is expected to generate.
    remaining: f64,
    /// Tokens that each request holds now.
    current: f64,
    /// Number of requests.
    count: f64,
}

/// Forecast of the peak memory use of a server until its running requests have ended.
///
/// A request holds its prompt and output until it ends. When the group with remaining length `r`
/// ends, all groups with a longer remaining length have grown by `r` tokens per request. The peak
/// is the largest of these sums. It is far below the sum of all final lengths, because short
/// requests release their memory before long ones reach their final length.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MemoryForecast {
    groups: Vec<ForecastGroup>,
}

impl MemoryForecast {
    /// Removes all groups.
    pub fn clear(&mut self) {
        self.groups.clear();
    }

    /// Adds `count` requests that hold `current` tokens each and are expected to generate
    /// `remaining` more.
    pub fn add(&mut self, current: f64, remaining: f64, count: f64) {
        self.groups.push(ForecastGroup { remaining, current, count });
    }

    /// Sorts the groups. Must be called after the last `add` and before `peak_with`.
    pub fn prepare(&mut self) {
        self.groups.sort_by(|a, b| b.remaining.total_cmp(&a.remaining));
    }

    /// Returns the peak, in tokens, if `count` more requests are added that hold `current` tokens
    /// each and are expected to generate `remaining` more.
    pub fn peak_with(&self, current: f64, remaining: f64, count: f64) -> f64 {
        let extra = ForecastGroup { remaining, current, count };
        let mut peak: f64 = 0.0;
        let mut held = 0.0;
        let mut count = 0.0;
        let mut pending = Some(extra);
        for group in &self.groups {
            if let Some(request) = pending
                && request.remaining >= group.remaining
            {
                pending = None;
                held += request.current * request.count;
                count += request.count;
                peak = peak.max(held + request.remaining * count);
            }
            held += group.current * group.count;
            count += group.count;
            peak = peak.max(held + group.remaining * count);
        }
        if let Some(request) = pending {
            held += request.current * request.count;
            count += request.count;
            peak = peak.max(held + request.remaining * count);
        }
        peak
    }
}
