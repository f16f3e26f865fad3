//! What a VM believes of one backend server.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::MonoTime;

use crate::{LostResponses, RateLimiter, ServerLoad, ServerRecord};

/// Weight of the newest result in the moving averages of a server. About ten results count.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Time for which a server that could not be connected to gets no new work; it doubles with each
/// further failure.
const CONNECT_PAUSE: Duration = Duration::from_millis(1_000);
/// Longest such time.
const CONNECT_PAUSE_MAX: Duration = Duration::from_millis(8_000);
/// Time for which a server counts as leaving before it may be back; peers repeat for 800 ms that a
/// server leaves.
const RETURN_DELAY: Duration = Duration::from_millis(1_000);
/// Time after which what a peer said of its load no longer counts.
const PEER_LOAD_AGE: Duration = Duration::from_secs(3);
/// Time after which a server's own statement of its load no longer counts.
const REPORTED_LOAD_AGE: Duration = Duration::from_millis(300);

/// Belief of one VM about one incarnation of a backend server.
#[derive(Debug, Clone)]
pub struct ServerState {
    /// Identity of the server.
    pub id: String,
    /// Its registration.
    pub record: ServerRecord,
    /// Offset of the registration in the store.
    pub offset: u64,
    /// Time at which it was first seen to leave.
    pub leaving_since: Option<MonoTime>,
    /// Whether its registration is in the store.
    pub is_registered: bool,
    /// Whether it said itself that it leaves.
    pub has_drained: bool,
    /// Time at which its registration vanished while the store had been away.
    pub expired_at: Option<MonoTime>,
    /// Time up to which it is cold.
    pub cold_until: MonoTime,
    /// Limits the requests per second while it is cold.
    pub cold_limiter: RateLimiter,
    /// Load that this VM put on it.
    pub own_load: ServerLoad,
    peer_loads: BTreeMap<u64, (MonoTime, ServerLoad)>,
    reported_requests: Option<(MonoTime, u32)>,
    paused_until: MonoTime,
    connect_failures: u32,
    /// Responses that were lost.
    pub losses: LostResponses,
    failure_share: f64,
    latency_ms: Option<f64>,
}

impl ServerState {
    /// Builds the state of a server that was just seen.
    pub fn new(id: &str, record: ServerRecord, offset: u64, now: MonoTime) -> ServerState {
        let leaving_since = record.is_draining.then_some(now);
        ServerState {
            id: id.to_owned(),
            cold_until: now + record.cold_left,
            is_registered: true,
            has_drained: record.is_draining,
            record,
            offset,
            leaving_since,
            expired_at: None,
            cold_limiter: RateLimiter::default(),
            own_load: ServerLoad::default(),
            peer_loads: BTreeMap::new(),
            reported_requests: None,
            paused_until: MonoTime::default(),
            connect_failures: 0,
            losses: LostResponses::default(),
            failure_share: 0.0,
            latency_ms: None,
        }
    }

    /// Takes a newer registration of the same incarnation.
    pub fn update(&mut self, record: ServerRecord, offset: u64, now: MonoTime) {
        if record.is_draining && self.leaving_since.is_none() {
            self.leaving_since = Some(now);
        }
        if !record.cold_left.is_zero() {
            self.cold_until = self.cold_until.max(now + record.cold_left);
        }
        self.expired_at = None;
        self.is_registered = true;
        self.has_drained |= record.is_draining;
        self.record = record;
        self.offset = offset;
    }

    /// Returns whether new work may go to the server.
    pub fn accepts_requests(&self, now: MonoTime) -> bool {
        self.leaving_since.is_none() && now >= self.paused_until
    }

    /// Returns whether the server counts as leaving although it is registered and never said so:
    /// its registration lapsed while it could not reach the store, and it is back. A server that
    /// left may also look like this, if its last registration reached the store late.
    pub fn may_have_recovered(&self, now: MonoTime) -> bool {
        let is_settled = self.leaving_since.is_some_and(|since| now.since(since) >= RETURN_DELAY);
        is_settled && self.is_registered && !self.has_drained
    }

    /// Takes that the server stated that it doesn't leave.
    pub fn note_recovered(&mut self) {
        self.leaving_since = None;
        self.paused_until = MonoTime::default();
        self.connect_failures = 0;
    }

    /// Returns whether the server is cold.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        now < self.cold_until
    }

    /// Returns the load that all VMs put on the server, as far as this VM knows.
    pub fn total_load(&self, now: MonoTime) -> ServerLoad {
        let mut total = self.own_load;
        for (heard_at, load) in self.peer_loads.values() {
            if now.since(*heard_at) > PEER_LOAD_AGE {
                continue;
            }
            total += *load;
        }
        if let Some((reported_at, requests)) = self.reported_requests
            && now.since(reported_at) <= REPORTED_LOAD_AGE
        {
            total.requests = total.requests.max(requests);
        }
        total
    }

    /// Takes what a peer says of its load on the server.
    pub fn note_peer_load(&mut self, peer: u64, load: ServerLoad, now: MonoTime) {
        self.peer_loads.insert(peer, (now, load));
    }

    /// Takes that a peer has no load on the server.
    pub fn clear_peer_load(&mut self, peer: u64) {
        self.peer_loads.remove(&peer);
    }

    /// Takes the server's own statement of running and waiting requests.
    pub fn note_reported_load(&mut self, requests: u32, now: MonoTime) {
        self.reported_requests = Some((now, requests));
    }

    /// Takes the result of a request that the server answered.
    pub fn note_response(&mut self, is_failure: bool, latency: Duration) {
        let failed = if is_failure { 1.0 } else { 0.0 };
        self.failure_share += AVERAGE_WEIGHT * (failed - self.failure_share);
        let sample_ms = latency.as_secs_f64() * 1_000.0;
        let average_ms = self.latency_ms.get_or_insert(sample_ms);
        *average_ms += AVERAGE_WEIGHT * (sample_ms - *average_ms);
    }

    /// Takes that the server could not be connected to.
    pub fn note_unreachable(&mut self, now: MonoTime) {
        let pause = CONNECT_PAUSE * 2_u32.saturating_pow(self.connect_failures.min(4));
        self.connect_failures += 1;
        self.paused_until = now + pause.min(CONNECT_PAUSE_MAX);
        self.failure_share += AVERAGE_WEIGHT * (1.0 - self.failure_share);
    }

    /// Takes that the server answered.
    pub fn note_reached(&mut self) {
        self.connect_failures = 0;
    }

    /// Takes that the server refused a request without running it.
    pub fn note_refusal(&mut self, pause: Duration, now: MonoTime) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Returns the share of recent requests that failed, from 0 to 1.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns the average time to an answer, if any is known.
    pub fn latency_ms(&self) -> Option<f64> {
        self.latency_ms
    }
}
