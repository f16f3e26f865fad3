//! Estimates of output lengths.

use std::collections::BTreeMap;

use crate::{RouteKey, TeamKey};

/// Number of buckets per doubling of the length. Four keep the error of a quantile under 10%.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of buckets. Covers lengths up to 2^17 tokens.
const BUCKET_COUNT: usize = 68;
/// Number of finished requests over which the weight of an observation decays to 1/e. Small enough
/// to follow a shift of the distribution within a few minutes of traffic.
const WINDOW: f64 = 300.0;
/// Highest weight of a route's histogram over all teams in the estimate for one team, in requests.
const ROUTE_WEIGHT: f64 = 8.0;
/// Weight of the prior in the estimate for a route, in requests.
const PRIOR_WEIGHT: f64 = 2.0;
/// Number of finished requests from which [`LengthEstimator::is_known`] is true for a route.
const KNOWN_REQUESTS: f64 = 20.0;
/// Weight of a new observation at which all weights are scaled down to keep precision.
const RESCALE_AT: f64 = 1e9;

/// Histogram over logarithmic length buckets in which older observations decay.
#[derive(Debug, Clone)]
struct LengthHistogram {
    weights: [f64; BUCKET_COUNT],
    total: f64,
    /// Weight of the newest observation.
    newest_weight: f64,
}

impl LengthHistogram {
    fn new() -> LengthHistogram {
        LengthHistogram { weights: [0.0; BUCKET_COUNT], total: 0.0, newest_weight: 1.0 }
    }

    /// Adds an observation. Instead of reducing the weights of all older observations, each new one
    /// gets a larger weight.
    fn add(&mut self, bucket: usize) {
        self.newest_weight *= 1.0 + 1.0 / WINDOW;
        self.weights[bucket] += self.newest_weight;
        self.total += self.newest_weight;
        if self.newest_weight < RESCALE_AT {
            return;
        }
        for weight in &mut self.weights {
            *weight /= self.newest_weight;
        }
        self.total /= self.newest_weight;
        self.newest_weight = 1.0;
    }

    /// Returns the weight of a bucket, scaled so that all buckets add up to `weight`.
    fn share(&self, bucket: usize, weight: f64) -> f64 {
        if self.total > 0.0 { self.weights[bucket] / self.total * weight } else { 0.0 }
    }
}

/// Estimates quantiles of the remaining output length per team and route, given the length that was
/// already generated. New teams start from the estimate of the route, new routes from a prior.
#[derive(Debug, Clone)]
pub struct LengthEstimator {
    teams: BTreeMap<(TeamKey, RouteKey), LengthHistogram>,
    routes: BTreeMap<RouteKey, LengthHistogram>,
    overall: LengthHistogram,
    prior: LengthHistogram,
}

fn bucket_of(length: u32) -> usize {
    let position = f64::from(length.max(1)).log2() * BUCKETS_PER_DOUBLING;
    (position as usize).min(BUCKET_COUNT - 1)
}

fn bucket_start(bucket: usize) -> f64 {
    (bucket as f64 / BUCKETS_PER_DOUBLING).exp2()
}

impl LengthEstimator {
    /// Creates an estimator whose prior is centred on `prior_length` tokens.
    pub fn new(prior_length: u32) -> LengthEstimator {
        let mut prior = LengthHistogram::new();
        // The prior is wide, two doublings to each side, because nothing is known yet.
        for shift in [0.25, 0.5, 1.0, 1.0, 2.0, 4.0] {
            prior.add(bucket_of((f64::from(prior_length) * shift) as u32));
        }
        LengthEstimator {
            teams: BTreeMap::new(),
            routes: BTreeMap::new(),
            overall: LengthHistogram::new(),
            prior,
        }
    }

    /// Records the output length of a finished request.
    pub fn record(&mut self, team: TeamKey, route: RouteKey, length: u32) {
        let bucket = bucket_of(length);
        self.teams.entry((team, route)).or_insert_with(LengthHistogram::new).add(bucket);
        self.routes.entry(route).or_insert_with(LengthHistogram::new).add(bucket);
        self.overall.add(bucket);
    }

    /// Returns the quantile `q` of the remaining length of a request that has generated `reached`
    /// tokens.
    pub fn remaining(&self, team: TeamKey, route: RouteKey, reached: u32, q: f64) -> u32 {
        let team_histogram = self.teams.get(&(team, route));
        let route_histogram = self.routes.get(&route);
        let weight_of = |bucket: usize| {
            let mut weight = self.prior.share(bucket, PRIOR_WEIGHT * 0.1);
            if let Some(histogram) = route_histogram {
                weight += histogram
                    .share(bucket, ROUTE_WEIGHT.min(histogram.total / histogram.newest_weight));
            } else {
                weight += self.prior.share(bucket, PRIOR_WEIGHT);
            }
            if let Some(histogram) = team_histogram {
                weight += histogram.weights[bucket] / histogram.newest_weight;
            }
            weight
        };
        quantile_beyond(weight_of, reached, q)
    }

    /// Returns whether enough requests of the route have finished to reject requests based on the
    /// estimate. With fewer, a wrong prior could reject all requests of a route and would then
    /// never be corrected.
    pub fn is_known(&self, route: RouteKey) -> bool {
        let histogram = self.routes.get(&route);
        histogram
            .is_some_and(|histogram| histogram.total >= KNOWN_REQUESTS * histogram.newest_weight)
    }

    /// Returns quantiles of the remaining length of a running request about which nothing is known.
    ///
    /// A long request is more likely to be found running than a short one, so the density of the
    /// remaining length at `x` is proportional to the share of lengths above `x`.
    pub fn residuals(&self, quantiles: &[f64]) -> Vec<u32> {
        let mut weights = [0.0; BUCKET_COUNT];
        let mut beyond = 0.0;
        for (bucket, slot) in weights.iter_mut().enumerate() {
            let observed = self.overall.weights[bucket] / self.overall.newest_weight;
            *slot = self.prior.share(bucket, PRIOR_WEIGHT) + observed;
            beyond += *slot;
        }
        let mut areas = [0.0; BUCKET_COUNT];
        let mut total = 0.0;
        for (bucket, slot) in areas.iter_mut().enumerate() {
            let width = bucket_start(bucket + 1) - bucket_start(bucket);
            *slot = (beyond - weights[bucket] / 2.0).max(0.0) * width;
            beyond -= weights[bucket];
            total += *slot;
        }
        let mut residuals = Vec::with_capacity(quantiles.len());
        for quantile in quantiles {
            let mut below = 0.0;
            let mut bucket = 0;
            while bucket + 1 < BUCKET_COUNT && below + areas[bucket] < quantile * total {
                below += areas[bucket];
                bucket += 1;
            }
            residuals.push(bucket_start(bucket + 1) as u32);
        }
        residuals
    }
}

/// Returns the quantile `q` of the lengths above `reached`, minus `reached`.
fn quantile_beyond(weight_of: impl Fn(usize) -> f64, reached: u32, q: f64) -> u32 {
    let reached = f64::from(reached.max(1));
    let first = bucket_of(reached as u32);
    let inside =
        (bucket_start(first + 1) - reached) / (bucket_start(first + 1) - bucket_start(first));
    let mut weights = [0.0; BUCKET_COUNT];
    let mut total = 0.0;
    for (bucket, slot) in weights.iter_mut().enumerate().skip(first) {
        let part = if bucket == first { inside.clamp(0.0, 1.0) } else { 1.0 };
        *slot = weight_of(bucket) * part;
        total += *slot;
    }
    if total < 1e-3 {
        // No observation reached this length. A heavy tail is assumed, so the expected remainder
        // grows with the length.
        return (reached * q) as u32 + 1;
    }
    let mut below = 0.0;
    for (bucket, weight) in weights.iter().enumerate().skip(first) {
        if *weight <= 0.0 {
            continue;
        }
        if below + weight >= q * total {
            let start = if bucket == first { reached } else { bucket_start(bucket) };
            let end = bucket_start(bucket + 1);
            let position = start + (end - start) * (q * total - below) / weight;
            return (position - reached).max(1.0) as u32;
        }
        below += weight;
    }
    1
}
