//! Desired state of the engines of one zone.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dragonflycart_core::{MoveId, OperatingPlan, OrderFence, PlanRevision, WallTime, ZoneName};

use crate::{MoveState, order_action::ModelVersion};

/// Time before the start of a move at which its new version is loaded.
pub const LOAD_LEAD: Duration = Duration::from_secs(900);

/// Number of low bits of the fencing token's sequence that count orders. The bits above hold the
/// progress of the moves.
pub(crate) const PROGRESS_SHIFT: u32 = 32;

/// Desired state of every engine in one zone, computed from the plan and the states of its moves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderTarget {
    /// Plan revision.
    pub revision: PlanRevision,
    /// Progress of the moves of the plan: a number that only grows within a revision, because the
    /// states of moves do.
    pub progress: u64,
    /// Versions that must be loaded.
    pub wanted: BTreeSet<ModelVersion>,
}

impl OrderTarget {
    /// Computes the desired state. `moves` holds the state of each move and whether the version
    /// without traffic may be unloaded: the watch time of a move that is done has ended, or the
    /// move was rolled back.
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
        let (mut progress, mut needed, mut unneeded) = (0, BTreeSet::new(), BTreeSet::new());
        for (id, planned) in &plan.moves {
            let (state, may_unload) = moves.get(id).copied().unwrap_or_default();
            progress += 2 * u64::from(state.number()) + u64::from(may_unload);
            let from = (planned.model.clone(), planned.from.clone());
            let to = (planned.model.clone(), planned.to.clone());
            if !wanted.contains(&from) && !wanted.contains(&to) {
                continue;
            }
            let sets = [&mut needed, &mut unneeded];
            sets[usize::from(state == MoveState::Done && may_unload)].insert(from);
            match state {
                MoveState::RolledBack => _ = unneeded.insert(to),
                MoveState::Done => _ = needed.insert(to),
                MoveState::Running if now.after(LOAD_LEAD) >= planned.start => {
                    needed.insert(to);
                }
                MoveState::Running => {}
            }
        }
        // A later move may need a version that an earlier one no longer needs.
        wanted.retain(|version| !unneeded.contains(version));
        wanted.extend(needed);
        OrderTarget { revision, progress, wanted }
    }

    /// Returns the lowest fencing token of an order for this target. An issuer that knows of less
    /// progress has lower tokens, however many orders it sends.
    pub fn first_fence(&self) -> OrderFence {
        OrderFence { revision: self.revision, sequence: self.progress << PROGRESS_SHIFT }
    }
}
