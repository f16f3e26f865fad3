//! Rendezvous (highest random weight) hashing, which assigns work to members without exchanging
//! messages.

use sha2::{Digest, Sha256};

/// Score of one candidate; the candidate with the highest score wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RendezvousScore(u64);

impl RendezvousScore {
    /// Returns the score as a fraction from 0 to 1.
    pub fn as_fraction(self) -> f64 {
        self.0 as f64 / u64::MAX as f64
    }
}

/// Computes the score of `candidate` for `subject`. The result is the same on every VM and in
/// every version of the program, which the assignment of cold-start slots depends on.
pub fn rendezvous_score(subject: &[&[u8]], candidate: &[u8]) -> RendezvousScore {
    let mut hasher = Sha256::new();
    for part in subject {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.update(candidate);
    let digest = hasher.finalize();
    let mut leading = [0; 8];
    leading.copy_from_slice(&digest[..8]);
    RendezvousScore(u64::from_be_bytes(leading))
}
