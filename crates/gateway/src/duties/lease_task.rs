//! Makes the calls to the store that the lease asks for.

use std::{sync::Arc, time::Duration};

use dragonflycart_duties::{LeaseStep, hears_enough};
use tokio::time::Instant;
use tracing::info;

use super::{
    duty_clock::lease_time, duty_decisions::DutyDecisions, duty_exchange::DutyExchange,
    vm_duties::VmDuties,
};
use crate::GatewayContext;

/// Interval at which the lease is asked for its next step.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of calls to the store, as a share of the lease time. A slow answer to a renewal still
/// leaves time to act.
const CALL_SHARE: f64 = 0.6;

/// Drives the lease for the lifetime of the process.
pub(crate) async fn run(context: Arc<GatewayContext>, duties: Arc<VmDuties>, news: DutyExchange) {
    let limit = duties.cloud.lease.mul_f64(CALL_SHARE);
    let started = Instant::now();
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        let is_willing = !context.is_stopping() && hears_others(&context, started.elapsed());
        let step = next_step(&context, &duties, is_willing);
        match step {
            LeaseStep::Wait => {}
            LeaseStep::Read { from } => {
                context.metrics.count_duty_call("lease_read");
                let result = duties.platform.read_tail(from, limit).await;
                let now = lease_time(&context.clock);
                let mut decisions = duties.decisions();
                match result {
                    Ok(tail) => {
                        let change = decisions.lease.note_read(tail, now);
                        decisions.note_change(change, now);
                    }
                    Err(error) => {
                        decisions.lease.note_read_failure(now);
                        info!(%error, "duties: lease not read");
                    }
                }
            }
            LeaseStep::Append { at, record } => {
                context.metrics.count_duty_call("lease_append");
                let result = duties.platform.append(&record, at, limit).await;
                let now = lease_time(&context.clock);
                let is_new = {
                    let mut decisions = duties.decisions();
                    let change = decisions.lease.note_append(result, now);
                    let is_new = change.is_some();
                    decisions.note_change(change, now);
                    is_new
                };
                if !matches!(result, dragonflycart_duties::AppendResult::Appended { .. }) {
                    info!(number = record.number, at, ?result, "duties: lease not written");
                }
                if is_new {
                    news.announce().await;
                }
            }
        }
    }
}

fn next_step(context: &GatewayContext, duties: &VmDuties, is_willing: bool) -> LeaseStep {
    let now = lease_time(&context.clock);
    let mut decisions = duties.decisions();
    let decisions: &mut DutyDecisions = &mut decisions;
    if !is_willing {
        let change = decisions.lease.resign(now);
        decisions.note_change(change, now);
    }
    if decisions.lease.permit(now).is_none()
        && let Some(held) = &mut decisions.held
    {
        held.windows.note_lapse(now.boot);
    }
    let unknown = decisions.unknown_state(now);
    let unix_ms = decisions.clock.unix_ms(now.boot);
    // Without the time, a new holder does not know which windows are past.
    let is_willing = is_willing && unix_ms.is_some();
    let write = match (&mut decisions.held, decisions.lease.state()) {
        (Some(held), Some(state)) => Some(held.next_write(state, unix_ms, now.boot)),
        _ => None,
    };
    decisions.lease.next_step(now, is_willing, write, &unknown)
}

/// Returns whether this VM hears enough of the others to act for them.
fn hears_others(context: &GatewayContext, uptime: Duration) -> bool {
    let now = context.clock.now();
    let peers = context.peers();
    hears_enough(peers.running_count(now), peers.possible_count(uptime, now))
}
