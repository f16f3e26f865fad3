//! Limit of cold backend servers, held in the sum over all entry VMs without any message.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::{
    Incarnation, MonoTime, RendezvousScore, ServerInstance, ServerName, VmOrdinal, rendezvous_score,
};

use crate::ServerKey;

/// Time that a dispatched request may take to reach the server, added to the freshness limit.
const TRANSIT_MARGIN: Duration = Duration::from_millis(100);

/// Slots of one server instance as this VM sees them.
#[derive(Debug, Clone)]
struct SlotView {
    instance: ServerInstance,
    first_seen: MonoTime,
    taken_at: MonoTime,
    verified: bool,
    ordinal_running: u32,
    /// Number of own slots among the first `n`, by `n`.
    owned_below: Vec<u32>,
}

/// Cold-start slots of this VM's seat.
///
/// Slot `s` of a server instance belongs to the seat with the highest rendezvous score over
/// (server, instance, s). VMs may have different views of the limit: the slots are numbered, so
/// the sum over all VMs is at most the largest limit that any of them sees.
///
/// VMs may also have different views of the instance. A decision names the instance that it was
/// made for, and must be sent over a connection to that instance, which breaks when the process
/// ends; so a slot of an earlier instance is never used on a later one. As a second measure, for
/// callers whose connections can't be tied to an instance, a slot is used only with a report that
/// was taken within the freshness limit, and a new instance only after that limit has passed
/// since it was first seen: by then no VM has a fresh report of the earlier instance.
#[derive(Debug, Clone)]
pub struct ColdSlots {
    ordinal: VmOrdinal,
    ordinal_count: u16,
    incarnation: Incarnation,
    freshness: Duration,
    /// Reports taken before this time don't count: the start of the VM or the end of its last
    /// pause.
    valid_from: MonoTime,
    given_up: bool,
    servers: BTreeMap<ServerKey, SlotView>,
}

impl ColdSlots {
    /// Builds the slots of a VM that started at `now` on seat `seat` of `seat_count` seats.
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
            given_up: false,
            servers: BTreeMap::new(),
        }
    }

    /// Applies a load report. `seat_running` is the reported number of requests of this VM's
    /// seat, `own_running` the number that this VM knows of.
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
        // After a start or a pause, requests of the seat that this VM doesn't know of belong to
        // another incarnation, and their slots are in use.
        if taken_at >= valid_from && ordinal_running <= own_running {
            view.verified = true;
        }
    }

    /// Computes the owners of the first `limit` slots ahead of their use, to keep the hashing out
    /// of the placement of a request.
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

    /// Returns whether this VM may start one more request on a cold server, given the limit in
    /// its view and the number of its own requests there.
    pub fn has_free(&self, server: ServerKey, limit: u32, own_running: u32, now: MonoTime) -> bool {
        if self.given_up {
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

    /// Notes that the control thread was paused. No slot is used until fresh reports arrive.
    pub fn pause_ended(&mut self, now: MonoTime) {
        self.valid_from = now;
        for view in self.servers.values_mut() {
            view.verified = false;
        }
    }

    /// Notes another VM with the seat of this one. The one with the newer incarnation keeps the
    /// slots.
    pub fn observe_incarnation(&mut self, incarnation: Incarnation) {
        if incarnation > self.incarnation {
            self.given_up = true;
        }
    }

    /// Returns whether this VM gave up its slots to a newer incarnation on its seat.
    pub fn given_up(&self) -> bool {
        self.given_up
    }
}

/// Returns the seat that owns a slot.
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
