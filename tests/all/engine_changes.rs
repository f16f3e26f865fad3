//! Tests of generations that go on at another engine: the engine before stops.

use std::time::Duration;

use dragonflycart_testkit::{
    EngineCommand, EngineConfig, RelayCommand, RelayMode, RelayScope, TokenSource,
};
use tokio::{task::JoinHandle, time::Instant};

use crate::support::{Caller, Deployment, DeploymentSpec, StreamedResponse, wait_for};

/// Longest time for which two engines may work on one generation while both can be reached.
const OVERLAP_BOUND: Duration = Duration::from_millis(400);
/// Longest time until a resumed stream without progress is ended: three times the 3 s of the setting
/// `engine_progress` in its test.
const STALL_BOUND: Duration = Duration::from_secs(9);
/// Time for which a stalled engine is heard: longer than the settings `engine_progress` and
/// `engine_silence` of its test together.
const HEARD_TIME: Duration = Duration::from_millis(2_500);
/// Longest time from the death of an engine until its generation goes on: five times the 500 ms of
/// `engine_silence`, and 500 ms for reconnections and the processes of the test.
const DEAD_ENGINE_PAUSE: Duration = Duration::from_secs(3);
/// Tokens of a stream that lasts 6 s.
const TOKENS: u32 = 600;

type StreamTask = JoinHandle<Result<StreamedResponse, StreamedResponse>>;

fn start_stream(deployment: &Deployment) -> StreamTask {
    let address = deployment.vms[0].http;
    tokio::spawn(async move {
        Caller::new("reports").stream(address, "a long report", TOKENS, |_| {}).await
    })
}

fn set_link(deployment: &Deployment, engine: usize, scope: RelayScope, mode: RelayMode) {
    deployment.engine_relays[engine].apply(RelayCommand { scope, mode });
}

/// Waits until both engines have an open generation.
async fn wait_both_open(deployment: &Deployment) {
    wait_for("both engines to have the generation", || async {
        deployment.engines.iter().all(|engine| engine.open_count() > 0).then_some(())
    })
    .await;
}

/// Waits until an engine has no open generation, and returns how long that took.
async fn wait_stopped(deployment: &Deployment, engine: usize) -> Duration {
    let start = Instant::now();
    wait_for("the engine to stop", || async {
        (deployment.engines[engine].open_count() == 0).then_some(())
    })
    .await;
    start.elapsed()
}

/// Waits until one engine has produced some tokens, and returns its index.
async fn wait_first_engine(deployment: &Deployment) -> usize {
    wait_for("an engine to run the generation", || async {
        deployment.engines.iter().position(|engine| engine.stats().tokens >= 20)
    })
    .await
}

async fn assert_complete(streaming: StreamTask) {
    let response = streaming.await.unwrap().unwrap();
    assert_eq!(response.indexes, (0..u64::from(TOKENS)).collect::<Vec<u64>>());
    assert_eq!(response.text, TokenSource::expected_text(u64::from(TOKENS)));
}

/// Guards against an engine that can't be reached when its generation goes on elsewhere, and that
/// is never told to stop once it can.
#[tokio::test(flavor = "multi_thread")]
async fn engine_that_was_unreachable_stops_once_it_is_reached() {
    let spec = DeploymentSpec { engine_relays: true, ..DeploymentSpec::default() };
    let deployment = Deployment::start(spec).await;
    let streaming = start_stream(&deployment);
    let first = wait_first_engine(&deployment).await;

    set_link(&deployment, first, RelayScope::All, RelayMode::Cut);
    wait_both_open(&deployment).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    set_link(&deployment, first, RelayScope::New, RelayMode::Pass);
    let overlap = wait_stopped(&deployment, first).await;

    assert!(overlap <= OVERLAP_BOUND, "both engines worked for {overlap:?}");
    assert_complete(streaming).await;
}

/// Stalls the engine of a stream, which sends heartbeats and load reports, and disturbs new connections
/// to it. Checks that the generation goes on elsewhere only once the engine was told to stop it.
async fn stall_engine_that_is_heard(mode: RelayMode) {
    let base = DeploymentSpec::default();
    let spec = DeploymentSpec {
        engine_relays: true,
        engine: EngineConfig { heartbeat_ms: 100, ..base.engine },
        timeouts: "report_poll = 200ms\nengine_silence = 500ms\nengine_progress = 1s".to_owned(),
        ..DeploymentSpec::default()
    };
    let deployment = Deployment::start(spec).await;
    let streaming = start_stream(&deployment);
    let first = wait_first_engine(&deployment).await;
    let second = 1 - first;

    deployment.engines[first].command(EngineCommand::Stall { stalled: true });
    set_link(&deployment, first, RelayScope::New, mode);
    tokio::time::sleep(HEARD_TIME).await;
    let went_on = deployment.engines[second].open_count() > 0;
    set_link(&deployment, first, RelayScope::New, RelayMode::Pass);
    deployment.engines[first].command(EngineCommand::Stall { stalled: false });
    wait_for("the generation to go on", || async {
        (deployment.engines[second].open_count() > 0).then_some(())
    })
    .await;
    let overlap = wait_stopped(&deployment, first).await;

    assert!(!went_on, "the generation went on while its engine was heard");
    assert!(overlap <= OVERLAP_BOUND, "both engines worked for {overlap:?}");
    assert_complete(streaming).await;
}

/// Guards against an engine that makes no progress for a while and works on after the generation went
/// on elsewhere, because the requests to stop it were lost although it was heard.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_engine_stops_although_the_first_cancel_is_lost() {
    stall_engine_that_is_heard(RelayMode::Cut).await;
}

/// Guards against the same where the requests to stop are not answered.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_engine_stops_although_the_first_cancel_is_not_answered() {
    stall_engine_that_is_heard(RelayMode::Discard).await;
}

/// Guards against a generation that waits for a dead engine longer than it has to: for one silence on
/// the stream, one on each of three reconnections and one for the request to stop it.
#[tokio::test(flavor = "multi_thread")]
async fn generation_of_a_dead_engine_goes_on_without_delay() {
    let spec = DeploymentSpec {
        engine_relays: true,
        timeouts: "report_poll = 200ms\nengine_silence = 500ms\nengine_progress = 1s".to_owned(),
        ..DeploymentSpec::default()
    };
    let deployment = Deployment::start(spec).await;
    let streaming = start_stream(&deployment);
    let first = wait_first_engine(&deployment).await;

    set_link(&deployment, first, RelayScope::All, RelayMode::Discard);
    let died_at = Instant::now();
    wait_both_open(&deployment).await;
    let pause = died_at.elapsed();
    set_link(&deployment, first, RelayScope::All, RelayMode::Pass);

    println!("the generation went on after {pause:?}");
    assert!(pause <= DEAD_ENGINE_PAUSE, "the generation went on after {pause:?}");
    assert_complete(streaming).await;
}

/// Guards against an engine that begins a generation late, after its response was given up and the
/// generation went on elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn engine_that_starts_late_stops() {
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    deployment.engines[1].command(EngineCommand::Leaving { leaving: true });
    deployment.engines[0].command(EngineCommand::DelayStarts { ms: 3_000 });
    // The VM reads the load reports every 200 ms.
    tokio::time::sleep(Duration::from_millis(500)).await;

    let streaming = start_stream(&deployment);
    tokio::time::sleep(Duration::from_millis(500)).await;
    deployment.engines[1].command(EngineCommand::Leaving { leaving: false });
    wait_both_open(&deployment).await;
    let overlap = wait_stopped(&deployment, 0).await;

    assert!(overlap <= OVERLAP_BOUND, "both engines worked for {overlap:?}");
    assert_complete(streaming).await;
}

/// Guards against a caller who resumed a stream at another VM and waits without end for an engine
/// that sends heartbeats and no tokens.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_stream_of_a_stalled_engine_is_ended() {
    let spec = DeploymentSpec {
        timeouts: "report_poll = 200ms\nengine_silence = 2s\nengine_progress = 3s".to_owned(),
        ..DeploymentSpec::default()
    };
    let mut deployment = Deployment::start(spec).await;
    let streaming = start_stream(&deployment);
    let first = wait_first_engine(&deployment).await;
    wait_for("the stream to run", || async {
        let tokens = deployment.metric(0, "dragonflycart_tokens_total").await?;
        (tokens >= 20.0).then_some(())
    })
    .await;

    deployment.engines[first].command(EngineCommand::Stall { stalled: true });
    deployment.vms[0].process().kill().unwrap();
    let partial = streaming.await.unwrap().unwrap_err();
    let caller = Caller::new("reports");
    let resuming = caller.resume(deployment.vms[1].http, partial);
    let response = tokio::time::timeout(STALL_BOUND, resuming).await;

    let response = response.expect("the stream never ends").unwrap_or_else(|broken| broken);
    assert!(!response.done);
    assert!(response.error.is_some(), "{response:?}");
}
