//! Tests of calls that are not idempotent: each runs at most once, and error responses state
//! correctly whether it may have run.

use std::time::Duration;

use dragonflycart_testkit::{
    FaultCommand, LogCommand, OutageKind, RelayCommand, RelayMode, RelayScope, ServiceCommand,
    ServiceConfig,
};

use crate::support::{Caller, Deployment, DeploymentSpec, HttpResponse, wait_for};

const BODY: &str = "{\"drums\":4}";

async fn book(deployment: &Deployment, vm: usize, key: &str, attempt: u32) -> HttpResponse {
    let attempt = attempt.to_string();
    let headers = [("idempotency-key", key), ("x-attempt", attempt.as_str())];
    let caller = Caller::new("orders");
    caller.call(deployment.vms[vm].http, "book", &headers, BODY).await.unwrap()
}

/// Books with a deadline of 3 s, so that the call ends while a fault lasts.
async fn book_with_short_deadline(
    deployment: &Deployment,
    vm: usize,
    key: &str,
    attempt: u32,
) -> HttpResponse {
    let attempt = attempt.to_string();
    let headers =
        [("idempotency-key", key), ("x-attempt", attempt.as_str()), ("x-deadline-ms", "3000")];
    let caller = Caller::new("orders");
    caller.call(deployment.vms[vm].http, "book", &headers, BODY).await.unwrap()
}

fn without_lookup() -> DeploymentSpec {
    DeploymentSpec {
        booking: ServiceConfig { supports_lookup: false, ..ServiceConfig::default() },
        ..DeploymentSpec::default()
    }
}

fn cut_log(deployment: &Deployment, vm: usize, mode: RelayMode) {
    deployment.log_relays[vm].apply(RelayCommand { scope: RelayScope::All, mode });
}

async fn wait_log_reachable(deployment: &Deployment, vm: usize, reachable: bool) {
    let expected = if reachable { 1.0 } else { 0.0 };
    wait_for("the VM to notice whether the log is reachable", || async {
        let found = deployment.metric(vm, "dragonflycart_log_reachable").await?;
        (found == expected).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn booking_runs_once_and_its_response_can_be_fetched_again() {
    // Guards against a retry at another VM that runs the booking of the same key again.
    let deployment = Deployment::start(DeploymentSpec::default()).await;

    let first = book(&deployment, 0, "order-1", 1).await;
    let second = book(&deployment, 1, "order-1", 2).await;

    assert_eq!(first.status, 200, "{:?}", first.body);
    assert_eq!(second.body, first.body);
    assert_eq!(deployment.executions("order-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn simultaneous_attempts_at_two_vms_run_once() {
    // Guards against two VMs that both act as the owner of a key.
    let deployment = Deployment::start(DeploymentSpec::default()).await;

    for round in 0..20 {
        let key = format!("race-{round}");
        let (first, second) =
            tokio::join!(book(&deployment, 0, &key, 1), book(&deployment, 1, &key, 2));

        assert_eq!(first.status, 200, "{:?}", first.body);
        assert_eq!(second.body, first.body);
        assert_eq!(deployment.executions(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reused_key_is_refused_without_running() {
    // Guards against a response that belongs to another request with the same key.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    book(&deployment, 0, "reused", 1).await;
    let caller = Caller::new("orders");
    let headers = [("idempotency-key", "reused")];

    let other = caller.call(deployment.vms[1].http, "book", &headers, "{\"drums\":9}").await;

    let other = other.unwrap();
    assert_eq!(other.status, 422, "{:?}", other.body);
    assert_eq!(deployment.executions("reused"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_response_of_the_service_is_resolved_by_lookup() {
    // Guards against repeating a call that ran but whose response was lost.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    for server in &deployment.bookings {
        server.fault(&FaultCommand::DropResponses { count: 1, reset: true });
    }

    let response = book(&deployment, 0, "lost", 1).await;

    assert_eq!(response.status, 200, "{:?}", response.body);
    assert_eq!(deployment.executions("lost"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_response_without_lookup_stays_unknown_and_never_repeats() {
    // Guards against "not run" or a second execution after a response was lost.
    let deployment = Deployment::start(without_lookup()).await;
    for server in &deployment.bookings {
        server.fault(&FaultCommand::DropResponses { count: 1, reset: true });
    }

    let first = book_with_short_deadline(&deployment, 0, "lost", 1).await;
    let second = book_with_short_deadline(&deployment, 1, "lost", 2).await;

    for response in [first, second] {
        assert_eq!(response.error_kind(), "outcome_unknown", "{:?}", response.body);
        assert_eq!(response.run_state(), "maybe_run");
    }
    assert_eq!(deployment.executions("lost"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_owner_leaves_no_second_execution() {
    // Guards against another VM that runs a call which its owner may already have sent.
    let mut deployment = Deployment::start(without_lookup()).await;
    for server in &deployment.bookings {
        server.command(ServiceCommand::Delay { ms: 1_500 });
    }
    let headers = [("idempotency-key", "killed"), ("x-attempt", "1")];
    let address = deployment.vms[0].http;
    let first =
        tokio::spawn(
            async move { Caller::new("orders").call(address, "book", &headers, BODY).await },
        );
    wait_for("the call to be sent", || async {
        let running = deployment.bookings.iter().any(|server| server.running() > 0);
        running.then_some(())
    })
    .await;

    deployment.vms[0].process().kill().unwrap();
    assert!(first.await.unwrap().is_err());
    let retry = book_with_short_deadline(&deployment, 1, "killed", 2).await;

    assert_eq!(retry.error_kind(), "outcome_unknown", "{:?}", retry.body);
    assert_eq!(deployment.executions("killed"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn outcome_of_a_killed_owner_is_found_by_lookup() {
    // Guards against an outcome that stays unknown although a lookup at the service returns it.
    let mut deployment = Deployment::start(DeploymentSpec::default()).await;
    for server in &deployment.bookings {
        server.command(ServiceCommand::Delay { ms: 500 });
    }
    let headers = [("idempotency-key", "found"), ("x-attempt", "1")];
    let address = deployment.vms[0].http;
    let first =
        tokio::spawn(
            async move { Caller::new("orders").call(address, "book", &headers, BODY).await },
        );
    wait_for("the call to be sent", || async {
        let running = deployment.bookings.iter().any(|server| server.running() > 0);
        running.then_some(())
    })
    .await;

    deployment.vms[0].process().kill().unwrap();
    assert!(first.await.unwrap().is_err());
    wait_for("the call to be executed", || async {
        (deployment.executions("found") == 1).then_some(())
    })
    .await;
    let retry = book(&deployment, 1, "found", 2).await;

    assert_eq!(retry.status, 200, "{:?}", retry.body);
    assert_eq!(deployment.executions("found"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_owner_wakes_without_a_second_execution() {
    // Guards against a second execution when the owner is paused between claiming the key and
    // sending the call.
    let mut deployment = Deployment::start(without_lookup()).await;
    let headers = [("idempotency-key", "paused"), ("x-attempt", "1")];
    let address = deployment.vms[0].http;
    let first =
        tokio::spawn(
            async move { Caller::new("orders").call(address, "book", &headers, BODY).await },
        );

    deployment.vms[0].process().pause().unwrap();
    let retry = book_with_short_deadline(&deployment, 1, "paused", 2).await;
    deployment.vms[0].process().resume().unwrap();
    let first = first.await.unwrap();
    let last = book(&deployment, 1, "paused", 3).await;

    assert!(deployment.executions("paused") <= 1, "{first:?} {retry:?}");
    if last.status == 200 {
        assert_eq!(deployment.executions("paused"), 1);
    }
    if last.run_state() == "not_run" {
        assert_eq!(deployment.executions("paused"), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn log_outage_refuses_truthfully_and_idempotent_calls_go_on() {
    // Guards against running a call without a claim while the log is down, and against refusing
    // idempotent calls and generations, which need none.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    deployment.log.command(LogCommand::Outage { kind: OutageKind::Refuse });
    wait_log_reachable(&deployment, 0, false).await;
    let caller = Caller::new("desk");

    let first = book_with_short_deadline(&deployment, 0, "outage", 1).await;
    let retry = book_with_short_deadline(&deployment, 0, "outage", 2).await;
    let status = caller.call(deployment.vms[0].http, "status", &[], BODY).await.unwrap();
    let generation = caller.complete(deployment.vms[0].http, "a report", 10).await.unwrap();

    assert_eq!(first.error_kind(), "log_unavailable", "{:?}", first.body);
    assert_eq!(first.run_state(), "not_run");
    assert_eq!(retry.error_kind(), "outcome_unknown", "{:?}", retry.body);
    assert_eq!(deployment.executions("outage"), 0);
    assert_eq!(status.status, 200, "{:?}", status.body);
    assert_eq!(generation.status, 200, "{:?}", generation.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_can_be_used_after_the_log_outage() {
    // Guards against a claim that is written late and blocks its key forever.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    deployment.log.command(LogCommand::Outage { kind: OutageKind::Refuse });
    wait_log_reachable(&deployment, 0, false).await;
    let refused = book_with_short_deadline(&deployment, 0, "later", 1).await;

    deployment.log.command(LogCommand::Outage { kind: OutageKind::None });
    wait_log_reachable(&deployment, 0, true).await;
    wait_log_reachable(&deployment, 1, true).await;
    let mut attempt = 1;
    let response = wait_for("the key to be free", || {
        attempt += 1;
        let deployment = &deployment;
        async move {
            let response = book(deployment, 1, "later", attempt).await;
            (response.status == 200).then_some(response)
        }
    })
    .await;

    assert_eq!(refused.run_state(), "not_run");
    assert_eq!(response.status, 200);
    assert_eq!(deployment.executions("later"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_acknowledgements_of_the_log_do_not_repeat_a_call() {
    // Guards against a second claim or execution when the log writes records but its responses are
    // lost.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    deployment.log.fault(&FaultCommand::DropResponses { count: 3, reset: true });

    let response = book(&deployment, 0, "unacknowledged", 1).await;
    let again = book(&deployment, 1, "unacknowledged", 2).await;

    assert_eq!(response.status, 200, "{:?}", response.body);
    assert_eq!(again.body, response.body);
    assert_eq!(deployment.executions("unacknowledged"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_that_lands_late_is_released() {
    // Guards against a key that stays blocked by a claim written after its VM gave up.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    deployment.log.command(LogCommand::ApplyLate { count: 2, ms: 4_000 });

    let first = book_with_short_deadline(&deployment, 0, "late", 1).await;
    let mut attempt = 1;
    wait_for("the outcome of the key to be known", || {
        attempt += 1;
        let deployment = &deployment;
        async move {
            let response = book(deployment, 1, "late", attempt).await;
            (response.status == 200).then_some(())
        }
    })
    .await;

    if first.run_state() == "not_run" {
        assert_eq!(deployment.executions("late"), 1);
    }
    assert!(deployment.executions("late") <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_off_zone_refuses_calls_and_serves_generations() {
    // Guards against a zone without log and peers that runs calls which it can't claim, or refuses
    // generations too.
    let spec = DeploymentSpec { peer_relays: true, ..DeploymentSpec::default() };
    let deployment = Deployment::start(spec).await;
    cut_log(&deployment, 0, RelayMode::Discard);
    for relay in &deployment.peer_relays {
        relay.apply(RelayCommand { scope: RelayScope::All, mode: RelayMode::Discard });
    }
    wait_log_reachable(&deployment, 0, false).await;
    let caller = Caller::new("desk");

    let call = book_with_short_deadline(&deployment, 0, "cut", 1).await;
    let other = book(&deployment, 1, "cut", 2).await;
    let generation = caller.complete(deployment.vms[0].http, "a report", 10).await.unwrap();

    assert_eq!(call.run_state(), "not_run", "{:?}", call.body);
    assert_eq!(other.status, 200, "{:?}", other.body);
    assert_eq!(deployment.executions("cut"), 1);
    assert_eq!(generation.status, 200, "{:?}", generation.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn call_without_backend_server_is_not_run() {
    // Guards against "unknown" although the log shows that the call was not sent.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    for server in &deployment.bookings {
        server.fault(&FaultCommand::Die);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;

    let response = book_with_short_deadline(&deployment, 0, "nowhere", 1).await;

    assert_eq!(response.run_state(), "not_run", "{:?}", response.body);
    assert_eq!(deployment.executions("nowhere"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_that_takes_no_work_does_not_deny_an_earlier_attempt() {
    // Guards against "not run" from a starting or stopping VM that has not read the log, for a key
    // that ran at another VM.
    let mut deployment = Deployment::start(DeploymentSpec {
        drain: "balancer_lag = 0ms".to_owned(),
        ..DeploymentSpec::default()
    })
    .await;
    let first = book(&deployment, 1, "denied", 1).await;
    assert_eq!(first.status, 200, "{:?}", first.body);
    // A stream keeps the stopping VM alive while it takes no new work.
    let address = deployment.vms[0].http;
    let streaming = tokio::spawn(async move {
        Caller::new("reports").stream(address, "a long report", 500, |_| {}).await
    });
    wait_for("the stream to run", || async {
        let tokens = deployment.metric(0, "dragonflycart_tokens_total").await?;
        (tokens >= 10.0).then_some(())
    })
    .await;
    deployment.vms[0].process().terminate().unwrap();
    wait_for("the VM to take no new calls", || async {
        let response = book(&deployment, 0, "unused", 1).await;
        (response.error_kind() == "draining").then_some(())
    })
    .await;

    let again = book(&deployment, 0, "denied", 2).await;
    let unstated = book(&deployment, 0, "denied", 0).await;

    assert_eq!(again.run_state(), "maybe_run", "{:?}", again.body);
    assert_eq!(unstated.run_state(), "maybe_run", "{:?}", unstated.body);
    assert_eq!(deployment.executions("denied"), 1);
    assert!(streaming.await.unwrap().is_ok());
}

/// Guards against a call that is given up after the default deadline, although its caller asked for
/// more time and its server completes it in that time.
#[tokio::test(flavor = "multi_thread")]
async fn call_with_a_long_deadline_outlasts_the_default_deadline() {
    let timeouts = "report_poll = 200ms\ncall_deadline = 1s".to_owned();
    let deployment = Deployment::start(DeploymentSpec { timeouts, ..without_lookup() }).await;
    for server in &deployment.bookings {
        server.command(ServiceCommand::Delay { ms: 2_500 });
    }
    let headers = [("idempotency-key", "slow"), ("x-attempt", "1"), ("x-deadline-ms", "20000")];
    let caller = Caller::new("orders");

    let response = caller.call(deployment.vms[0].http, "book", &headers, BODY).await.unwrap();

    assert_eq!(response.status, 200, "{:?}", response.body);
    assert_eq!(deployment.executions("slow"), 1);
}
