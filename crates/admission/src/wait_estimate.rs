//! Estimate of how long a request waits for an engine.

use std::time::Duration;

/// Multiple of the latency target after which callers abandon a stream, also before its first event.
const ABANDON_TARGETS: u32 = 4;
/// Minimum of that time.
const MIN_CALLER_WAIT: Duration = Duration::from_secs(2);
/// Number of recent samples of freed memory below which an estimate is doubtful. With fewer, a
/// single long generation changes the rate by more than a third.
const LEAST_SAMPLES: f64 = 3.0;
/// Number of recent waits below which the estimate is not corrected.
const LEAST_WAITS: f64 = 5.0;
/// Maximum factor of the correction, in both directions. If estimates are wrong by more, they are
/// doubtful.
const CORRECTION_LIMIT: f64 = 3.0;
/// Factor by which an estimate must exceed the possible wait for a refusal. A request that would
/// just have been served in time is lost; one that waits in vain costs little.
const REFUSAL_MARGIN: f64 = 1.25;

/// Returns how long a request may wait for an engine: as long as its caller does, and within its time
/// limit, less the expected time from the engine to the first event.
pub fn maximum_wait(
    latency_target: Duration,
    time_limit: Duration,
    expected_first_event: Duration,
) -> Duration {
    let caller_wait =
        latency_target.saturating_mul(ABANDON_TARGETS).max(MIN_CALLER_WAIT).min(time_limit);
    // A few slow engines must not make the gateway refuse everything.
    caller_wait - expected_first_event.min(caller_wait / 2)
}

/// Inputs of an estimate.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EstimateInputs {
    /// Tokens of the requests that go before this one.
    pub ahead_tokens: u64,
    /// Tokens of the requests that go before it, too, when it is late.
    pub late_tokens: u64,
    /// Tokens of the requests that arrived after this one. They would go before it if it were
    /// refused and came back.
    pub newer_tokens: u64,
    /// Time until it is late.
    pub late_in: Duration,
    /// Tokens that the request itself needs.
    pub own_tokens: u64,
    /// Tokens of engine memory that the request and those before it could take at once.
    pub room_tokens: u64,
    /// Tokens of engine memory that become free per second.
    pub freed_per_s: f64,
    /// Number of recent samples on which the rate is based.
    pub freed_samples: f64,
    /// Tokens of refused requests that were told to come back later.
    pub promised_tokens: u64,
    /// Average ratio of real waits to estimated ones, and the number of recent waits.
    pub wait_ratio: (f64, f64),
}

/// Estimate of how long a request waits for an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitEstimate {
    /// Expected wait from now on.
    pub wait: Duration,
    /// Time after which the request could begin if it came back. Those that were refused before come
    /// back earlier.
    pub retry_after: Duration,
    /// The wait without the correction by earlier waits.
    pub uncorrected: Duration,
    /// Whether too little is known to refuse a request because of the estimate.
    pub is_doubtful: bool,
}

impl WaitEstimate {
    /// Estimates the wait.
    pub fn from_inputs(inputs: EstimateInputs) -> WaitEstimate {
        let timely = WaitEstimate::of_tokens(inputs.ahead_tokens, inputs);
        if timely.wait <= inputs.late_in {
            return timely;
        }
        WaitEstimate::of_tokens(inputs.ahead_tokens.saturating_add(inputs.late_tokens), inputs)
    }

    fn of_tokens(ahead_tokens: u64, inputs: EstimateInputs) -> WaitEstimate {
        let needed =
            ahead_tokens.saturating_add(inputs.own_tokens).saturating_sub(inputs.room_tokens);
        if needed == 0 {
            return WaitEstimate {
                wait: Duration::ZERO,
                retry_after: Duration::ZERO,
                uncorrected: Duration::ZERO,
                is_doubtful: false,
            };
        }
        let (ratio, waits) = inputs.wait_ratio;
        let is_corrected = waits >= LEAST_WAITS;
        let is_wrong =
            is_corrected && !(1.0 / CORRECTION_LIMIT..=CORRECTION_LIMIT).contains(&ratio);
        let factor =
            if is_corrected { ratio.clamp(1.0 / CORRECTION_LIMIT, CORRECTION_LIMIT) } else { 1.0 };
        let uncorrected_s = needed as f64 / inputs.freed_per_s;
        let later_tokens = inputs.promised_tokens as f64 + inputs.newer_tokens as f64;
        let later_s = later_tokens / inputs.freed_per_s;
        let times = (
            Duration::try_from_secs_f64(uncorrected_s),
            Duration::try_from_secs_f64(factor * uncorrected_s),
            Duration::try_from_secs_f64(factor * (uncorrected_s + later_s)),
        );
        // Without freed memory, the figures are no numbers or too large.
        let (Ok(uncorrected), Ok(wait), Ok(retry_after)) = times else {
            return WaitEstimate {
                wait: Duration::MAX,
                retry_after: Duration::MAX,
                uncorrected: Duration::MAX,
                is_doubtful: true,
            };
        };
        let has_samples = inputs.freed_samples >= LEAST_SAMPLES;
        let is_doubtful = is_wrong || !has_samples;
        WaitEstimate { wait, retry_after, uncorrected, is_doubtful }
    }

    /// Returns whether a request that can wait for `time` is to be refused, because it would wait in
    /// vain.
    pub fn exceeds(&self, time: Duration) -> bool {
        !self.is_doubtful && self.wait.as_secs_f64() > time.as_secs_f64() * REFUSAL_MARGIN
    }
}
