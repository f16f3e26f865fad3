//! Placement through the facade.

mod support;

use dragonflycart_core::ErrorKind;
use dragonflycart_policy::{AttemptFailure, PlacementDecision, policy_names};
use support::{at, dispatches, report, request, settings, single_vm};

/// Guards against a policy that the linker dropped or that was renamed.
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
        let (mut engine, keys) = single_vm(settings, 4);
        for key in &keys {
            engine.report(at(1), *key, report(at(1)));
        }
        for _ in 0..64 {
            engine.submit(at(2), request("a"));
        }
        let sent = dispatches(&engine.tick(at(2)));
        assert_eq!(sent.len(), 64, "{policy}");
        for key in &keys {
            assert!(sent.iter().any(|(_, server)| server == key), "{policy} skips {key:?}");
        }
    }
}

/// Guards against work sent to a server whose forecast memory is over the headroom, and against
/// capacity that stays unused after requests end.
#[test]
fn forecast_waits_for_memory() {
    let (mut engine, keys) = single_vm(settings(1), 1);
    let mut full = report(at(1));
    full.memory_used_tokens = 95_000;
    full.running = 10;
    engine.report(at(1), keys[0], full);
    let ticket = engine.submit(at(2), request("a"));

    assert!(engine.tick(at(2)).is_empty());
    assert_eq!(engine.waiting(), 1);

    engine.report(at(300), keys[0], report(at(300)));
    assert_eq!(dispatches(&engine.tick(at(301))), vec![(ticket, keys[0])]);
}

/// Guards against a request that brings down server after server.
#[test]
fn request_is_not_retried_after_two_server_failures() {
    let (mut engine, keys) = single_vm(settings(1), 6);
    for key in &keys {
        engine.report(at(1), *key, report(at(1)));
    }
    let ticket = engine.submit(at(2), request("a"));
    let first = dispatches(&engine.tick(at(2)))[0].1;
    engine.failed(at(3), ticket, AttemptFailure::ServerLost);
    let second = dispatches(&engine.tick(at(4)))[0].1;
    engine.failed(at(5), ticket, AttemptFailure::ServerLost);
    let decisions = engine.tick(at(6));

    assert_ne!(first, second);
    let kind = ErrorKind::BackendFailed;
    assert_eq!(decisions, vec![PlacementDecision::Reject { ticket, kind }]);
}

/// Guards against a duplicate run of a call that is not idempotent.
#[test]
fn call_that_may_have_run_is_not_retried() {
    for failure in [AttemptFailure::ServerLost, AttemptFailure::Failed] {
        let (mut engine, keys) = single_vm(settings(1), 6);
        for key in &keys {
            engine.report(at(1), *key, report(at(1)));
        }
        let mut call = request("a");
        call.idempotent = false;
        let ticket = engine.submit(at(2), call);
        engine.tick(at(2));
        engine.failed(at(3), ticket, failure);

        let kind = ErrorKind::OutcomeUnknown;
        assert_eq!(engine.tick(at(4)), vec![PlacementDecision::Reject { ticket, kind }]);
    }
}

/// Guards against a request that waits in vain when the only other server refused it, for example
/// because both were restarted at the same time.
#[test]
fn request_returns_to_a_server_that_only_refused_it() {
    let (mut engine, keys) = single_vm(settings(1), 2);
    for key in &keys {
        engine.report(at(1), *key, report(at(1)));
    }
    let ticket = engine.submit(at(2), request("a"));
    engine.tick(at(2));
    engine.failed(at(3), ticket, AttemptFailure::ServerLost);
    let second = dispatches(&engine.tick(at(4)))[0].1;
    engine.failed(at(5), ticket, AttemptFailure::Refused);
    assert_eq!(engine.tick(at(400)), vec![], "no report since the refusal");
    for key in &keys {
        engine.report(at(500), *key, report(at(500)));
    }

    assert_eq!(dispatches(&engine.tick(at(600))), vec![(ticket, second)]);
}
