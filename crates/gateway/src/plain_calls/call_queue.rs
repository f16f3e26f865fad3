//! Queue of the plain calls that wait for a slot of one service.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

use dragonflycart_core::MonoTime;

use super::WaitingCall;

/// ID of a waiting call. A call that waits again after a refusal gets another ID.
pub type CallId = u64;

/// Place of a call in the queue: by rank, then calls that can meet their latency target before late
/// ones, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CallTurn {
    rank: u8,
    is_late: bool,
    arrived: MonoTime,
    id: CallId,
}

impl CallTurn {
    fn new(call: &WaitingCall, is_late: bool, id: CallId) -> CallTurn {
        CallTurn { rank: call.rank, is_late, arrived: call.arrived, id }
    }
}

/// Servers to which a waiting call may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotNeed {
    /// Servers with a free slot.
    Free,
    /// All servers that accept requests, because the call has waited long enough for a slot that
    /// seems taken.
    Accepting,
}

/// Calls that left the queue, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedCalls<P> {
    /// Calls that got a placement.
    pub placed: Vec<(CallId, P)>,
    /// Calls that no server could answer in time anymore.
    pub refused: Vec<CallId>,
}

/// Plain calls of one VM that wait for a slot of one service. Each call that is added or served
/// costs a time that grows with the logarithm of their number.
#[derive(Debug, Clone, Default)]
pub struct CallQueue {
    calls: BTreeMap<CallId, WaitingCall>,
    turns: BTreeSet<CallTurn>,
    /// Times at which calls become late, of those that are on time.
    late_times: BTreeSet<(MonoTime, CallId)>,
    offer_times: BTreeSet<(MonoTime, CallId)>,
    end_times: BTreeSet<(MonoTime, CallId)>,
    next_id: CallId,
}

impl CallQueue {
    /// Adds a call.
    pub fn enqueue(&mut self, call: WaitingCall) -> CallId {
        let id = self.next_id;
        self.next_id += 1;
        self.turns.insert(CallTurn::new(&call, false, id));
        self.late_times.insert((call.times.late_at, id));
        self.offer_times.insert((call.times.offer_at, id));
        self.end_times.insert((call.times.end_at, id));
        self.calls.insert(id, call);
        id
    }

    /// Removes a call. Does nothing if it was served.
    pub fn remove(&mut self, id: CallId) {
        let Some(call) = self.calls.remove(&id) else { return };
        let is_late = !self.late_times.remove(&(call.times.late_at, id));
        self.turns.remove(&CallTurn::new(&call, is_late, id));
        self.offer_times.remove(&(call.times.offer_at, id));
        self.end_times.remove(&(call.times.end_at, id));
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Serves the calls. `place` returns a placement of a call, or `None` if there is none. It must
    /// be true that a call that excludes no server and needs no proof finds a placement if another
    /// call does.
    ///
    /// Free slots go to the calls in order. Calls that have waited long enough for a slot that seems
    /// taken are placed without one. Calls that can no longer be answered in time are refused.
    pub fn serve<P>(
        &mut self,
        now: MonoTime,
        place: &mut dyn FnMut(&WaitingCall, SlotNeed) -> Option<P>,
    ) -> ServedCalls<P> {
        self.note_late(now);
        let mut placed = Vec::new();
        let mut next = self.turns.first().copied();
        while let Some(turn) = next {
            if !self.place_call(turn.id, SlotNeed::Free, place, &mut placed) {
                break;
            }
            next = self.turns.range((Bound::Excluded(turn), Bound::Unbounded)).next().copied();
        }
        let mut next = self.offer_times.first().copied();
        while let Some(due) = next.filter(|(offer_at, _)| *offer_at <= now) {
            if !self.place_call(due.1, SlotNeed::Accepting, place, &mut placed) {
                break;
            }
            next = self.offer_times.range((Bound::Excluded(due), Bound::Unbounded)).next().copied();
        }
        let mut refused = Vec::new();
        while let Some((end_at, id)) = self.end_times.first().copied()
            && end_at <= now
        {
            self.remove(id);
            refused.push(id);
        }
        ServedCalls { placed, refused }
    }

    /// Places a call if possible. Returns whether there may be placements for further calls.
    fn place_call<P>(
        &mut self,
        id: CallId,
        need: SlotNeed,
        place: &mut dyn FnMut(&WaitingCall, SlotNeed) -> Option<P>,
        placed: &mut Vec<(CallId, P)>,
    ) -> bool {
        let Some(call) = self.calls.get(&id) else { return true };
        match place(call, need) {
            Some(placement) => {
                self.remove(id);
                placed.push((id, placement));
                true
            }
            None => !call.excluded.is_empty() || (need == SlotNeed::Free && call.needs_proof),
        }
    }

    /// Moves calls that have become late behind those of their rank that are on time.
    fn note_late(&mut self, now: MonoTime) {
        while let Some((late_at, id)) = self.late_times.first().copied()
            && late_at <= now
        {
            self.late_times.remove(&(late_at, id));
            let Some(call) = self.calls.get(&id) else { continue };
            self.turns.remove(&CallTurn::new(call, false, id));
            self.turns.insert(CallTurn::new(call, true, id));
        }
    }
}
