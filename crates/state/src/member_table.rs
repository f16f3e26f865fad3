//! Entry VMs from which this one receives messages.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::{Incarnation, MonoTime, PlanRevision, VmOrdinal};
use dragonflycart_wire::{Heartbeat, Hello};

use crate::{MemberInfo, MemberState, incarnation_from_wire};

/// Time without messages after which a member is suspect: three heartbeats.
const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// Time without messages after which a member is gone.
const GONE_AFTER: Duration = Duration::from_secs(10);

/// Time without messages after which a member is removed.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Time between two refreshes above which this VM counts as paused. A VM whose control thread stood
/// still for longer loses its cold-start slots (choice 11 of the design page).
const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// Maximum number of members. The design scale has 420 VMs. Above the limit, new ones are ignored.
const MAX_MEMBERS: usize = 1_024;

/// Entry VMs known to this one, and when each was last seen.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: Incarnation,
    own_ordinal: (String, VmOrdinal),
    members: BTreeMap<Incarnation, MemberInfo>,
    /// Newest incarnation seen per zone and ordinal.
    newest_by_ordinal: BTreeMap<(String, VmOrdinal), Incarnation>,
    refreshed_at: MonoTime,
    ordinal_lost: bool,
}

impl MemberTable {
    /// Creates an empty table for the VM `own`, which has `ordinal` in `zone`.
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

    /// Applies the first message on a connection.
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
            || self.newest_by_ordinal.len() < MAX_MEMBERS
        {
            let newest = self.newest_by_ordinal.entry(ordinal_key).or_insert(incarnation);
            *newest = incarnation.max(*newest);
        }
        let known = self.members.contains_key(&incarnation);
        if !known && self.members.len() >= MAX_MEMBERS {
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

    /// Applies a heartbeat. Heartbeats of an incarnation that sent no `Hello` are ignored.
    pub fn heartbeat(&mut self, incarnation: Incarnation, heartbeat: &Heartbeat, now: MonoTime) {
        let Some(member) = self.members.get_mut(&incarnation) else {
            return;
        };
        member.last_seen = member.last_seen.max(now);
        member.plan_revision = member.plan_revision.max(PlanRevision(heartbeat.plan_revision));
        member.draining |= heartbeat.draining;
        member.log_reachable = heartbeat.log_reachable;
    }

    /// Advances the time. Returns the length of the pause if this VM was paused. Messages missing
    /// during the pause say nothing about the others, so their `last_seen` is moved forward by it.
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

    /// Returns the state of a member. It is gone if a newer incarnation has the same ordinal.
    pub fn state(&self, incarnation: Incarnation) -> MemberState {
        let Some(member) = self.members.get(&incarnation) else {
            return MemberState::Gone;
        };
        let since_last_seen = self.refreshed_at.since(member.last_seen);
        if since_last_seen >= GONE_AFTER || self.is_superseded(member) {
            return MemberState::Gone;
        }
        if since_last_seen >= SUSPECT_AFTER {
            return MemberState::Suspect;
        }
        MemberState::Alive
    }

    /// Returns whether a newer incarnation with this VM's ordinal was ever seen. This never
    /// reverts, because the newer one may use the cold-start slots of the ordinal even when it
    /// sends nothing.
    pub fn ordinal_is_lost(&self) -> bool {
        self.ordinal_lost
    }

    /// Returns the members that are alive.
    pub fn alive(&self) -> impl Iterator<Item = &MemberInfo> {
        self.members.values().filter(|member| self.state(member.incarnation) == MemberState::Alive)
    }

    /// Returns all members that were not removed yet.
    pub fn known(&self) -> impl Iterator<Item = &MemberInfo> {
        self.members.values()
    }

    /// Returns the lowest ordinal in `zone` among the VMs that are alive, this one included.
    pub fn lowest_ordinal(&self, zone: &str) -> Option<VmOrdinal> {
        let own = (self.own_ordinal.0 == zone && !self.ordinal_lost).then_some(self.own_ordinal.1);
        let others = self.alive().filter(|member| member.zone == zone).map(|member| member.ordinal);
        others.chain(own).min()
    }

    /// Returns the live member with the highest plan revision, if that is above `revision`.
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
