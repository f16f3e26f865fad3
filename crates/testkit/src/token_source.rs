//! Deterministic output tokens.

/// Parameters of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Generates the tokens of one generation. Token `i` depends only on version, seed, prompt and `i`,
/// so that a test can compute it and detect tokens of another generation or version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenSource {
    seed_hash: u64,
}

impl TokenSource {
    /// Builds the source for the generations with this version, seed and prompt.
    pub fn new(version: &str, seed: u64, prompt: &str) -> TokenSource {
        let mut seed_hash = extend_hash(FNV_OFFSET_BASIS, version.as_bytes());
        seed_hash = extend_hash(seed_hash, &seed.to_be_bytes());
        TokenSource { seed_hash: extend_hash(seed_hash, prompt.as_bytes()) }
    }

    /// Returns the id of token `index`.
    pub fn token_id(&self, index: u64) -> u32 {
        let hash = extend_hash(self.seed_hash, &index.to_be_bytes());
        (hash ^ (hash >> 32)) as u32
    }

    /// Returns the text of token `index`. It contains the index, so that gaps, duplicates and mixed
    /// outputs can be seen in the text.
    pub fn token_text(index: u64) -> String {
        format!("w{index} ")
    }

    /// Returns the text of the first `count` tokens, from token 0 on.
    pub fn expected_text(count: u64) -> String {
        (0..count).map(TokenSource::token_text).collect()
    }

    /// Returns the output length in tokens if `max_tokens` doesn't end the output earlier. It is
    /// within `shortest..=longest` and deterministic like the tokens.
    pub(crate) fn natural_length(&self, shortest: u32, longest: u32) -> u64 {
        let span = u64::from(longest.saturating_sub(shortest)) + 1;
        u64::from(shortest) + extend_hash(self.seed_hash, b"length") % span
    }
}

fn extend_hash(mut hash: u64, bytes: &[u8]) -> u64 {
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash
}
