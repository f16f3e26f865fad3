//! Places waiting calls on servers with free slots.

use std::{collections::BTreeSet, time::Duration};

use dragonflycart_admission::AdmissionClass;
use dragonflycart_core::MonoTime;

use super::{CallQueue, ServedCalls, SlotNeed, SlotSurvey, WaitingCall};
use crate::{FleetView, Placement, PlacementQuery, ServerKey, TokenDemand};

/// Serves the calls that wait for a service, and reserves a server for each call that is placed.
pub fn serve(
    queue: &mut CallQueue,
    view: &mut FleetView,
    service: &str,
    now: MonoTime,
) -> ServedCalls<Placement> {
    let mut survey = SlotSurvey::new(view, service, &BTreeSet::new(), now);
    queue.serve(now, &mut |call, need| place(view, &mut survey, service, (call, need), now))
}

fn place(
    view: &mut FleetView,
    survey: &mut SlotSurvey,
    service: &str,
    (call, need): (&WaitingCall, SlotNeed),
    now: MonoTime,
) -> Option<Placement> {
    let mut excluded = call.excluded.clone();
    if need == SlotNeed::Free {
        excluded.extend(&survey.full);
        if call.needs_proof {
            excluded.extend(&survey.unproven);
        }
    }
    let query = call_query(service, call.sample_seed, &excluded);
    let placement = view.place(&query, now).ok()?;
    let has_free_slot = view.server(placement.server).is_some_and(|state| state.has_free_slot(now));
    if !has_free_slot {
        survey.full.insert(placement.server);
    }
    Some(placement)
}

/// Returns the query of a call that waits for a slot.
pub(crate) fn call_query<'a>(
    service: &'a str,
    sample_seed: u64,
    excluded: &'a BTreeSet<ServerKey>,
) -> PlacementQuery<'a> {
    PlacementQuery {
        service,
        demand: TokenDemand::default(),
        shared_prefix: None,
        preferred_zone: None,
        moved_tokens: 0,
        spread_seed: None,
        sample_seed,
        admission: AdmissionClass::Unmanaged,
        latency_target: Duration::ZERO,
        pause_target: None,
        excluded,
    }
}
