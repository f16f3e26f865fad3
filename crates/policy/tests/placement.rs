//! Placement of requests by the scheduler.

mod support;

use dragonflycart_core::ErrorKind;
use dragonflycart_policy::{AttemptFailure, PlacementDecision, policy_names};
use support::{at, dispatches, report, request, settings, single_vm};

/// Guards against a policy that was renamed, or whose registration the linker dropped.
#[test]
fn all_policies_are_registered() {
    let expected = ["forecast", "least_load", "least_memory", "least_outstanding", "round_robin"];
    assert_eq!(policy_names(), expected);
}

/// Guards against a policy that never uses one of the servers.
#[test]
fn every_policy_spreads_requests() {
    for policy in policy_names() {
        let mut settings = settings(1);
        settings.policy = policy.to_owned();
        let (mut scheduler, keys) = single_vm(settings, 4);
        for key in &keys {
            scheduler.report(at(1), *key, report(at(1)));
        }
        for _ in 0..64 {
            scheduler.submit(at(2), request("a"));
        }
        let sent = dispatches(&scheduler.tick(at(2)));
        assert_eq!(sent.len(), 64, "{policy}");
        for key in &keys {
            assert!(sent.iter().any(|(_, server)| server == key), "{policy} skips {key:?}");
        }
    }
}

/// Guards against sending requests to a server whose forecast peak exceeds the allowed share of its
/// memory, and against capacity that stays unused after requests end.
#[test]
fn forecast_waits_for_memory() {
    let (mut scheduler, keys) = single_vm(settings(1), 1);
    let mut full = report(at(1));
    full.memory_used_tokens = 95_000;
    full.running = 10;
    scheduler.report(at(1), keys[0], full);
    let ticket = scheduler.submit(at(2), request("a"));

    assert!(scheduler.tick(at(2)).is_empty());
    assert_eq!(scheduler.waiting(), 1);

    scheduler.report(at(300), keys[0], report(at(300)));
    assert_eq!(dispatches(&scheduler.tick(at(301))), vec![(ticket, keys[0])]);
}

/// Guards against a request that crashes one server after another.
#[test]
fn request_is_not_retried_after_two_server_failures() {
    let (mut scheduler, keys) = single_vm(settings(1), 6);
    for key in &keys {
        scheduler.report(at(1), *key, report(at(1)));
    }
    let ticket = scheduler.submit(at(2), request("a"));
    let first = dispatches(&scheduler.tick(at(2)))[0].1;
    scheduler.failed(at(3), ticket, AttemptFailure::ServerLost);
    let second = dispatches(&scheduler.tick(at(4)))[0].1;
    scheduler.failed(at(5), ticket, AttemptFailure::ServerLost);
    let decisions = scheduler.tick(at(6));

    assert_ne!(first, second);
    let kind = ErrorKind::BackendFailed;
    assert_eq!(decisions, vec![PlacementDecision::Reject { ticket, kind }]);
}

/// Guards against running a call twice that is not idempotent.
#[test]
fn call_that_may_have_run_is_not_retried() {
    for failure in [AttemptFailure::ServerLost, AttemptFailure::Failed] {
        let (mut scheduler, keys) = single_vm(settings(1), 6);
        for key in &keys {
            scheduler.report(at(1), *key, report(at(1)));
        }
        let mut call = request("a");
        call.idempotent = false;
        let ticket = scheduler.submit(at(2), call);
        scheduler.tick(at(2));
        scheduler.failed(at(3), ticket, failure);

        let kind = ErrorKind::OutcomeUnknown;
        assert_eq!(scheduler.tick(at(4)), vec![PlacementDecision::Reject { ticket, kind }]);
    }
}

/// Guards against a request that can't be retried because the only other server refused it, for
/// example when both servers were restarted at the same time.
#[test]
fn request_returns_to_a_server_that_only_refused_it() {
    let (mut scheduler, keys) = single_vm(settings(1), 2);
    for key in &keys {
        scheduler.report(at(1), *key, report(at(1)));
    }
    let ticket = scheduler.submit(at(2), request("a"));
    scheduler.tick(at(2));
    scheduler.failed(at(3), ticket, AttemptFailure::ServerLost);
    let second = dispatches(&scheduler.tick(at(4)))[0].1;
    scheduler.failed(at(5), ticket, AttemptFailure::Refused);
    assert_eq!(scheduler.tick(at(400)), vec![], "no report since the refusal");
    for key in &keys {
        scheduler.report(at(500), *key, report(at(500)));
    }

    assert_eq!(dispatches(&scheduler.tick(at(600))), vec![(ticket, second)]);
}
