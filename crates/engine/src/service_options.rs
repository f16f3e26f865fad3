//! Options of the client of a plain service.

use std::time::Duration;

/// Options of the client of a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceOptions {
    /// Timeout for the whole response, including the time to connect. A call whose caller has a
    /// later deadline has until then.
    pub response_timeout: Duration,
    /// Whether the service can look up executed calls by idempotency key.
    pub supports_lookup: bool,
}

impl Default for ServiceOptions {
    fn default() -> ServiceOptions {
        ServiceOptions { response_timeout: Duration::from_secs(10), supports_lookup: false }
    }
}
