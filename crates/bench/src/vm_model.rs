//! Entry VM of a simulation.

use std::collections::{BTreeMap, BTreeSet};

use dragonflycart_core::{
    Incarnation, ModelName, MonoTime, ServerInstance, ServerName, TeamName, VersionName, VmOrdinal,
    ZoneName,
};
use dragonflycart_policy::{
    AttemptFailure, PolicySettings, RequestScheduler, RequestTicket, ServerKey, ServerPool,
    ServerReport, ServerSpec, VmPosition,
};

use crate::{ScenarioSpec, engine_snapshot::EngineSnapshot};

/// Concurrency limit of a zone, in requests; high enough to have no effect.
const CONCURRENCY_LIMIT: u32 = 100_000;

/// Message from an engine to a VM.
#[derive(Debug, Clone, Copy)]
pub(crate) enum VmMessage {
    Finished(usize),
    Failed(usize, AttemptFailure),
}

/// Entry VM of a simulation: a scheduler with a delayed view of the engines.
#[derive(Debug)]
pub(crate) struct VmModel {
    pub(crate) scheduler: RequestScheduler,
    /// Messages that the scheduler has not got yet.
    pub(crate) inbox: Vec<VmMessage>,
    /// Numbers of the requests by their tickets in the scheduler.
    pub(crate) requests: BTreeMap<RequestTicket, usize>,
    /// Requests that are on their way to an engine or in it.
    pub(crate) dispatched: BTreeSet<usize>,
    pub(crate) ticks: u64,
}

pub(crate) fn mono_time(millis: f64) -> MonoTime {
    MonoTime::from_micros((millis.max(0.0) * 1_000.0) as u64)
}

pub(crate) fn zone_name(zone: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{zone}")).expect("the name is valid")
}

pub(crate) fn team_name(team: usize) -> TeamName {
    TeamName::new(&format!("team-{team}")).expect("the name is valid")
}

fn model_version() -> (ModelName, VersionName) {
    let model = ModelName::new("model").expect("the name is valid");
    (model, VersionName::new("v1").expect("the name is valid"))
}

pub(crate) fn server_pool() -> ServerPool {
    let (model, version) = model_version();
    ServerPool::Generation(model, version)
}

/// Returns the zone and ordinal of a VM.
pub(crate) fn zone_and_ordinal(spec: &ScenarioSpec, vm: usize) -> (usize, VmOrdinal) {
    (vm % spec.zones, VmOrdinal((vm / spec.zones) as u16))
}

impl VmModel {
    pub(crate) fn new(spec: &ScenarioSpec, vm: usize, policy: &str, seed: u64) -> VmModel {
        let mut ordinal_counts = BTreeMap::new();
        for other in 0..spec.vms {
            let zone = zone_name(zone_and_ordinal(spec, other).0);
            *ordinal_counts.entry(zone).or_insert(0) += 1;
        }
        let settings = PolicySettings {
            policy: policy.to_owned(),
            ordinal_counts,
            random_seed: seed * 1_000 + vm as u64,
            ..spec.settings.clone()
        };
        let (zone, ordinal) = zone_and_ordinal(spec, vm);
        let position =
            VmPosition { zone: zone_name(zone), ordinal, incarnation: Incarnation(vm as u128 + 1) };
        let mut scheduler = RequestScheduler::new(settings, position, MonoTime::default())
            .expect("the policy is registered");
        for zone in 0..spec.zones {
            scheduler.set_zone(MonoTime::default(), &zone_name(zone), true, CONCURRENCY_LIMIT);
        }
        for engine in 0..spec.engines {
            let name = ServerName::new(&format!("engine-{engine:03}")).expect("the name is valid");
            let zone = zone_name(engine % spec.zones);
            scheduler.insert_server(ServerSpec { name, zone, service: None });
        }
        VmModel {
            scheduler,
            inbox: Vec::new(),
            requests: BTreeMap::new(),
            dispatched: BTreeSet::new(),
            ticks: 0,
        }
    }

    pub(crate) fn set_zone(&mut self, now: f64, zone: usize, open: bool) {
        self.scheduler.set_zone(mono_time(now), &zone_name(zone), open, CONCURRENCY_LIMIT);
    }

    /// Applies the load report that arrives at `now`.
    pub(crate) fn apply_report(
        &mut self,
        now: f64,
        engine: usize,
        snapshot: &EngineSnapshot,
        spec: &ScenarioSpec,
    ) {
        let mut running_by_ordinal = Vec::new();
        for (vm, count) in snapshot.by_vm.iter().enumerate() {
            if *count > 0 {
                let (zone, ordinal) = zone_and_ordinal(spec, vm);
                running_by_ordinal.push((zone_name(zone), ordinal, *count));
            }
        }
        let age = 2.0 * spec.latency + spec.engine.report_interval;
        let report = ServerReport {
            taken_at: mono_time(now - age),
            instance: ServerInstance(snapshot.instance),
            cold: snapshot.cold,
            concurrency_limit: snapshot.concurrency_limit,
            leaving: false,
            running: snapshot.running,
            waiting: snapshot.waiting,
            memory_used_tokens: snapshot.memory_used,
            memory_total_tokens: spec.engine.memory_tokens,
            preemptions: snapshot.preemptions,
            running_by_ordinal,
            loaded: vec![model_version()],
        };
        self.scheduler.report(mono_time(now), ServerKey::from_index(engine), report);
    }
}
