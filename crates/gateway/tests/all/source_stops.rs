//! Generations that go on elsewhere after their engine was told to stop them, with scripted engines
//! on the loopback interface.

use std::{collections::BTreeSet, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use dragonflycart_gateway::{
    CallerRequest, ConnectionPool, EngineWatcher, FleetOrder, GatewayContext,
    GenerationReservation, MoveOutcome, RouteKind, ServerConnection, ServerRecord, StopPhase,
    StreamProgress,
};

use crate::{
    fixtures::{ENGINES, caller_request, context_with_pool, plan, position, record, report, route},
    scripted_engine::{EngineAnswer, EngineScript, ScriptedEngine},
    slow_connector::SlowConnector,
    stub_store::StubStore,
};

/// Time in which memory that is not used any more is freed.
const RELEASE_TIME: Duration = Duration::from_millis(600);
/// Interval at which an engine is heard, and the number of times. Together they are longer than the
/// silence after which it would count as lost.
const HEARD_INTERVAL: Duration = Duration::from_millis(200);
const HEARD_TIMES: u32 = 8;
/// Time until connections to an engine are established.
const LONG_CONNECT: Duration = Duration::from_millis(600);
/// Time for which two engines may work on a generation.
const OVERLAP_ALLOWED: Duration = Duration::from_millis(400);
/// Time in which the listener of a dropped engine closes.
const EXIT_TIME: Duration = Duration::from_millis(50);
/// Time in which an engine that can be reached again is told.
const TOLD_TIME: Duration = Duration::from_millis(1_500);
/// Last event that was forwarded.
const LAST_EVENT: u64 = 3;

/// Stream whose engine's response was lost, and the engines.
struct LostStream {
    context: Arc<GatewayContext>,
    request: CallerRequest,
    reservation: GenerationReservation,
    progress: Arc<StreamProgress>,
    source: ScriptedEngine,
    backup: ScriptedEngine,
}

impl LostStream {
    /// Starts the engines, each of which may be the source.
    async fn start(script: EngineScript) -> LostStream {
        LostStream::start_with(script, ConnectionPool::default()).await
    }

    /// Starts the same with a pool.
    async fn start_with(script: EngineScript, pool: ConnectionPool) -> LostStream {
        let context = context_with_pool(Arc::new(StubStore::default()), pool);
        let mut engines = Vec::new();
        for index in 0..2 {
            let engine = ScriptedEngine::start(script).await;
            let record = ServerRecord { address: engine.address, ..record(ENGINES, "a", 8_000) };
            let now = context.clock.now();
            context.view().apply_server(&format!("e{index}"), record, position(index), now);
            engines.push(engine);
        }
        let route = route("reports", "/reports/", RouteKind::Stream, ENGINES);
        let request = caller_request(&context, route, report());
        let reservation = GenerationReservation::take(&context, &request, &BTreeSet::new());
        let reservation = reservation.expect("an engine has room");
        assert!(reservation.backup.is_some(), "no engine for copies");
        if engines[0].address != reservation.engine.address() {
            engines.reverse();
        }
        let progress = Arc::new(StreamProgress::new(None));
        progress.begin();
        progress.advance(LAST_EVENT);
        let (backup, source) = (engines.pop().unwrap(), engines.pop().unwrap());
        LostStream { context, request, reservation, progress, source, backup }
    }

    async fn recover(&self, watcher: &mut EngineWatcher) -> MoveOutcome {
        watcher.recover(&self.request, &self.reservation, &self.progress).await
    }

    /// Makes it known that the backup engine is going to leave.
    fn announce_backup_leaving(&self) {
        let now = self.context.clock.now();
        let backup = self.reservation.backup.as_ref().unwrap().server();
        self.context.view().note_announced_leaving(backup, now);
    }

    /// Returns the number of resumptions that the budget still allows, and uses it up.
    fn left_resumptions(&self) -> usize {
        let now = self.context.clock.now();
        (0..1_000).take_while(|_| self.context.view().take_resumption(ENGINES, now)).count()
    }

    /// Opens connections that stay idle after a response from the source.
    async fn keep_connections(&self, count: usize) {
        let (pool, address) = (&self.context.pool, self.source.address);
        let mut connections = Vec::new();
        for _ in 0..count {
            let mut connection = pool.acquire(address).await.unwrap();
            let head = b"GET /kept HTTP/1.1\r\nhost: e\r\n\r\n";
            connection.exchange(head, &Bytes::new(), None).await.unwrap();
            connections.push(connection);
        }
        for connection in connections {
            pool.put_back(address, connection);
        }
    }

    /// Makes a plan known in which engines have no call that copies or stops a generation.
    fn forbid_moves(&self) {
        let mut plan = plan(2);
        let engine = plan.services.get_mut(ENGINES).and_then(|service| service.engine.as_mut());
        engine.unwrap().can_move = false;
        let now = self.context.clock.now();
        self.context.view().apply_order(FleetOrder::Plan(Arc::new(plan)), now);
    }

    async fn next(&self, watcher: &mut EngineWatcher) -> MoveOutcome {
        watcher.next(&self.request, &self.reservation, &self.progress).await
    }

    fn resumption_count(&self) -> usize {
        self.source.calls().resumptions.len() + self.backup.calls().resumptions.len()
    }
}

fn script(
    final_copies: &'static [EngineAnswer],
    resumptions: &'static [EngineAnswer],
) -> EngineScript {
    EngineScript { final_copies, resumptions }
}

/// Guards against a second engine that works on a generation which its first one goes on to run,
/// because that one answers that it is busy with another copy (TWICE).
#[tokio::test]
async fn generation_stays_at_an_engine_that_is_busy() {
    let stream = LostStream::start(script(&[EngineAnswer::BUSY], &[EngineAnswer::RESUMED])).await;

    let outcome = stream.recover(&mut EngineWatcher::new(&stream.context)).await;

    assert!(matches!(outcome, MoveOutcome::Stays));
    assert_eq!(stream.resumption_count(), 0, "resumed while the engine may run it");
}

/// Guards against the same where the engine is reached, but its answer is not understood.
#[tokio::test]
async fn generation_stays_at_an_engine_whose_answer_is_unclear() {
    const UNCLEAR: EngineAnswer = EngineAnswer { status: Some(500), ..EngineAnswer::BUSY };
    let stream = LostStream::start(script(&[UNCLEAR], &[EngineAnswer::RESUMED])).await;

    let outcome = stream.recover(&mut EngineWatcher::new(&stream.context)).await;

    assert!(matches!(outcome, MoveOutcome::Stays));
    assert_eq!(stream.resumption_count(), 0, "resumed while the engine may run it");
}

/// Guards against memory that is freed while the generation goes on from it.
#[tokio::test]
async fn retained_memory_is_kept_for_the_generation_that_goes_on_from_it() {
    let stream = LostStream::start(script(&[EngineAnswer::COPIED], &[EngineAnswer::RESUMED])).await;
    let mut watcher = EngineWatcher::new(&stream.context);

    let outcome = stream.recover(&mut watcher).await;
    drop(watcher);
    tokio::time::sleep(RELEASE_TIME).await;

    assert!(matches!(outcome, MoveOutcome::Resumed(_)));
    let from = format!("{}/h1", stream.source.address);
    assert_eq!(stream.backup.calls().resumptions, [from]);
    assert!(stream.source.calls().releases.is_empty(), "the memory is in use");
}

/// Guards against a generation that is lost although its engine retains its memory: the engine
/// answers a later call first, that it does not run the generation, and the one that stopped it last.
#[tokio::test]
async fn memory_retained_by_an_earlier_call_is_used_after_the_backup_refused() {
    const COPIED_LATE: EngineAnswer = EngineAnswer::COPIED.after(Duration::from_millis(200));
    let copies = &[COPIED_LATE, EngineAnswer::UNKNOWN];
    let stream = LostStream::start(script(copies, &[EngineAnswer::REFUSED])).await;

    let outcome = stream.recover(&mut EngineWatcher::new(&stream.context)).await;

    assert!(matches!(outcome, MoveOutcome::Gone));
    assert_eq!(stream.backup.calls().resumptions, [format!("{}/a1", stream.backup.address)]);
    assert_eq!(stream.source.calls().resumptions, [format!("{}/h1", stream.source.address)]);
}

/// Guards against memory that an engine retains for good after the generation could not go on.
#[tokio::test]
async fn retained_memory_is_freed_if_the_generation_can_not_go_on() {
    let stream = LostStream::start(script(&[EngineAnswer::COPIED], &[EngineAnswer::REFUSED])).await;
    let mut watcher = EngineWatcher::new(&stream.context);

    let outcome = stream.recover(&mut watcher).await;
    drop(watcher);
    tokio::time::sleep(RELEASE_TIME).await;

    assert!(matches!(outcome, MoveOutcome::Gone));
    assert_eq!(stream.source.calls().releases, ["h1"]);
}

/// Guards against a generation that is resumed at its first engine although the second one may have
/// resumed it, because the response from there was lost (TWICE).
#[tokio::test]
async fn generation_whose_resumption_was_lost_is_not_resumed_again() {
    let stream = LostStream::start(script(&[EngineAnswer::COPIED], &[EngineAnswer::LOST])).await;

    let outcome = stream.recover(&mut EngineWatcher::new(&stream.context)).await;

    assert!(matches!(outcome, MoveOutcome::Gone));
    assert_eq!(stream.resumption_count(), 1, "resumed twice");
}

/// Starts the move of a stream whose engine announces its shutdown, and waits until its final copy
/// is requested.
async fn start_final_copy(stream: &LostStream, watcher: &mut EngineWatcher) {
    let now = stream.context.clock.now();
    stream.context.view().note_announced_leaving(stream.reservation.engine.server(), now);
    while stream.source.calls().final_copies == 0 {
        let next = watcher.next(&stream.request, &stream.reservation, &stream.progress);
        let outcome = tokio::time::timeout(Duration::from_millis(20), next).await;
        assert!(outcome.is_err(), "the move ended before its final copy");
    }
}

/// Guards against a generation that is resumed twice while two moves of it act at the same time: one
/// from a draining engine, which has asked for the final copy and got no answer, and one to the
/// backup after the stream was cut (TWICE).
#[tokio::test]
async fn two_moves_of_a_generation_resume_it_once() {
    const LOST_LATE: EngineAnswer = EngineAnswer::LOST.after(Duration::from_millis(200));
    let copies = &[LOST_LATE, EngineAnswer::UNKNOWN];
    let stream = LostStream::start(script(copies, &[EngineAnswer::RESUMED])).await;
    let mut watcher = EngineWatcher::new(&stream.context);

    start_final_copy(&stream, &mut watcher).await;
    let outcome = stream.recover(&mut watcher).await;

    assert!(matches!(outcome, MoveOutcome::Resumed(_)));
    assert!(stream.source.calls().final_copies > 1, "only one of the moves acted");
    assert_eq!(stream.backup.calls().resumptions, [format!("{}/a1", stream.backup.address)]);
    assert_eq!(stream.resumption_count(), 1, "resumed twice");
}

/// Guards against the same where the final copy is answered after the stream was cut (TWICE).
#[tokio::test]
async fn stream_that_is_cut_during_its_final_copy_is_resumed_once() {
    const COPIED_LATE: EngineAnswer = EngineAnswer::COPIED.after(Duration::from_millis(200));
    let copies = &[COPIED_LATE, EngineAnswer::UNKNOWN];
    let stream = LostStream::start(script(copies, &[EngineAnswer::RESUMED])).await;
    let mut watcher = EngineWatcher::new(&stream.context);

    start_final_copy(&stream, &mut watcher).await;
    let outcome = stream.recover(&mut watcher).await;
    tokio::time::sleep(RELEASE_TIME).await;

    assert!(matches!(outcome, MoveOutcome::Resumed(_)));
    assert_eq!(stream.backup.calls().resumptions, [format!("{}/h1", stream.source.address)]);
    assert_eq!(stream.resumption_count(), 1, "resumed twice");
}

/// Guards against returns that are left out of the budget, and against permits that count although
/// nothing was sent (BUDGET).
#[tokio::test]
async fn each_resumption_that_is_sent_counts_once() {
    for (is_full, sent) in [(false, 1), (true, 2)] {
        let stream = LostStream::start(script(&[EngineAnswer::COPIED], &[EngineAnswer::RESUMED]));
        let unused = LostStream::start(script(&[EngineAnswer::COPIED], &[EngineAnswer::RESUMED]));
        let (stream, allowed) = (stream.await, unused.await.left_resumptions());
        if is_full {
            stream.backup.fill();
        }

        let outcome = stream.recover(&mut EngineWatcher::new(&stream.context)).await;

        assert!(matches!(outcome, MoveOutcome::Resumed(_)));
        assert_eq!(stream.resumption_count(), sent);
        assert_eq!(stream.left_resumptions(), allowed - sent);
    }
}

/// Guards against calls that stop a generation after the move has left it at its engine (LOST).
#[tokio::test]
async fn generation_that_stays_after_its_final_copy_is_not_stopped_later() {
    let stream = LostStream::start(script(&[EngineAnswer::LOST], &[EngineAnswer::RESUMED])).await;
    let mut watcher = EngineWatcher::new(&stream.context);

    start_final_copy(&stream, &mut watcher).await;
    let outcome = stream.next(&mut watcher).await;
    let calls = stream.source.calls().final_copies;
    tokio::time::sleep(RELEASE_TIME).await;

    assert!(matches!(outcome, MoveOutcome::Stays));
    assert_eq!(stream.source.calls().final_copies, calls, "told to stop after it stayed");
}

/// Final copy that is answered after a test has changed something.
const SLOW_COPY: &[EngineAnswer] = &[EngineAnswer::COPIED.after(Duration::from_millis(200))];

/// Guards against a generation that is lost after its final copy although its engine retains its
/// memory: the target began to leave during the copy and got no request, and the way back needed
/// another permit of a budget that was used up (LOST).
#[tokio::test]
async fn generation_returns_if_its_target_leaves_during_the_final_copy() {
    let stream = LostStream::start(script(SLOW_COPY, &[EngineAnswer::RESUMED])).await;
    let mut watcher = EngineWatcher::new(&stream.context);

    start_final_copy(&stream, &mut watcher).await;
    stream.left_resumptions();
    stream.announce_backup_leaving();
    let outcome = stream.next(&mut watcher).await;

    assert!(matches!(outcome, MoveOutcome::Resumed(_)), "the generation is lost");
    assert_eq!(stream.source.calls().resumptions, [format!("{}/h1", stream.source.address)]);
    assert!(stream.backup.calls().resumptions.is_empty(), "sent to an engine that leaves");
}

/// Guards against the same where the target refuses the generation for want of room (LOST).
#[tokio::test]
async fn generation_returns_if_its_target_refuses_it_and_the_budget_is_used_up() {
    let stream = LostStream::start(script(SLOW_COPY, &[EngineAnswer::RESUMED])).await;
    let mut watcher = EngineWatcher::new(&stream.context);

    start_final_copy(&stream, &mut watcher).await;
    stream.left_resumptions();
    stream.backup.fill();
    let outcome = stream.next(&mut watcher).await;

    assert!(matches!(outcome, MoveOutcome::Resumed(_)), "the generation is lost");
    assert_eq!(stream.backup.calls().resumptions, [format!("{}/h1", stream.source.address)]);
    assert_eq!(stream.source.calls().resumptions, [format!("{}/h1", stream.source.address)]);
}

/// Guards against a generation that is lost because the answer to its final copy was lost: its engine
/// works on, and retains the memory of the generation that it has stopped (LOST).
#[tokio::test]
async fn generation_goes_on_after_the_answer_to_its_final_copy_was_lost() {
    const LOST_LATE: EngineAnswer = EngineAnswer::LOST.after(Duration::from_millis(200));
    let copies = &[LOST_LATE, EngineAnswer::COPIED];
    let stream = LostStream::start(script(copies, &[EngineAnswer::RESUMED])).await;
    let mut watcher = EngineWatcher::new(&stream.context);

    start_final_copy(&stream, &mut watcher).await;
    let outcome = stream.next(&mut watcher).await;

    assert!(matches!(outcome, MoveOutcome::Resumed(_)), "the generation is lost");
    assert_eq!(stream.backup.calls().resumptions, [format!("{}/h1", stream.source.address)]);
    assert_eq!(stream.resumption_count(), 1, "resumed twice");
}

/// Guards against a resumption that is given up before a planned stop ends the process: its caller
/// has received the head of the response and can get no other answer (LOST).
#[tokio::test]
async fn resumption_is_awaited_until_a_planned_stop_ends_the_process() {
    const RESUMED_LATE: EngineAnswer = EngineAnswer::RESUMED.after(Duration::from_millis(150));
    let stream = LostStream::start(script(&[EngineAnswer::COPIED], &[RESUMED_LATE])).await;

    stream.context.begin_stop(tokio::time::Instant::now() + Duration::from_millis(200));
    stream.context.stop.send_replace(StopPhase::Ending);
    let outcome = stream.recover(&mut EngineWatcher::new(&stream.context)).await;

    assert!(matches!(outcome, MoveOutcome::Resumed(_)), "the generation is lost");
}

/// Guards against a generation that goes on elsewhere while its engine works on it, because an engine
/// that accepts no new connections is not told on one that is open (TWICE).
#[tokio::test]
async fn engine_that_accepts_no_connections_is_told_on_an_idle_one() {
    let stream = LostStream::start(script(&[EngineAnswer::COPIED], &[EngineAnswer::RESUMED])).await;
    stream.keep_connections(1).await;
    let queued = stream.source.fill_queue().await;

    let outcome = stream.recover(&mut EngineWatcher::new(&stream.context)).await;

    assert!(matches!(outcome, MoveOutcome::Resumed(_)));
    assert_eq!(stream.source.calls().final_copies, 1, "the engine was not told");
    stream.source.empty_queue(queued);
}

/// Asserts that a recovery waits while the engine answers on a connection, for longer than the silence
/// after which the engine would count as lost.
async fn assert_waits(
    heard: &mut ServerConnection,
    mut recovery: Pin<&mut impl Future<Output = MoveOutcome>>,
) {
    for _ in 0..HEARD_TIMES {
        let head = b"GET /heard HTTP/1.1\r\nhost: e\r\n\r\n";
        heard.exchange(head, &Bytes::new(), None).await.unwrap();
        let outcome = tokio::time::timeout(HEARD_INTERVAL, recovery.as_mut()).await;
        assert!(outcome.is_err(), "the generation did not wait");
    }
}

/// Guards against a generation that goes on elsewhere while its engine is heard, because the engine
/// accepts no new connections for some time (TWICE).
#[tokio::test]
async fn generation_waits_for_an_engine_that_is_heard() {
    let stream = LostStream::start(script(&[EngineAnswer::COPIED], &[EngineAnswer::RESUMED])).await;
    stream.keep_connections(1).await;
    let pool = &stream.context.pool;
    let mut heard = pool.acquire(stream.source.address).await.unwrap();
    let queued = stream.source.fill_queue().await;
    let mut watcher = EngineWatcher::new(&stream.context);

    {
        let recovery = stream.recover(&mut watcher);
        tokio::pin!(recovery);
        assert_waits(&mut heard, recovery.as_mut()).await;
        assert_eq!(stream.resumption_count(), 0, "resumed while its engine was heard");
        stream.source.empty_queue(queued);

        let outcome = recovery.await;

        assert!(matches!(outcome, MoveOutcome::Resumed(_)));
    }
    assert_eq!(stream.backup.calls().resumptions, [format!("{}/h1", stream.source.address)]);
}

/// Guards against an engine that is never told to stop because its address rejected connections for
/// some time, as in a partition, although its process runs (TWICE).
#[tokio::test]
async fn engine_whose_address_rejected_connections_is_told_later() {
    let answers = script(&[EngineAnswer::UNKNOWN], &[EngineAnswer::RESUMED]);
    let LostStream { context, request, reservation, progress, source, backup } =
        LostStream::start(answers).await;
    let address = source.address;
    drop(source);
    tokio::time::sleep(EXIT_TIME).await;
    let mut watcher = EngineWatcher::new(&context);

    let outcome = watcher.recover(&request, &reservation, &progress).await;
    let source = ScriptedEngine::start_at(address, answers);
    tokio::time::sleep(TOLD_TIME).await;

    assert!(matches!(outcome, MoveOutcome::Resumed(_)), "the engine counted as running");
    assert_eq!(backup.calls().resumptions, [format!("{}/a1", backup.address)]);
    assert!(source.calls().final_copies > 0, "the engine was not told");
}

/// Guards against a generation that goes on elsewhere while its engine is heard, because the engine
/// has closed its listener before it ends (TWICE).
#[tokio::test]
async fn generation_waits_for_an_engine_that_is_heard_without_a_listener() {
    let answers = script(&[EngineAnswer::COPIED], &[EngineAnswer::RESUMED]);
    let stream = LostStream::start(answers).await;
    stream.keep_connections(1).await;
    let mut heard = stream.context.pool.acquire(stream.source.address).await.unwrap();
    let LostStream { context, request, reservation, progress, source, backup } = stream;
    drop(source);
    tokio::time::sleep(EXIT_TIME).await;
    let mut watcher = EngineWatcher::new(&context);

    let recovery = watcher.recover(&request, &reservation, &progress);
    tokio::pin!(recovery);
    assert_waits(&mut heard, recovery.as_mut()).await;
    heard.close();
    let outcome = recovery.await;

    assert!(matches!(outcome, MoveOutcome::Resumed(_)), "the engine counted as running");
    assert_eq!(backup.calls().resumptions, [format!("{}/a1", backup.address)]);
}

/// Guards against an engine that is not told to stop for as long as the link of the VM is full,
/// because each call gives up before it is connected (TWICE).
#[tokio::test]
async fn engine_is_told_across_a_link_on_which_connections_take_long() {
    let connector = SlowConnector::default();
    let answers = script(&[EngineAnswer::UNKNOWN], &[EngineAnswer::RESUMED]);
    let pool = ConnectionPool::new(Box::new(connector.clone()));
    let stream = LostStream::start_with(answers, pool).await;
    connector.delay(stream.source.address, LONG_CONNECT);

    let outcome = stream.recover(&mut EngineWatcher::new(&stream.context)).await;
    tokio::time::sleep(OVERLAP_ALLOWED).await;

    assert!(matches!(outcome, MoveOutcome::Resumed(_)));
    assert!(stream.source.calls().final_copies > 0, "the engine was not told");
}

/// Guards against a generation that is stopped at the engine to which it has returned, by a call that
/// was connected late (LOST).
#[tokio::test]
async fn generation_that_has_returned_is_not_stopped_by_a_late_call() {
    let connector = SlowConnector::default();
    let answers = script(&[EngineAnswer::COPIED], &[EngineAnswer::REFUSED, EngineAnswer::RESUMED]);
    let pool = ConnectionPool::new(Box::new(connector.clone()));
    let stream = LostStream::start_with(answers, pool).await;
    stream.keep_connections(1).await;
    connector.delay(stream.source.address, LONG_CONNECT);

    let outcome = stream.recover(&mut EngineWatcher::new(&stream.context)).await;
    tokio::time::sleep(LONG_CONNECT * 2).await;

    assert!(matches!(outcome, MoveOutcome::Resumed(_) | MoveOutcome::Gone));
    assert_eq!(stream.source.calls().final_copies, 1, "told after the answer");
}

/// Guards against two engines that work on a generation because its first one had preempted it, which
/// then stated that it does not run it, and ran it again later (TWICE).
#[tokio::test]
async fn engine_that_preempted_a_generation_is_told_until_it_has_stopped_it() {
    const UNKNOWN: EngineAnswer = EngineAnswer::UNKNOWN;
    let copies = &[UNKNOWN, UNKNOWN, UNKNOWN, EngineAnswer::COPIED];
    let stream = LostStream::start(script(copies, &[EngineAnswer::RESUMED])).await;

    let outcome = stream.recover(&mut EngineWatcher::new(&stream.context)).await;
    tokio::time::sleep(RELEASE_TIME).await;

    assert!(matches!(outcome, MoveOutcome::Resumed(_)));
    assert_eq!(stream.source.calls().final_copies, copies.len(), "the engine was not told");
    assert_eq!(stream.source.calls().releases, ["h1"]);
}

/// Guards against calls without end to an engine that has ended the response of a generation and does
/// not run it.
#[tokio::test]
async fn engine_that_has_ended_a_response_is_told_once() {
    let answers = script(&[EngineAnswer::UNKNOWN], &[EngineAnswer::RESUMED]);
    let stream = LostStream::start(answers).await;
    let mut watcher = EngineWatcher::new(&stream.context);
    watcher.note_response_ended();

    let outcome = stream.recover(&mut watcher).await;
    tokio::time::sleep(RELEASE_TIME).await;

    assert!(matches!(outcome, MoveOutcome::Resumed(_)));
    assert_eq!(stream.source.calls().final_copies, 1, "told after its answer");
}

/// Guards against a generation that is stopped after it has come back to its first engine, which is
/// still told to stop it (LOST).
#[tokio::test]
async fn generation_that_comes_back_to_an_engine_is_not_stopped_there() {
    let answers = script(&[EngineAnswer::UNKNOWN], &[EngineAnswer::RESUMED]);
    let stream = LostStream::start(answers).await;
    let outcome = stream.recover(&mut EngineWatcher::new(&stream.context)).await;
    let MoveOutcome::Resumed(away) = outcome else { panic!("the generation did not go on") };
    let LostStream { context, request, reservation, progress, source, .. } = stream;
    assert!(source.calls().final_copies > 0, "the engine was not told");
    progress.advance(LAST_EVENT + 1);
    let (engine, backup) = (away.reservation.engine, Some(reservation.engine));
    let reservation = GenerationReservation { engine, backup };

    let outcome = EngineWatcher::new(&context).recover(&request, &reservation, &progress).await;
    let calls = source.calls().final_copies;
    tokio::time::sleep(RELEASE_TIME).await;

    assert!(matches!(outcome, MoveOutcome::Resumed(_)), "the generation did not come back");
    assert_eq!(source.calls().resumptions.len(), 1);
    assert_eq!(source.calls().final_copies, calls, "told after it came back");
}

/// Guards against a stalled generation that goes on elsewhere while its engine is heard, because
/// engines of the service have no call that stops it (TWICE), and against one that stays although
/// its connection was lost (LOST).
#[tokio::test]
async fn stalled_generation_waits_for_an_engine_that_has_no_call_to_stop_it() {
    for has_ended in [false, true] {
        let answers = script(&[EngineAnswer::BUSY], &[EngineAnswer::RESUMED]);
        let stream = LostStream::start(answers).await;
        stream.forbid_moves();
        stream.keep_connections(1).await;
        let mut heard = stream.context.pool.acquire(stream.source.address).await.unwrap();
        let mut watcher = EngineWatcher::new(&stream.context);
        if has_ended {
            watcher.note_response_ended();
        }

        let recovery = stream.recover(&mut watcher);
        tokio::pin!(recovery);
        if !has_ended {
            assert_waits(&mut heard, recovery.as_mut()).await;
        }
        let outcome = recovery.await;

        assert!(matches!(outcome, MoveOutcome::Resumed(_)), "response ended: {has_ended}");
        assert_eq!(stream.source.calls().final_copies, 0, "called without a call");
    }
}
