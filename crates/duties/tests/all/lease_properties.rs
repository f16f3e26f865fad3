//! Properties of the lease under any order of events.

use proptest::prelude::*;

use crate::lease_model::{LONGEST_PASS, LeaseModel, ModelEvent, VMS};

fn event() -> impl Strategy<Value = ModelEvent> {
    let index = 0..8_usize;
    prop_oneof![
        8 => (1..60_u64).prop_map(ModelEvent::Pass),
        6 => (60..500_u64).prop_map(ModelEvent::Pass),
        1 => (500..LONGEST_PASS.as_millis() as u64).prop_map(ModelEvent::Pass),
        8 => index.clone().prop_map(ModelEvent::Step),
        12 => index.clone().prop_map(ModelEvent::Call),
        2 => index.clone().prop_map(ModelEvent::Abandon),
        2 => index.clone().prop_map(ModelEvent::Decide),
        6 => index.clone().prop_map(ModelEvent::Execute),
        6 => index.clone().prop_map(ModelEvent::Answer),
        2 => index.clone().prop_map(ModelEvent::TimeOut),
        1 => index.clone().prop_map(ModelEvent::Freeze),
        1 => index.clone().prop_map(ModelEvent::Suspend),
        3 => index.clone().prop_map(ModelEvent::Thaw),
        1 => index.clone().prop_map(ModelEvent::Restart),
        3 => index.prop_map(ModelEvent::Announce),
        1 => Just(ModelEvent::Forget),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against two holders at a time, reused or falling numbers, alternating holders, early
    /// claims after a loss, and two contents of one usage report.
    #[test]
    fn rules_hold_in_any_order(events in prop::collection::vec(event(), 100..700)) {
        let mut model = LeaseModel::new();

        for event in events {
            model.apply(event);
        }
    }
}

/// Guards against a model in which nothing happens: the lease changes hands and is used.
#[test]
fn undisturbed_vms_hold_the_lease_in_turn() {
    let mut model = LeaseModel::new();

    for round in 0..3_000_usize {
        model.apply(ModelEvent::Pass(20));
        for vm in 0..VMS {
            model.apply(ModelEvent::Step(vm));
        }
        model.apply(ModelEvent::Execute(0));
        model.apply(ModelEvent::Answer(0));
        if round % 1_000 == 500 {
            (0..VMS - 1)
                .for_each(|vm| model.apply(ModelEvent::Suspend((round / 1_000 + vm) % VMS)));
        }
        if round % 1_000 == 900 {
            (0..VMS).for_each(|vm| model.apply(ModelEvent::Thaw(vm)));
        }
    }

    assert!(model.act_count() > 1_000, "acts: {}", model.act_count());
    assert!(model.holder_count() >= 2, "holders: {}", model.holder_count());
}
