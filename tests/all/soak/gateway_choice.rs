//! Choice of the gateway that a request of a run is sent to.

/// How requests are spread over the gateways that run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GatewayChoice {
    /// By the request's number. Numbers of streams are multiples of eight, so while four gateways
    /// run, all streams are sent to the first one.
    ByNumber,
    /// Streams are sent to all gateways in turn, and the requests between two streams, too.
    Spread,
}

impl GatewayChoice {
    /// Returns which one of `count` gateways gets request `number`.
    pub(crate) fn index(self, number: u64, count: usize) -> usize {
        let position = match self {
            GatewayChoice::ByNumber => number,
            GatewayChoice::Spread => number + number / 8,
        };
        position as usize % count
    }
}
