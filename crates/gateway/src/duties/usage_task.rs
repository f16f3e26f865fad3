//! Sends the usage reports.

use std::{sync::Arc, time::Duration};

use tracing::info;

use super::{duty_clock::lease_time, vm_duties::VmDuties};
use crate::{CloudError, DutyCaller, GatewayContext};

/// Interval at which a report is looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after the first failure of a call. It doubles with each further one.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Maximum of that pause.
const FAILURE_PAUSE_MAX: Duration = Duration::from_secs(5);
/// Maximum time for which a call may take.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);

/// Sends usage reports while this VM holds the lease, for the lifetime of the process.
pub(crate) async fn run(context: Arc<GatewayContext>, duties: Arc<VmDuties>) {
    let mut failures = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL.max(duties.call_spacing())).await;
        let Some((number, report)) = next_report(&context, &duties) else { continue };
        let before_send = || call_limit(&context, &duties, number);
        let caller = DutyCaller { holder: context.settings.name.clone(), number };
        let result = duties.platform.send_usage(&caller, &report, &before_send).await;
        let requests: u64 = report.counts.iter().map(|count| count.count).sum();
        let (window, teams) = (report.window, report.counts.len());
        match result {
            Ok(()) => {
                failures = 0;
                context.metrics.count_duty_call("usage_sent");
                info!(number, window, teams, requests, "duties: usage reported");
                let mut decisions = duties.decisions();
                if let Some(held) = &mut decisions.held {
                    held.note_answered(window);
                }
            }
            Err(error) => {
                context.metrics.count_duty_call("usage_failed");
                info!(number, window, teams, requests, %error, "duties: usage not reported");
                if error == CloudError::LeaseEnded {
                    continue;
                }
                let pause = FAILURE_PAUSE * 2_u32.pow(failures);
                failures = (failures + 1).min(4);
                tokio::time::sleep(pause.min(FAILURE_PAUSE_MAX)).await;
            }
        }
    }
}

/// Returns the oldest report to send and the number of the holder, if this VM may act.
fn next_report(
    context: &GatewayContext,
    duties: &VmDuties,
) -> Option<(u64, dragonflycart_duties::ReportContent)> {
    let decisions = duties.decisions();
    let permit = decisions.lease.permit(lease_time(&context.clock))?;
    let report = decisions.held.as_ref()?.open_report(decisions.lease.state()?)?;
    Some((permit.number, report.clone()))
}

/// Returns the time in which a call in the name of holder `number` must end, or `None` if it must
/// not be sent.
pub(super) fn call_limit(
    context: &GatewayContext,
    duties: &VmDuties,
    number: u64,
) -> Option<Duration> {
    let permit = duties.permit(&context.clock)?;
    (permit.number == number).then(|| permit.remaining.min(CALL_LIMIT))
}
