//! Requests that wait for the engines of one service.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
};

use dragonflycart_core::MonoTime;

use crate::{AdmissionClass, QueuePlace, RankDemand, TeamUse, Waiter, WaiterId};

/// Order of groups of waiting requests. The first one goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LaneKey {
    is_late: bool,
    rank: u8,
    is_deferrable: bool,
}

/// Requests of the same lateness, rank and class.
#[derive(Debug, Clone, Default)]
struct WaiterLane {
    /// Requests that have waited for half of their maximum wait. They go first, whatever the team.
    aged: BTreeSet<WaiterId>,
    teams: BTreeMap<String, BTreeSet<WaiterId>>,
    count: usize,
    tokens: u64,
    /// Tokens of the aged requests, which are included in `tokens`.
    aged_tokens: u64,
}

impl WaiterLane {
    /// Returns the first request: of the aged ones the oldest, then the oldest of the team with the
    /// least use.
    fn first(&self, team_use: &TeamUse, now: MonoTime) -> Option<WaiterId> {
        if let Some(id) = self.aged.first() {
            return Some(*id);
        }
        let mut first: Option<(f64, WaiterId)> = None;
        for (team, ids) in &self.teams {
            let Some(id) = ids.first().copied() else { continue };
            // Requests without a team share nothing, and the use of a single team needs no lookup.
            let tokens = if self.teams.len() > 1 { team_use.tokens(team, now) } else { 0.0 };
            if first.is_none_or(|best| (tokens, id) < best) {
                first = Some((tokens, id));
            }
        }
        first.map(|(_, id)| id)
    }

    /// Returns the requests that are behind this one whatever the teams: those that arrived later
    /// and, if this one is aged, all that are not aged.
    fn newer(&self, id: WaiterId, is_aged: bool) -> impl Iterator<Item = WaiterId> {
        let aged = self.aged.range(id + 1..).filter(move |_| is_aged);
        let others = self.teams.values().flat_map(move |ids| {
            let first = if is_aged { 0 } else { id + 1 };
            ids.range(first..)
        });
        aged.chain(others).copied()
    }
}

/// Waiting request and the state that decides its place.
#[derive(Debug, Clone)]
struct QueuedWaiter {
    waiter: Waiter,
    lane: LaneKey,
    is_aged: bool,
}

/// Requests of one VM that wait for the engines of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceQueue {
    waiters: BTreeMap<WaiterId, QueuedWaiter>,
    lanes: BTreeMap<LaneKey, WaiterLane>,
    /// Times at which requests become late.
    late_times: BTreeSet<(MonoTime, WaiterId)>,
    /// Times at which requests have waited for half of their maximum wait.
    aged_times: BTreeSet<(MonoTime, WaiterId)>,
    /// First request, if it is deferrable and engines have no room within its limit.
    blocked: Option<WaiterId>,
}

impl ServiceQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    pub(crate) fn count(&self) -> usize {
        self.waiters.len()
    }

    pub(crate) fn insert(&mut self, id: WaiterId, waiter: Waiter, now: MonoTime) {
        let lane = LaneKey {
            is_late: waiter.late_at <= now,
            rank: waiter.rank,
            is_deferrable: waiter.class == AdmissionClass::Deferrable,
        };
        if !lane.is_late {
            self.late_times.insert((waiter.late_at, id));
        }
        let is_managed = waiter.class.is_managed();
        let is_aged = is_managed && waiter.aged_at <= now;
        if is_managed && !is_aged {
            self.aged_times.insert((waiter.aged_at, id));
        }
        let queued = QueuedWaiter { waiter, lane, is_aged };
        self.join_lane(id, &queued);
        self.waiters.insert(id, queued);
    }

    pub(crate) fn remove(&mut self, id: WaiterId) -> Option<Waiter> {
        let queued = self.waiters.remove(&id)?;
        self.late_times.remove(&(queued.waiter.late_at, id));
        self.aged_times.remove(&(queued.waiter.aged_at, id));
        self.leave_lane(id, &queued);
        if self.blocked == Some(id) {
            self.blocked = None;
        }
        Some(queued.waiter)
    }

    /// Returns the first request.
    pub(crate) fn first(&mut self, team_use: &TeamUse, now: MonoTime) -> Option<WaiterId> {
        self.advance(now);
        self.lanes.values().next()?.first(team_use, now)
    }

    /// Returns whether it is a request's turn to look for room. If the first request is deferrable
    /// and engines have no room within its limit, it is the turn of the first urgent one, too.
    pub(crate) fn has_turn(&mut self, id: WaiterId, team_use: &TeamUse, now: MonoTime) -> bool {
        let Some(first) = self.first(team_use, now) else { return false };
        if first == id {
            return true;
        }
        if self.blocked != Some(first) {
            return false;
        }
        let urgent = self.lanes.iter().find(|(key, _)| !key.is_deferrable);
        urgent.and_then(|(_, lane)| lane.first(team_use, now)) == Some(id)
    }

    /// Records that a request found no room.
    pub(crate) fn note_no_room(&mut self, id: WaiterId) {
        if self.waiters.get(&id).is_some_and(|queued| queued.lane.is_deferrable) {
            self.blocked = Some(id);
        }
    }

    /// Returns the requests whose turn it is to look for room: the first one and, if that is
    /// deferrable, the first urgent one.
    pub(crate) fn candidates(&mut self, team_use: &TeamUse, now: MonoTime) -> Vec<WaiterId> {
        self.advance(now);
        let mut candidates = Vec::new();
        for (key, lane) in &self.lanes {
            if candidates.is_empty() || !key.is_deferrable {
                candidates.extend(lane.first(team_use, now));
            }
            if !key.is_deferrable {
                break;
            }
        }
        candidates
    }

    /// Returns the place of a request. This takes a time that grows with the number of requests
    /// that arrived after it.
    pub(crate) fn place_of(&mut self, id: WaiterId, now: MonoTime) -> Option<QueuePlace<'_>> {
        self.advance(now);
        let queued = self.waiters.get(&id)?;
        let late_lane = LaneKey { is_late: true, ..queued.lane };
        let mut place = QueuePlace {
            is_late: queued.lane.is_late,
            rank: queued.lane.rank,
            team: &queued.waiter.team,
            ahead_tokens: 0,
            equal_tokens: 0,
            passing_tokens: 0,
            newer_tokens: 0,
            late_tokens: 0,
        };
        for (key, lane) in self.lanes.range(..=late_lane) {
            match key.cmp(&queued.lane) {
                Ordering::Less if LaneKey { is_late: true, ..*key } >= late_lane => {
                    place.passing_tokens += lane.tokens;
                }
                Ordering::Less => place.ahead_tokens += lane.tokens,
                Ordering::Equal => {
                    let newer = lane.newer(id, queued.is_aged);
                    let newer = newer.filter_map(|id| self.waiters.get(&id));
                    place.newer_tokens = newer.map(|queued| queued.waiter.tokens).sum();
                    let older = lane.tokens - queued.waiter.tokens - place.newer_tokens;
                    // The aged requests go first, whatever the teams.
                    let aged = if queued.is_aged { older } else { lane.aged_tokens };
                    place.ahead_tokens += aged;
                    place.equal_tokens = older - aged;
                }
                Ordering::Greater => place.late_tokens += lane.tokens,
            }
        }
        Some(place)
    }

    /// Returns whether a request is late, and its rank.
    pub(crate) fn order_of(&mut self, id: WaiterId, now: MonoTime) -> Option<(bool, u8)> {
        self.advance(now);
        self.waiters.get(&id).map(|queued| (queued.lane.is_late, queued.lane.rank))
    }

    /// Returns the waiting requests by rank.
    pub(crate) fn demand(&mut self, now: MonoTime) -> BTreeMap<u8, RankDemand> {
        self.advance(now);
        let mut demand = BTreeMap::<u8, RankDemand>::new();
        for (key, lane) in &self.lanes {
            let rank = demand.entry(key.rank).or_default();
            rank.waiting += lane.count as u32;
            rank.tokens += lane.tokens;
            rank.timely_tokens += if key.is_late { 0 } else { lane.tokens };
        }
        demand
    }

    /// Moves the requests that have become late, or that have waited for long, to their new places.
    fn advance(&mut self, now: MonoTime) {
        while let Some((at, id)) = self.late_times.first().copied()
            && at <= now
        {
            self.late_times.pop_first();
            self.change(id, |queued| queued.lane.is_late = true);
        }
        while let Some((at, id)) = self.aged_times.first().copied()
            && at <= now
        {
            self.aged_times.pop_first();
            self.change(id, |queued| queued.is_aged = true);
        }
    }

    fn change(&mut self, id: WaiterId, change: impl FnOnce(&mut QueuedWaiter)) {
        let Some(mut queued) = self.waiters.remove(&id) else { return };
        self.leave_lane(id, &queued);
        change(&mut queued);
        self.join_lane(id, &queued);
        self.waiters.insert(id, queued);
    }

    fn join_lane(&mut self, id: WaiterId, queued: &QueuedWaiter) {
        let lane = self.lanes.entry(queued.lane).or_default();
        lane.count += 1;
        lane.tokens += queued.waiter.tokens;
        if queued.is_aged {
            lane.aged_tokens += queued.waiter.tokens;
            lane.aged.insert(id);
            return;
        }
        // Where nothing is managed, the order is that of arrival.
        let is_managed = queued.waiter.class.is_managed();
        let team = if is_managed { queued.waiter.team.as_str() } else { "" };
        match lane.teams.get_mut(team) {
            Some(ids) => {
                ids.insert(id);
            }
            None => {
                lane.teams.insert(team.to_owned(), BTreeSet::from([id]));
            }
        }
    }

    fn leave_lane(&mut self, id: WaiterId, queued: &QueuedWaiter) {
        let Some(lane) = self.lanes.get_mut(&queued.lane) else { return };
        lane.count -= 1;
        lane.tokens -= queued.waiter.tokens;
        if lane.aged.remove(&id) {
            lane.aged_tokens -= queued.waiter.tokens;
        }
        let is_managed = queued.waiter.class.is_managed();
        let team = if is_managed { queued.waiter.team.as_str() } else { "" };
        if let Some(ids) = lane.teams.get_mut(team) {
            ids.remove(&id);
            if ids.is_empty() {
                lane.teams.remove(team);
            }
        }
        if lane.count == 0 {
            self.lanes.remove(&queued.lane);
        }
    }
}
