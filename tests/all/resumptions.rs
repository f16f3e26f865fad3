//! Tests of real gateway processes with generations that go on at another engine, while the engine
//! before works until it is told to stop or exits.

use std::time::{Duration, Instant};

use dragonflycart_standins::{
    CallerResponse, FinalCopy, ManifestSpec, ResumptionFault, RunPart, UnframedOptions, send,
};
use dragonflycart_testkit::RelayMode;

use crate::support::{
    GatewayFleet,
    unframed_fleet::{
        LAST_EVENT, NOTICE, OUTPUT_TOKENS, OVERLAP_ALLOWED, UnframedFleet, event_ids,
    },
};

/// Fault of an engine that begins at once and sends its head late.
const LATE_HEAD: ResumptionFault = ResumptionFault::LateHead(Duration::from_millis(1_500));
/// Fault of an engine that begins at once and loses the connection before the head.
const EARLY_CUT: ResumptionFault = ResumptionFault::Cut(Duration::from_millis(100));
/// Time from the start of a resumption to the caller's leaving.
const LEAVE_DELAY: Duration = Duration::from_millis(200);
/// Time for which an engine can't be reached.
const UNREACHABLE_TIME: Duration = Duration::from_millis(1_500);
/// Silence for which the engine counts as lost: more than four times the route's pause target.
const SHORT_SILENCE: Duration = Duration::from_millis(1_200);
/// Longest time from the death of an engine to the resumption of its streams: four times the route's
/// pause target, 250 ms for the calls to the engine, and 130 ms for the processes of the test.
const DEAD_ENGINE_PAUSE: Duration = Duration::from_millis(1_100);
/// Longest time from the exit of an engine to the resumption of its streams: the time after which a
/// call without an answer no longer delays a stream.
const EXITED_ENGINE_PAUSE: Duration = Duration::from_millis(250);
/// Duration of a copy for which a generation does not wait.
const SLOW_COPY: Duration = Duration::from_millis(500);
/// Time for which an engine drops what it is sent.
const DARK_TIME: Duration = Duration::from_millis(1_000);
/// Notice of an engine whose moves wait longer than a stream takes.
const LONG_NOTICE: Duration = Duration::from_secs(8);
/// Time after which a first copy is complete.
const FIRST_COPY_TIME: Duration = Duration::from_millis(300);
/// Time after which callers abandon a stream without progress.
const PATIENCE: Duration = Duration::from_secs(2);
/// Interval at which engines renew their registrations.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Number of these intervals after which an engine crashes: the retry budget, which is empty at the
/// start, has a retry by then.
const HEARTBEATS_BEFORE_CRASH: u32 = 5;
/// Silence that outlasts all streams.
const LASTING_SILENCE: Duration = Duration::from_secs(60);

/// Starts engines that hold no backup copies and go on to work on requests whose connection closes.
async fn start_without_backups(name: &str, final_copy: FinalCopy) -> UnframedFleet {
    let options = UnframedOptions {
        final_copy,
        keeps_backups: false,
        drops_requests: false,
        resumption_fault: ResumptionFault::None,
    };
    UnframedFleet::start_with(name, options, 3, 0.0).await
}

fn assert_overlap_allowed(unframed: &UnframedFleet, since: Instant) {
    let overlap = unframed.overlap_since(since);
    println!("both engines worked for {overlap:?}");
    assert!(overlap <= OVERLAP_ALLOWED, "both engines worked for {overlap:?}");
}

fn assert_whole(response: &CallerResponse) {
    assert!(response.is_complete, "{} events", event_ids(response).len());
    assert_eq!(event_ids(response), (0..=LAST_EVENT).collect::<Vec<_>>());
}

/// Guards against an engine that drains and works on until the head of the engine that goes on comes,
/// which has begun long before (TWICE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_engine_stops_before_a_late_head() {
    let start = Instant::now();
    let mut unframed = UnframedFleet::start_with_backups("resumed-late", LATE_HEAD).await;
    let (source, response) = unframed.start_stream().await;

    unframed.drain_until_exit(source).await;
    let response = unframed.wait_end(response).await;

    assert_overlap_allowed(&unframed, start);
    assert_whole(&response);
    unframed.close();
}

/// Guards against an engine that drains and is never told to stop, because the engine that goes on
/// has begun but its connection was lost before the head (TWICE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_engine_stops_if_the_resumption_is_cut() {
    let start = Instant::now();
    let mut unframed = UnframedFleet::start_with_backups("resumed-cut", EARLY_CUT).await;
    let (source, response) = unframed.start_stream().await;

    unframed.drain_until_exit(source).await;
    unframed.wait_end(response).await;
    unframed.wait_idle().await;

    assert_overlap_allowed(&unframed, start);
    unframed.close();
}

/// Guards against an engine that drains and works on while the engine that goes on has begun, because
/// the caller left before its head (TWICE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_engine_stops_if_the_caller_leaves_before_a_late_head() {
    let start = Instant::now();
    let mut unframed = UnframedFleet::start_with_backups("resumed-left", LATE_HEAD).await;
    let (source, response) = unframed.start_stream().await;

    unframed.engines[source].drain(NOTICE);
    unframed.wait_until(|engines| engines.iter().any(|engine| !engine.resumed().is_empty())).await;
    tokio::time::sleep(LEAVE_DELAY).await;
    response.abort();
    unframed.wait(NOTICE).await;
    unframed.engines[source].exit();
    unframed.wait_idle().await;

    assert_overlap_allowed(&unframed, start);
    unframed.close();
}

/// Guards against an engine that works on a generation whose connection was cut, until the head of
/// the engine that goes on comes (TWICE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_of_a_cut_stream_stops_before_a_late_head() {
    let start = Instant::now();
    let mut unframed = UnframedFleet::start_with_backups("resumed-broken", LATE_HEAD).await;
    let (source, response) = unframed.start_stream().await;

    unframed.engines[source].cut_streams();
    let response = unframed.wait_end(response).await;
    unframed.wait_idle().await;

    assert_overlap_allowed(&unframed, start);
    assert_whole(&response);
    unframed.close();
}

/// Guards against an engine that works on a generation whose stream is silent, until the head of the
/// engine that goes on comes (TWICE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_of_a_silent_stream_stops_before_a_late_head() {
    let start = Instant::now();
    let mut unframed = UnframedFleet::start_with_backups("resumed-silent", LATE_HEAD).await;
    let (source, response) = unframed.start_stream().await;

    unframed.engines[source].silence_streams(LASTING_SILENCE);
    let response = unframed.wait_end(response).await;
    unframed.wait_idle().await;

    assert_overlap_allowed(&unframed, start);
    assert_whole(&response);
    unframed.close();
}

/// Guards against two engines that work on a generation, because the response to its final copy was
/// lost and it then goes on at its backup (TWICE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generation_whose_final_copy_is_lost_goes_on_at_its_backup_alone() {
    let start = Instant::now();
    let mut unframed = start_without_backups("resumed-lost", FinalCopy::Lost).await;
    let (source, response) = unframed.start_stream().await;

    unframed.engines[source].drain(NOTICE);
    unframed.wait_until(|engines| !engines[source].copied_to().is_empty()).await;
    for engine in &unframed.engines {
        engine.keep_backups();
    }
    let response = unframed.wait_end(response).await;
    unframed.wait_idle().await;

    assert_overlap_allowed(&unframed, start);
    assert_whole(&response);
    unframed.close();
}

/// Guards against an engine that works on a generation which goes on elsewhere, because it couldn't
/// be told to stop at once and isn't told when it can be reached again (TWICE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_that_can_be_reached_again_stops() {
    let mut unframed =
        UnframedFleet::start_behind_relays("resumed-apart", ResumptionFault::None).await;
    let (source, response) = unframed.start_stream().await;

    unframed.set_reachable(source, false);
    unframed.engines[source].cut_streams();
    unframed.wait(UNREACHABLE_TIME).await;
    unframed.set_reachable(source, true);
    let reachable_at = Instant::now();
    let response = unframed.wait_end(response).await;
    unframed.wait_idle().await;

    assert_overlap_allowed(&unframed, reachable_at);
    assert_whole(&response);
    unframed.close();
}

/// Guards against a stream that is lost because its engine was stopped for a backup copy that is then
/// refused, although the engine drains and can still copy the memory (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_at_a_draining_engine_is_whole_if_its_backup_is_refused() {
    let mut unframed = start_without_backups("refused-drain", FinalCopy::Copied).await;
    let (source, response) = unframed.start_stream().await;

    unframed.drain_until_exit(source).await;
    let response = unframed.wait_end(response).await;

    assert_whole(&response);
    unframed.close();
}

/// Guards against a stream that is lost because its engine was stopped after a short silence for a
/// backup copy that is then refused (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_that_is_silent_for_a_short_time_is_whole_if_its_backup_is_refused() {
    let mut unframed = start_without_backups("refused-silent", FinalCopy::Copied).await;
    let (source, response) = unframed.start_stream().await;

    unframed.engines[source].silence_streams(SHORT_SILENCE);
    let response = unframed.wait_end(response).await;

    assert_whole(&response);
    unframed.close();
}

/// Guards against a stream that is lost because its engine, which has exited, can't be told to stop
/// it before it goes on at its backup (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_whose_engine_has_exited_goes_on_at_its_backup() {
    let mut unframed =
        UnframedFleet::start_with_backups("exited-backup", ResumptionFault::None).await;
    let (source, response) = unframed.start_stream().await;

    unframed.engines[source].exit();
    let response = unframed.wait_end(response).await;

    assert_whole(&response);
    unframed.close();
}

/// Guards against a stream whose engine was stopped without an answer, whose backup copy is refused,
/// and which then ends as if it were complete (ORDER).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_whose_engine_stops_without_an_answer_does_not_end_as_complete() {
    let mut unframed = start_without_backups("stopped-lost", FinalCopy::Lost).await;
    let (source, response) = unframed.start_stream().await;

    unframed.engines[source].silence_streams(SHORT_SILENCE);
    let response = unframed.wait_end(response).await;

    let count = event_ids(&response).len() as u64;
    println!("{count} events, complete: {}", response.is_complete);
    assert!(!response.is_complete || count == LAST_EVENT + 1, "{count} events look complete");
    unframed.close();
}

/// Guards against a stream that is lost because its engine was silent for a short time and is still
/// told to stop it after its backup copy was refused (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_an_engine_that_halts_for_a_short_time_is_whole_if_its_backup_is_refused() {
    let mut unframed = UnframedFleet::start_without_backups_behind_relays("refused-halted").await;
    let (source, response) = unframed.start_stream().await;

    unframed.set_mode(source, RelayMode::Stall);
    unframed.wait(SHORT_SILENCE).await;
    unframed.set_mode(source, RelayMode::Pass);
    let response = unframed.wait_end(response).await;

    assert_whole(&response);
    unframed.close();
}

/// Guards against a stream that is lost because its engine was silent for a short time, its backup
/// copy was refused, and the copy that its engine retains was freed as it took long (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_whose_final_copy_is_slow_is_whole_if_its_backup_is_refused() {
    let mut unframed = start_without_backups("refused-slow", FinalCopy::Copied).await;
    let (source, response) = unframed.start_stream().await;

    for engine in &unframed.engines {
        engine.slow_copies(SLOW_COPY);
    }
    unframed.engines[source].silence_streams(SHORT_SILENCE);
    let response = unframed.wait_end(response).await;

    assert_whole(&response);
    unframed.close();
}

/// Guards against an engine that works on a generation which goes on elsewhere, because the call
/// that tells it to stop is still waited for when the engine can be reached again (TWICE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_that_drops_the_stop_call_is_told_when_it_can_be_reached_again() {
    let mut unframed =
        UnframedFleet::start_behind_relays("resumed-dark", ResumptionFault::None).await;
    let (source, response) = unframed.start_stream().await;

    unframed.set_mode(source, RelayMode::Discard);
    unframed.wait_until(|engines| engines.iter().any(|engine| !engine.resumed().is_empty())).await;
    tokio::time::sleep(DARK_TIME).await;
    unframed.set_mode(source, RelayMode::Pass);
    let reachable_at = Instant::now();
    unframed.wait_end(response).await;
    unframed.wait_idle().await;

    assert_overlap_allowed(&unframed, reachable_at);
    unframed.close();
}

/// Disturbs one stream of an engine with two, and its new connections for some time, while it sends the
/// other stream. Checks that the generation goes on elsewhere only once the engine was
/// told to stop it.
async fn lose_one_of_two_streams(
    name: &str,
    new_mode: RelayMode,
    disturb: impl Fn(&UnframedFleet, usize),
) {
    let start = Instant::now();
    let mut unframed = UnframedFleet::start_behind_relays(name, ResumptionFault::None).await;
    let (source, responses) = unframed.start_streams_until_two_share_an_engine().await;

    unframed.set_new_mode(source, new_mode);
    disturb(&unframed, source);
    unframed.wait(UNREACHABLE_TIME).await;
    let was_resumed = unframed.engines.iter().any(|engine| !engine.resumed().is_empty());
    unframed.set_new_mode(source, RelayMode::Pass);
    for response in responses {
        assert_whole(&unframed.wait_end(response).await);
    }
    unframed.wait_idle().await;

    assert_overlap_allowed(&unframed, start);
    assert!(!was_resumed, "resumed while its engine was heard");
    unframed.close();
}

/// Guards against a generation that goes on elsewhere while its engine works on it and is heard on
/// another connection, because the stream stalls and no new connection is answered (TWICE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_generation_stays_at_an_engine_that_is_heard() {
    let stall = |unframed: &UnframedFleet, source: usize| {
        unframed.set_oldest_mode(source, RelayMode::Stall);
    };
    lose_one_of_two_streams("resumed-heard", RelayMode::Discard, stall).await;
}

/// Guards against the same where new connections are closed at once (TWICE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_generation_stays_at_an_engine_that_closes_new_connections() {
    let stall = |unframed: &UnframedFleet, source: usize| {
        unframed.set_oldest_mode(source, RelayMode::Stall);
    };
    lose_one_of_two_streams("resumed-closing", RelayMode::Cut, stall).await;
}

/// Guards against the same where the stream's connection is closed (TWICE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_generation_stays_at_an_engine_that_is_heard() {
    let cut = |unframed: &UnframedFleet, source: usize| unframed.engines[source].cut_one_stream();
    lose_one_of_two_streams("resumed-heard-cut", RelayMode::Discard, cut).await;
}

/// Guards against a generation that is stopped and moved although its engine sends events again, because
/// its stream is not read while the engine is called (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_generation_whose_engine_sends_events_again_stays() {
    let mut unframed =
        UnframedFleet::start_behind_relays("resumed-again", ResumptionFault::None).await;
    let (source, responses) = unframed.start_streams_until_two_share_an_engine().await;

    unframed.set_new_mode(source, RelayMode::Discard);
    unframed.set_oldest_mode(source, RelayMode::Stall);
    unframed.wait(UNREACHABLE_TIME).await;
    unframed.set_oldest_mode(source, RelayMode::Pass);
    tokio::time::sleep(FIRST_COPY_TIME).await;
    unframed.set_new_mode(source, RelayMode::Pass);
    // Long enough for a call to stop, and shorter than the rest of the streams.
    unframed.wait(SLOW_COPY).await;
    let was_resumed = unframed.engines.iter().any(|engine| !engine.resumed().is_empty());
    for response in responses {
        assert_whole(&unframed.wait_end(response).await);
    }

    assert!(!was_resumed, "moved although its engine sent events again");
    unframed.close();
}

/// Ends an engine with two streams. Checks that they go on elsewhere within `limit`.
async fn lose_engine(
    mut unframed: UnframedFleet,
    end: impl Fn(&UnframedFleet, usize),
    limit: Duration,
) {
    let (source, responses) = unframed.start_streams_until_two_share_an_engine().await;
    let streams = unframed.engines[source].run_count();

    end(&unframed, source);
    let ended_at = Instant::now();
    for response in responses {
        assert_whole(&unframed.wait_end(response).await);
    }

    let resumed: Vec<_> = unframed.engines.iter().flat_map(|engine| engine.resumed_at()).collect();
    assert_eq!(resumed.len(), streams, "resumptions");
    for resumed_at in resumed {
        let pause = resumed_at.saturating_duration_since(ended_at);
        println!("resumed {pause:?} after the engine ended");
        assert!(pause <= limit, "resumed {pause:?} after the engine ended");
    }
    unframed.close();
}

/// Guards against streams that pause longer than before after their engine died, because it is
/// waited for until it counts as lost (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_a_dead_engine_go_on_at_their_backups_without_delay() {
    let unframed = UnframedFleet::start_behind_relays("resumed-dead", ResumptionFault::None).await;
    let die = |unframed: &UnframedFleet, source: usize| {
        unframed.set_mode(source, RelayMode::Discard);
    };
    lose_engine(unframed, die, DEAD_ENGINE_PAUSE).await;
}

/// Guards against the same where the engine's process stands still: its connections stay open, and new
/// ones are established (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_a_frozen_engine_go_on_at_their_backups_without_delay() {
    let name = "resumed-frozen";
    let unframed = UnframedFleet::start_behind_relays(name, ResumptionFault::None).await;
    let freeze = |unframed: &UnframedFleet, source: usize| {
        unframed.set_mode(source, RelayMode::Stall);
    };
    lose_engine(unframed, freeze, DEAD_ENGINE_PAUSE).await;
}

/// Guards against the same where the process of the engine exits, because its other connections are
/// waited for (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_an_engine_that_exits_go_on_at_their_backups_at_once() {
    let unframed = UnframedFleet::start_with_backups("resumed-exit", ResumptionFault::None).await;
    let exit = |unframed: &UnframedFleet, source: usize| unframed.engines[source].exit();
    lose_engine(unframed, exit, EXITED_ENGINE_PAUSE).await;
}

/// Guards against a stream that ends its move only when its turn has come, long after its response was
/// lost, and goes on too late for its caller (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_that_breaks_while_its_move_waits_goes_on_at_its_backup() {
    let mut unframed =
        UnframedFleet::start_with_backups("broken-move", ResumptionFault::None).await;
    let (source, response) = unframed.start_stream().await;

    unframed.engines[source].drain(LONG_NOTICE);
    unframed.wait_until(|engines| !engines[source].copied_to().is_empty()).await;
    unframed.wait(FIRST_COPY_TIME).await;
    let cut_at = Instant::now();
    unframed.engines[source].cut_streams();
    let response = unframed.wait_end(response).await;

    assert_whole(&response);
    let resumed: Vec<_> = unframed.engines.iter().flat_map(|engine| engine.resumed_at()).collect();
    assert_eq!(resumed.len(), 1, "resumptions");
    let wait = resumed[0].saturating_duration_since(cut_at);
    assert!(wait <= PATIENCE, "the stream goes on after {wait:?}");
    unframed.close();
}

/// Crashes the engine of a stream whose route is resumable, where engines keep backup copies or not.
/// Returns the response, the runs of the stream and how many streams the gateways continued.
async fn crash_resumable(name: &str, has_backups: bool) -> (CallerResponse, Vec<RunPart>, f64) {
    let mut fleet = GatewayFleet::start(name, 0).await;
    fleet.add_engine("i-second").await;
    fleet.add_engine("i-third").await;
    let plan = ManifestSpec { version: 2, extra_routes: 0, keys: vec!["key".to_owned()] };
    let mut plan = plan.to_json();
    plan["routes"][0]["resumable"] = true.into();
    plan["services"][0]["engine"]["backups"] = has_backups.into();
    plan["services"][0]["engine"]["moves"] = false.into();
    fleet.store.put_order("config", &plan);
    fleet.start_gateways().await;
    let request = fleet.stream_request(OUTPUT_TOKENS);
    let (address, id) = (fleet.gateways[0].http_address, request.id.clone());
    let response = tokio::spawn(async move { send(address, &request).await });
    for _ in 0..HEARTBEATS_BEFORE_CRASH {
        tokio::time::sleep(HEARTBEAT).await;
        fleet.heartbeat();
    }

    fleet.crash(&fleet.log.parts(&id)[0].runner);
    while !response.is_finished() {
        tokio::time::sleep(HEARTBEAT).await;
        fleet.heartbeat();
    }

    let repeats = "dragonflycart_gateway_stream_repeats_total{result=\"continued\"}";
    let mut continued = 0.0;
    if !has_backups {
        continued = fleet.metric(fleet.gateways[0].status_address, repeats).await;
    }
    let parts = fleet.log.parts(&id);
    fleet.close();
    (response.await.unwrap(), parts, continued)
}

/// Guards against a stream of a resumable route that is lost with its engine although another one
/// could run it again, and against events that are missing or come twice (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumable_stream_whose_engine_crashes_runs_again_at_another_one() {
    let (response, parts, continued) = crash_resumable("continued-crash", false).await;

    assert_whole(&response);
    assert_eq!(parts.len(), 2, "{parts:?}");
    assert_ne!(parts[0].runner, parts[1].runner);
    assert!(!parts[1].is_resumed, "there was no memory to go on from");
    assert!(parts[0].work.end <= parts[1].work.start, "both engines worked");
    assert_eq!(continued, 1.0);
}

/// Guards against a second run of a stream that could go on from its backup copy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumable_stream_goes_on_from_its_backup_copy_first() {
    let (response, parts, _) = crash_resumable("continued-backup", true).await;

    assert_whole(&response);
    assert_eq!(parts.len(), 2, "{parts:?}");
    assert!(parts[1].is_resumed, "it ran again");
}
