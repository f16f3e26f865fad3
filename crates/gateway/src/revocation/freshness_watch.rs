//! Logs when the plan becomes too old to accept API keys, and exports its age.

use std::{sync::Arc, time::Duration};

use tracing::{info, warn};

use crate::{BootTime, GatewayContext};

/// Interval at which the age is checked.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Watches the age of the plan for the lifetime of the process.
pub(crate) async fn run(context: Arc<GatewayContext>) {
    if !context.freshness().is_bounded() {
        return;
    }
    let mut are_accepted = false;
    loop {
        let now = BootTime::now();
        let (age, allows_keys) = {
            let freshness = context.freshness();
            (freshness.age(now), freshness.allows_keys(now))
        };
        let age_ms = age.map(|age| age.as_millis() as u64);
        context.metrics.plan_age_ms.set(age_ms.map_or(-1, |age| age as i64));
        if allows_keys != are_accepted {
            are_accepted = allows_keys;
            if allows_keys {
                info!(age_ms, "keys: accepted, the plan is confirmed");
            } else {
                warn!(age_ms, "keys: rejected, the plan may be outdated");
            }
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}
