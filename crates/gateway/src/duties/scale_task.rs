//! Orders numbers of servers.

use std::{sync::Arc, time::Duration};

use dragonflycart_duties::{ScaleControl, ScaleOrder, ZoneDemand};
use tracing::info;

use super::{duty_clock::lease_time, usage_task::call_limit, vm_duties::VmDuties};
use crate::{CloudError, DutyCaller, GatewayContext};

/// Interval of decisions. Peers' loads are reported at about this interval.
const DECIDE_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after the first failure of a call. It doubles with each further one.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Order with what it was derived from.
struct PlannedOrder {
    number: u64,
    order: ScaleOrder,
    demand: ZoneDemand,
}

/// Orders servers while this VM holds the lease, for the lifetime of the process.
pub(crate) async fn run(context: Arc<GatewayContext>, duties: Arc<VmDuties>) {
    let mut failures = 0;
    loop {
        tokio::time::sleep(DECIDE_INTERVAL).await;
        for planned in plan_orders(&context, &duties) {
            tokio::time::sleep(duties.call_spacing()).await;
            let Err(error) = send(&context, &duties, planned).await else {
                failures = 0;
                continue;
            };
            if error == CloudError::LeaseEnded {
                break;
            }
            tokio::time::sleep(FAILURE_PAUSE * 2_u32.pow(failures)).await;
            failures = (failures + 1).min(4);
            if error.concerns_content() {
                continue;
            }
            // Later orders are decided anew.
            break;
        }
    }
}

fn plan_orders(context: &GatewayContext, duties: &VmDuties) -> Vec<PlannedOrder> {
    let now = lease_time(&context.clock);
    if duties.permit(&context.clock).is_none() {
        return Vec::new();
    }
    let services = context.view().zone_demands(now.steady);
    let mut decisions = duties.decisions();
    let Some(permit) = decisions.lease.permit(now) else { return Vec::new() };
    let Some(state) = decisions.lease.state().cloned() else { return Vec::new() };
    let Some(held) = &mut decisions.held else { return Vec::new() };
    let scale = held.scale.get_or_insert_with(|| ScaleControl::new(&state.orders));
    let mut planned = Vec::new();
    for entry in services {
        if entry.is_closed || !held.windows.hears_zone(&entry.zone, now.boot) {
            scale.note_closed(&entry.service, &entry.zone);
            continue;
        }
        let waiting = held.windows.waiting(&entry.service, &entry.zone, now.boot);
        let demand = ZoneDemand { waiting, ..entry.demand };
        let desired = scale.decide(&entry.service, &entry.zone, entry.bounds, demand, now.steady);
        let Some(desired) = desired else { continue };
        let order = ScaleOrder { service: entry.service, zone: entry.zone, desired };
        planned.push(PlannedOrder { number: permit.number, order, demand });
    }
    planned
}

/// Sends an order.
async fn send(
    context: &GatewayContext,
    duties: &VmDuties,
    planned: PlannedOrder,
) -> Result<(), CloudError> {
    let PlannedOrder { number, order, demand } = planned;
    let caller = DutyCaller { holder: context.settings.name.clone(), number };
    let before_send = || call_limit(context, duties, number);
    let result = duties.platform.send_scale(&caller, &order, &before_send).await;
    let (service, zone, desired) = (&order.service, &order.zone, order.desired);
    let ZoneDemand { servers, used, waiting, .. } = demand;
    match &result {
        Ok(()) => {
            context.metrics.count_duty_call("scale_sent");
            info!(
                number,
                service, zone, desired, servers, used, waiting, "duties: servers ordered"
            );
            if let Some(held) = &mut duties.decisions().held {
                held.note_ordered(order);
            }
        }
        Err(error) => {
            context.metrics.count_duty_call("scale_failed");
            info!(number, service, zone, desired, %error, "duties: servers not ordered");
            if let Some(held) = &mut duties.decisions().held
                && error.may_have_effect()
            {
                held.note_unanswered(&order);
            }
        }
    }
    result
}
