//! Desired state of the engines of one zone.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dragonflycart_core::{
    MoveId, OperatingPlan, OrderFence, PlanRevision, VersionMove, WallTime, ZoneName,
};

use crate::{MoveState, order_action::OrderVersion};

/// Time before the start of a move at which its new version is loaded.
pub const LOAD_LEAD: Duration = Duration::from_secs(900);

/// Bits of the order sequence below the progress of the moves.
pub(crate) const PROGRESS_SHIFT: u32 = 32;

/// Desired state of every engine in one zone, computed from the plan and the states of its moves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderTarget {
    /// Plan revision.
    pub revision: PlanRevision,
    /// Progress of the moves of the plan. It only grows within a revision, as states do.
    pub progress: u64,
    /// Versions that must be loaded.
    pub wanted: BTreeSet<OrderVersion>,
}

impl OrderTarget {
    /// Computes the desired state. `moves` holds each move's state and whether it is settled: the
    /// watch of a move that is done has ended, or the move was rolled back.
    pub fn new(
        revision: PlanRevision,
        plan: &OperatingPlan,
        zone: &ZoneName,
        moves: &BTreeMap<MoveId, (MoveState, bool)>,
        now: WallTime,
    ) -> OrderTarget {
        let mut wanted = BTreeSet::new();
        for placement in plan.placements.iter().filter(|placement| placement.zone == *zone) {
            wanted.insert((placement.model.clone(), placement.version.clone()));
        }
        let mut progress = 0;
        for (id, planned) in &plan.moves {
            let (state, settled) = moves.get(id).copied().unwrap_or_default();
            progress += 2 * u64::from(state.number()) + u64::from(settled);
            let from = (planned.model.clone(), planned.from.clone());
            let to = (planned.model.clone(), planned.to.clone());
            if !wanted.contains(&from) && !wanted.contains(&to) {
                continue;
            }
            for (version, needed) in
                [(from, needs_old(state, settled)), (to, needs_new(planned, state, now))]
            {
                if needed {
                    wanted.insert(version);
                } else {
                    wanted.remove(&version);
                }
            }
        }
        OrderTarget { revision, progress, wanted }
    }

    /// Returns the lowest fencing token of an order for this target. An issuer that knows of fewer
    /// ended moves has lower tokens, whatever number of orders it sends.
    pub fn first_fence(&self) -> OrderFence {
        OrderFence { revision: self.revision, sequence: self.progress << PROGRESS_SHIFT }
    }
}

fn needs_old(state: MoveState, settled: bool) -> bool {
    state == MoveState::RolledBack || !settled
}

fn needs_new(planned: &VersionMove, state: MoveState, now: WallTime) -> bool {
    match state {
        MoveState::Running => now.after(LOAD_LEAD) >= planned.start,
        MoveState::Done => true,
        MoveState::RolledBack => false,
    }
}
