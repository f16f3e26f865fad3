//! Retries that the deployment allows.

/// Retries that the deployment allows one VM in each window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries per request.
    pub ratio: f64,
    /// Retries in addition to the ratio, as this VM's share of what all VMs may send.
    pub allowance: f64,
}
