//! Learns the capacity of servers from their responses.

use std::time::Duration;

use dragonflycart_capacity::{
    CapacityChange, CapacityCounts, CapacityTable, HeaderFault, LoadHeader, PauseSample,
    PeerSample, RunningLoad,
};
use dragonflycart_core::MonoTime;

use super::FleetView;
use crate::{
    PlacementQuery, RunKey, ServerKey, ServerState, capacity::PlacementCost,
    server_score::LONG_OUTPUT_TOKENS,
};

/// Minimum time since the last sample of an avoided server for a request that measures it again. The
/// sample of another VM has arrived by then.
const RETEST_AGE: Duration = Duration::from_secs(1);
/// The same for a long stream, which is probably late on a slow engine. It is sent only once the old
/// judgement begins to fade, in case the service has no other requests.
const LONG_RETEST_AGE: Duration = Duration::from_secs(10);

impl FleetView {
    /// Returns the learned capacity of a service's servers if placement uses it.
    pub fn capacity(&self, service: &str) -> Option<&CapacityTable<ServerKey>> {
        self.capacities.get(service).filter(|table| table.is_in_effect())
    }

    /// Returns the learned capacity of a service's servers if the placement of this request uses it.
    pub(super) fn capacity_for(
        &self,
        query: &PlacementQuery<'_>,
    ) -> Option<&CapacityTable<ServerKey>> {
        self.capacity(query.service).filter(|_| PlacementCost::applies_to(query))
    }

    /// Returns whether this request is to be sent to an avoided server, `state`, so that it is
    /// measured again.
    pub(super) fn is_retest(
        &self,
        table: &CapacityTable<ServerKey>,
        (key, state): (ServerKey, &ServerState),
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> bool {
        let is_long = query.demand.output_tokens >= LONG_OUTPUT_TOKENS;
        let least_age = if is_long { LONG_RETEST_AGE } else { RETEST_AGE };
        // The VMs take turns, and begin with another one for each server.
        let vms = self.sharing_vms.max(1);
        let turn = (self.own_rank + first_turn(&state.id)) % vms;
        let wait = least_age + Duration::from_secs(turn as u64);
        table.is_retest_due(key, wait, now)
    }

    /// Records that a request is sent to a server, if that measures it again.
    pub(super) fn note_retest(
        &mut self,
        server: ServerKey,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) {
        let interval = self.retest_interval();
        if self.capacity_for(query).is_some()
            && let Some(table) = self.capacity_of(server)
            && table.is_avoided(server, now)
        {
            table.note_retest(server, interval, now);
        }
    }

    /// Returns the minimum time between two requests of this VM that measure an avoided server
    /// again. All VMs together send at most one per second.
    fn retest_interval(&self) -> Duration {
        Duration::from_secs(self.sharing_vms.max(1) as u64)
    }

    /// Returns the learned capacity of a server's service if placement uses it.
    fn capacity_of(&mut self, server: ServerKey) -> Option<&mut CapacityTable<ServerKey>> {
        let service = &self.servers.get(server)?.record.service;
        self.capacities.get_mut(service).filter(|table| table.is_in_effect())
    }

    /// Records the load header of a server's response, or that there is none.
    pub fn note_load_header(&mut self, server: ServerKey, text: Option<&str>, now: MonoTime) {
        let Some(state) = self.servers.get_mut(server) else { return };
        let header = text.map_or(Err(HeaderFault::Absent), LoadHeader::parse);
        if let Ok(header) = header {
            state.note_reported_load(header.requests(), now);
        }
        let service = &state.record.service;
        if !self.capacities.contains_key(service) {
            self.capacities.insert(service.clone(), CapacityTable::default());
        }
        if let Some(table) = self.capacities.get_mut(service) {
            table.note_header(server, header, now);
        }
    }

    /// Records that a server refused a request without running it, and sends it no new ones for some
    /// time.
    pub fn note_refusal(&mut self, server: ServerKey, pause: Duration, now: MonoTime) {
        let Some(state) = self.servers.get_mut(server) else { return };
        state.note_refusal(pause, now);
        // The refused request itself still counts here.
        let requests = state.total_load(now).requests.saturating_sub(1);
        if let Some(table) = self.capacity_of(server) {
            table.note_refusal(server, requests, now);
        }
    }

    /// Records the load of a server, including the request that is sent to it.
    pub fn note_run_load(&mut self, key: RunKey, load: RunningLoad) {
        if let Some(run) = self.runs.get_mut(key) {
            run.load = Some(load);
        }
    }

    /// Records pauses between events of a stream.
    pub fn note_run_pauses(&mut self, key: RunKey, pause: PauseSample, now: MonoTime) {
        let Some(run) = self.runs.get(key) else { return };
        let server = run.server;
        let Some(state) = self.servers.get(server) else { return };
        let requests = state.total_load(now).requests;
        if let Some(table) = self.capacity_of(server) {
            table.note_pause(server, pause, requests, now);
        }
    }

    /// Records a server's speed as a peer measured it. Returns false if it is not used, for example
    /// because the server restarted since.
    pub fn note_peer_speed(
        &mut self,
        peer: u64,
        id: &str,
        started_at_ms: Option<u64>,
        sample: PeerSample,
        now: MonoTime,
    ) -> bool {
        let Some(key) = self.by_id.get(id).copied() else { return false };
        let state = &self.servers[key];
        if state.record.started_at_ms != started_at_ms {
            return false;
        }
        let service = &state.record.service;
        if !self.capacities.contains_key(service) {
            self.capacities.insert(service.clone(), CapacityTable::default());
        }
        let table = self.capacities.get_mut(service);
        table.is_some_and(|table| table.note_peer_sample(key, peer, sample, now))
    }

    /// Returns the speeds of the servers that this VM used within the last `time`, as it measured
    /// them.
    pub fn own_speed_samples(&self, time: Duration, now: MonoTime) -> Vec<(ServerKey, PeerSample)> {
        let tables = self.capacities.values().filter(|table| table.is_in_effect());
        tables.flat_map(|table| table.own_samples(time, now)).collect()
    }

    /// Returns the learned speeds of the servers with recent samples.
    pub fn learned_speeds(&self, now: MonoTime) -> Vec<f64> {
        let tables = self.capacities.values().filter(|table| table.is_in_effect());
        tables.flat_map(|table| table.speeds(now)).map(|(_, speed)| speed).collect()
    }

    /// Returns what changed in the judgement of servers since the last call, by the server's ID.
    pub fn take_capacity_changes(&mut self) -> Vec<(String, CapacityChange)> {
        let mut changes = Vec::new();
        for table in self.capacities.values_mut() {
            for (key, change) in table.take_changes() {
                let Some(state) = self.servers.get(key) else { continue };
                changes.push((state.id.clone(), change));
            }
        }
        changes
    }

    /// Returns the counts of all services since the last call.
    pub fn take_capacity_counts(&mut self) -> CapacityCounts {
        let mut total = CapacityCounts::default();
        for table in self.capacities.values_mut() {
            total += table.take_counts();
        }
        total
    }

    /// Learns from the time to the first event of a stream.
    pub(super) fn learn_first_event(&mut self, key: RunKey, now: MonoTime) {
        let Some(run) = self.runs.get(key).filter(|run| run.counted.is_none()) else { return };
        let (server, time, load) = (run.server, now.since(run.sent_at), run.load);
        if let (Some(load), Some(table)) = (load, self.capacity_of(server)) {
            table.note_first_event(server, load, time, now);
        }
    }

    /// Learns from the latency of a plain call.
    pub(super) fn learn_call(&mut self, key: RunKey, now: MonoTime) {
        let Some(run) = self.runs.get(key).filter(|run| run.counted.is_none()) else { return };
        let (server, time) = (run.server, now.since(run.sent_at));
        let Some(state) = self.servers.get(server) else { return };
        if self.engine_spec(&state.record.service).is_some() {
            return;
        }
        let requests = state.total_load(now).requests;
        if let Some(table) = self.capacity_of(server) {
            table.note_call(server, time, requests, now);
        }
    }
}

/// Returns a number that all VMs compute alike from a server's ID.
fn first_turn(id: &str) -> usize {
    let sum = id.bytes().fold(0_u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    sum as usize
}
