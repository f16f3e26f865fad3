//! Orders to the engines of this VM's zone to load and unload model versions, and the choice of
//! the loaded versions that may get requests.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dragonflycart_core::{
    ModelName, MonoTime, MoveId, OperatingPlan, OrderFence, PlanRevision, ServerName, VmOrdinal,
    WallTime, ZoneName,
};
use dragonflycart_engine::LoadReport;
use dragonflycart_policy::{
    IssuerElection, ModelLoadLimiter, ModelVersion, MoveState, OrderAction, OrderPlanner,
    OrderReport, OrderSendResult, OrderTarget, ReadinessGate, ServerOrderInputs,
};
use dragonflycart_settings::Config;
use log::info;
use tokio::sync::mpsc;

use crate::order_sender::{OrderEnded, OrderResult, OrderTask};

/// Time within which a plan takes effect on every VM that can be reached.
const PLAN_PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Unloads are ordered only if topic `plan` was read to its end within this time, so that they
/// follow the newest plan.
const MAX_LOG_READ_AGE: Duration = Duration::from_secs(3);

/// State of an engine as needed for its orders.
struct EngineOrderState {
    zone: ZoneName,
    models: BTreeSet<ModelName>,
    planner: OrderPlanner,
    report: Option<OrderReport>,
    running: BTreeSet<ModelVersion>,
    /// Versions being loaded, with the time at which the load counts as failed.
    loading: BTreeMap<ModelVersion, MonoTime>,
}

/// Inputs for choosing the orders.
pub(crate) struct OrderInputs<'a> {
    pub(crate) now: MonoTime,
    pub(crate) wall: WallTime,
    pub(crate) revision: PlanRevision,
    pub(crate) plan: &'a OperatingPlan,
    /// State of each move, and whether the version that it no longer needs may be unloaded.
    pub(crate) moves: BTreeMap<MoveId, (MoveState, bool)>,
    /// Versions to which this VM sends requests.
    pub(crate) routed_versions: BTreeSet<ModelVersion>,
    /// Ordinals of the responding VMs in this VM's zone.
    pub(crate) live_ordinals: Vec<VmOrdinal>,
    /// Time at which topic `plan` was last read to its end.
    pub(crate) log_read_at: Option<MonoTime>,
}

/// Sends orders to engines and decides which loaded versions may get requests.
pub(crate) struct OrderControl {
    zone: ZoneName,
    ordinal: VmOrdinal,
    timeout: Duration,
    engines: BTreeMap<ServerName, EngineOrderState>,
    gates: BTreeMap<ZoneName, ReadinessGate>,
    load_limiter: ModelLoadLimiter,
    tasks: mpsc::UnboundedSender<OrderTask>,
}

impl OrderControl {
    /// Creates a planner for each configured engine.
    pub(crate) fn new(config: &Config, tasks: mpsc::UnboundedSender<OrderTask>) -> OrderControl {
        let timeout = config.timeouts.order;
        let mut engines = BTreeMap::new();
        for (name, settings) in &config.engines {
            let engine = EngineOrderState {
                zone: settings.zone.clone(),
                models: settings.models.clone(),
                planner: OrderPlanner::new(timeout, settings.checks_fences),
                report: None,
                running: BTreeSet::new(),
                loading: BTreeMap::new(),
            };
            engines.insert(name.clone(), engine);
        }
        let gate = |_| ReadinessGate::new(timeout + PLAN_PROPAGATION_TIME);
        let gates = config.zones.keys().map(|zone| (zone.clone(), gate(zone))).collect();
        OrderControl {
            zone: config.vm.zone.clone(),
            ordinal: config.vm.ordinal,
            timeout,
            engines,
            gates,
            load_limiter: ModelLoadLimiter::default(),
            tasks,
        }
    }

    /// Applies a load report, and removes from it the versions that must not get requests now.
    pub(crate) fn note_report(
        &mut self,
        name: &ServerName,
        asked_at: MonoTime,
        report: &mut LoadReport,
    ) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let seen = OrderReport {
            taken_at: asked_at,
            instance: report.instance,
            loaded: report.loaded.iter().cloned().collect(),
            highest_fence: report.highest_fence,
        };
        engine.running.clear();
        for (model, version, _) in &report.running_by_version {
            engine.running.insert((model.clone(), version.clone()));
        }
        if let Some(gate) = self.gates.get(&engine.zone) {
            report.loaded.retain(|version| gate.may_serve(version, &seen));
        }
        for version in &seen.loaded {
            if engine.loading.remove(version).is_some() {
                self.load_limiter.ended(true);
            }
        }
        engine.report = Some(seen);
    }

    /// Updates the targets and sends the orders that are due.
    pub(crate) fn send_due_orders(&mut self, inputs: &OrderInputs<'_>) {
        if inputs.revision == PlanRevision(0) {
            return;
        }
        let mut targets = BTreeMap::new();
        for (zone, gate) in &mut self.gates {
            let target =
                OrderTarget::new(inputs.revision, inputs.plan, zone, &inputs.moves, inputs.wall);
            gate.update_target(inputs.now, &target);
            targets.insert(zone.clone(), target);
        }
        self.expire_loads(inputs.now);
        let election = IssuerElection::new(self.ordinal, inputs.live_ordinals.iter().copied());
        let names: Vec<ServerName> = self.engines.keys().cloned().collect();
        for name in names {
            self.order_engine(&name, &targets, election.is_issuer(), inputs);
        }
    }

    fn expire_loads(&mut self, now: MonoTime) {
        for engine in self.engines.values_mut() {
            let before = engine.loading.len();
            engine.loading.retain(|_, expires| *expires > now);
            for _ in engine.loading.len()..before {
                self.load_limiter.ended(false);
            }
        }
    }

    fn order_engine(
        &mut self,
        name: &ServerName,
        targets: &BTreeMap<ZoneName, OrderTarget>,
        is_issuer: bool,
        inputs: &OrderInputs<'_>,
    ) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let Some(target) = targets.get(&engine.zone) else {
            return;
        };
        let mut target = target.clone();
        target.wanted.retain(|(model, _)| engine.models.contains(model));
        let in_use = inputs.routed_versions.union(&engine.running).cloned().collect();
        let confirmed =
            inputs.log_read_at.is_some_and(|at| inputs.now.since(at) <= MAX_LOG_READ_AGE);
        let view = ServerOrderInputs {
            now: inputs.now,
            is_issuer: is_issuer && engine.zone == self.zone,
            plan_confirmed: confirmed,
            target: &target,
            report: engine.report.as_ref(),
            in_use: &in_use,
        };
        for command in engine.planner.decide(&view) {
            let loaded = engine
                .report
                .as_ref()
                .is_some_and(|report| report.loaded.contains(command.action.version()));
            // Loading a version that is already loaded only raises the engine's fencing token.
            let fetches = matches!(command.action, OrderAction::Load(_)) && !loaded;
            if fetches && !self.load_limiter.may_begin(inputs.now) {
                engine.planner.note_send_result(command.fence, OrderSendResult::NotSent);
                continue;
            }
            if fetches {
                self.load_limiter.granted();
                let expires = inputs.now + self.timeout;
                engine.loading.insert(command.action.version().clone(), expires);
            }
            info!("order: sending; server={name} action={:?}", command.action);
            let task = OrderTask { server: name.clone(), command, fetches };
            // The sender runs until the process exits, so this can't fail earlier.
            let _ = self.tasks.send(task);
        }
    }

    /// Applies the result of an order.
    pub(crate) fn ended(&mut self, ended: OrderEnded, now: MonoTime) {
        let Some(engine) = self.engines.get_mut(&ended.server) else {
            return;
        };
        let fence: OrderFence = ended.command.fence;
        let result = match ended.result {
            OrderResult::Answered(result) => result,
            OrderResult::LoadRefused(retry_after) => {
                if engine.loading.remove(ended.command.action.version()).is_some() {
                    self.load_limiter.ended(false);
                }
                self.load_limiter.refused(now, retry_after, jitter(fence));
                OrderSendResult::NotSent
            }
        };
        engine.planner.note_send_result(fence, result);
    }
}

/// Returns a fraction that spreads the retries of several VMs to the weight store.
fn jitter(fence: OrderFence) -> f64 {
    (fence.sequence % 16) as f64 / 16.0
}
