//! Tests of generations: each token arrives once, in order, and all come from one generation.

use std::time::Duration;

use dragonflycart_testkit::{EngineCommand, FaultCommand, TokenSource};
use tokio::time::Instant;

use crate::support::{Caller, Deployment, DeploymentSpec, StreamedResponse, wait_for};

/// Tokens of a stream that lasts long enough to inject a fault: 2 s at 10 ms per token.
const LONG_STREAM_TOKENS: u32 = 200;

/// Longest time for which a caller may receive no token while an unresponsive connection is
/// replaced: the timeout of 2 s and 1 s for the new connection.
const TOKEN_GAP_BOUND: Duration = Duration::from_secs(3);

fn assert_complete(response: &StreamedResponse, count: u32) {
    assert_eq!(response.error, None);
    assert_eq!(response.indexes, (0..u64::from(count)).collect::<Vec<u64>>());
    assert_eq!(response.text, TokenSource::expected_text(u64::from(count)));
    assert!(response.done);
}

/// Streams `LONG` tokens and calls `inject` once after the tenth token.
async fn stream_with_fault(
    deployment: &Deployment,
    mut inject: impl FnMut(&Deployment),
) -> (Result<StreamedResponse, StreamedResponse>, Duration) {
    let caller = Caller::new("reports");
    let mut injected = false;
    let mut last_token = Instant::now();
    let mut longest_gap = Duration::ZERO;
    let mut seen = 0;
    let response = caller
        .stream(deployment.vms[0].http, "a long report", LONG_STREAM_TOKENS, |response| {
            if response.indexes.len() > seen {
                if seen > 0 {
                    longest_gap = longest_gap.max(last_token.elapsed());
                }
                seen = response.indexes.len();
                last_token = Instant::now();
            }
            if seen >= 10 && !injected {
                injected = true;
                inject(deployment);
            }
        })
        .await;
    (response, longest_gap)
}

/// Returns the engines that run a generation now.
fn busy_engines(deployment: &Deployment) -> Vec<usize> {
    let engines = deployment.engines.iter().enumerate();
    engines.filter(|(_, engine)| engine.running() > 0).map(|(index, _)| index).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_path_streams_every_token_once() {
    // Guards against tokens lost or repeated on the path from caller to engine and back, without
    // faults.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    let caller = Caller::new("reports");

    let response = caller.stream(deployment.vms[0].http, "a report", 50, |_| {}).await.unwrap();

    assert_complete(&response, 50);
}

#[tokio::test(flavor = "multi_thread")]
async fn response_without_streaming_is_complete() {
    // Guards against a response that ends before the generation does.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    let caller = Caller::new("reports");

    let response = caller.complete(deployment.vms[1].http, "a report", 30).await.unwrap();

    assert_eq!(response.status, 200, "{:?}", response.body);
    let text = response.json()["choices"][0]["text"].as_str().unwrap().to_owned();
    assert_eq!(text, TokenSource::expected_text(30));
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_continues_after_the_engine_fails() {
    // Guards against tokens that are lost, repeated or from another generation when an engine fails
    // during decoding.
    let deployment = Deployment::start(DeploymentSpec::default()).await;

    let (response, _) = stream_with_fault(&deployment, |deployment| {
        for index in busy_engines(deployment) {
            deployment.engines[index].fault(&FaultCommand::Die);
        }
    })
    .await;

    assert_complete(&response.unwrap(), LONG_STREAM_TOKENS);
    let mismatches: u64 = deployment.engines.iter().map(|e| e.stats().prefix_mismatches).sum();
    assert_eq!(mismatches, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_continues_after_its_connection_stalls() {
    // Guards against a stream that hangs because its connection stays open but carries no data.
    let deployment = Deployment::start(DeploymentSpec::default()).await;

    let (response, gap) = stream_with_fault(&deployment, |deployment| {
        for engine in &deployment.engines {
            engine.fault(&FaultCommand::BlackholeOpenConnections);
        }
    })
    .await;

    assert_complete(&response.unwrap(), LONG_STREAM_TOKENS);
    assert!(gap <= TOKEN_GAP_BOUND, "no token for {gap:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_continues_when_engine_and_connection_fail_together() {
    // Guards against a recovery that copes with one of these faults only: the engine turns cold
    // while its connection carries no data.
    let deployment = Deployment::start(DeploymentSpec::default()).await;

    let (response, _) = stream_with_fault(&deployment, |deployment| {
        for index in busy_engines(deployment) {
            deployment.engines[index].fault(&FaultCommand::BlackholeOpenConnections);
            deployment.engines[index].fault(&FaultCommand::TurnCold);
        }
    })
    .await;

    assert_complete(&response.unwrap(), LONG_STREAM_TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_decode_is_not_taken_for_a_dead_connection() {
    // Guards against replacing a connection on which heartbeats still arrive.
    let deployment = Deployment::start(DeploymentSpec::default()).await;

    let address = deployment.vms[0].http;
    let streaming = tokio::spawn(async move {
        Caller::new("reports").stream(address, "a long report", LONG_STREAM_TOKENS, |_| {}).await
    });
    wait_for("the stream to run", || async {
        let tokens = deployment.metric(0, "dragonflycart_tokens_total").await?;
        (tokens >= 20.0).then_some(())
    })
    .await;

    for engine in &deployment.engines {
        engine.command(EngineCommand::Stall { stalled: true });
    }
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    for engine in &deployment.engines {
        engine.command(EngineCommand::Stall { stalled: false });
    }
    let response = streaming.await.unwrap();

    assert_complete(&response.unwrap(), LONG_STREAM_TOKENS);
    assert_eq!(deployment.metric(0, "dragonflycart_engine_reconnects_total").await, Some(0.0));
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_resumes_at_another_vm_after_its_vm_is_killed() {
    // Guards against lost or repeated tokens when an entry VM is killed during a stream.
    let mut deployment = Deployment::start(DeploymentSpec::default()).await;
    let caller = Caller::new("reports");
    let first = deployment.vms[0].http;
    let streaming = {
        let caller = caller.clone();
        tokio::spawn(async move {
            caller.stream(first, "a long report", LONG_STREAM_TOKENS, |_| {}).await
        })
    };
    wait_for("the stream to run", || async {
        let tokens = deployment.metric(0, "dragonflycart_tokens_total").await?;
        (tokens >= 20.0).then_some(())
    })
    .await;

    deployment.vms[0].process().kill().unwrap();
    let partial = streaming.await.unwrap().unwrap_err();
    let response = caller.resume(deployment.vms[1].http, partial).await.unwrap();

    assert_complete(&response, LONG_STREAM_TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn output_without_forced_prefix_is_never_spliced() {
    // Guards against joining the start of one generation to the rest of another.
    let spec = DeploymentSpec { forced_prefix: false, ..DeploymentSpec::default() };
    let deployment = Deployment::start(spec).await;

    let (response, _) = stream_with_fault(&deployment, |deployment| {
        for index in busy_engines(deployment) {
            deployment.engines[index].fault(&FaultCommand::Die);
        }
    })
    .await;

    let response = response.unwrap_err();
    let error = response.error.expect("the stream ended without an error event");
    assert!(error.contains("\"interrupted\""), "{error}");
    let count = response.indexes.len() as u64;
    assert_eq!(response.indexes, (0..count).collect::<Vec<u64>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn unread_response_starts_over_without_forced_prefix() {
    // Guards against an error when an engine fails before the caller has received anything: the
    // generation can start over.
    let spec = DeploymentSpec { forced_prefix: false, ..DeploymentSpec::default() };
    let deployment = Deployment::start(spec).await;
    let caller = Caller::new("reports");
    let address = deployment.vms[0].http;
    let answering =
        tokio::spawn(
            async move { caller.complete(address, "a long report", LONG_STREAM_TOKENS).await },
        );
    let busy = wait_for("an engine to run the generation", || async {
        let busy = busy_engines(&deployment);
        (!busy.is_empty()).then_some(busy)
    })
    .await;

    deployment.engines[busy[0]].fault(&FaultCommand::Die);
    let response = answering.await.unwrap().unwrap();

    assert_eq!(response.status, 200, "{:?}", response.body);
    let text = response.json()["choices"][0]["text"].as_str().unwrap().to_owned();
    assert_eq!(text, TokenSource::expected_text(u64::from(LONG_STREAM_TOKENS)));
}

#[tokio::test(flavor = "multi_thread")]
async fn swapped_responses_do_not_reach_the_wrong_caller() {
    // Guards against matching responses to requests by connection or order instead of by id.
    let spec = DeploymentSpec { zones: 1, ..DeploymentSpec::default() };
    let deployment = Deployment::start(spec).await;
    deployment.engines[0].fault(&FaultCommand::SwapResponses { keep_head: true });
    let address = deployment.vms[0].http;
    let ask = |prompt: &'static str, count: u32| {
        let caller = Caller::new("reports");
        tokio::spawn(async move { caller.stream(address, prompt, count, |_| {}).await })
    };

    let (short, long) = (ask("first", 20), ask("second", 60));
    let (short, long) = (short.await.unwrap().unwrap(), long.await.unwrap().unwrap());

    assert_complete(&short, 20);
    assert_complete(&long, 60);
}

#[tokio::test(flavor = "multi_thread")]
async fn abandoned_generation_is_cancelled_after_the_retention() {
    // Guards against generations that nobody reads and that occupy an engine until their last
    // token.
    let timeouts = "report_poll = 200ms\nstream_retention = 1s".to_owned();
    let deployment = Deployment::start(DeploymentSpec { timeouts, ..Default::default() }).await;
    let address = deployment.vms[0].http;
    let streaming = tokio::spawn(async move {
        Caller::new("reports").stream(address, "a long report", 50_000, |_| {}).await
    });
    wait_for("an engine to run the generation", || async {
        (!busy_engines(&deployment).is_empty()).then_some(())
    })
    .await;

    streaming.abort();

    wait_for("the generation to be cancelled", || async {
        busy_engines(&deployment).is_empty().then_some(())
    })
    .await;
}

/// Guards against a generation that its first VM gives up for want of a reader while its caller, who
/// lost the connection, reads it at another VM.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_goes_on_at_another_vm_is_not_given_up() {
    let timeouts = "report_poll = 200ms\nstream_retention = 1s".to_owned();
    let deployment = Deployment::start(DeploymentSpec { timeouts, ..Default::default() }).await;
    let (first, second) = (deployment.vms[0].http, deployment.vms[1].http);
    let (progress, mut received) = tokio::sync::watch::channel(StreamedResponse::default());
    let streaming = tokio::spawn(async move {
        let note = |response: &StreamedResponse| {
            progress.send_replace(response.clone());
        };
        Caller::new("reports").stream(first, "a long report", 3 * LONG_STREAM_TOKENS, note).await
    });
    received.wait_for(|response| response.indexes.len() >= 10).await.unwrap();

    streaming.abort();
    assert!(streaming.await.is_err());
    let partial = received.borrow().clone();
    let response = Caller::new("reports").resume(second, partial).await;

    assert_complete(&response.unwrap(), 3 * LONG_STREAM_TOKENS);
}

/// Guards against a stream that is ended because its engine makes no progress for a while, although
/// no other engine can continue it.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_stream_that_cannot_move_is_whole() {
    let timeouts = "report_poll = 200ms\nengine_silence = 1s\nengine_progress = 2s".to_owned();
    let spec = DeploymentSpec { forced_prefix: false, timeouts, ..DeploymentSpec::default() };
    let deployment = Deployment::start(spec).await;
    let address = deployment.vms[0].http;
    let streaming = tokio::spawn(async move {
        Caller::new("reports").stream(address, "a long report", LONG_STREAM_TOKENS, |_| {}).await
    });
    wait_for("the stream to run", || async {
        let tokens = deployment.metric(0, "dragonflycart_tokens_total").await?;
        (tokens >= 20.0).then_some(())
    })
    .await;

    for engine in &deployment.engines {
        engine.command(EngineCommand::Stall { stalled: true });
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    for engine in &deployment.engines {
        engine.command(EngineCommand::Stall { stalled: false });
    }
    let response = streaming.await.unwrap();

    assert_complete(&response.unwrap(), LONG_STREAM_TOKENS);
}
