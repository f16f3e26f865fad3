//! Builds the status that operators see.

use std::collections::BTreeMap;

use dragonflycart_core::{MonoTime, ServerName, WallTime, ZoneName, ZoneState};
use dragonflycart_operator::api::{
    BackendKind, BackendStatus, MemberStatus, MoveState as ApiState, MoveStatus, StatusResponse,
    VmIdentity, VmState, ZoneStatus,
};
use dragonflycart_policy::{MoveState, ServerState};
use dragonflycart_settings::Config;
use dragonflycart_state::MemberInfo;

use crate::{
    control::{
        peer_control::PeerControl,
        placement_control::PlacementControl,
        plan_control::PlanControl,
        version_control::{MoveView, VersionControl},
    },
    node_lifecycle::LifecyclePhase,
    peer::PeerIdentity,
};

/// The parts of the control state that the status is built from.
pub(crate) struct StatusView<'a> {
    pub(crate) config: &'a Config,
    pub(crate) identity: &'a PeerIdentity,
    pub(crate) phase: LifecyclePhase,
    pub(crate) placement: &'a PlacementControl,
    pub(crate) plan: &'a PlanControl,
    pub(crate) peers: &'a PeerControl,
    pub(crate) versions: &'a VersionControl,
    pub(crate) log_reachable: bool,
    pub(crate) now: MonoTime,
    pub(crate) wall: WallTime,
}

impl StatusView<'_> {
    /// Returns the status.
    pub(crate) fn response(&self) -> StatusResponse {
        StatusResponse {
            vm: self.own_identity(),
            state: vm_state(self.phase),
            now: self.wall,
            plan_revision: self.plan.revision(),
            log_reachable: self.log_reachable,
            zones: self.zones(),
            models: self.config.models.keys().cloned().collect(),
            backends: self.backends(),
            members: self.peers.known().map(|member| self.member(member)).collect(),
            moves: self.moves(),
        }
    }

    fn own_identity(&self) -> VmIdentity {
        VmIdentity {
            zone: self.identity.zone.clone(),
            ordinal: self.identity.ordinal,
            incarnation: self.identity.incarnation.to_string(),
            peer: self.config.vm.peer,
            admin: Some(self.config.vm.admin),
        }
    }

    fn zones(&self) -> BTreeMap<ZoneName, ZoneStatus> {
        let plan = self.plan.plan();
        let mut zones = BTreeMap::new();
        for zone in self.config.zones.keys() {
            let overridden = self.peers.zone_is_out(zone, self.plan.state());
            let open = plan.zone_is_in(zone) && !overridden;
            let limit = plan.zones.get(zone).map_or(0, |planned| planned.concurrency_limit);
            let status = ZoneStatus {
                state: if open { ZoneState::In } else { ZoneState::Out },
                overridden,
                concurrency_limit: limit,
                ramp: self.placement.scheduler().zone_ramp(zone, self.now),
                running: self.placement.scheduler().zone_running(zone),
            };
            zones.insert(zone.clone(), status);
        }
        zones
    }

    fn backends(&self) -> Vec<BackendStatus> {
        let mut backends = Vec::new();
        for (name, key) in self.placement.servers() {
            let state = self.placement.scheduler().servers().get(*key);
            backends.extend(self.backend(name, state));
        }
        backends
    }

    fn backend(&self, name: &ServerName, state: &ServerState) -> Option<BackendStatus> {
        let (kind, address, zone) = if let Some(engine) = self.config.engines.get(name) {
            (BackendKind::Engine, engine.address, engine.zone.clone())
        } else {
            let server = self.config.service_servers.get(name)?;
            (BackendKind::Service, server.address, server.zone.clone())
        };
        let report = state.report();
        let stale = state.report_age(self.now) > self.config.timeouts.peer_silence;
        let state_name = match report {
            None => "unreachable",
            Some(_) if stale => "unreachable",
            Some(report) if report.leaving => "leaving",
            Some(_) if state.is_cold() => "cold",
            Some(_) => "warm",
        };
        Some(BackendStatus {
            name: name.clone(),
            kind,
            zone,
            address,
            state: state_name.to_owned(),
            running: state.own_running(),
            limit: report.map_or(0, |report| report.concurrency_limit),
            report_ms_ago: report.map(|_| state.report_age(self.now).as_millis() as u64),
            versions: report.map(|r| r.loaded.iter().cloned().collect()).unwrap_or_default(),
        })
    }

    fn member(&self, member: &MemberInfo) -> MemberStatus {
        let unseen_for = self.now.since(member.last_seen);
        let unresponsive = unseen_for > self.config.timeouts.peer_silence;
        let state = match (unresponsive, member.draining) {
            (true, _) => VmState::Unresponsive,
            (false, true) => VmState::Draining,
            (false, false) => VmState::Ready,
        };
        MemberStatus {
            vm: VmIdentity {
                zone: ZoneName::new(&member.zone).unwrap_or_else(|_| self.identity.zone.clone()),
                ordinal: member.ordinal,
                incarnation: member.incarnation.to_string(),
                peer: member.address.parse().unwrap_or(self.config.vm.peer),
                admin: None,
            },
            state,
            plan_revision: member.plan_revision,
            heard_ms_ago: unseen_for.as_millis() as u64,
        }
    }

    /// Returns the version moves.
    pub(crate) fn moves(&self) -> Vec<MoveStatus> {
        self.versions.views().into_iter().map(|view| self.move_status(view)).collect()
    }

    fn move_status(&self, view: MoveView) -> MoveStatus {
        let started = self.wall >= view.plan.start;
        let state = match view.state {
            MoveState::Running if started => ApiState::Running,
            MoveState::Running => ApiState::Planned,
            MoveState::Done => ApiState::Done,
            MoveState::RolledBack => ApiState::RolledBack,
        };
        MoveStatus {
            id: view.move_id,
            plan: view.plan,
            state,
            share: view.share,
            reason: (!view.reason.is_empty()).then_some(view.reason),
            ended_at: view.ended_at,
            evidence: view.evidence,
        }
    }
}

fn vm_state(phase: LifecyclePhase) -> VmState {
    match phase {
        LifecyclePhase::Starting => VmState::Starting,
        LifecyclePhase::Ready => VmState::Ready,
        LifecyclePhase::Leaving | LifecyclePhase::Draining | LifecyclePhase::Stopped => {
            VmState::Draining
        }
    }
}
