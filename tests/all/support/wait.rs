//! Polls a condition until it holds.

use std::{future::Future, time::Duration};

use tokio::time::Instant;

/// Time limit of `wait_for`. It is generous because CI machines are busy; tests check the bounds
/// that the design states by themselves.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of the condition.
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
