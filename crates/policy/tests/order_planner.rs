//! Orders from two issuers to one engine, in random interleavings.

use std::{collections::BTreeSet, time::Duration};

use dragonflycart_core::{
    ModelName, ModelPlacement, MonoTime, MoveId, OperatingPlan, OrderFence, PlanRevision,
    ServerInstance, VersionMove, VersionName, VmOrdinal, WallTime, ZoneName,
};
use dragonflycart_policy::{
    IssuerElection, ModelLoadLimiter, ModelVersion, MoveState, OrderAction, OrderCommand,
    OrderPlanner, OrderReport, OrderSendResult, OrderTarget, ReadinessGate, ServerOrderInputs,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TIMEOUT_S: u64 = 10;
const PLAN_LAG_S: u64 = 3;
const LOAD_S: u64 = 4;
const FAULTS_END_S: u64 = 200;
const END_S: u64 = 300;

fn version(number: u64) -> ModelVersion {
    let name = format!("v{number}");
    (ModelName::new("assistant").unwrap(), VersionName::new(&name).unwrap())
}

fn versions(numbers: &[u64]) -> BTreeSet<ModelVersion> {
    numbers.iter().map(|number| version(*number)).collect()
}

fn target(revision: u64, progress: u64, numbers: &[u64]) -> OrderTarget {
    OrderTarget { revision: PlanRevision(revision), progress, wanted: versions(numbers) }
}

/// Engine whose loads take a while; unloads take effect at once.
struct Engine {
    checks_fences: bool,
    instance: u64,
    loading: Vec<(u64, ModelVersion)>,
    loaded: BTreeSet<ModelVersion>,
    fence: OrderFence,
}

impl Engine {
    fn new(checks_fences: bool, loaded: &[u64]) -> Engine {
        let fence = OrderFence::default();
        Engine { checks_fences, instance: 1, loading: Vec::new(), loaded: versions(loaded), fence }
    }

    fn step(&mut self, now_s: u64) {
        let (done, rest) = self.loading.drain(..).partition(|(at_s, _)| *at_s <= now_s);
        self.loading = rest;
        let done: Vec<(u64, ModelVersion)> = done;
        self.loaded.extend(done.into_iter().map(|(_, version)| version));
    }

    fn restart(&mut self) {
        self.instance += 1;
        self.loading.clear();
        self.loaded.clear();
        self.fence = OrderFence::default();
    }

    fn execute(&mut self, now_s: u64, command: &OrderCommand) -> OrderSendResult {
        if self.checks_fences && command.fence < self.fence {
            return OrderSendResult::Stale;
        }
        if self.checks_fences {
            self.fence = self.fence.max(command.fence);
        }
        match &command.action {
            OrderAction::Load(version) if !self.loaded.contains(version) => {
                self.loading.push((now_s + LOAD_S, version.clone()));
            }
            OrderAction::Load(_) => {}
            OrderAction::Unload(version) => {
                self.loading.retain(|(_, loading)| loading != version);
                self.loaded.remove(version);
            }
        }
        OrderSendResult::Accepted
    }

    fn report(&self, now_s: u64) -> OrderReport {
        OrderReport {
            taken_at: MonoTime::from_millis(now_s * 1_000),
            instance: ServerInstance(self.instance),
            loaded: self.loaded.clone(),
            highest_fence: self.fence,
        }
    }
}

/// Entry VM with its own view of the plan.
struct Vm {
    ordinal: VmOrdinal,
    planner: OrderPlanner,
    gate: ReadinessGate,
    plan: usize,
    isolated: bool,
    report: Option<OrderReport>,
}

impl Vm {
    fn new(ordinal: u16, checks_fences: bool) -> Vm {
        let timeout = Duration::from_secs(TIMEOUT_S);
        Vm {
            ordinal: VmOrdinal(ordinal),
            planner: OrderPlanner::new(timeout, checks_fences),
            gate: ReadinessGate::new(timeout + Duration::from_secs(PLAN_LAG_S)),
            plan: 0,
            isolated: false,
            report: None,
        }
    }

    fn serving(&self) -> BTreeSet<ModelVersion> {
        let Some(report) = &self.report else { return BTreeSet::new() };
        report.loaded.iter().filter(|v| self.gate.may_serve(v, report)).cloned().collect()
    }
}

/// Runs a random interleaving with faults until `FAULTS_END_S`. Returns the versions that the
/// engine has loaded at the end, and the unloads of versions in use.
fn run(
    seed: u64,
    checks_fences: bool,
    plans: &[(u64, OrderTarget)],
) -> (BTreeSet<ModelVersion>, Vec<String>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let first: BTreeSet<_> = plans[0].1.wanted.clone();
    let mut engine = Engine::new(checks_fences, &[]);
    engine.loaded = first;
    let mut vms = [Vm::new(0, checks_fences), Vm::new(1, checks_fences)];
    let mut orders: Vec<(u64, usize, OrderCommand, bool)> = Vec::new();
    let mut violations = Vec::new();
    for now_s in 0..END_S {
        let faults_active = now_s < FAULTS_END_S;
        if faults_active && rng.random_bool(0.01) {
            engine.restart();
        }
        engine.step(now_s);
        let newest = plans.iter().rposition(|(at_s, _)| *at_s <= now_s).unwrap_or(0);
        let settled = plans.iter().rposition(|(at_s, _)| at_s + PLAN_LAG_S <= now_s).unwrap_or(0);
        for vm in &mut vms {
            if rng.random_bool(0.05) {
                vm.isolated = faults_active && rng.random_bool(0.4);
            }
            vm.isolated &= faults_active;
            if !vm.isolated {
                vm.plan = if rng.random_bool(0.5) { newest } else { vm.plan.max(settled) };
            }
            vm.gate.update_target(MonoTime::from_millis(now_s * 1_000), &plans[vm.plan].1);
            if !faults_active || rng.random_bool(0.7) {
                vm.report = Some(engine.report(now_s));
            }
        }
        let (due, rest) = orders.drain(..).partition::<Vec<_>, _>(|(at_s, ..)| *at_s <= now_s);
        orders = rest;
        for (_, sender, command, answered) in due {
            if let OrderAction::Unload(version) = &command.action {
                let used = vms.iter().any(|vm| !vm.isolated && vm.serving().contains(version));
                let effective = !checks_fences || command.fence >= engine.fence;
                if used && effective && engine.loaded.contains(version) {
                    violations.push(format!("{now_s} s: {sender} unloaded {version:?} in use"));
                }
            }
            let result = engine.execute(now_s, &command);
            let result = if answered { result } else { OrderSendResult::Lost };
            vms[sender].planner.note_send_result(command.fence, result);
        }
        for (index, vm) in vms.iter_mut().enumerate() {
            let split = faults_active && (vm.isolated || rng.random_bool(0.1));
            let live = if split { vec![vm.ordinal] } else { vec![VmOrdinal(0), VmOrdinal(1)] };
            let (in_use, report) = (vm.serving(), vm.report.clone());
            let view = ServerOrderInputs {
                now: MonoTime::from_millis(now_s * 1_000),
                is_issuer: IssuerElection::new(vm.ordinal, live).is_issuer(),
                plan_confirmed: !vm.isolated,
                target: &plans[vm.plan].1,
                report: report.as_ref(),
                in_use: &in_use,
            };
            for command in vm.planner.decide(&view) {
                let lost = faults_active && rng.random_bool(0.2);
                let delay_s = if faults_active { rng.random_range(0..TIMEOUT_S) } else { 0 };
                if lost && rng.random_bool(0.5) {
                    continue;
                }
                orders.push((now_s + delay_s, index, command, !lost));
            }
        }
    }
    (engine.loaded, violations)
}

/// Targets of a move whose new version is loaded before the start, of its end, and of later plans
/// that return to the old version and unload the new one.
fn move_and_return() -> Vec<(u64, OrderTarget)> {
    vec![
        (0, target(1, 0, &[1])),
        (20, target(2, 0, &[1, 2])),
        (70, target(2, 3, &[2])),
        (110, target(3, 0, &[1, 2])),
        (150, target(4, 0, &[1])),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a final state that differs from the newest plan, and against the unload of a
    /// version in use by a delayed order, a second issuer or a stale view. Covers engines that
    /// check fencing tokens and engines that ignore them.
    #[test]
    fn two_issuers_reach_the_newest_plan_and_unload_nothing_in_use(
        seed in any::<u64>(),
        checks_fences in any::<bool>(),
    ) {
        let plans = move_and_return();
        let (loaded, violations) = run(seed, checks_fences, &plans);
        prop_assert_eq!(loaded, versions(&[1]));
        prop_assert!(violations.is_empty(), "{:?}", violations);
    }
}

/// Guards against loading the weights a second time while the first order is outstanding, and
/// against waiting forever when a response was lost.
#[test]
fn an_order_whose_response_was_lost_is_retried_only_after_the_timeout() {
    let mut planner = OrderPlanner::new(Duration::from_secs(TIMEOUT_S), false);
    let engine = Engine::new(false, &[1]);
    let goal = target(1, 0, &[1, 2]);
    let mut sent_at = Vec::new();
    for now_s in 0..25 {
        let report = engine.report(now_s);
        let view = ServerOrderInputs {
            now: MonoTime::from_millis(now_s * 1_000),
            is_issuer: true,
            plan_confirmed: true,
            target: &goal,
            report: Some(&report),
            in_use: &BTreeSet::new(),
        };
        for command in planner.decide(&view) {
            planner.note_send_result(command.fence, OrderSendResult::Lost);
            sent_at.push(now_s);
        }
    }
    assert_eq!(sent_at, [0, 10, 20]);
}

/// Guards against an unload by a VM that can't confirm its plan because the log is unavailable.
#[test]
fn nothing_is_unloaded_without_a_confirmed_plan() {
    let mut planner = OrderPlanner::new(Duration::from_secs(TIMEOUT_S), false);
    let engine = Engine::new(false, &[1, 2]);
    let goal = target(1, 0, &[2]);
    for now_s in 0..60 {
        let report = engine.report(now_s);
        let view = ServerOrderInputs {
            now: MonoTime::from_millis(now_s * 1_000),
            is_issuer: true,
            plan_confirmed: now_s >= 50,
            target: &goal,
            report: Some(&report),
            in_use: &BTreeSet::new(),
        };
        let commands = planner.decide(&view);
        assert_eq!(commands.is_empty(), now_s != 50, "at {now_s} s: {commands:?}");
    }
}

/// Returns the orders of a planner that becomes the issuer after 30 s, with their times.
fn takeover(checks_fences: bool) -> Vec<(u64, OrderAction)> {
    let mut planner = OrderPlanner::new(Duration::from_secs(TIMEOUT_S), checks_fences);
    let mut engine = Engine::new(checks_fences, &[1, 2]);
    let goal = target(1, 0, &[2]);
    let mut sent = Vec::new();
    for now_s in 0..60 {
        let report = engine.report(now_s);
        let view = ServerOrderInputs {
            now: MonoTime::from_millis(now_s * 1_000),
            is_issuer: now_s >= 30,
            plan_confirmed: true,
            target: &goal,
            report: Some(&report),
            in_use: &BTreeSet::new(),
        };
        for command in planner.decide(&view) {
            let result = engine.execute(now_s, &command);
            planner.note_send_result(command.fence, result);
            sent.push((now_s, command.action));
        }
    }
    sent
}

/// Guards against an unload by a new issuer while orders of the previous issuer may still take
/// effect.
#[test]
fn a_new_issuer_waits_or_raises_the_token_before_it_unloads() {
    let unload = OrderAction::Unload(version(1));
    let load = OrderAction::Load(version(2));

    assert_eq!(takeover(false), [(40, unload.clone())]);
    assert_eq!(takeover(true), [(30, load), (31, unload)]);
}

/// Guards against requests to the weight store that ignore its refusals, for example when loads are
/// needed twice as often as it allows: a refusal must reduce the window and delay the next request.
#[test]
fn refused_loads_back_off_and_finished_loads_widen_the_window() {
    let mut loads = ModelLoadLimiter::default();
    let start = MonoTime::from_millis(0);
    loads.granted();
    loads.granted();
    assert!(!loads.may_begin(start), "the window starts at two loads");

    loads.ended(true);
    assert!(loads.may_begin(start));
    loads.refused(start, Some(Duration::from_secs(5)), 0.0);
    assert!(!loads.may_begin(start + Duration::from_secs(4)));
    assert!(!loads.may_begin(start + Duration::from_secs(6)), "the window was halved to one");

    loads.ended(true);
    assert!(loads.may_begin(start + Duration::from_secs(6)));
}

/// Guards against unloading the old version before the watch time has ended, and against keeping a
/// new version that was rolled back.
#[test]
fn the_target_follows_the_state_of_the_move() {
    let zone = ZoneName::new("z1").unwrap();
    let (model, old) = version(1);
    let placement =
        ModelPlacement { zone: zone.clone(), model: model.clone(), version: old.clone() };
    let (id, start) = (MoveId("m".into()), WallTime::from_unix_millis(10_000_000));
    let planned = VersionMove {
        model,
        from: old,
        to: version(2).1,
        start,
        deadline: start.after(Duration::from_secs(3_600)),
    };
    let mut plan = OperatingPlan {
        placements: vec![placement],
        moves: [(id.clone(), planned.clone())].into(),
        ..OperatingPlan::default()
    };
    let wanted = |plan: &OperatingPlan, state, settled, now| {
        let moves = [(id.clone(), (state, settled))].into();
        OrderTarget::new(PlanRevision(1), plan, &zone, &moves, now)
    };

    assert_eq!(
        wanted(&plan, MoveState::Running, false, WallTime::default()).wanted,
        versions(&[1])
    );
    assert_eq!(wanted(&plan, MoveState::Running, false, start).wanted, versions(&[1, 2]));
    assert_eq!(wanted(&plan, MoveState::Done, false, start).wanted, versions(&[1, 2]));
    assert_eq!(wanted(&plan, MoveState::Done, true, start).wanted, versions(&[2]));
    assert_eq!(wanted(&plan, MoveState::RolledBack, true, start).wanted, versions(&[1]));
    let (done, back) = (
        wanted(&plan, MoveState::Done, true, start),
        wanted(&plan, MoveState::RolledBack, true, start),
    );
    assert!(done.first_fence() < back.first_fence());

    // The same move is planned again under another id: it needs both versions, whatever the state
    // of the first one is.
    plan.moves.insert(MoveId("a".into()), planned);
    let again = wanted(&plan, MoveState::RolledBack, true, start);
    assert_eq!(again.wanted, versions(&[1, 2]));
}
