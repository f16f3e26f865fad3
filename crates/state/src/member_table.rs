//! Entry VMs that this one hears from.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::{Incarnation, MonoTime, PlanRevision, VmOrdinal};
use dragonflycart_wire::{Heartbeat, Hello};

use crate::{MemberInfo, MemberState, incarnation_from_wire};

/// Silence after which a member is suspect: three heartbeats.
const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// Silence after which a member is gone.
const GONE_AFTER: Duration = Duration::from_secs(10);

/// Silence after which a member is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Time between two refreshes above which this VM was paused. Choice 11 of the design page takes
/// cold-start slots away from a VM whose control thread stood still for longer.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// Members that are kept; the design scale has 420 VMs. Beyond it, unknown ones are ignored.
const MEMBERS_KEPT: usize = 1_024;

/// Entry VMs known to this one, with their last sign of life.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: Incarnation,
    own_ordinal: (String, VmOrdinal),
    members: BTreeMap<Incarnation, MemberInfo>,
    /// Newest incarnation seen per seat.
    newest_by_ordinal: BTreeMap<(String, VmOrdinal), Incarnation>,
    refreshed_at: MonoTime,
    ordinal_lost: bool,
}

impl MemberTable {
    /// Starts an empty table of the VM `own`, which has `seat` in `zone`.
    pub fn new(own: Incarnation, zone: &str, ordinal: VmOrdinal, now: MonoTime) -> MemberTable {
        MemberTable {
            own,
            own_ordinal: (zone.to_owned(), ordinal),
            members: BTreeMap::new(),
            newest_by_ordinal: BTreeMap::new(),
            refreshed_at: now,
            ordinal_lost: false,
        }
    }

    /// Takes note of the first message on a connection.
    pub fn hello(&mut self, hello: &Hello, now: MonoTime) {
        let incarnation = incarnation_from_wire(&hello.incarnation);
        let ordinal = VmOrdinal(u16::try_from(hello.ordinal).unwrap_or(u16::MAX));
        if incarnation == self.own {
            return;
        }
        if self.own_ordinal == (hello.zone.clone(), ordinal) && incarnation > self.own {
            self.ordinal_lost = true;
        }
        let ordinal_key = (hello.zone.clone(), ordinal);
        if self.newest_by_ordinal.contains_key(&ordinal_key)
            || self.newest_by_ordinal.len() < MEMBERS_KEPT
        {
            let newest = self.newest_by_ordinal.entry(ordinal_key).or_insert(incarnation);
            *newest = incarnation.max(*newest);
        }
        let known = self.members.contains_key(&incarnation);
        if !known && self.members.len() >= MEMBERS_KEPT {
            return;
        }
        let member = self.members.entry(incarnation).or_insert_with(|| MemberInfo {
            incarnation,
            ordinal,
            zone: hello.zone.clone(),
            address: hello.address.clone(),
            plan_revision: PlanRevision(0),
            draining: false,
            log_reachable: false,
            last_seen: now,
        });
        member.address = hello.address.clone();
        member.last_seen = member.last_seen.max(now);
    }

    /// Takes note of a heartbeat. Heartbeats of an incarnation that sent no `Hello` are ignored.
    pub fn heartbeat(&mut self, incarnation: Incarnation, heartbeat: &Heartbeat, now: MonoTime) {
        let Some(member) = self.members.get_mut(&incarnation) else {
            return;
        };
        member.last_seen = member.last_seen.max(now);
        member.plan_revision = member.plan_revision.max(PlanRevision(heartbeat.plan_revision));
        member.draining |= heartbeat.draining;
        member.log_reachable = heartbeat.log_reachable;
    }

    /// Advances the time. Returns the length of the pause if this VM stood still; the silence of
    /// the others during it says nothing about them, so their times are moved along.
    pub fn refresh(&mut self, now: MonoTime) -> Option<Duration> {
        let gap = now.since(self.refreshed_at);
        let before = self.refreshed_at;
        self.refreshed_at = self.refreshed_at.max(now);
        let paused = (gap > PAUSE_LIMIT).then_some(gap);
        if paused.is_some() {
            for member in self.members.values_mut() {
                if member.last_seen <= before {
                    member.last_seen = member.last_seen + gap;
                }
            }
        }
        self.members.retain(|_, member| now.since(member.last_seen) < FORGET_AFTER);
        paused
    }

    /// Returns the state of a member. An incarnation whose seat a newer one has is gone.
    pub fn state(&self, incarnation: Incarnation) -> MemberState {
        let Some(member) = self.members.get(&incarnation) else {
            return MemberState::Gone;
        };
        let silence = self.refreshed_at.since(member.last_seen);
        if silence >= GONE_AFTER || self.is_superseded(member) {
            return MemberState::Gone;
        }
        if silence >= SUSPECT_AFTER {
            return MemberState::Suspect;
        }
        MemberState::Alive
    }

    /// Returns whether a newer incarnation with this VM's seat was seen. It stays so, because the
    /// newer one may use the seat's cold-start slots even when it is silent.
    pub fn ordinal_is_lost(&self) -> bool {
        self.ordinal_lost
    }

    /// Returns the members that are alive.
    pub fn alive(&self) -> impl Iterator<Item = &MemberInfo> {
        self.members.values().filter(|member| self.state(member.incarnation) == MemberState::Alive)
    }

    /// Returns all members that are not forgotten yet.
    pub fn known(&self) -> impl Iterator<Item = &MemberInfo> {
        self.members.values()
    }

    /// Returns the lowest seat of `zone` among the VMs that are alive, this one included.
    pub fn lowest_ordinal(&self, zone: &str) -> Option<VmOrdinal> {
        let own = (self.own_ordinal.0 == zone && !self.ordinal_lost).then_some(self.own_ordinal.1);
        let others = self.alive().filter(|member| member.zone == zone).map(|member| member.ordinal);
        others.chain(own).min()
    }

    /// Returns the member with the highest plan revision above `revision`.
    pub fn newest_plan(&self, revision: PlanRevision) -> Option<&MemberInfo> {
        self.alive()
            .filter(|member| member.plan_revision > revision)
            .max_by_key(|member| member.plan_revision)
    }

    fn is_superseded(&self, member: &MemberInfo) -> bool {
        let newest = self.newest_by_ordinal.get(&(member.zone.clone(), member.ordinal));
        newest.is_some_and(|newest| *newest > member.incarnation)
    }
}
