//! Bounded acceptance of withdrawn keys: "keys are withdrawn while VMs can't read the store".

use std::time::Duration;

use dragonflycart_gateway::{BootTime, CallerCredential, FeedProbes, PlanFreshness};
use strum::IntoEnumIterator;

use crate::{
    fixtures::plan,
    revocation_model::{ALL_TROUBLES, ModelFault, ModelTroubles, REVOCATION_TIME, RevocationModel},
};

/// Number of runs of the model.
const MODEL_RUNS: u64 = 80;
/// Steps of a run; a minute.
const MODEL_STEPS: u64 = 1_200;

fn boot(millis: u64) -> BootTime {
    BootTime::from_boot(Duration::from_millis(1_000_000 + millis))
}

fn strict() -> PlanFreshness {
    PlanFreshness::new(Some(REVOCATION_TIME))
}

#[test]
fn keys_are_accepted_until_the_plan_may_be_outdated() {
    let mut freshness = strict();
    assert!(!freshness.allows_keys(boot(0)), "no plan is known");

    freshness.note_store_read(boot(0));

    assert!(freshness.allows_keys(boot(4_500)));
    assert!(!freshness.allows_keys(boot(4_900)), "the way to the server takes time");
}

#[test]
fn deployment_without_a_revocation_time_always_accepts_keys() {
    let freshness = PlanFreshness::new(None);

    assert!(freshness.allows_keys(boot(0)));
    assert!(!freshness.needs_refresh(boot(0)));
}

/// A VM that has lost the store follows a peer whose own reads are old.
#[test]
fn confirmation_of_a_peer_keeps_its_age() {
    let mut freshness = strict();

    freshness.note_peer_age(boot(3_000), Duration::from_millis(2_500));

    assert_eq!(freshness.age(boot(3_200)), Some(Duration::from_millis(2_700)));
}

/// A VM that booted a moment ago follows a peer whose plan is older than that.
#[test]
fn confirmation_from_before_the_boot_is_not_made_younger() {
    let booted = |millis| BootTime::from_boot(Duration::from_millis(millis));
    let mut freshness = strict();

    freshness.note_peer_age(booted(1_000), Duration::from_millis(4_600));

    assert!(!freshness.allows_keys(booted(1_200)), "{:?}", freshness.age(booted(1_200)));
}

#[test]
fn older_confirmation_changes_nothing() {
    let mut freshness = strict();
    freshness.note_store_read(boot(3_000));

    freshness.note_peer_age(boot(3_100), Duration::from_millis(900));

    assert_eq!(freshness.age(boot(3_200)), Some(Duration::from_millis(200)));
}

#[test]
fn store_is_read_directly_long_before_keys_are_rejected() {
    let mut freshness = strict();
    freshness.note_store_read(boot(0));

    assert!(!freshness.needs_refresh(boot(2_000)));
    assert!(freshness.needs_refresh(boot(2_600)));
    assert!(freshness.allows_keys(boot(2_600)));
}

/// Bytes that a partition held up may arrive much later, so a confirmation counts from its probe.
#[test]
fn probe_is_confirmed_by_its_number() {
    let mut probes = FeedProbes::default();
    let first = probes.next(boot(0));
    assert!(!probes.is_due(boot(400)));
    assert!(probes.is_due(boot(500)));
    let second = probes.next(boot(500));

    assert_eq!(probes.sent_at(first), Some(boot(0)));
    assert_eq!(probes.sent_at(second), Some(boot(500)));
    assert_eq!(probes.sent_at(first), None, "a newer one was confirmed");
    assert_eq!(probes.sent_at(9), None, "never sent");
}

#[test]
fn credential_is_held_by_its_team_only() {
    let plan = plan(1);
    let credential = CallerCredential::new("k1");

    assert!(credential.is_held_by(&plan, "studio"));
    assert!(!credential.is_held_by(&plan, "other"));
    assert!(!CallerCredential::new("k9").is_held_by(&plan, "studio"));
    assert!(!format!("{credential:?}").contains("k1"), "keys must not reach the log");
}

/// No request may reach a server later than the revocation time after the withdrawal of its key,
/// whatever partitions, suspensions, restarts and late messages occur.
#[test]
fn no_withdrawn_key_reaches_a_server_too_late() {
    let (mut sent, mut rejected, mut withdrawn) = (0, 0, 0);
    for seed in 0..MODEL_RUNS {
        let vm_count = 2 + (seed % 3) as usize;
        let mut model = RevocationModel::new(vm_count, seed, ALL_TROUBLES, None);

        let counts = model.run(MODEL_STEPS);

        assert_eq!(counts.violations, 0, "seed {seed}: {counts:?}");
        sent += counts.sent;
        rejected += counts.rejected;
        withdrawn += counts.withdrawn;
    }
    let least = MODEL_RUNS;
    assert!(withdrawn > least && rejected > least && sent > least, "{withdrawn} {rejected} {sent}");
}

/// The model must be able to show each of the faults that the design excludes.
#[test]
fn model_shows_each_fault() {
    for fault in ModelFault::iter() {
        let is_shown = |seed| {
            let mut model = RevocationModel::new(3, seed, ALL_TROUBLES, Some(fault));
            model.run(MODEL_STEPS).violations > 0
        };

        assert!((0..MODEL_RUNS).any(is_shown), "{fault:?} went unnoticed");
    }
}

/// A store that turns some VMs away must not cost them their callers while a peer can read it.
#[test]
fn vm_without_store_accepts_keys_while_a_peer_reads_it() {
    let calm = ModelTroubles { store_cut: 0.0, peer_cut: 0.0, freeze: 0.0, restart: 0.0 };
    for seed in 0..20 {
        let mut model = RevocationModel::new(3, seed, calm, None);
        model.cut_from_store(0);
        model.cut_from_store(1);
        let settled = model.run(100);

        let counts = model.run(MODEL_STEPS);

        assert_eq!(counts.violations, 0);
        assert!(counts.sent > 2_000, "{counts:?}");
        let rejected = counts.rejected - settled.rejected;
        // Requests whose key was withdrawn while they waited.
        assert!(rejected < counts.withdrawn * 200, "{counts:?}");
    }
}
