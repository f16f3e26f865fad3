//! Latches: guards against a late message that undoes a rollback or returns a zone to service.

use dragonflycart_core::{MoveId, OperatingPlan, PlanRevision, ZoneName};
use dragonflycart_state::{GossipState, MoveState, PlanState};
use dragonflycart_wire::{GossipUpdate, MoveStateUpdate, PlanSnapshot, ZoneOverride};
use proptest::prelude::*;

use crate::support::{hour, run_config};

fn any_gossip() -> impl Strategy<Value = GossipUpdate> {
    let moves = ("[ab]", 0..3_u32, "[xy]", 0..3_u64).prop_map(
        |(move_id, state, reason, set_at_revision)| MoveStateUpdate {
            move_id,
            state,
            reason,
            set_at_revision,
        },
    );
    let zones = ("[ab]", 0..3_u64, "[xy]", 0..3_u64).prop_map(
        |(zone, set_at_revision, author, set_at_ms)| ZoneOverride {
            zone,
            set_at_revision,
            author,
            set_at_ms,
        },
    );
    (prop::collection::vec(moves, 0..3), prop::collection::vec(zones, 0..3))
        .prop_map(|(moves, zones)| GossipUpdate { moves, zones })
}

fn plan(revision: u64, hours: u64) -> PlanState {
    PlanState::from_snapshot(&PlanSnapshot {
        revision,
        submitted_at_ms: hour(hours).as_unix_millis(),
        ..PlanSnapshot::default()
    })
}

fn zone() -> ZoneName {
    ZoneName::new("muscat-1").expect("the name is valid")
}

proptest! {
    #![proptest_config(run_config(1_000))]

    /// Guards against stores that differ because messages arrived in another order, twice or by
    /// way of another VM.
    #[test]
    fn merging_in_any_order_gives_the_same_state(
        sets in prop::collection::vec(any_gossip(), 1..6),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let mut direct = GossipState::default();
        let mut relayed = GossipState::default();
        let mut relay = GossipState::default();
        for set in &sets {
            direct.merge(set);
        }
        for index in &order {
            relay.merge(index.get(&sets));
            relayed.merge(&relay.to_wire());
        }
        for set in sets.iter().rev() {
            relayed.merge(set);
        }

        prop_assert_eq!(&relayed, &direct);
        prop_assert!(!relayed.merge(&direct.to_wire()), "nothing changes any more");
    }

    /// Guards against a rollback that a late message undoes.
    #[test]
    fn move_state_never_decreases(sets in prop::collection::vec(any_gossip(), 1..8)) {
        let mut store = GossipState::default();
        let mut before = MoveState::Running;
        for set in &sets {
            store.merge(set);
            let state = store.move_state(&MoveId("a".to_owned()));
            prop_assert!(state >= before);
            before = state;
        }
    }
}

/// Guards against a latch that has no effect because it was set through a VM that had not seen the
/// latest plan, and against one that no plan can end.
#[test]
fn zone_override_of_a_lagging_vm_holds_until_a_later_submission() {
    let mut store = GossipState::default();
    store.set_zone(&zone(), hour(5), PlanRevision(5), "operator");

    assert!(store.zone_is_out(&zone(), &plan(5, 4)));
    assert!(store.zone_is_out(&zone(), &plan(7, 4)), "revision 7 was submitted before the latch");
    assert!(!store.zone_is_out(&zone(), &plan(8, 6)));
    assert_eq!(store.zone_author(&zone()), Some("operator"));
}

/// Guards against memory that grows with each move, and against a rollback that is forgotten for a
/// move of a plan that has not arrived yet.
#[test]
fn ended_moves_are_bounded() {
    let mut store = GossipState::default();
    for number in 0..400 {
        let move_id = MoveId(format!("move-{number}"));
        store.set_move(&move_id, MoveState::RolledBack, PlanRevision(number), "slow");
    }

    store.prune_moves(&OperatingPlan::default(), PlanRevision(350));

    let kept = store.to_wire().moves.len();
    assert_eq!(kept, 256 + 49);
    assert_eq!(store.move_state(&MoveId("move-399".to_owned())), MoveState::RolledBack);
}
