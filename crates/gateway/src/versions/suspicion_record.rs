//! Evidence against the new version of a service, as written to the store.

/// Highest evidence against the new version since the version move began, in coarse steps, so that
/// few changes have to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct SuspicionRecord {
    /// Cumulative log-likelihood ratio of the new version's results.
    pub evidence: u32,
    /// Bad results beyond the usual ones.
    pub excess: u32,
}
