//! Value that readers see with a delay.

use std::collections::VecDeque;

/// History of a value, from which a reader gets the value as it was some time ago.
pub(crate) struct LaggedValue<T> {
    history: VecDeque<(u64, T)>,
}

impl<T: Clone> LaggedValue<T> {
    /// Starts the history with `value`.
    pub(crate) fn new(now_ms: u64, value: T) -> LaggedValue<T> {
        LaggedValue { history: VecDeque::from([(now_ms, value)]) }
    }

    /// Records the value at `now_ms` and drops the values that a reader with `lag_ms` can't get any
    /// more.
    pub(crate) fn record(&mut self, now_ms: u64, value: T, lag_ms: u64) {
        self.history.push_back((now_ms, value));
        while self.history.len() > 1 && self.history[1].0 + lag_ms <= now_ms {
            self.history.pop_front();
        }
    }

    /// Returns the newest value that is at least `lag_ms` old, or the oldest one if there is none.
    pub(crate) fn read(&self, now_ms: u64, lag_ms: u64) -> T {
        let mut published = &self.history[0].1;
        for (recorded_ms, value) in &self.history {
            if recorded_ms + lag_ms > now_ms {
                break;
            }
            published = value;
        }
        published.clone()
    }
}
