//! What to do with an event of a generation.

/// Decision about a token or the end of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenDecision {
    /// The event is next in order; pass it to the caller.
    Deliver,
    /// The token was delivered before; drop it.
    Duplicate,
    /// Tokens are missing before it; resume at the expected index.
    Gap {
        /// Index of the next token to deliver.
        expected: u64,
    },
    /// The event belongs to another generation; close the connection.
    OtherGeneration,
    /// The event belongs to another epoch; drop it.
    OtherEpoch,
    /// The generation ended with fewer tokens than were delivered, or a token follows the end;
    /// close the connection.
    Contradiction,
}
