//! Tests of version moves: a good version is moved to completely, a bad one gets few requests and
//! is rolled back.

use std::time::Duration;

use dragonflycart_core::{ModelPlacement, MoveId, RouteName, VersionMove, VersionName, WallTime};
use dragonflycart_operator::api::{MoveState, MoveStatus};
use dragonflycart_testkit::{
    BadEffect, BadVersion, EngineCommand, EngineConfig, LogCommand, OutageKind,
};

use tokio::time::Instant;

use crate::support::{
    Deployment, DeploymentSpec, Operator, Traffic, TrafficReport, model_version, wait_for,
    zone_name,
};

/// Time from the start of a move to its deadline. The new version's requests may double in each
/// step of 5 s, so with the load of these tests 40 s are not enough to prove a good version.
const MOVE_DURATION: Duration = Duration::from_secs(100);
/// Time after the deadline for which a test still waits for the end of a move.
const WAIT_MARGIN: Duration = Duration::from_secs(20);
/// Time within which the end of a move is in effect on all VMs: from its rollback until no VM sends
/// new work to the version, and from its deadline until a VM reports the end.
const MOVE_END_BOUND: Duration = Duration::from_secs(3);
/// Maximum number of attempts on a version that fails from the start: 12 requests, which is the
/// risk cap, with two retries each, in each of three steps of 5 s. The first requests are sent in
/// the first step; in the other two their failures are counted, settle and reach all VMs.
const MAX_BAD_ATTEMPTS: usize = 108;
const MOVE_ID: &str = "assistant-v2";

fn spec(peer_relays: bool) -> DeploymentSpec {
    let base = DeploymentSpec::default();
    let versions = vec![model_version("assistant", "v1"), model_version("assistant", "v2")];
    let engine = EngineConfig { loaded: versions, max_batch: 64, ..base.engine };
    DeploymentSpec { zones: 3, peer_relays, engine, ..DeploymentSpec::default() }
}

fn bad_version(effect: BadEffect, after_ms: u64, route: Option<&str>) -> BadVersion {
    BadVersion {
        version: VersionName::new("v2").unwrap(),
        effect,
        after_ms,
        above_running: 0,
        route: route.map(|route| RouteName::new(route).unwrap()),
    }
}

fn set_bad_versions(deployment: &Deployment, rules: &[BadVersion]) {
    for engine in &deployment.engines {
        engine.command(EngineCommand::BadVersions { rules: rules.to_vec() });
    }
}

fn wall_now() -> WallTime {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    WallTime::from_unix_millis(now.as_millis() as u64)
}

/// Starts the load and submits a plan with a version move from `v1` to `v2`.
async fn start_move(deployment: &mut Deployment) -> Traffic {
    start_move_within(deployment, MOVE_DURATION).await
}

async fn start_move_within(deployment: &mut Deployment, time: Duration) -> Traffic {
    let traffic = Traffic::start(&deployment.http_addresses(), 18, 4, Duration::from_millis(100));
    let (model, to) = model_version("assistant", "v2");
    for zone in 0..3 {
        let (zone, model, version) = (zone_name(zone), model.clone(), to.clone());
        deployment.plan.placements.push(ModelPlacement { zone, model, version });
    }
    let start = wall_now();
    let from = VersionName::new("v1").unwrap();
    let planned = VersionMove { model, from, to, start, deadline: start.after(time) };
    deployment.plan.moves.insert(MoveId(MOVE_ID.to_owned()), planned);
    let revision = deployment.submit_plan().await;
    for vm in 0..3 {
        deployment.wait_revision(vm, revision).await;
    }
    traffic
}

async fn move_status(deployment: &Deployment, vm: usize) -> Option<MoveStatus> {
    let status = Operator::new("ops").status(deployment.vms[vm].admin).await?;
    status.moves.into_iter().find(|found| found.id.0 == MOVE_ID)
}

/// Waits until a VM reports that the move has ended.
async fn wait_end(deployment: &Deployment, vm: usize) -> MoveStatus {
    let give_up = Instant::now() + MOVE_DURATION + WAIT_MARGIN;
    while Instant::now() < give_up {
        match move_status(deployment, vm).await {
            Some(status) if status.state.is_final() => return status,
            _ => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
    panic!("the move did not end on VM {vm}");
}

/// Waits until the first of `vms` reports the rollback, and checks that after `MOVE_END_BOUND` all
/// of them do and no new work goes to the new version.
async fn assert_rolled_back(deployment: &Deployment, vms: &[usize]) {
    let first = wait_end(deployment, vms[0]).await;
    assert_eq!(first.state, MoveState::RolledBack, "{first:?}");
    tokio::time::sleep(MOVE_END_BOUND).await;
    for vm in vms {
        let status = move_status(deployment, *vm).await.unwrap();
        assert_eq!(status.state, MoveState::RolledBack, "VM {vm}: {status:?}");
        assert_eq!(status.share, 0.0, "VM {vm}");
    }
    let before = deployment.accepted_generations("v2");
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(deployment.accepted_generations("v2"), before, "new work on the bad version");
    println!("move: served by the bad version={before} reason={:?}", first.reason);
}

fn assert_all_succeeded(report: &TrafficReport) {
    assert!(report.answered > 0);
    assert!(report.failures.is_empty(), "{:?}", report.failures);
}

#[tokio::test(flavor = "multi_thread")]
async fn good_version_is_done_by_its_deadline() {
    // Guards against a good version that is rolled back, or a move whose end the status doesn't
    // show.
    let mut deployment = Deployment::start(spec(false)).await;
    let traffic = start_move(&mut deployment).await;

    for vm in 0..3 {
        let status = wait_end(&deployment, vm).await;
        assert_eq!(status.state, MoveState::Done, "{status:?}");
        let late = status.ended_at.unwrap().since(status.plan.deadline);
        assert!(late <= MOVE_END_BOUND, "{late:?} after the deadline");
    }
    let report = traffic.stop().await;

    assert_all_succeeded(&report);
}

#[tokio::test(flavor = "multi_thread")]
async fn version_that_fails_at_once_is_rolled_back() {
    // Guards against a bad version that keeps its traffic, or gets many requests before its
    // failures are noticed.
    let mut deployment = Deployment::start(spec(false)).await;
    set_bad_versions(&deployment, &[bad_version(BadEffect::Fail, 0, None)]);
    let traffic = start_move(&mut deployment).await;

    assert_rolled_back(&deployment, &[0, 1, 2]).await;
    traffic.stop().await;

    let served = deployment.accepted_generations("v2");
    assert!(served <= MAX_BAD_ATTEMPTS, "{served} requests on the bad version");
}

#[tokio::test(flavor = "multi_thread")]
async fn version_whose_generations_hang_is_rolled_back() {
    // Guards against generations that stall after their first tokens and that do not count against
    // their version, so that it keeps getting requests until the deadline (EXPOSURE).
    let mut deployment = Deployment::start(spec(false)).await;
    set_bad_versions(&deployment, &[bad_version(BadEffect::Hang { after_tokens: 2 }, 0, None)]);
    let traffic = start_move(&mut deployment).await;

    assert_rolled_back(&deployment, &[0, 1, 2]).await;
    let reason = move_status(&deployment, 0).await.unwrap().reason.unwrap_or_default();
    traffic.stop().await;

    assert!(reason.starts_with("the new version is worse"), "{reason}");

    let served = deployment.accepted_generations("v2");
    assert!(served <= MAX_BAD_ATTEMPTS, "{served} requests on the bad version");
}

#[tokio::test(flavor = "multi_thread")]
async fn version_that_is_bad_on_one_route_is_rolled_back() {
    // Guards against failures on one route that are outweighed by good results on the others.
    let mut deployment = Deployment::start(spec(false)).await;
    set_bad_versions(&deployment, &[bad_version(BadEffect::Fail, 0, Some("classify"))]);
    let traffic = start_move(&mut deployment).await;

    assert_rolled_back(&deployment, &[0, 1, 2]).await;
    traffic.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn version_that_turns_bad_later_is_rolled_back() {
    // Guards against later failures that are outweighed by earlier good results.
    let mut deployment = Deployment::start(spec(false)).await;
    set_bad_versions(&deployment, &[bad_version(BadEffect::Fail, 20_000, None)]);
    let traffic = start_move(&mut deployment).await;

    assert_rolled_back(&deployment, &[0, 1, 2]).await;
    traffic.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_version_is_rolled_back_while_the_log_is_down() {
    // Guards against a rollback that needs the log.
    let mut deployment = Deployment::start(spec(false)).await;
    set_bad_versions(&deployment, &[bad_version(BadEffect::Fail, 0, None)]);
    let traffic = start_move(&mut deployment).await;
    deployment.log.command(LogCommand::Outage { kind: OutageKind::Refuse });

    assert_rolled_back(&deployment, &[0, 1, 2]).await;
    traffic.stop().await;

    let served = deployment.accepted_generations("v2");
    assert!(served <= MAX_BAD_ATTEMPTS, "{served} requests on the bad version");
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_version_is_rolled_back_on_both_sides_of_a_partition() {
    // Guards against a zone that keeps a bad version because its peers' rollback can't reach it,
    // and against a rollback of the others that waits for this zone.
    let mut deployment = Deployment::start(spec(true)).await;
    set_bad_versions(&deployment, &[bad_version(BadEffect::Fail, 0, None)]);
    let traffic = start_move(&mut deployment).await;
    deployment.cut_peers(0, true);
    deployment.cut_log(0, true);

    let first = wait_end(&deployment, 1).await;
    assert_eq!(first.state, MoveState::RolledBack, "{first:?}");
    let alone = wait_end(&deployment, 0).await;
    assert_eq!(alone.state, MoveState::RolledBack, "{alone:?}");
    assert_rolled_back(&deployment, &[1, 2, 0]).await;
    deployment.cut_peers(0, false);
    deployment.cut_log(0, false);
    wait_for("the partition to heal", || async {
        let alive = deployment.metric(0, "dragonflycart_peers_alive").await?;
        (alive == 2.0).then_some(())
    })
    .await;
    traffic.stop().await;

    for vm in 0..3 {
        let status = move_status(&deployment, vm).await.unwrap();
        assert_eq!(status.state, MoveState::RolledBack, "VM {vm}: {status:?}");
    }
    let served = deployment.accepted_generations("v2");
    assert!(served <= 2 * MAX_BAD_ATTEMPTS, "{served} requests on the bad version");
}

#[tokio::test(flavor = "multi_thread")]
async fn version_that_never_loads_is_rolled_back_without_a_failed_request() {
    // Guards against requests that are refused because no engine has loaded the version to which
    // the move assigned them, and against a move that ends without a reason in its status.
    let base = DeploymentSpec::default();
    let engine = EngineConfig { load_ms: 600_000, max_batch: 64, ..base.engine };
    let mut deployment =
        Deployment::start(DeploymentSpec { zones: 3, engine, ..DeploymentSpec::default() }).await;
    let traffic = start_move_within(&mut deployment, Duration::from_secs(25)).await;

    for vm in 0..3 {
        let status = wait_end(&deployment, vm).await;
        assert_eq!(status.state, MoveState::RolledBack, "{status:?}");
        assert!(status.reason.is_some(), "{status:?}");
    }
    let report = traffic.stop().await;

    assert_all_succeeded(&report);
    assert_eq!(deployment.accepted_generations("v2"), 0);
}
