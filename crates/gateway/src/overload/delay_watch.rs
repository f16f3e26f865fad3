//! Measures the delay of the process's timers.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::waiting_request::apply;
use crate::GatewayContext;

/// Interval of the measured timer.
const TIMER_INTERVAL: Duration = Duration::from_millis(100);

/// Measures the delay for the lifetime of the process.
pub(crate) async fn run(context: Arc<GatewayContext>) {
    loop {
        let due = Instant::now() + TIMER_INTERVAL;
        tokio::time::sleep_until(due).await;
        let delay = due.elapsed();
        apply(&context, |load| load.note_delay(TIMER_INTERVAL, delay));
        let average = context.vm_load().delay().average();
        context.metrics.timer_delay_ms.set(average.as_millis() as i64);
    }
}
