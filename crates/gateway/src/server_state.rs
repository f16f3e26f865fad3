//! State of a backend server, as known to this VM.

mod input_ages;

use std::time::Duration;

use dragonflycart_core::MonoTime;

pub(crate) use self::input_ages::whole_millis;
use crate::{
    LostResponses, RateLimiter, ServerLoad, ServerRecord, StorePosition, fleet_view::PeerLoads,
};

/// Weight of a new result in the moving averages, which thus cover about ten results.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Time for which a server gets no new requests after a failed connection. It doubles with each
/// further failure.
const CONNECT_PAUSE: Duration = Duration::from_millis(1_000);
/// Maximum of that time.
const CONNECT_PAUSE_MAX: Duration = Duration::from_millis(8_000);
/// Minimum time for which a server counts as leaving before its recovery is checked. Peers keep
/// reporting a server as leaving for 800 ms.
const RETURN_DELAY: Duration = Duration::from_millis(1_000);
/// Time for which a server's own answer counts more than a peer's report that it is leaving. Peers
/// of a large fleet repeat such a report for more than a second.
const RECOVERY_TRUST: Duration = Duration::from_secs(5);
/// Maximum age of a load that the server itself reported.
const REPORTED_LOAD_AGE: Duration = Duration::from_millis(300);

/// State of one incarnation of a backend server.
#[derive(Debug, Clone)]
pub struct ServerState {
    /// ID of the server.
    pub id: String,
    /// Latest registration.
    pub record: ServerRecord,
    /// Position of the registration in the table of servers.
    pub position: StorePosition,
    /// Time since which the server is known to be leaving.
    pub leaving_since: Option<MonoTime>,
    /// Engine memory of its generations when it was found to leave, in tokens.
    pub tokens_at_leave: u64,
    /// Whether the store contains its registration.
    pub is_registered: bool,
    /// Whether it announced its shutdown itself.
    pub has_drained: bool,
    /// Time at which it last confirmed that it is not leaving.
    pub recovered_at: Option<MonoTime>,
    /// Time at which its registration disappeared after a store outage.
    pub expired_at: Option<MonoTime>,
    /// Time at which its process was found to have ended although it was not known to be leaving, unless
    /// it has responded since.
    pub ended_at: Option<MonoTime>,
    /// Time at which this VM last checked whether its process still runs.
    pub run_checked_at: Option<MonoTime>,
    /// Time at which its warm-up phase ends.
    pub cold_until: MonoTime,
    /// Limits the request rate while it is cold.
    pub cold_limiter: RateLimiter,
    /// Load that this VM has on it.
    pub own_load: ServerLoad,
    peer_loads: PeerLoads,
    reported_requests: Option<(MonoTime, u32)>,
    paused_until: MonoTime,
    /// Time until which no slot counts as free because the server refused a request.
    refused_until: MonoTime,
    /// Time until which the server itself wants no requests of this VM.
    declined_until: MonoTime,
    connect_failures: u32,
    /// Recently lost responses.
    pub losses: LostResponses,
    failure_share: f64,
    latency_ms: Option<f64>,
}

impl ServerState {
    /// Builds the state of a newly registered server.
    pub fn new(
        id: &str,
        record: ServerRecord,
        position: StorePosition,
        now: MonoTime,
    ) -> ServerState {
        let leaving_since = record.is_draining.then_some(now);
        ServerState {
            id: id.to_owned(),
            cold_until: now + record.cold_left,
            is_registered: true,
            has_drained: record.is_draining,
            record,
            position,
            leaving_since,
            tokens_at_leave: 0,
            recovered_at: None,
            expired_at: None,
            ended_at: None,
            run_checked_at: None,
            cold_limiter: RateLimiter::default(),
            own_load: ServerLoad::default(),
            peer_loads: PeerLoads::default(),
            reported_requests: None,
            paused_until: MonoTime::default(),
            refused_until: MonoTime::default(),
            declined_until: MonoTime::default(),
            connect_failures: 0,
            losses: LostResponses::default(),
            failure_share: 0.0,
            latency_ms: None,
        }
    }

    /// Applies a newer registration of the same incarnation.
    pub fn update(&mut self, record: ServerRecord, position: StorePosition, now: MonoTime) {
        if record.is_draining {
            self.mark_leaving(now);
        }
        if !record.cold_left.is_zero() {
            self.cold_until = self.cold_until.max(now + record.cold_left);
        }
        self.expired_at = None;
        self.is_registered = true;
        self.has_drained |= record.is_draining;
        self.record = record;
        self.position = position;
    }

    /// Records that the server is leaving, if that is not known yet.
    pub fn mark_leaving(&mut self, now: MonoTime) {
        if self.leaving_since.is_none() {
            self.tokens_at_leave = self.total_load(now).tokens;
            self.leaving_since = Some(now);
        }
    }

    /// Returns whether new requests may be sent to the server.
    pub fn accepts_requests(&self, now: MonoTime) -> bool {
        self.leaving_since.is_none() && now >= self.paused_until && !self.declines_requests(now)
    }

    /// Returns the earliest time at which a server that is not leaving accepts requests.
    pub fn opens_at(&self) -> MonoTime {
        self.paused_until.max(self.declined_until)
    }

    /// Returns whether the server accepts requests and one of its slots is free, as far as this VM
    /// knows.
    pub fn has_free_slot(&self, now: MonoTime) -> bool {
        let is_known_full = now < self.refused_until;
        self.accepts_requests(now)
            && !is_known_full
            && self.total_load(now).requests < self.record.slots
    }

    /// Returns whether the server has told its load so recently that it is used.
    pub fn has_reported_load(&self, now: MonoTime) -> bool {
        self.reported_requests.is_some_and(|(at, _)| now.since(at) <= REPORTED_LOAD_AGE)
    }

    /// Returns whether the server itself asked for a pause that has not ended.
    pub fn declines_requests(&self, now: MonoTime) -> bool {
        now < self.declined_until
    }

    /// Returns whether the server counts as leaving although it is registered and did not announce
    /// its shutdown. This happens when its registration expired during a partition from the store
    /// that has healed. It may also happen when a server shut down and its last registration
    /// reached the store late.
    pub fn may_have_recovered(&self, now: MonoTime) -> bool {
        let is_return_due =
            self.leaving_since.is_some_and(|since| now.since(since) >= RETURN_DELAY);
        is_return_due && self.is_registered && !self.has_drained
    }

    /// Records that the server confirmed that it is not leaving.
    pub fn note_recovered(&mut self, now: MonoTime) {
        self.leaving_since = None;
        self.recovered_at = Some(now);
        self.paused_until = MonoTime::default();
        self.connect_failures = 0;
    }

    /// Returns whether the server confirmed so recently that it is not leaving that a peer's report
    /// of the contrary may be older.
    pub fn has_just_recovered(&self, now: MonoTime) -> bool {
        self.recovered_at.is_some_and(|at| now.since(at) < RECOVERY_TRUST)
    }

    /// Returns whether the server is still in its warm-up phase.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        now < self.cold_until
    }

    /// Returns the load of all VMs on the server, as far as this VM knows.
    pub fn total_load(&self, now: MonoTime) -> ServerLoad {
        let mut total = self.own_load;
        total += self.peer_loads.total(now);
        if let Some((reported_at, requests)) = self.reported_requests
            && now.since(reported_at) <= REPORTED_LOAD_AGE
        {
            total.requests = total.requests.max(requests);
        }
        total
    }

    /// Returns the number of VMs that have load on the server, including this one.
    pub fn user_count(&self, now: MonoTime) -> usize {
        1 + self.peer_loads.count(now)
    }

    /// Records a peer's reported load on the server.
    pub fn note_peer_load(&mut self, peer: u64, load: ServerLoad, now: MonoTime) {
        self.peer_loads.note(peer, load, now);
    }

    /// Records that a peer has no load on the server.
    pub fn clear_peer_load(&mut self, peer: u64) {
        self.peer_loads.clear(peer);
    }

    /// Returns the number of peers whose load is kept, including outdated ones.
    pub fn kept_peer_loads(&self) -> usize {
        self.peer_loads.kept()
    }

    /// Records the number of running and waiting requests that the server itself reported.
    pub fn note_reported_load(&mut self, requests: u32, now: MonoTime) {
        self.reported_requests = Some((now, requests));
    }

    /// Records the result of a request.
    pub fn note_response(&mut self, is_failure: bool, latency: Duration) {
        if !is_failure {
            self.refused_until = MonoTime::default();
        }
        let failed = if is_failure { 1.0 } else { 0.0 };
        self.failure_share += AVERAGE_WEIGHT * (failed - self.failure_share);
        let sample_ms = latency.as_secs_f64() * 1_000.0;
        let average_ms = self.latency_ms.get_or_insert(sample_ms);
        *average_ms += AVERAGE_WEIGHT * (sample_ms - *average_ms);
    }

    /// Records that a request failed after its response had started.
    pub fn note_failure(&mut self) {
        self.failure_share += AVERAGE_WEIGHT * (1.0 - self.failure_share);
    }

    /// Records that connecting to the server failed.
    pub fn note_unreachable(&mut self, now: MonoTime) {
        let pause = CONNECT_PAUSE * 2_u32.saturating_pow(self.connect_failures.min(4));
        self.connect_failures += 1;
        self.paused_until = now + pause.min(CONNECT_PAUSE_MAX);
        self.failure_share += AVERAGE_WEIGHT * (1.0 - self.failure_share);
    }

    /// Records that the server responded.
    pub fn note_reached(&mut self) {
        self.connect_failures = 0;
        // A partition that rejects connections looks like the end of the process.
        self.ended_at = None;
    }

    /// Records that the server refused a request without running it.
    pub fn note_refusal(&mut self, pause: Duration, now: MonoTime) {
        self.paused_until = self.paused_until.max(now + pause);
        self.refused_until = now + REPORTED_LOAD_AGE;
    }

    /// Records that the server asked for a pause.
    pub fn note_declined(&mut self, pause: Duration, now: MonoTime) {
        self.declined_until = self.declined_until.max(now + pause);
    }

    /// Returns the fraction of recent requests that failed, from 0 to 1.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns the average latency, if there are any results.
    pub fn latency_ms(&self) -> Option<f64> {
        self.latency_ms
    }
}
