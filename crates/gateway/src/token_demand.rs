//! What a request needs of a backend server.

/// Engine memory that a generation needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TokenDemand {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Expected output tokens.
    pub output_tokens: u64,
}

/// Factor by which the caller's estimate is raised: it is right at the median only.
const HINT_FACTOR: f64 = 1.2;
/// Part of what a generation made that it is expected to make at least.
const MIN_REMAINING_FRACTION: f64 = 0.2;
/// Part of the expected output whose memory is reserved.
const RESERVED_FRACTION: f64 = 0.6;
/// Part of the largest output that is expected where the caller gives no estimate.
const UNHINTED_FRACTION: f64 = 0.5;

impl TokenDemand {
    /// Builds the demand from a request's token counts and its caller's estimate.
    pub fn estimate(prompt_tokens: u64, output_limit: u64, hint: Option<u64>) -> TokenDemand {
        let expected = match hint {
            Some(hint) => (hint as f64 * HINT_FACTOR) as u64,
            None => (output_limit as f64 * UNHINTED_FRACTION) as u64,
        };
        TokenDemand { prompt_tokens, output_tokens: expected.min(output_limit).max(1) }
    }

    /// Returns the expected output without the margin for memory.
    pub fn expected_tokens(self) -> u64 {
        (self.output_tokens as f64 / HINT_FACTOR) as u64
    }

    /// Returns the memory that is reserved: that of the prompt and a part of the output, since
    /// generations on one engine are of different ages.
    pub fn reserved_tokens(self) -> u64 {
        self.reserved_after(0)
    }

    /// Returns the memory that is reserved for a generation that has made `made` output tokens. One
    /// that outlives its estimate is likely to go on for as long as a part of what it made.
    pub fn reserved_after(self, made: u64) -> u64 {
        let expected = self.output_tokens.saturating_sub(made) as f64 * RESERVED_FRACTION;
        let least = made as f64 * MIN_REMAINING_FRACTION;
        self.prompt_tokens + made + expected.max(least) as u64
    }
}
