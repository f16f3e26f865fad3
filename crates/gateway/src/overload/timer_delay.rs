//! Delay of the process's own timers.

use std::time::Duration;

/// Delay from which the VM counts as overloaded: the shortest time limit of a plain call, 1.2 s,
/// over six wake-ups (head, body, offer, connection to the server, head and body of its response).
/// With this delay, the wake-ups alone take the whole time limit.
const BEGIN_DELAY: Duration = Duration::from_millis(200);
/// Delay below which it no longer does: a third of the shortest limit of a pause, 180 ms, since an
/// event of a stream is delayed by up to two wake-ups and the server needs the rest.
const END_DELAY: Duration = Duration::from_millis(60);
/// Time constant of the moving average. At 500 ms of delay, the average then exceeds the limit
/// within 1.2 s, the shortest time limit of a plain call.
const AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Maximum delay that one sample counts. A process that was frozen once has one large sample, which
/// says nothing of its load: together with `MAX_SAMPLE_TIME`, it adds 155 ms, so that an average
/// below `END_DELAY` stays below `BEGIN_DELAY`.
const MAX_SAMPLE: Duration = Duration::from_millis(600);
/// Maximum time that one sample stands for.
const MAX_SAMPLE_TIME: Duration = Duration::from_millis(300);

/// Moving average of the delay of the process's timers, and whether it means overload.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TimerDelay {
    average_s: f64,
    is_overloaded: bool,
}

impl TimerDelay {
    /// Records that a timer of `interval` ended `delay` too late.
    pub fn note(&mut self, interval: Duration, delay: Duration) {
        let sample_time = (interval + delay).min(MAX_SAMPLE_TIME).as_secs_f64();
        let weight = 1.0 - (-sample_time / AVERAGING_TIME.as_secs_f64()).exp();
        let sample_s = delay.min(MAX_SAMPLE).as_secs_f64();
        self.average_s += weight * (sample_s - self.average_s);
        let threshold = if self.is_overloaded { END_DELAY } else { BEGIN_DELAY };
        self.is_overloaded = self.average_s >= threshold.as_secs_f64();
    }

    /// Returns the average delay.
    pub fn average(&self) -> Duration {
        Duration::from_secs_f64(self.average_s.max(0.0))
    }

    /// Returns whether the timers are so late that new requests would time out.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Returns the time until the VM is no longer overloaded, if its timers are on time from now on.
    pub fn recovery_time(&self) -> Duration {
        let ratio = (self.average_s / END_DELAY.as_secs_f64()).max(1.0);
        AVERAGING_TIME.mul_f64(ratio.ln())
    }
}
