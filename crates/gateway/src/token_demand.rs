//! Engine memory that a request needs.

/// Engine memory that a generation needs, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TokenDemand {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Expected output tokens.
    pub output_tokens: u64,
}

/// Factor by which the caller's estimate is increased, since the estimate is only the median.
const HINT_FACTOR: f64 = 1.2;
/// Minimum expected remaining output, as a fraction of the output produced so far.
const MIN_REMAINING_FRACTION: f64 = 0.2;
/// Fraction of the expected output whose memory is reserved.
const RESERVED_FRACTION: f64 = 0.6;
/// Expected output, as a fraction of the maximum, if the caller gives no estimate.
const UNHINTED_FRACTION: f64 = 0.5;
/// Maximum tokens of a prompt or an output that count. More than any engine holds, and so few that the
/// sum over all requests of a VM does not overflow.
const TOKENS_LIMIT: u64 = 1 << 40;

impl TokenDemand {
    /// Builds the demand from a request's token counts and its caller's estimate.
    pub fn estimate(prompt_tokens: u64, output_limit: u64, hint: Option<u64>) -> TokenDemand {
        let expected = match hint {
            Some(hint) => (hint as f64 * HINT_FACTOR) as u64,
            None => (output_limit as f64 * UNHINTED_FRACTION) as u64,
        };
        TokenDemand {
            prompt_tokens: prompt_tokens.min(TOKENS_LIMIT),
            output_tokens: expected.min(output_limit).clamp(1, TOKENS_LIMIT),
        }
    }

    /// Returns the expected output without the safety margin.
    pub fn expected_tokens(self) -> u64 {
        (self.output_tokens as f64 / HINT_FACTOR) as u64
    }

    /// Returns the memory to reserve, in tokens: the prompt and a fraction of the expected output,
    /// since the generations on an engine do not all reach their full length at the same time.
    pub fn reserved_tokens(self) -> u64 {
        self.reserved_after(0)
    }

    /// Returns the memory to reserve, in tokens, for a generation that has produced `made` output
    /// tokens. A generation that exceeds its estimate is likely to produce a further fraction of
    /// its output so far.
    pub fn reserved_after(self, made: u64) -> u64 {
        let expected = self.output_tokens.saturating_sub(made) as f64 * RESERVED_FRACTION;
        let least = made as f64 * MIN_REMAINING_FRACTION;
        self.prompt_tokens + made + expected.max(least) as u64
    }
}
