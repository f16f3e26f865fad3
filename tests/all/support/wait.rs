//! Waits on conditions.

use std::{future::Future, time::Duration};

use tokio::time::Instant;

/// Longest wait for a condition without a bound of its own. Generous, because CI machines are
/// busy; bounds that the design states are checked separately.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` yields a value and returns it.
///
/// # Panics
///
/// Panics with `what` if the value does not come in time.
pub(crate) async fn wait_for<T, F>(what: &str, mut condition: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
