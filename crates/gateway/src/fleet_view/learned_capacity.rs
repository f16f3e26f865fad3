//! Learns the capacity of servers from their responses.

use std::time::Duration;

use dragonflycart_capacity::{CapacityTable, HeaderFault, LoadHeader, PauseSample, RunningLoad};
use dragonflycart_core::MonoTime;

use super::FleetView;
use crate::{
    PlacementQuery, RunKey, ServerKey,
    capacity::PlacementCost,
    server_score::{LONG_OUTPUT_TOKENS, spread},
};

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

    /// Returns whether this request is to be sent to an avoided server so that it is measured again.
    /// Long streams are not sent there for that purpose.
    pub(super) fn is_retest(
        &self,
        table: &CapacityTable<ServerKey>,
        server: ServerKey,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> bool {
        let phase = spread(self.vm_seed, server);
        query.demand.output_tokens < LONG_OUTPUT_TOKENS
            && table.is_retest_due(server, self.retest_interval(), phase, now)
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
