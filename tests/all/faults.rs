//! Tests of the faults of section 1.5 of the design page: single, combined and repeated, under
//! load.

use std::time::Duration;

use dragonflycart_core::{PlanRevision, ZoneState};
use dragonflycart_operator::api::SubmitResponse;
use dragonflycart_testkit::{
    EngineCommand, EngineConfig, FaultCommand, LogCommand, RelayCommand, RelayMode, RelayScope,
    ServiceCommand, ServiceConfig, TokenSource,
};
use tokio::{task::JoinHandle, time::Instant};

use crate::support::{
    Caller, Deployment, DeploymentSpec, HttpResponse, Operator, StreamedResponse, Traffic,
    submit_response, wait_for, zone_name,
};

/// Tokens of a stream that lasts 4 s at 10 ms per token.
const LONG_STREAM_TOKENS: u32 = 400;
/// Longest time for which a caller may receive no token while an unresponsive connection is
/// replaced: the timeout of 2 s and 1 s for the new connection.
const TOKEN_GAP_BOUND: Duration = Duration::from_secs(3);
/// Time within which a change is in effect on every reachable VM.
const IN_EFFECT_BOUND: Duration = Duration::from_secs(3);
/// A pause longer than all timeouts that act like a lease: the pause limit of the control thread
/// (`control_pause`, 1 s), the timeout of peers (`peer_silence`, 3 s) and that of connections to
/// engines (`engine_silence`, 2 s).
const LONG_PAUSE: Duration = Duration::from_secs(5);

type StreamTask = JoinHandle<Result<StreamedResponse, StreamedResponse>>;

fn start_stream(deployment: &Deployment, vm: usize, tokens: u32) -> StreamTask {
    let address = deployment.vms[vm].http;
    tokio::spawn(async move {
        Caller::new("reports").stream(address, "a long report", tokens, |_| {}).await
    })
}

async fn wait_tokens(deployment: &Deployment, vm: usize, count: f64) {
    wait_for("the streams to run", || async {
        let tokens = deployment.metric(vm, "dragonflycart_tokens_total").await?;
        (tokens >= count).then_some(())
    })
    .await;
}

fn assert_complete(response: &StreamedResponse, count: u32) {
    assert_eq!(response.error, None);
    assert_eq!(response.indexes, (0..u64::from(count)).collect::<Vec<u64>>());
    assert_eq!(response.text, TokenSource::expected_text(u64::from(count)));
}

async fn book(deployment: &Deployment, vm: usize, key: &str, attempt: u32) -> HttpResponse {
    let attempt = attempt.to_string();
    let headers = [("idempotency-key", key), ("x-attempt", attempt.as_str())];
    let address = deployment.vms[vm].http;
    Caller::new("orders").call(address, "book", &headers, "{\"drums\":4}").await.unwrap()
}

fn with_engine_relays() -> DeploymentSpec {
    DeploymentSpec { engine_relays: true, ..DeploymentSpec::default() }
}

fn cold_spec() -> DeploymentSpec {
    let base = DeploymentSpec::default();
    let engine =
        EngineConfig { starts_cold: true, cold_limit: 2, report_lag_ms: 200, ..base.engine };
    DeploymentSpec { zones: 1, vms_per_zone: 3, engines: 2, engine, ..DeploymentSpec::default() }
}

/// Streams while the relays to all engines are set to each of `modes` in turn, and returns the
/// longest time between two tokens.
async fn stream_over_links(modes: &[RelayMode]) -> Duration {
    let deployment = Deployment::start(with_engine_relays()).await;
    let mut steps = modes.iter().enumerate();
    let mut next = steps.next();
    let (mut seen, mut last_token, mut longest_gap) = (0, Instant::now(), Duration::ZERO);
    let address = deployment.vms[0].http;
    let response = Caller::new("reports")
        .stream(address, "a long report", LONG_STREAM_TOKENS, |response| {
            if response.indexes.len() == seen {
                return;
            }
            if seen > 0 {
                longest_gap = longest_gap.max(last_token.elapsed());
            }
            (seen, last_token) = (response.indexes.len(), Instant::now());
            let Some((number, mode)) = next else { return };
            if seen >= 50 + 150 * number {
                for relay in &deployment.engine_relays {
                    relay.apply(RelayCommand { scope: RelayScope::Open, mode: *mode });
                }
                next = steps.next();
            }
        })
        .await;

    assert_complete(&response.unwrap(), LONG_STREAM_TOKENS);
    assert!(next.is_none(), "the stream ended before all faults were injected");
    longest_gap
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_link_to_the_engine_is_replaced() {
    // Guards against a stream that hangs on a link that passes no bytes and reports no error.
    let longest_gap = stream_over_links(&[RelayMode::Stall]).await;

    assert!(longest_gap <= TOKEN_GAP_BOUND, "no token for {longest_gap:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn link_to_the_engine_may_fail_in_every_way_in_one_stream() {
    // Guards against a recovery that works only once per stream, or leaves stale state behind.
    let longest_gap = stream_over_links(&[RelayMode::Cut, RelayMode::Discard]).await;

    assert!(longest_gap <= TOKEN_GAP_BOUND, "no token for {longest_gap:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_vm_wakes_and_ends_its_stream() {
    // Guards against lost or repeated tokens when a VM is paused for longer than its own timeouts.
    let deployment = &mut Deployment::start(DeploymentSpec::default()).await;
    let streaming = start_stream(deployment, 0, LONG_STREAM_TOKENS);
    wait_tokens(deployment, 0, 20.0).await;

    deployment.vms[0].process().pause().unwrap();
    tokio::time::sleep(LONG_PAUSE).await;
    deployment.vms[0].process().resume().unwrap();

    assert_complete(&streaming.await.unwrap().unwrap(), LONG_STREAM_TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_paused_vm_is_resumed_at_another() {
    // Guards against a VM that ends its generation when it resumes from a pause, or disturbs the VM
    // at which the caller resumed the stream.
    let mut deployment = Deployment::start(DeploymentSpec::default()).await;
    let address = deployment.vms[0].http;
    let (sender, mut receiver) = tokio::sync::watch::channel(StreamedResponse::default());
    let streaming = tokio::spawn(async move {
        let caller = Caller::new("reports");
        caller
            .stream(address, "a long report", LONG_STREAM_TOKENS, |a| drop(sender.send(a.clone())))
            .await
    });
    receiver.wait_for(|response| response.indexes.len() >= 50).await.unwrap();

    deployment.vms[0].process().pause().unwrap();
    let partial = receiver.borrow().clone();
    let other = deployment.vms[1].http;
    let resuming = tokio::spawn(async move { Caller::new("reports").resume(other, partial).await });
    tokio::time::sleep(Duration::from_secs(2)).await;
    deployment.vms[0].process().resume().unwrap();

    assert_complete(&resuming.await.unwrap().unwrap(), LONG_STREAM_TOKENS);
    assert_complete(&streaming.await.unwrap().unwrap(), LONG_STREAM_TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_paused_with_cold_slots_does_not_overload() {
    // Guards against a VM that, after a pause, uses slots of a cold server based on reports from
    // before the pause.
    let mut deployment = Deployment::start(cold_spec()).await;
    let traffic = Traffic::start(&deployment.http_addresses(), 12, 20, Duration::ZERO);

    for _ in 0..2 {
        deployment.vms[0].process().pause().unwrap();
        for engine in &deployment.engines {
            engine.fault(&FaultCommand::TurnCold);
        }
        tokio::time::sleep(LONG_PAUSE).await;
        let before = deployment.cold_overloads();
        deployment.vms[0].process().resume().unwrap();
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(deployment.cold_overloads(), before, "after the pause");
    }
    let report = traffic.stop().await;

    assert!(report.failures.is_empty(), "{:?}", report.failures);
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_replaced_several_times_under_load_loses_no_stream() {
    // Guards against a stream that survives the loss of one VM but not of another one later.
    let spec = DeploymentSpec { zones: 3, ..DeploymentSpec::default() };
    let mut deployment = Deployment::start(spec).await;
    let addresses = deployment.http_addresses();
    let mut streams = Vec::new();
    for number in 0..6 {
        let addresses = addresses.clone();
        streams.push(tokio::spawn(stream_with_resumes(addresses, number, 2 * LONG_STREAM_TOKENS)));
    }
    wait_tokens(&deployment, 0, 20.0).await;

    for vm in [0, 1, 2, 0] {
        deployment.vms[vm].process().kill().unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        deployment.vms[vm].start();
        deployment.wait_ready(vm).await;
    }

    for stream in streams {
        assert_complete(&stream.await.unwrap(), 2 * LONG_STREAM_TOKENS);
    }
}

/// Streams at one VM and resumes at the next one whenever the connection breaks.
async fn stream_with_resumes(
    addresses: Vec<std::net::SocketAddr>,
    first: usize,
    tokens: u32,
) -> StreamedResponse {
    let caller = Caller::new("reports");
    let address = addresses[first % addresses.len()];
    let mut response = caller.stream(address, "a long report", tokens, |_| {}).await;
    for turn in 1..200 {
        match response {
            Ok(response) => return response,
            // The caller has no generation id yet and sends a new request.
            Err(partial) if partial.last_event.is_empty() => {
                let address = addresses[(first + turn) % addresses.len()];
                response = caller.stream(address, "a long report", tokens, |_| {}).await;
            }
            Err(mut partial) => {
                // A refused resumption leaves its error in the response; the next VM may know the
                // generation.
                partial.error = None;
                let address = addresses[(first + turn) % addresses.len()];
                response = caller.resume(address, partial).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    response.unwrap_or_else(|partial| partial)
}

#[tokio::test(flavor = "multi_thread")]
async fn reclaimed_engine_interrupts_no_stream() {
    // Guards against tokens lost when an engine leaves at short notice and dies before its streams
    // end.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    let streams: Vec<StreamTask> =
        (0..6).map(|number| start_stream(&deployment, number % 2, LONG_STREAM_TOKENS)).collect();
    wait_tokens(&deployment, 0, 50.0).await;

    deployment.engines[0].command(EngineCommand::Leaving { leaving: true });
    tokio::time::sleep(Duration::from_secs(1)).await;
    deployment.engines[0].fault(&FaultCommand::Die);

    for stream in streams {
        assert_complete(&stream.await.unwrap().unwrap(), LONG_STREAM_TOKENS);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn second_engine_failure_ends_a_stream_without_wrong_tokens() {
    // Guards against lost or repeated tokens, and against a stream that ends without an error, when
    // the continuation of a stream fails too. Its request may be the cause of the failures, so it
    // is not retried again (choice 16).
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    let stream = start_stream(&deployment, 0, LONG_STREAM_TOKENS);
    wait_tokens(&deployment, 0, 50.0).await;

    for round in 1..3 {
        let busy = wait_for("an engine to run the stream", || async {
            deployment.engines.iter().position(|engine| engine.running() > 0)
        })
        .await;
        deployment.engines[busy].fault(&FaultCommand::TurnCold);
        if round == 1 {
            wait_tokens(&deployment, 0, 110.0).await;
        }
    }

    let partial = stream.await.unwrap().unwrap_err();
    let error = partial.error.expect("the stream ended without an error event");
    assert!(error.contains("\"interrupted\""), "{error}");
    let count = partial.indexes.len() as u64;
    assert!(count >= 100, "no token came from the continuation");
    assert_eq!(partial.indexes, (0..count).collect::<Vec<u64>>());
    assert_eq!(partial.text, TokenSource::expected_text(count));
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_log_delays_calls_and_breaks_nothing() {
    // Guards against treating a slow log as an unreachable one, and against a second execution.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    deployment.log.command(LogCommand::Slow { ms: 1_000 });

    let (first, second) =
        tokio::join!(book(&deployment, 0, "slow", 1), book(&deployment, 1, "slow", 2));
    let generation =
        Caller::new("desk").complete(deployment.vms[0].http, "text", 10).await.unwrap();

    assert_eq!(first.status, 200, "{:?}", first.body);
    assert_eq!(second.body, first.body);
    assert_eq!(deployment.executions("slow"), 1);
    assert_eq!(generation.status, 200, "{:?}", generation.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_operators_wins_while_the_log_is_slow() {
    // Guards against two accepted plans on the same base revision when the log responds slowly.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    deployment.log.command(LogCommand::Slow { ms: 1_000 });
    let mut plans = Vec::new();
    for limit in [11, 22] {
        let mut plan = deployment.plan.clone();
        plan.zones.get_mut(&zone_name(0)).unwrap().concurrency_limit = limit;
        plans.push(plan);
    }
    let (ops, rival) = (Operator::new("ops"), Operator::new("rival"));

    let (one, two) = tokio::join!(
        ops.submit(deployment.vms[0].admin, 1, &plans[0]),
        rival.submit(deployment.vms[1].admin, 1, &plans[1]),
    );
    deployment.log.command(LogCommand::Slow { ms: 0 });
    // Submitting again resolves a submission whose outcome was unknown.
    let one = resolve_submission(&deployment, &ops, one, &plans[0]).await;
    let two = resolve_submission(&deployment, &rival, two, &plans[1]).await;

    let accepted = SubmitResponse::Accepted { revision: PlanRevision(2) };
    let winners = [&one, &two].into_iter().filter(|response| **response == accepted).count();
    assert_eq!(winners, 1, "{one:?} {two:?}");
    let winner = if one == accepted { 11 } else { 22 };
    for vm in 0..2 {
        wait_for("the winner's plan to be in effect", || async {
            let status = ops.status(deployment.vms[vm].admin).await?;
            (status.zones[&zone_name(0)].concurrency_limit == winner).then_some(())
        })
        .await;
    }
}

async fn resolve_submission(
    deployment: &Deployment,
    operator: &Operator,
    response: HttpResponse,
    plan: &dragonflycart_core::OperatingPlan,
) -> SubmitResponse {
    let mut response = submit_response(&response);
    while matches!(response, SubmitResponse::Unknown | SubmitResponse::NotSeen) {
        let again = operator.submit(deployment.vms[0].admin, 1, plan).await;
        response = submit_response(&again);
    }
    response
}

#[tokio::test(flavor = "multi_thread")]
async fn plan_written_late_has_one_effect() {
    // Guards against a second revision, or none, when the log writes a proposal after the
    // connection of the request was closed.
    let deployment = Deployment::start(DeploymentSpec::default()).await;
    deployment.log.command(LogCommand::ApplyLate { count: 1, ms: 1_500 });
    let mut plan = deployment.plan.clone();
    plan.zones.get_mut(&zone_name(0)).unwrap().concurrency_limit = 44;
    let operator = Operator::new("ops");

    let first = operator.submit(deployment.vms[0].admin, 1, &plan).await;
    let response = resolve_submission(&deployment, &operator, first, &plan).await;
    tokio::time::sleep(Duration::from_secs(3)).await;

    assert_eq!(response, SubmitResponse::Accepted { revision: PlanRevision(2) });
    for vm in 0..2 {
        let revision = deployment.metric(vm, "dragonflycart_plan_revision").await;
        assert_eq!(revision, Some(2.0));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_leaves_and_returns_under_load_without_a_failed_request() {
    // Guards against failed requests and overloaded cold servers while a zone is taken out and back
    // in.
    let spec = DeploymentSpec { zones: 3, ..DeploymentSpec::default() };
    let deployment = Deployment::start(spec).await;
    let operator = Operator::new("ops");
    let zone = zone_name(0);
    let traffic = Traffic::start(&deployment.http_addresses(), 9, 20, Duration::ZERO);
    tokio::time::sleep(Duration::from_secs(1)).await;

    for (base, state) in [(1, ZoneState::Out), (2, ZoneState::In)] {
        let start = Instant::now();
        let admin = deployment.vms[1].admin;
        let response = operator.set_zone(admin, base, &zone, state, false).await;
        assert_eq!(response.status, 200, "{:?}", response.body);
        for vm in 0..3 {
            deployment.wait_revision(vm, base + 1).await;
        }
        assert!(start.elapsed() <= IN_EFFECT_BOUND, "took {:?}", start.elapsed());
        let before = deployment.engines[0].stats().accepted.len();
        if state == ZoneState::Out {
            tokio::time::sleep(Duration::from_secs(2)).await;
            assert_eq!(deployment.engines[0].stats().accepted.len(), before);
            // The zone's engine is restarted while it is out and returns cold.
            deployment.engines[0].fault(&FaultCommand::TurnCold);
        } else {
            wait_for("the zone to get work again", || async {
                (deployment.engines[0].stats().accepted.len() > before).then_some(())
            })
            .await;
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let report = traffic.stop().await;

    assert!(report.failures.is_empty(), "{:?}", report.failures);
    assert_eq!(deployment.cold_overloads(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_without_peers_gets_plans_from_the_log() {
    // Guards against a zone that needs its peers to get a plan although it can reach the log.
    let spec = DeploymentSpec { zones: 3, peer_relays: true, ..DeploymentSpec::default() };
    let mut deployment = Deployment::start(spec).await;
    deployment.cut_peers(0, true);
    wait_for("the partition to be noticed", || async {
        let alive = deployment.metric(0, "dragonflycart_peers_alive").await?;
        (alive == 0.0).then_some(())
    })
    .await;

    let start = Instant::now();
    let revision = deployment.submit_plan().await;
    for vm in 0..3 {
        deployment.wait_revision(vm, revision).await;
    }

    assert!(start.elapsed() <= IN_EFFECT_BOUND, "took {:?}", start.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_zone_catches_up_when_the_partition_heals() {
    // Guards against a zone that stops serving while it is cut off from peers and platform, or
    // keeps an old plan afterwards.
    let spec = DeploymentSpec { zones: 3, peer_relays: true, ..DeploymentSpec::default() };
    let mut deployment = Deployment::start(spec).await;
    deployment.cut_peers(0, true);
    deployment.cut_log(0, true);
    wait_for("the partition to be noticed", || async {
        let alive = deployment.metric(0, "dragonflycart_peers_alive").await?;
        let log = deployment.metric(0, "dragonflycart_log_reachable").await?;
        (alive == 0.0 && log == 0.0).then_some(())
    })
    .await;
    let revision = deployment.submit_plan().await;
    for vm in 1..3 {
        deployment.wait_revision(vm, revision).await;
    }

    let inside = start_stream(&deployment, 0, 50).await.unwrap().unwrap();
    assert_complete(&inside, 50);
    let old = deployment.metric(0, "dragonflycart_plan_revision").await;
    assert_eq!(old, Some(revision as f64 - 1.0));
    deployment.cut_peers(0, false);
    deployment.cut_log(0, false);
    deployment.wait_revision(0, revision).await;
    let call = book(&deployment, 0, "healed", 1).await;

    assert_eq!(call.status, 200, "{:?}", call.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_vms_with_one_ordinal_do_not_overload_a_cold_server() {
    // Guards against a replacement that uses the cold slots of its predecessor, which still runs.
    let mut deployment = Deployment::start(cold_spec()).await;
    let addresses = deployment.http_addresses();
    let traffic = Traffic::start(&addresses, 12, 20, Duration::ZERO);

    let replacement = deployment.start_replacement(0).await;
    deployment.wait_ready(replacement).await;
    for engine in &deployment.engines {
        engine.fault(&FaultCommand::TurnCold);
    }
    // Overloads right after the servers turn cold are not under test here, only later ones.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = deployment.cold_overloads();
    let second = Traffic::start(&[deployment.vms[replacement].http], 6, 20, Duration::ZERO);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let (first, second) = (traffic.stop().await, second.stop().await);

    assert_eq!(deployment.cold_overloads(), before);
    assert!(second.answered > 0, "{:?}", second.failures);
    assert!(first.answered > 0, "{:?}", first.failures);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_during_a_zone_outage_cuts_no_stream() {
    // Guards against a planned stop that breaks off streams because their zone is out of service.
    let mut deployment = Deployment::start(DeploymentSpec::default()).await;
    let streams: Vec<StreamTask> =
        (0..4).map(|number| start_stream(&deployment, number % 2, LONG_STREAM_TOKENS)).collect();
    wait_tokens(&deployment, 0, 20.0).await;
    let operator = Operator::new("ops");
    let admin = deployment.vms[1].admin;
    let response = operator.set_zone(admin, 1, &zone_name(0), ZoneState::Out, false).await;
    assert_eq!(response.status, 200, "{:?}", response.body);

    deployment.vms[0].process().terminate().unwrap();

    for stream in streams {
        assert_complete(&stream.await.unwrap().unwrap(), LONG_STREAM_TOKENS);
    }
    for _ in 0..600 {
        if deployment.vms[0].process().has_ended().unwrap() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the daemon did not exit");
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_waits_for_a_running_call() {
    // Guards against a planned stop that abandons a call that was sent and has no outcome yet.
    let spec = DeploymentSpec {
        booking: ServiceConfig { supports_lookup: false, ..ServiceConfig::default() },
        ..DeploymentSpec::default()
    };
    let mut deployment = Deployment::start(spec).await;
    for server in &deployment.bookings {
        server.command(ServiceCommand::Delay { ms: 2_000 });
    }
    let address = deployment.vms[0].http;
    let call = tokio::spawn(async move {
        let headers = [("idempotency-key", "stopped"), ("x-attempt", "1")];
        Caller::new("orders").call(address, "book", &headers, "{\"drums\":4}").await
    });
    wait_for("the call to be sent", || async {
        deployment.bookings.iter().any(|server| server.running() > 0).then_some(())
    })
    .await;

    deployment.vms[0].process().terminate().unwrap();
    let response = call.await.unwrap().unwrap();
    let again = book(&deployment, 1, "stopped", 2).await;

    assert_eq!(response.status, 200, "{:?}", response.body);
    assert_eq!(again.body, response.body);
    assert_eq!(deployment.executions("stopped"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_vm_list_stops_nothing() {
    // Guards against a daemon that needs the platform's VM list to serve or to spread plans.
    let mut deployment = Deployment::start(DeploymentSpec::default()).await;
    deployment.directory.fault(&FaultCommand::Freeze);
    deployment.vms[1].process().kill().unwrap();
    deployment.vms[1].start();
    deployment.wait_ready(1).await;

    let start = Instant::now();
    let revision = deployment.submit_plan().await;
    for vm in 0..2 {
        deployment.wait_revision(vm, revision).await;
    }
    let took = start.elapsed();
    let response = start_stream(&deployment, 1, 50).await.unwrap().unwrap();

    assert!(took <= IN_EFFECT_BOUND, "took {took:?}");
    assert_complete(&response, 50);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_outlives_the_records_that_the_log_removes() {
    // Guards against a second execution of a key within its window after the log removed the
    // original records of the first execution.
    let spec = DeploymentSpec {
        platform: "record_retention = 1m".to_owned(),
        ..DeploymentSpec::default()
    };
    let mut deployment = Deployment::start(spec).await;
    let first = book(&deployment, 0, "kept", 1).await;
    assert_eq!(first.status, 200, "{:?}", first.body);
    let original_end = topic_end(&deployment, "calls").await;

    // Copies are due at half the retention time.
    tokio::time::sleep(Duration::from_secs(30)).await;
    wait_for("copies to be appended", || async {
        (topic_end(&deployment, "calls").await > original_end).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    deployment.log.command(LogCommand::Expire { first: original_end });
    for vm in 0..2 {
        deployment.vms[vm].process().kill().unwrap();
        deployment.vms[vm].start();
    }
    deployment.wait_ready(1).await;
    let mut attempt = 1;
    let again = wait_for("the outcome to be known", || {
        attempt += 1;
        let deployment = &deployment;
        async move {
            let response = book(deployment, 1, "kept", attempt).await;
            (response.status == 200).then_some(response)
        }
    })
    .await;

    assert_eq!(again.body, first.body);
    assert_eq!(deployment.executions("kept"), 1);
}

async fn topic_end(deployment: &Deployment, topic: &str) -> u64 {
    let path = format!("/topics/{topic}?from=0&wait_ms=0");
    let address = deployment.log.address();
    let response = Caller::new("desk").send(hyper::Method::GET, address, &path, &[], "").await;
    let body = response.unwrap().body;
    let line = body.split(|byte| *byte == b'\n').next().unwrap();
    let header: serde_json::Value = serde_json::from_slice(line).unwrap();
    header["end"].as_u64().unwrap()
}
