//! What is expected of a server at one moment.

/// Speed below which a server counts as avoided.
const AVOIDED_SPEED: f64 = 0.7;

/// What is expected of a server at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerOutlook {
    /// Learned speed relative to the median of the service.
    pub speed: f64,
    /// How long work takes at this moment, as a multiple of the server's usual time, by its last
    /// load header; 1.0 if that is too old.
    pub pace: f64,
    /// Number of requests that the server takes well, or `None` if it lately refused none.
    pub takes_well: Option<u32>,
}

impl Default for ServerOutlook {
    fn default() -> ServerOutlook {
        ServerOutlook { speed: 1.0, pace: 1.0, takes_well: None }
    }
}

impl ServerOutlook {
    /// Returns whether the server is so slow that it is avoided.
    pub fn is_avoided(&self) -> bool {
        self.speed < AVOIDED_SPEED
    }

    /// Returns how long work takes now, as a multiple of the median of the service.
    pub fn slowness(&self) -> f64 {
        self.pace / self.speed
    }
}
