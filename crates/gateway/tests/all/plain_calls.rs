//! Plain calls that wait for a slot.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dragonflycart_core::MonoTime;
use dragonflycart_gateway::{
    CallId, CallQueue, CallTimes, FleetView, Placement, ServerKey, ServerLoad, ServerRecord,
    SlotNeed, SlotSurvey, WaitingCall, serve_calls,
};
use proptest::{collection, prelude::*, test_runner::RngSeed};

use crate::fixtures::{DESK, at, key_of, position, record, view};

/// Latency target of the calls.
const TARGET: Duration = Duration::from_millis(150);
/// Time limit of the calls.
const LIMIT: Duration = Duration::from_millis(1_200);
/// Usual latency of the servers.
const USUAL: Duration = Duration::from_millis(30);

/// Returns a call of a rank that arrived at `arrived_ms`.
fn call(rank: u8, arrived_ms: u64) -> WaitingCall {
    let arrived = at(arrived_ms);
    WaitingCall {
        rank,
        arrived,
        times: CallTimes::new(arrived, arrived + LIMIT, TARGET, Some(USUAL)),
        needs_proof: false,
        excluded: BTreeSet::new(),
        sample_seed: arrived_ms,
    }
}

/// Returns a view with plain servers `p0`, `p1` and so on, with so many slots each.
fn desk_view(servers: usize, slots: u32) -> FleetView {
    let mut view = view(&[]);
    for index in 0..servers {
        let record = ServerRecord { slots, ..record(DESK, "a", 9_000 + index as u16) };
        view.apply_server(&format!("p{index}"), record, position(index as u64), at(0));
    }
    view
}

/// Serves the queue with a number of free slots. Returns the calls that got one.
fn serve_slots(queue: &mut CallQueue, slots: usize, now: MonoTime) -> Vec<CallId> {
    let mut free = slots;
    let served = queue.serve(now, &mut |_, need| {
        if need == SlotNeed::Accepting || free == 0 {
            return None;
        }
        free -= 1;
        Some(())
    });
    served.placed.into_iter().map(|(id, ())| id).collect()
}

/// Pattern: more urgent and less urgent calls wait together until the older ones are late.
/// Guards against an urgent call behind less urgent ones, and against a call that can still be on
/// time behind one of its rank that is late anyway.
#[test]
fn calls_go_by_rank_then_lateness_then_arrival() {
    let mut queue = CallQueue::default();
    let late = queue.enqueue(call(1, 0));
    let other = queue.enqueue(call(2, 10));
    let second = queue.enqueue(call(1, 100));
    let third = queue.enqueue(call(1, 101));
    let urgent = queue.enqueue(call(0, 102));

    let order = serve_slots(&mut queue, 5, at(155));

    assert_eq!(order, [urgent, second, third, late, other]);
}

/// Pattern: calls arrive while all slots are taken, and one is released.
/// Guards against a call that waits although a slot is free, which is then lost capacity.
#[test]
fn released_slot_goes_to_a_waiting_call_at_once() {
    let mut view = desk_view(1, 2);
    let mut queue = CallQueue::default();
    let ids = [0, 1, 2].map(|_| queue.enqueue(call(0, 0)));

    let first = serve_calls(&mut queue, &mut view, DESK, at(1));
    let (released, placement) = &first.placed[0];
    view.release(placement.server, placement.load);
    let second = serve_calls(&mut queue, &mut view, DESK, at(2));

    assert_eq!([*released, first.placed[1].0], [ids[0], ids[1]]);
    assert_eq!(first.placed.len(), 2, "more calls than slots");
    assert_eq!(second.placed.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [ids[2]]);
}

/// Pattern: a peer's report or the server's header shows a full server, and both are late.
/// Guards against a call that waits for a slot that has long been free: it is offered while it can
/// still meet its target.
#[test]
fn call_is_offered_in_time_to_a_server_that_only_seems_full() {
    let mut view = desk_view(1, 2);
    view.note_peer_load(7, "p0", ServerLoad { requests: 2, ..ServerLoad::default() }, at(0));
    let mut queue = CallQueue::default();
    let id = queue.enqueue(call(0, 0));

    let early = serve_calls(&mut queue, &mut view, DESK, at(69));
    let due = serve_calls(&mut queue, &mut view, DESK, at(70));

    assert!(early.placed.is_empty(), "it was sent to a server that seems full");
    assert_eq!(due.placed.first().map(|(id, _)| *id), Some(id));
}

/// Pattern: a server refuses a call, and sends no figures of its load.
/// Guards against a refused call that is offered again as soon as the server's short pause ends:
/// each offer draws on the retry budget.
#[test]
fn server_that_refused_counts_as_full_until_it_answers() {
    let mut view = desk_view(1, 2);
    let key = key_of(&view, "p0");
    let state = view.server_mut(key).unwrap();

    state.note_refusal(Duration::from_millis(100), at(0));
    let paused = (state.has_free_slot(at(150)), state.has_free_slot(at(301)));
    state.note_refusal(Duration::from_millis(100), at(400));
    state.note_response(false, USUAL);

    assert_eq!(paused, (false, true));
    assert!(state.has_free_slot(at(510)));
}

/// Pattern: a call was refused by two servers; nothing was heard from the third for a while.
/// Guards against a third offer that is probably refused, too, and uses up the retry budget, and
/// against a wait although a server tells of a free slot.
#[test]
fn call_that_was_refused_twice_waits_for_a_server_that_tells_of_a_slot() {
    let mut view = desk_view(1, 2);
    let key = key_of(&view, "p0");
    let mut queue = CallQueue::default();
    queue.enqueue(WaitingCall { needs_proof: true, ..call(0, 0) });
    let other = queue.enqueue(call(1, 0));

    let silent = serve_calls(&mut queue, &mut view, DESK, at(1));
    view.server_mut(key).unwrap().note_reported_load(1, at(2));
    let told = serve_calls(&mut queue, &mut view, DESK, at(2));

    assert_eq!(silent.placed.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [other]);
    assert_eq!(told.placed.len(), 1);
}

/// Pattern: a refused call waits again beside calls that arrived after it.
/// Guards against a call that loses its turn with each refusal.
#[test]
fn refused_call_keeps_its_turn() {
    let mut queue = CallQueue::default();
    let newer = queue.enqueue(call(0, 20));
    let first = call(0, 0);
    let times = first.times.after_refusal(at(25), TARGET);
    let refused = queue.enqueue(WaitingCall { times, ..first });

    assert_eq!(serve_slots(&mut queue, 2, at(30)), [refused, newer]);
}

/// Pattern: all servers are full for longer than a caller waits.
/// Guards against a call that is refused after its time, when its caller can no longer repeat it,
/// or sent when no server can answer it in time.
#[test]
fn call_is_refused_while_there_is_time_for_one_answer() {
    let mut view = desk_view(1, 1);
    let key = key_of(&view, "p0");
    view.server_mut(key).unwrap().note_refusal(LIMIT * 2, at(0));
    let mut queue = CallQueue::default();
    let id = queue.enqueue(call(0, 0));

    let before = serve_calls(&mut queue, &mut view, DESK, at(1_169));
    let after = serve_calls(&mut queue, &mut view, DESK, at(1_170));

    assert!(before.refused.is_empty(), "{:?}", before.refused);
    assert_eq!(after.refused, [id]);
    assert!(queue.is_empty());
}

/// Pattern: a service becomes so slow that calls usually take longer than their target.
/// Guards against a service that gets no calls anymore because all are refused on arrival, so that
/// its recovery is never seen.
#[test]
fn slow_service_still_gets_calls() {
    let times = CallTimes::new(at(0), at(0) + LIMIT, TARGET, Some(Duration::from_secs(9)));

    assert_eq!(times.offer_at, at(0));
    assert_eq!(times.end_at, at(0) + LIMIT - TARGET);
}

/// Pattern: a server refuses a call that excludes it, while other calls may use it.
/// Guards against a queue that stands still behind a call that can't use the free slot.
#[test]
fn call_without_a_usable_server_does_not_hold_up_others() {
    let mut view = desk_view(1, 1);
    let key = key_of(&view, "p0");
    let mut queue = CallQueue::default();
    queue.enqueue(WaitingCall { excluded: BTreeSet::from([key]), ..call(0, 0) });
    let other = queue.enqueue(call(1, 0));

    let served = serve_calls(&mut queue, &mut view, DESK, at(1));

    assert_eq!(served.placed.first().map(|(id, _)| *id), Some(other));
}

/// Pattern: refusals on a busy day.
/// Guards against a `Retry-After` after which the slots are still taken, and against one that is
/// longer than callers honour.
#[test]
fn retry_time_is_the_time_to_work_off_the_waiting_calls() {
    let mut view = desk_view(3, 6);
    for id in ["p0", "p1", "p2"] {
        let key = key_of(&view, id);
        view.server_mut(key).unwrap().note_response(false, USUAL);
    }
    let survey = SlotSurvey::new(&view, DESK, &BTreeSet::new(), at(0));

    // 195 calls at 65 VMs, 18 at a time, 30 ms each.
    let time = survey.drain_time(3, 65, TARGET);

    assert!((320..=330).contains(&time.as_millis()), "{time:?}");
    assert_eq!(survey.drain_time(0, 1, TARGET), USUAL);
}

/// What happens to the queue in one step.
#[derive(Debug, Clone)]
enum QueueStep {
    Arrive { rank: u8, excluded: Option<usize> },
    Complete(usize),
    Refuse(usize),
    Leave(usize),
    Wait(u64),
}

fn queue_step() -> impl Strategy<Value = QueueStep> {
    prop_oneof![
        4 => (0..3_u8, prop_oneof![3 => Just(None), 1 => (0..3_usize).prop_map(Some)])
            .prop_map(|(rank, excluded)| QueueStep::Arrive { rank, excluded }),
        3 => (0..32_usize).prop_map(QueueStep::Complete),
        1 => (0..3_usize).prop_map(QueueStep::Refuse),
        1 => (0..32_usize).prop_map(QueueStep::Leave),
        3 => (1..60_u64).prop_map(QueueStep::Wait),
    ]
}

/// Queue, view and what they should contain.
struct QueueModel {
    queue: CallQueue,
    view: FleetView,
    servers: Vec<ServerKey>,
    waiting: BTreeMap<CallId, WaitingCall>,
    running: Vec<Placement>,
    now_ms: u64,
}

impl QueueModel {
    fn new() -> QueueModel {
        let view = desk_view(3, 2);
        QueueModel {
            servers: ["p0", "p1", "p2"].map(|id| key_of(&view, id)).to_vec(),
            queue: CallQueue::default(),
            view,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            now_ms: 0,
        }
    }

    fn apply(&mut self, step: &QueueStep) {
        match *step {
            QueueStep::Arrive { rank, excluded } => {
                let excluded = excluded.map(|index| self.servers[index]);
                let call = WaitingCall {
                    excluded: excluded.into_iter().collect(),
                    ..call(rank, self.now_ms)
                };
                let id = self.queue.enqueue(call.clone());
                self.waiting.insert(id, call);
            }
            QueueStep::Complete(index) if !self.running.is_empty() => {
                let placement = self.running.remove(index % self.running.len());
                self.view.release(placement.server, placement.load);
            }
            QueueStep::Refuse(index) => {
                let now = at(self.now_ms);
                let state = self.view.server_mut(self.servers[index]).unwrap();
                state.note_refusal(Duration::from_millis(100), now);
            }
            QueueStep::Leave(index) if !self.waiting.is_empty() => {
                let id = *self.waiting.keys().nth(index % self.waiting.len()).unwrap();
                self.queue.remove(id);
                self.waiting.remove(&id);
            }
            QueueStep::Wait(millis) => self.now_ms += millis,
            QueueStep::Complete(_) | QueueStep::Leave(_) => {}
        }
    }

    fn order(&self, id: CallId, call: &WaitingCall) -> (u8, bool, CallId) {
        (call.rank, call.times.late_at <= at(self.now_ms), id)
    }

    /// Serves the calls and checks the result.
    fn serve(&mut self) {
        let now = at(self.now_ms);
        let had_slot = |key: &ServerKey| self.view.server(*key).unwrap().has_free_slot(now);
        let with_slot: BTreeSet<ServerKey> =
            self.servers.iter().copied().filter(had_slot).collect();
        let served = serve_calls(&mut self.queue, &mut self.view, DESK, now);
        let mut last_order = None;
        for (id, placement) in served.placed {
            let call = self.waiting.remove(&id).expect("it waited");
            assert!(!call.excluded.contains(&placement.server), "an excluded server");
            if with_slot.contains(&placement.server) && placement.seen.requests < 2 {
                let order = self.order(id, &call);
                assert!(last_order < Some(order), "slots went out of turn");
                last_order = Some(order);
            }
            self.running.push(placement);
        }
        for id in served.refused {
            let call = self.waiting.remove(&id).expect("it waited");
            assert!(call.times.end_at <= now, "refused before its time");
        }
        assert_eq!(self.queue.len(), self.waiting.len());
        for (id, call) in &self.waiting {
            let is_passed = call.excluded.is_empty() && Some(self.order(*id, call)) < last_order;
            assert!(!is_passed, "a call of a worse turn got a slot");
        }
        for call in self.waiting.values() {
            assert!(call.times.end_at > now, "waits after its time");
            for key in &self.servers {
                let state = self.view.server(*key).unwrap();
                if call.excluded.contains(key) {
                    continue;
                }
                assert!(!state.has_free_slot(now), "waits while a slot is free");
                let is_due = call.times.offer_at <= now;
                assert!(!is_due || !state.accepts_requests(now), "waits longer than a target");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_206),
        ..ProptestConfig::default()
    })]

    /// Pattern: any order of arrivals, completions, refusals by servers and callers that leave.
    /// Guards against lost wake-ups (a free slot and a call that could use it after a pass), slots
    /// that go to a call before one of a better turn (rank first), waits for a slot that seems taken
    /// beyond the latency target, and waits without an end.
    #[test]
    fn no_call_waits_while_a_slot_is_free(steps in collection::vec(queue_step(), 1..120)) {
        let mut model = QueueModel::new();
        for step in &steps {
            model.apply(step);
            model.serve();
        }
    }
}
