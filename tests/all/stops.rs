//! Tests of planned stops, which must not break off any request.

use dragonflycart_testkit::TokenSource;
use hyper::Method;

use crate::support::{Caller, Deployment, DeploymentSpec, wait_for};

async fn wait_running(deployment: &Deployment) {
    wait_for("the stream to run", || async {
        let tokens = deployment.metric(0, "dragonflycart_tokens_total").await?;
        (tokens >= 10.0).then_some(())
    })
    .await;
}

async fn wait_ended(deployment: &mut Deployment) {
    for _ in 0..600 {
        if deployment.vms[0].process().has_ended().unwrap() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("the daemon did not exit");
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_lets_streams_run_to_completion() {
    // Guards against a planned stop that breaks off a stream, and a process that never exits.
    let mut deployment = Deployment::start(DeploymentSpec::default()).await;
    let address = deployment.vms[0].http;
    let streaming = tokio::spawn(async move {
        Caller::new("reports").stream(address, "a long report", 300, |_| {}).await
    });
    wait_running(&deployment).await;

    deployment.vms[0].process().terminate().unwrap();
    let response = streaming.await.unwrap().unwrap();
    wait_ended(&mut deployment).await;

    assert_eq!(response.text, TokenSource::expected_text(300));
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_vm_is_not_ready_and_still_serves_the_lagging_balancer() {
    // Guards against refusing requests that the load balancer sends before it notices the stop.
    let drain = "balancer_lag = 3s".to_owned();
    let mut deployment = Deployment::start(DeploymentSpec { drain, ..Default::default() }).await;
    let caller = Caller::new("desk");
    let address = deployment.vms[0].http;

    deployment.vms[0].process().terminate().unwrap();
    wait_for("the VM to be not ready", || async {
        let response = caller.send(Method::GET, address, "/readyz", &[], "").await.ok()?;
        (response.status == 503).then_some(())
    })
    .await;
    let response = caller.complete(address, "text", 5).await.unwrap();
    wait_ended(&mut deployment).await;

    assert_eq!(response.status, 200, "{:?}", response.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_timeout_hands_streams_over() {
    // Guards against losing the rest of a stream that is longer than the shutdown timeout.
    let drain = "balancer_lag = 100ms\nshutdown_timeout = 1s".to_owned();
    let mut deployment = Deployment::start(DeploymentSpec { drain, ..Default::default() }).await;
    let address = deployment.vms[0].http;
    let streaming = tokio::spawn(async move {
        Caller::new("reports").stream(address, "a long report", 300, |_| {}).await
    });
    wait_running(&deployment).await;

    deployment.vms[0].process().terminate().unwrap();
    let partial = streaming.await.unwrap().unwrap_err();
    assert!(partial.reconnect, "{partial:?}");
    let response = Caller::new("reports").resume(deployment.vms[1].http, partial).await.unwrap();
    wait_ended(&mut deployment).await;

    assert_eq!(response.indexes, (0..300).collect::<Vec<u64>>());
    assert_eq!(response.text, TokenSource::expected_text(300));
}
