//! Tests of jobs: deferred generations that survive the loss of their entry VM.

use std::time::Duration;

use dragonflycart_testkit::{LogCommand, OutageKind, TokenSource};
use hyper::Method;
use serde_json::json;

use crate::support::{Caller, Deployment, DeploymentSpec, HttpResponse, wait_for};

async fn post_job(deployment: &Deployment, vm: usize, key: &str, tokens: u32) -> HttpResponse {
    post_attempt(deployment, vm, key, tokens, "0").await
}

async fn post_attempt(
    deployment: &Deployment,
    vm: usize,
    key: &str,
    tokens: u32,
    attempt: &str,
) -> HttpResponse {
    let body = json!({ "model": "assistant", "prompt": "a report", "max_tokens": tokens });
    let headers = [("idempotency-key", key), ("x-route", "report"), ("x-attempt", attempt)];
    let caller = Caller::new("reports");
    let address = deployment.vms[vm].http;
    caller.send(Method::POST, address, "/v1/jobs", &headers, body.to_string()).await.unwrap()
}

async fn wait_result(deployment: &Deployment, vm: usize, key: &str) -> String {
    let caller = Caller::new("reports");
    let address = deployment.vms[vm].http;
    let path = format!("/v1/jobs/{key}");
    wait_for("the job to be done", || async {
        let response = caller.send(Method::GET, address, &path, &[], "").await.ok()?;
        let text = response.json()["choices"][0]["text"].as_str()?.to_owned();
        (response.status == 200).then_some(text)
    })
    .await
}

/// Returns how many tokens the engines have generated.
fn generated_tokens(deployment: &Deployment) -> u64 {
    deployment.engines.iter().map(|engine| engine.stats().tokens).sum()
}

/// Waits until a job is run a second time, and until the engines have generated `tokens` tokens.
/// Each hundred tokens has its own time limit, because the steps of the engines come late on a busy
/// machine.
async fn wait_second_attempt(deployment: &Deployment, tokens: u64) {
    wait_for("the job to be run again", || async {
        (deployment.accepted_generations("v1") >= 2).then_some(())
    })
    .await;
    let begin = generated_tokens(deployment);
    for tokens in (begin..tokens).step_by(100).skip(1).chain([tokens]) {
        wait_for("the engines to generate the next tokens", || async {
            (generated_tokens(deployment) >= tokens).then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn job_is_fetched_through_another_vm() {
    // Guards against a result that only the VM which ran the job can return.
    let deployment = Deployment::start(DeploymentSpec::default()).await;

    let accepted = post_job(&deployment, 0, "night-1", 40).await;
    let text = wait_result(&deployment, 1, "night-1").await;

    assert_eq!(accepted.status, 202, "{:?}", accepted.body);
    assert_eq!(text, TokenSource::expected_text(40));
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_job_is_one_job() {
    // Guards against a second job with the same key.
    let deployment = Deployment::start(DeploymentSpec::default()).await;

    let first = post_job(&deployment, 0, "night-2", 20).await;
    let second = post_job(&deployment, 1, "night-2", 20).await;
    let other = post_job(&deployment, 1, "night-2", 21).await;
    wait_result(&deployment, 1, "night-2").await;

    assert_eq!(first.status, 202, "{:?}", first.body);
    assert!(matches!(second.status, 200 | 202), "{:?}", second.body);
    assert_eq!(other.error_kind(), "key_reused", "{:?}", other.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_job_survives_the_loss_of_its_vm() {
    // Guards against an accepted job that is lost with the VM that runs it.
    let mut deployment = Deployment::start(DeploymentSpec::default()).await;
    let accepted = post_job(&deployment, 0, "night-3", 400).await;
    assert_eq!(accepted.status, 202, "{:?}", accepted.body);
    let worker = wait_for("a VM to run the job", || async {
        for vm in 0..2 {
            let tokens = deployment.metric(vm, "dragonflycart_tokens_total").await;
            if tokens.is_some_and(|tokens| tokens >= 5.0) {
                return Some(vm);
            }
        }
        None
    })
    .await;

    deployment.vms[worker].process().kill().unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    // The engine of the first attempt generates its output to the end, too.
    wait_second_attempt(&deployment, 800).await;
    let text = wait_result(&deployment, 1 - worker, "night-3").await;

    assert_eq!(text, TokenSource::expected_text(400));
    assert_eq!(deployment.accepted_generations("v1"), 2, "attempts");
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_job_is_not_called_not_run_without_the_log() {
    // Guards against "not run" for a job that may have been accepted in an earlier attempt.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    deployment.log.command(LogCommand::Outage { kind: OutageKind::Refuse });
    wait_for("the VM to notice the loss of the log", || async {
        let found = deployment.metric(0, "dragonflycart_log_reachable").await?;
        (found == 0.0).then_some(())
    })
    .await;

    let first = post_attempt(&deployment, 0, "night-4", 20, "1").await;
    let second = post_attempt(&deployment, 0, "night-4", 20, "2").await;

    assert_eq!(first.error_kind(), "log_unavailable", "{:?}", first.body);
    assert_eq!(first.run_state(), "not_run");
    assert_eq!(second.error_kind(), "outcome_unknown", "{:?}", second.body);
    assert_eq!(second.run_state(), "maybe_run");
}

/// Guards against a planned stop that uses up the attempts of a job: a claim that reached the log
/// after the VM stopped accepting work was started, rejected and repeated, until the rejection
/// counted as the job's result.
#[tokio::test(flavor = "multi_thread")]
async fn job_claimed_late_in_a_planned_stop_is_left_to_another_vm() {
    let spec = DeploymentSpec { zones: 1, ..DeploymentSpec::default() };
    let mut deployment = Deployment::start(spec).await;
    let address = deployment.vms[0].http;
    // Keeps the VM draining for 8 s.
    let streaming = tokio::spawn(async move {
        Caller::new("reports").stream(address, "a long report", 800, |_| {}).await
    });
    deployment.log.command(LogCommand::Slow { ms: 1_000 });
    let accepted = post_job(&deployment, 0, "night-5", 20).await;
    // The VM claims an accepted job within 250 ms, and the claim is written 1 s later.
    tokio::time::sleep(Duration::from_millis(300)).await;

    deployment.vms[0].process().terminate().unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    deployment.log.command(LogCommand::Slow { ms: 0 });
    streaming.await.unwrap().unwrap();
    wait_for("the VM to end", || {
        let has_ended = deployment.vms[0].process().has_ended().unwrap();
        async move { has_ended.then_some(()) }
    })
    .await;
    deployment.vms[0].start();
    deployment.wait_ready(0).await;
    let text = wait_result(&deployment, 0, "night-5").await;

    assert_eq!(accepted.status, 202, "{:?}", accepted.body);
    assert_eq!(text, TokenSource::expected_text(20));
}

/// Guards against an engine that works on a job whose VM has ended at the shutdown timeout, while
/// another VM runs the job anew.
#[tokio::test(flavor = "multi_thread")]
async fn engine_stops_a_job_that_outlasts_the_shutdown_timeout() {
    let drain = "balancer_lag = 100ms\nshutdown_timeout = 1s".to_owned();
    let spec = DeploymentSpec { zones: 1, drain, ..DeploymentSpec::default() };
    let mut deployment = Deployment::start(spec).await;
    let accepted = post_job(&deployment, 0, "night-6", 600).await;
    wait_for("the job to run", || async {
        let tokens = deployment.metric(0, "dragonflycart_tokens_total").await?;
        (tokens >= 5.0).then_some(())
    })
    .await;

    deployment.vms[0].process().terminate().unwrap();
    wait_for("the VM to end", || {
        let has_ended = deployment.vms[0].process().has_ended().unwrap();
        async move { has_ended.then_some(()) }
    })
    .await;
    let open = deployment.engines[0].open_count();
    let first_tokens = generated_tokens(&deployment);
    deployment.vms[0].start();
    deployment.wait_ready(0).await;
    wait_second_attempt(&deployment, first_tokens + 600).await;
    let text = wait_result(&deployment, 0, "night-6").await;

    assert_eq!(accepted.status, 202, "{:?}", accepted.body);
    assert_eq!(text, TokenSource::expected_text(600));
    assert_eq!(open, 0, "the engine works on");
    assert_eq!(deployment.accepted_generations("v1"), 2, "attempts");
    assert_eq!(generated_tokens(&deployment), first_tokens + 600, "tokens generated");
}
