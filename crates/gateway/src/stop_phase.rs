//! Phases of a planned stop.

use strum::{Display, IntoStaticStr};
use tokio::sync::watch;

/// Phase of the process's graceful shutdown, called planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StopPhase {
    /// No stop has begun; requests are served.
    Serving,
    /// The readiness probe fails, so that the load balancer sends no new connections; requests are
    /// still served.
    Leaving,
    /// New requests are refused, and connections close after their open request.
    Ending,
}

impl StopPhase {
    /// Waits until the planned stop has reached this phase.
    pub async fn reached(self, stop: &mut watch::Receiver<StopPhase>) {
        if stop.wait_for(|phase| *phase >= self).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
