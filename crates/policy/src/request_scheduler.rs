//! Scheduler of requests, owned by the control thread.

mod placement_pass;
mod preemption;
mod request_flow;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use dragonflycart_core::{ErrorKind, Incarnation, MonoTime, RouteName, ServerName, ZoneName};

use crate::{
    AdmissionControl, ColdSignal, FairQueue, PlacementDecision, PolicySettings, PoolKey,
    RequestTicket, RetryBudget, ServerKey, ServerPool, ServerReport, ServerSpec, ServerTable,
    UnknownPolicy, VmPosition, ZoneLimits, name_index::NameIndex, request_entry::RequestEntry,
    request_placer::RequestPlacer,
};

/// Interval at which the values derived from the length statistics are recomputed.
const STATISTICS_INTERVAL: Duration = Duration::from_secs(1);

/// Scheduler of the requests of one VM: admission control, fair queueing, limits and the choice of
/// servers.
///
/// It does no I/O and reads no clock. The caller passes the time, reports events, and carries out
/// the decisions that [`RequestScheduler::tick`] returns. It calls `tick` at a fixed interval of a
/// few milliseconds, and after a submission that should not wait for the next interval.
#[derive(Debug)]
pub struct RequestScheduler {
    placer: RequestPlacer,
    admission: AdmissionControl,
    budget: RetryBudget,
    requests: BTreeMap<RequestTicket, RequestEntry>,
    queues: BTreeMap<PoolKey, FairQueue>,
    /// Failed requests that wait for the retry budget, with the time at which they are rejected.
    retries: VecDeque<(MonoTime, RequestTicket)>,
    running_deadlines: BTreeSet<(MonoTime, RequestTicket)>,
    outbox: Vec<PlacementDecision>,
    routes: NameIndex<RouteName>,
    next_ticket: u64,
    last_tick: MonoTime,
    statistics_at: MonoTime,
    /// Moving average of the time per output token, in seconds.
    token_time: f64,
    retries_started: u64,
    /// Time of the last preemption per pool.
    preempted_at: BTreeMap<PoolKey, MonoTime>,
    /// Whether an event since the last pass may allow a waiting request to be placed.
    changed: bool,
    last_pass: MonoTime,
    /// Pools whose queues were not empty after the last pass.
    left_waiting: BTreeSet<PoolKey>,
    /// Whether no further request is started because the time limit of a planned stop has passed.
    is_closed: bool,
    /// Moving average of the share of time in which requests wait, per pool.
    contention: BTreeMap<PoolKey, f64>,
}

impl RequestScheduler {
    /// Creates the scheduler of a VM that starts at `now`.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownPolicy`] if the configured policy isn't registered.
    pub fn new(
        settings: PolicySettings,
        position: VmPosition,
        now: MonoTime,
    ) -> Result<RequestScheduler, UnknownPolicy> {
        Ok(RequestScheduler {
            admission: AdmissionControl::new(settings.queue_limit),
            budget: RetryBudget::new(settings.retry_share),
            requests: BTreeMap::new(),
            queues: BTreeMap::new(),
            retries: VecDeque::new(),
            running_deadlines: BTreeSet::new(),
            outbox: Vec::new(),
            routes: NameIndex::new(),
            next_ticket: 1,
            last_tick: now,
            statistics_at: now,
            token_time: settings.token_time.as_secs_f64(),
            retries_started: 0,
            preempted_at: BTreeMap::new(),
            changed: true,
            last_pass: now,
            left_waiting: BTreeSet::new(),
            is_closed: false,
            contention: BTreeMap::new(),
            placer: RequestPlacer::new(settings, position, now)?,
        })
    }

    /// Adds a backend server. It gets requests after its first load report.
    pub fn insert_server(&mut self, spec: ServerSpec) -> ServerKey {
        self.placer.servers.insert(spec)
    }

    /// Removes a backend server. Its running requests are not cancelled.
    pub fn remove_server(&mut self, name: &ServerName) {
        if let Some(key) = self.placer.servers.find(name) {
            self.placer.servers.remove(key);
        }
    }

    /// Returns the servers.
    pub fn servers(&self) -> &ServerTable {
        &self.placer.servers
    }

    /// Returns whether a pool has a server that may get new requests, in a zone that is in service.
    pub fn can_serve(&self, pool: &ServerPool, now: MonoTime) -> bool {
        self.placer.can_serve(pool, now)
    }

    /// Sets the state and the concurrency limit of a zone from the plan. A zone that was never set
    /// gets no requests.
    pub fn set_zone(&mut self, now: MonoTime, zone: &ZoneName, open: bool, concurrency_limit: u32) {
        self.placer.set_zone(zone, open, concurrency_limit, now);
    }

    /// Returns the share of a zone's concurrency limit that is in effect.
    pub fn zone_ramp(&self, zone: &ZoneName, now: MonoTime) -> f64 {
        let ramp = self.placer.settings.zone_ramp;
        self.placer.zone(zone).map_or(0.0, |limits| limits.ramp_share(now, ramp))
    }

    /// Returns the number of requests of this VM that run in a zone.
    pub fn zone_running(&self, zone: &ZoneName) -> u32 {
        self.placer.zone(zone).map_or(0, ZoneLimits::running)
    }

    /// Sets the number of VMs that are assumed to share the servers. The initial value is the
    /// number of ordinals. A wrong value reduces efficiency; no guarantee depends on it.
    pub fn set_vm_count(&mut self, vms: u32) {
        self.placer.set_vm_count(vms);
    }

    /// Applies an incarnation that was observed with the ordinal of this VM.
    pub fn observe_incarnation(&mut self, incarnation: Incarnation) {
        self.placer.cold.observe_incarnation(incarnation);
    }

    /// Sets whether new requests are rejected because the VM is draining.
    pub fn set_draining(&mut self, draining: bool) {
        self.admission.set_draining(draining);
    }

    /// Starts no further request: those that wait now or later, for example after a failed attempt,
    /// are rejected. Running requests continue, also at another server once they have output, which
    /// a repeat elsewhere would not continue.
    pub fn close_queues(&mut self) {
        self.admission.set_draining(true);
        self.is_closed = true;
    }

    /// Applies a load report.
    pub fn report(&mut self, now: MonoTime, server: ServerKey, report: ServerReport) {
        self.placer.report(server, report, now);
        self.changed = true;
    }

    /// Applies a signal that a server is cold.
    pub fn signal(&mut self, now: MonoTime, server: ServerKey, signal: ColdSignal) {
        self.placer.servers.get_mut(server).signal(signal, now);
    }

    /// Applies an event of a server's prefix cache.
    pub fn cache_event(&mut self, server: ServerKey, sequence: u64, digest: u64, inserted: bool) {
        self.placer.servers.get_mut(server).prefixes.apply(sequence, digest, inserted);
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(FairQueue::len).sum::<usize>() + self.retries.len()
    }

    /// Returns the number of retries that were started.
    pub fn retries_started(&self) -> u64 {
        self.retries_started
    }

    /// Advances the scheduler to `now` and returns the decisions that are due.
    pub fn tick(&mut self, now: MonoTime) -> Vec<PlacementDecision> {
        if now.since(self.last_tick) > self.placer.settings.pause_limit {
            self.placer.cold.pause_ended(now);
        }
        self.last_tick = now;
        if now.since(self.statistics_at) >= STATISTICS_INTERVAL {
            self.statistics_at = now;
            self.placer.refresh_residuals();
        }
        if self.is_closed {
            self.reject_not_begun();
        }
        self.release_retries(now);
        self.expire_waiting(now);
        self.expire_running(now);
        self.place_waiting(now);
        if !self.is_closed {
            self.preempt_for_interactive(now);
        }
        std::mem::take(&mut self.outbox)
    }

    /// Rejects the waiting requests without output, as not run only those that no server may have
    /// run.
    fn reject_not_begun(&mut self) {
        let mut waiting = Vec::new();
        for (ticket, entry) in &self.requests {
            if entry.server.is_none() && entry.tokens == 0 {
                let kind = if entry.may_have_run_on.is_empty() {
                    ErrorKind::Draining
                } else {
                    ErrorKind::BackendFailed
                };
                waiting.push((*ticket, entry.pool, kind));
            }
        }
        for (ticket, pool, kind) in waiting {
            if let Some(queue) = self.queues.get_mut(&pool) {
                queue.remove(ticket);
            }
            self.reject(ticket, kind);
        }
    }

    fn reject(&mut self, ticket: RequestTicket, kind: ErrorKind) {
        self.requests.remove(&ticket);
        self.outbox.push(PlacementDecision::Reject { ticket, kind });
    }

    fn expire_waiting(&mut self, now: MonoTime) {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            while let Some(request) = queue.pop_expired(now) {
                expired.push(request.ticket);
            }
        }
        for ticket in expired {
            let Some(entry) = self.requests.get(&ticket) else {
                continue;
            };
            let kind = match (entry.deadline, entry.tokens) {
                (None, 0) => ErrorKind::Overloaded,
                (Some(_), 0) if entry.failed_on.is_empty() => ErrorKind::DeadlineNotStarted,
                (Some(_), _) => ErrorKind::DeadlineExceeded,
                (None, _) => ErrorKind::Interrupted,
            };
            self.reject(ticket, kind);
        }
    }

    fn expire_running(&mut self, now: MonoTime) {
        while let Some((deadline, ticket)) = self.running_deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.running_deadlines.pop_first();
            let Some(entry) = self.requests.remove(&ticket) else {
                continue;
            };
            let Some(server) = entry.server else {
                continue;
            };
            self.placer.release(&entry, server, now);
            let kind = ErrorKind::DeadlineExceeded;
            self.outbox.push(PlacementDecision::Cancel { ticket, server, kind });
        }
    }
}
