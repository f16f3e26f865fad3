//! Limit on the requests to cold backend servers, divided among the VMs without coordination.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::{
    Incarnation, MonoTime, RendezvousScore, ServerInstance, ServerName, VmOrdinal, rendezvous_score,
};

use crate::ServerKey;

/// Time that a dispatched request may take to reach the server. Added to the freshness limit.
const TRANSIT_MARGIN: Duration = Duration::from_millis(100);

/// This VM's view of the slots of one server instance.
#[derive(Debug, Clone)]
struct SlotView {
    instance: ServerInstance,
    /// Time at which a report of the instance was first seen.
    first_seen: MonoTime,
    /// Time at which the newest report was taken.
    taken_at: MonoTime,
    /// Whether a valid report counted no more running requests of this VM's ordinal than the VM
    /// itself knows of.
    verified: bool,
    ordinal_running: u32,
    /// Number of this VM's slots among the first `n` slots, indexed by `n`.
    owned_below: Vec<u32>,
}

/// Cold-start slots of this VM's ordinal.
///
/// A cold server accepts only a limited number of requests, summed over all VMs. Each of these
/// slots belongs to one VM ordinal: slot `s` of a server instance to the ordinal with the highest
/// rendezvous score over (server, instance, `s`). VMs may see different limits, but because the
/// slots are numbered, the sum over all VMs is at most the highest limit that any of them sees.
///
/// VMs may also see different instances of a server. A decision names the instance that it was made
/// for, and the request must be sent over a connection to that instance, which breaks when the
/// process ends. A slot of an earlier instance is therefore never used on a later one.
///
/// As a second measure, for callers that can't tie their connections to an instance, a slot is used
/// only with a report that was taken within the freshness limit, and a slot of a new instance only
/// after that limit has passed since the instance was first seen. By then, no VM has a fresh report
/// of the earlier instance.
#[derive(Debug, Clone)]
pub struct ColdSlots {
    ordinal: VmOrdinal,
    ordinal_count: u16,
    incarnation: Incarnation,
    freshness: Duration,
    /// Start of the VM or end of its last pause. Reports that were taken earlier don't count.
    valid_from: MonoTime,
    /// Whether a VM with a newer incarnation has the same ordinal.
    superseded: bool,
    servers: BTreeMap<ServerKey, SlotView>,
}

impl ColdSlots {
    /// Creates the slots of a VM that started at `now` and has ordinal `ordinal` in a zone with
    /// `ordinal_count` ordinals.
    pub fn new(
        ordinal: VmOrdinal,
        ordinal_count: u16,
        incarnation: Incarnation,
        freshness: Duration,
        now: MonoTime,
    ) -> ColdSlots {
        ColdSlots {
            ordinal,
            ordinal_count,
            incarnation,
            freshness,
            valid_from: now,
            superseded: false,
            servers: BTreeMap::new(),
        }
    }

    /// Applies a load report. `counts` holds the reported number of requests of this VM's ordinal
    /// and the number that this VM knows of.
    pub fn observe(
        &mut self,
        server: ServerKey,
        instance: ServerInstance,
        taken_at: MonoTime,
        counts: (u32, u32),
        now: MonoTime,
    ) {
        let (ordinal_running, own_running) = counts;
        let valid_from = self.valid_from;
        let view = self.servers.entry(server).or_insert_with(|| SlotView {
            instance,
            first_seen: now,
            taken_at,
            verified: false,
            ordinal_running: 0,
            owned_below: Vec::new(),
        });
        if view.instance != instance {
            view.instance = instance;
            view.first_seen = now;
            view.verified = false;
            view.owned_below.clear();
        }
        view.taken_at = view.taken_at.max(taken_at);
        view.ordinal_running = ordinal_running;
        // After a start or a pause, requests of the ordinal that this VM doesn't know of come from
        // another incarnation, and their slots are still in use.
        if taken_at >= valid_from && ordinal_running <= own_running {
            view.verified = true;
        }
    }

    /// Computes the owners of the first `limit` slots in advance, to keep the hashing out of the
    /// placement of a request.
    pub fn prepare(&mut self, server: ServerKey, name: &ServerName, limit: u32) {
        let (ordinal, ordinal_count) = (self.ordinal, self.ordinal_count);
        let Some(view) = self.servers.get_mut(&server) else {
            return;
        };
        while view.owned_below.len() <= limit as usize {
            let Some(last) = view.owned_below.last().copied() else {
                view.owned_below.push(0);
                continue;
            };
            let slot = view.owned_below.len() as u32 - 1;
            let own = owner_of_slot(name, view.instance, slot, ordinal_count) == Some(ordinal);
            view.owned_below.push(last + u32::from(own));
        }
    }

    /// Returns whether this VM may start one more request on a cold server, given the limit that it
    /// sees and the number of its own requests there.
    pub fn has_free(&self, server: ServerKey, limit: u32, own_running: u32, now: MonoTime) -> bool {
        if self.superseded {
            return false;
        }
        let Some(view) = self.servers.get(&server) else {
            return false;
        };
        if !view.verified || view.taken_at < self.valid_from {
            return false;
        }
        if now.since(view.taken_at) > self.freshness {
            return false;
        }
        if now.since(view.first_seen) < self.freshness + TRANSIT_MARGIN {
            return false;
        }
        let Some(last) = view.owned_below.last() else {
            return false;
        };
        let owned = view.owned_below.get(limit as usize).unwrap_or(last);
        own_running < *owned
    }

    /// Handles a pause of the control thread that ended now. No slot is used until fresh reports
    /// arrive.
    pub fn pause_ended(&mut self, now: MonoTime) {
        self.valid_from = now;
        for view in self.servers.values_mut() {
            view.verified = false;
        }
    }

    /// Applies an incarnation that was observed with this VM's ordinal. The VM with the newest
    /// incarnation owns the slots.
    pub fn observe_incarnation(&mut self, incarnation: Incarnation) {
        if incarnation > self.incarnation {
            self.superseded = true;
        }
    }

    /// Returns whether a newer incarnation owns the slots of this VM's ordinal.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }
}

/// Returns the ordinal that owns a slot.
fn owner_of_slot(
    name: &ServerName,
    instance: ServerInstance,
    slot: u32,
    ordinal_count: u16,
) -> Option<VmOrdinal> {
    let instance = instance.0.to_be_bytes();
    let slot = slot.to_be_bytes();
    let subject = [name.as_str().as_bytes(), instance.as_slice(), slot.as_slice()];
    let mut best: Option<(RendezvousScore, VmOrdinal)> = None;
    for number in 0..ordinal_count {
        let scored = (rendezvous_score(&subject, &number.to_be_bytes()), VmOrdinal(number));
        if best.is_none_or(|found| scored > found) {
            best = Some(scored);
        }
    }
    best.map(|(_, ordinal)| ordinal)
}
