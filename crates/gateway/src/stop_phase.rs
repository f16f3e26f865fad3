//! Progress of a planned stop.

use strum::{Display, IntoStaticStr};
use tokio::sync::watch;

/// Phase of the process with respect to a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StopPhase {
    /// Requests are served.
    Serving,
    /// The balancer is told to send no new connections; requests are still served.
    Leaving,
    /// New requests are refused, and connections end with their open request.
    Ending,
}

impl StopPhase {
    /// Waits until the planned stop has come to this phase.
    pub async fn reached(self, stop: &mut watch::Receiver<StopPhase>) {
        if stop.wait_for(|phase| *phase >= self).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
