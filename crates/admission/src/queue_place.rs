//! Place of a request in the wait queue.

/// Place of a request in the queue of its VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuePlace<'a> {
    /// Whether the request misses its latency target.
    pub is_late: bool,
    /// Rank; lower goes first.
    pub rank: u8,
    /// Team of the caller; empty if it has none.
    pub team: &'a str,
    /// Tokens of the requests that go before it whatever their teams.
    pub ahead_tokens: u64,
    /// Tokens of the earlier requests of the same lateness, rank and class, whose order depends on
    /// the teams.
    pub equal_tokens: u64,
    /// Tokens of the requests of the same rank and class or less urgent ones that can still be on
    /// time, if this request is late. They go before it only until they are late, too.
    pub passing_tokens: u64,
    /// Tokens of the later requests of the same lateness, rank and class.
    pub newer_tokens: u64,
    /// Tokens of the requests of other lateness, rank or class that go before it in addition when
    /// it is late.
    pub late_tokens: u64,
}
