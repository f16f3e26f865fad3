//! Tests of backend servers that leave, start cold, turn cold without notice, or freeze.

use std::time::Duration;

use dragonflycart_testkit::{EngineCommand, EngineConfig, FaultCommand};

use crate::support::{Caller, Deployment, DeploymentSpec, wait_for};

/// Time after its announcement from which a leaving backend server gets no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// Sends `count` requests for a generation to all VMs at once and returns how many succeeded.
async fn flood(deployment: &Deployment, count: usize, tokens: u32) -> usize {
    let mut tasks = Vec::new();
    for index in 0..count {
        let address = deployment.vms[index % deployment.vms.len()].http;
        tasks.push(tokio::spawn(async move {
            let response = Caller::new("reports").complete(address, "text", tokens).await;
            response.is_ok_and(|response| response.status == 200)
        }));
    }
    let mut answered = 0;
    for task in tasks {
        answered += usize::from(task.await.unwrap());
    }
    answered
}

fn cold_spec() -> DeploymentSpec {
    let base = DeploymentSpec::default();
    DeploymentSpec {
        zones: 1,
        vms_per_zone: 3,
        engines: 2,
        engine: EngineConfig {
            starts_cold: true,
            cold_limit: 2,
            cold_step_ms: 1_000,
            report_lag_ms: 200,
            ..base.engine.clone()
        },
        ..base
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_servers_get_no_more_than_they_can_handle() {
    // Guards against VMs that each keep to the limit of a cold server but exceed it together.
    let deployment = Deployment::start(cold_spec()).await;

    let answered = flood(&deployment, 120, 20).await;

    assert_eq!(answered, 120);
    for engine in &deployment.engines {
        assert_eq!(engine.stats().cold_overloads, 0, "{:?}", engine.stats());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_vm_does_not_use_its_cold_slots_twice() {
    // Guards against a restarted VM that doesn't count the requests which its previous incarnation
    // still has on a cold server.
    let mut deployment = Deployment::start(cold_spec()).await;
    let address = deployment.vms[0].http;
    let mut tasks = Vec::new();
    for _ in 0..6 {
        tasks.push(tokio::spawn(async move {
            Caller::new("reports").complete(address, "text", 100).await
        }));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;

    deployment.vms[0].process().kill().unwrap();
    deployment.vms[0].start();
    deployment.wait_ready(0).await;
    let answered = flood(&deployment, 60, 20).await;

    assert_eq!(answered, 60);
    for engine in &deployment.engines {
        assert_eq!(engine.stats().cold_overloads, 0, "{:?}", engine.stats());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_no_new_work() {
    // Guards against new work for a server more than 3 s after it announced that it leaves.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    deployment.engines[0].command(EngineCommand::Leaving { leaving: true });
    tokio::time::sleep(LEAVING_BOUND).await;
    let before = deployment.engines[0].stats();

    let answered = flood(&deployment, 20, 5).await;

    let after = deployment.engines[0].stats();
    assert_eq!(answered, 20);
    assert_eq!((after.accepted.len(), after.refused), (before.accepted.len(), before.refused));
}

#[tokio::test(flavor = "multi_thread")]
async fn work_goes_on_while_a_server_turns_cold() {
    // Guards against requests that fail because one server turned cold without notice.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    let address = deployment.vms[0].http;
    let mut tasks = Vec::new();
    for _ in 0..8 {
        tasks.push(tokio::spawn(async move {
            Caller::new("reports").complete(address, "text", 100).await
        }));
    }
    wait_for("work to run on the first engine", || async {
        (deployment.engines[0].running() > 0).then_some(())
    })
    .await;

    deployment.engines[0].fault(&FaultCommand::TurnCold);

    for task in tasks {
        let response = task.await.unwrap().unwrap();
        assert_eq!(response.status, 200, "{:?}", response.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_server_does_not_hold_up_requests_for_good() {
    // Guards against waiting forever for an engine that accepts connections and never responds.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    deployment.engines[0].fault(&FaultCommand::Freeze);

    let answered = flood(&deployment, 10, 5).await;

    assert_eq!(answered, 10);
}
