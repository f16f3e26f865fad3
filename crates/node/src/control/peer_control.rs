//! Membership, gossip state, and the messages that this VM and its peers exchange about them.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use dragonflycart_containment::SuspectReport;
use dragonflycart_core::{MonoTime, MoveId, PlanRevision, WallTime, ZoneName};
use dragonflycart_interfaces::{VmEntry, VmState};
use dragonflycart_state::{GossipState, MemberInfo, MemberTable, MoveState, PlanState};
use dragonflycart_wire::{
    Evidence, GossipUpdate, Heartbeat, MoveEnd, PeerMessage, PlanCopy, PlanFetch,
    peer_message::Kind,
};
use tokio::sync::{broadcast, mpsc, watch};

use crate::peer::PeerIdentity;

/// Interval between two heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Interval at which the gossip state is resent, for peers that missed a change.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(5);

/// Membership, gossip state, and the messages that this VM and its peers exchange about them.
pub(crate) struct PeerControl {
    members: MemberTable,
    gossip: GossipState,
    broadcasts: broadcast::Sender<PeerMessage>,
    addresses: watch::Sender<BTreeSet<SocketAddr>>,
    configured: BTreeSet<SocketAddr>,
    sequence: u64,
    heartbeat_at: MonoTime,
    gossip_sent_at: MonoTime,
    draining: bool,
}

impl PeerControl {
    /// Starts with the peers of the settings.
    pub(crate) fn new(
        own: &PeerIdentity,
        broadcasts: broadcast::Sender<PeerMessage>,
        addresses: watch::Sender<BTreeSet<SocketAddr>>,
        now: MonoTime,
    ) -> PeerControl {
        let configured = addresses.borrow().clone();
        PeerControl {
            members: MemberTable::new(own.incarnation, own.zone.as_str(), own.ordinal, now),
            gossip: GossipState::default(),
            broadcasts,
            addresses,
            configured,
            sequence: 0,
            heartbeat_at: MonoTime::default(),
            gossip_sent_at: MonoTime::default(),
            draining: false,
        }
    }

    /// Returns the gossip state.
    pub(crate) fn gossip(&self) -> &GossipState {
        &self.gossip
    }

    /// Returns all known members, including those that stopped responding recently.
    pub(crate) fn known(&self) -> impl Iterator<Item = &MemberInfo> {
        self.members.known()
    }

    /// Returns the members that respond.
    pub(crate) fn alive(&self) -> Vec<MemberInfo> {
        self.members.alive().cloned().collect()
    }

    /// Makes the heartbeats say that this VM is draining.
    pub(crate) fn set_draining(&mut self) {
        self.draining = true;
    }

    /// Records that a message of a peer arrived.
    pub(crate) fn mark_seen(&mut self, identity: &PeerIdentity, now: MonoTime) {
        self.members.hello(&identity.hello(), now);
    }

    /// Applies a heartbeat, and requests the plan if the peer has a newer one.
    pub(crate) fn apply_heartbeat(
        &mut self,
        identity: &PeerIdentity,
        heartbeat: &Heartbeat,
        revision: PlanRevision,
        reply: &mpsc::Sender<PeerMessage>,
        now: MonoTime,
    ) {
        self.members.heartbeat(identity.incarnation, heartbeat, now);
        if heartbeat.plan_revision > revision.0 {
            // If the queue is full, the request is dropped. The next heartbeat repeats it.
            let _ = reply.try_send(message(Kind::PlanFetch(PlanFetch {})));
        }
    }

    /// Replies to a request for the plan.
    pub(crate) fn send_plan(&self, copy: PlanCopy, reply: &mpsc::Sender<PeerMessage>) {
        let _ = reply.try_send(message(Kind::PlanCopy(copy)));
    }

    /// Merges the gossip state of a peer. Returns whether anything changed.
    pub(crate) fn merge_gossip(&mut self, gossip: &GossipUpdate) -> bool {
        let changed = self.gossip.merge(gossip);
        if changed {
            self.send_gossip();
        }
        changed
    }

    /// Sets the state of a move in the gossip state. Returns whether it changed.
    pub(crate) fn set_move_state(
        &mut self,
        move_id: &MoveId,
        state: MoveState,
        revision: PlanRevision,
        reason: &str,
    ) -> bool {
        let changed = self.gossip.set_move(move_id, state, revision, reason);
        if changed {
            self.send_gossip();
        }
        changed
    }

    /// Applies a record of topic `moves`. Returns whether the gossip state changed.
    pub(crate) fn apply_end(&mut self, end: &MoveEnd, revision: PlanRevision) -> bool {
        let changed = self.gossip.apply_end(end, revision);
        if changed {
            self.send_gossip();
        }
        changed
    }

    /// Takes a zone out of service by an override, without the log service.
    pub(crate) fn set_zone_override(
        &mut self,
        zone: &ZoneName,
        set_at: WallTime,
        revision: PlanRevision,
        author: &str,
    ) {
        if self.gossip.set_zone(zone, set_at, revision, author) {
            self.send_gossip();
        }
    }

    /// Returns whether an override takes a zone out of service under the plan in effect.
    pub(crate) fn zone_is_out(&self, zone: &ZoneName, plan: &PlanState) -> bool {
        self.gossip.zone_is_out(zone, plan)
    }

    /// Applies the platform's list of VMs. Configured peers are kept, because the list lags.
    pub(crate) fn set_vm_list(&mut self, entries: &[VmEntry]) {
        let mut addresses = self.configured.clone();
        for entry in entries {
            if entry.state == VmState::Live {
                addresses.insert(entry.address);
            }
        }
        self.addresses.send_if_modified(|current| {
            let changed = *current != addresses;
            if changed {
                *current = addresses;
            }
            changed
        });
    }

    /// Sends a heartbeat immediately, for example after a change of the plan.
    pub(crate) fn send_heartbeat(
        &mut self,
        revision: PlanRevision,
        log_reachable: bool,
        now: MonoTime,
    ) {
        self.heartbeat_at = now;
        self.sequence += 1;
        let heartbeat = Heartbeat {
            plan_revision: revision.0,
            draining: self.draining,
            log_reachable,
            sequence: self.sequence,
        };
        self.send(Kind::Heartbeat(heartbeat));
    }

    /// Sends the request counters of this VM.
    pub(crate) fn send_evidence(&self, evidence: Evidence) {
        self.send(Kind::Evidence(evidence));
    }

    /// Sends what is known about prompts that crash engines.
    pub(crate) fn send_suspects(&self, report: SuspectReport) {
        self.send(Kind::Suspects(report));
    }

    fn send_gossip(&self) {
        self.send(Kind::GossipUpdate(self.gossip.to_wire()));
    }

    fn send(&self, kind: Kind) {
        // Sending fails only while no peer is connected, which is not an error.
        let _ = self.broadcasts.send(message(kind));
    }

    /// Sends the messages that are due and updates the membership. Returns how long this VM was
    /// paused, if it was.
    pub(crate) fn tick(
        &mut self,
        revision: PlanRevision,
        log_reachable: bool,
        now: MonoTime,
    ) -> Option<Duration> {
        if now.since(self.heartbeat_at) >= HEARTBEAT_PERIOD {
            self.send_heartbeat(revision, log_reachable, now);
        }
        if now.since(self.gossip_sent_at) >= GOSSIP_INTERVAL {
            self.gossip_sent_at = now;
            self.send_gossip();
        }
        self.members.refresh(now)
    }
}

fn message(kind: Kind) -> PeerMessage {
    PeerMessage { kind: Some(kind) }
}
