//! Simulation of engines and entry VMs on virtual time.

mod ramp;
mod workload;

use dragonflycart_policy::{
    AttemptFailure, ColdSignal, PlacementDecision, ServerKey, TokenProgress,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    EngineEvent, EngineModel, FaultKind, NewSequence, RunMetrics, ScenarioSpec, SimRequest,
    event_queue::EventQueue,
    vm_model::{VmMessage, VmModel, mono_time},
};

/// Interval of the ticks of each VM's scheduler, in milliseconds.
const TICK_INTERVAL: f64 = 10.0;
/// Number of ticks between two progress updates of the scheduler.
const PROGRESS_TICKS: u64 = 10;
/// Interval at which a VM requests the load report of an engine, in milliseconds.
const POLL_INTERVAL: f64 = 250.0;
/// Upper limit of the time until a VM learns of a change of the plan, in milliseconds.
const MAX_PLAN_DELAY: f64 = 1_000.0;
/// Number of tokens after which a poison request makes its engine fail.
const POISON_TOKENS: u32 = 3;

#[derive(Debug, Clone, Copy)]
enum SimEvent {
    /// A request arrives at a VM.
    Arrival,
    /// A step ends: engine and its instance.
    StepEnd(usize, u64),
    /// The scheduler of a VM runs.
    Tick(usize),
    /// A VM requests the load report of an engine: VM, engine.
    Poll(usize, usize),
    /// An engine updates its load report.
    Snapshot(usize),
    /// A request reaches an engine: request, engine, number of the dispatch.
    Deliver(usize, usize, u64),
    /// A failed engine starts again.
    Restart(usize),
    /// A fault or change of the scenario happens.
    Fault(FaultKind),
    /// A VM learns of a change of the plan: VM, zone, whether the zone is in service.
    PlanChange(usize, usize, bool),
    /// The VMs get a cache event: engine, sequence number, digest, whether it was inserted.
    CacheEvent(usize, u64, u64, bool),
}

/// Simulation of engines and entry VMs on virtual time in milliseconds.
#[derive(Debug)]
pub struct Simulation {
    spec: ScenarioSpec,
    capacity: f64,
    now: f64,
    events: EventQueue<SimEvent>,
    engines: Vec<EngineModel>,
    /// Whether a step of the engine is scheduled.
    busy: Vec<bool>,
    /// Time at which the engine last became cold.
    cold_start: Vec<Option<f64>>,
    /// Whether the engine was restarted and has not reached the load of the warm ones yet.
    ramping: Vec<bool>,
    vms: Vec<VmModel>,
    requests: Vec<SimRequest>,
    /// Random numbers of the workload and of the times of the polls.
    rng: ChaCha8Rng,
    /// Whether the next request that arrives is a poison request.
    poison_next: bool,
    /// Number of the last dispatch.
    last_dispatch: u64,
    metrics: RunMetrics,
}

impl Simulation {
    /// Builds a simulation of a scenario under a policy. The requests depend on the seed and not on
    /// the policy.
    pub fn new(spec: ScenarioSpec, policy: &str, seed: u64) -> Simulation {
        let mut events = EventQueue::new();
        let mut vms = Vec::new();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        events.push(1_000.0, SimEvent::Arrival);
        for engine in 0..spec.engines {
            events.push(engine as f64, SimEvent::Snapshot(engine));
        }
        for vm in 0..spec.vms {
            vms.push(VmModel::new(&spec, vm, policy, seed));
            events.push(TICK_INTERVAL * vm as f64 / spec.vms as f64, SimEvent::Tick(vm));
            for engine in 0..spec.engines {
                let phase = rng.random_range(spec.engines as f64..POLL_INTERVAL);
                events.push(phase, SimEvent::Poll(vm, engine));
            }
        }
        for (time, fault) in &spec.faults {
            events.push(*time, SimEvent::Fault(*fault));
        }
        Simulation {
            capacity: spec.capacity(),
            now: 0.0,
            events,
            engines: (0..spec.engines).map(|_| EngineModel::new(spec.engine.clone())).collect(),
            busy: vec![false; spec.engines],
            cold_start: vec![None; spec.engines],
            ramping: vec![false; spec.engines],
            vms,
            requests: Vec::new(),
            rng,
            poison_next: false,
            last_dispatch: 0,
            metrics: RunMetrics::new(spec.team_shares.len()),
            spec,
        }
    }

    /// Runs to the end and returns the measurements.
    pub fn run(mut self) -> RunMetrics {
        let end = self.spec.duration + self.spec.drain;
        while let Some((time, event)) = self.events.pop() {
            if time > end {
                break;
            }
            self.now = time;
            self.handle(event);
        }
        self.metrics
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => self.handle_arrival(),
            SimEvent::StepEnd(engine, instance) => self.end_step(engine, instance),
            SimEvent::Tick(vm) => {
                self.events.push(self.now + TICK_INTERVAL, SimEvent::Tick(vm));
                self.read_inbox(vm);
                self.tick(vm);
            }
            SimEvent::Poll(vm, engine) => self.poll(vm, engine),
            SimEvent::Snapshot(engine) => {
                let interval = self.spec.engine.report_interval;
                self.events.push(self.now + interval, SimEvent::Snapshot(engine));
                self.engines[engine].update_snapshot(self.now, self.spec.vms);
                self.observe_ramp(engine);
            }
            SimEvent::Deliver(id, engine, dispatch) => self.deliver(id, engine, dispatch),
            SimEvent::Restart(engine) => {
                self.engines[engine].restart(self.now);
                self.engines[engine].update_snapshot(self.now, self.spec.vms);
                self.cold_start[engine] = Some(self.now);
                self.ramping[engine] = true;
            }
            SimEvent::Fault(fault) => self.apply_fault(fault),
            SimEvent::PlanChange(vm, zone, open) => self.vms[vm].set_zone(self.now, zone, open),
            SimEvent::CacheEvent(engine, sequence, digest, inserted) => {
                for vm in &mut self.vms {
                    let server = ServerKey::from_index(engine);
                    vm.scheduler.cache_event(server, sequence, digest, inserted);
                }
            }
        }
    }

    fn apply_fault(&mut self, fault: FaultKind) {
        match fault {
            FaultKind::ZoneOut(zone) => self.change_plan(zone, false),
            FaultKind::ZoneIn(zone) => self.change_plan(zone, true),
            FaultKind::TurnCold(engine) => {
                self.engines[engine].turn_cold(self.now);
                self.cold_start[engine] = Some(self.now);
            }
            FaultKind::Fail(engine) => self.fail_engine(engine),
            FaultKind::Freeze(engine) => self.engines[engine].set_report_frozen(true),
            FaultKind::Poison => self.poison_next = true,
        }
    }

    fn change_plan(&mut self, zone: usize, open: bool) {
        for vm in 0..self.spec.vms {
            let delay = MAX_PLAN_DELAY * vm as f64 / self.spec.vms as f64;
            self.events.push(self.now + delay, SimEvent::PlanChange(vm, zone, open));
        }
    }

    /// Passes the messages of the engines and, at longer intervals, the progress of all dispatched
    /// requests to the VM's scheduler.
    fn read_inbox(&mut self, vm: usize) {
        let vm_model = &mut self.vms[vm];
        let now = mono_time(self.now);
        vm_model.ticks += 1;
        if vm_model.ticks.is_multiple_of(PROGRESS_TICKS) {
            let mut batch = Vec::new();
            for id in &vm_model.dispatched {
                let request = &self.requests[*id];
                if request.delivered > 0 {
                    let tokens = request.delivered;
                    batch.push(TokenProgress { ticket: request.ticket, tokens });
                }
            }
            vm_model.scheduler.progress(now, &batch);
        }
        for message in std::mem::take(&mut vm_model.inbox) {
            match message {
                VmMessage::Finished(id) => {
                    let request = &self.requests[id];
                    vm_model.dispatched.remove(&id);
                    vm_model.requests.remove(&request.ticket);
                    vm_model.scheduler.finished(now, request.ticket, request.delivered);
                }
                VmMessage::Failed(id, failure) => {
                    vm_model.dispatched.remove(&id);
                    vm_model.scheduler.failed(now, self.requests[id].ticket, failure);
                }
            }
        }
    }

    fn tick(&mut self, vm: usize) {
        for decision in self.vms[vm].scheduler.tick(mono_time(self.now)) {
            match decision {
                PlacementDecision::Dispatch { ticket, server, .. } => {
                    let id = self.vms[vm].requests[&ticket];
                    self.dispatch(vm, id, server.index());
                }
                PlacementDecision::Reject { ticket, .. } => {
                    let Some(id) = self.vms[vm].requests.remove(&ticket) else {
                        continue;
                    };
                    self.requests[id].ended = true;
                    if self.requests[id].dispatches == 0 {
                        self.metrics.rejected += 1;
                    } else {
                        self.metrics.interrupted += 1;
                    }
                }
                PlacementDecision::Cancel { ticket, server, .. } => {
                    let Some(id) = self.vms[vm].requests.remove(&ticket) else {
                        continue;
                    };
                    self.requests[id].ended = true;
                    self.metrics.interrupted += 1;
                    self.cancel_on_engine(vm, id, server.index());
                }
                PlacementDecision::Preempt { ticket, server } => {
                    let id = self.vms[vm].requests[&ticket];
                    self.metrics.preemptions += 1;
                    self.cancel_on_engine(vm, id, server.index());
                }
            }
        }
    }

    fn cancel_on_engine(&mut self, vm: usize, id: usize, engine: usize) {
        self.requests[id].engine = None;
        self.vms[vm].dispatched.remove(&id);
        self.engines[engine].cancel(id);
    }

    fn dispatch(&mut self, vm: usize, id: usize, engine: usize) {
        self.last_dispatch += 1;
        let request = &mut self.requests[id];
        if request.dispatches == 0 {
            self.metrics.dispatches += 1;
        } else {
            self.metrics.retries += 1;
        }
        request.dispatches += 1;
        request.engine = Some((engine, self.last_dispatch));
        self.vms[vm].dispatched.insert(id);
        let arrival = self.now + self.spec.latency;
        self.events.push(arrival, SimEvent::Deliver(id, engine, self.last_dispatch));
    }

    fn deliver(&mut self, id: usize, engine: usize, dispatch: u64) {
        let request = &self.requests[id];
        if request.engine != Some((engine, dispatch)) {
            return;
        }
        if !self.engines[engine].is_alive() {
            self.requests[id].engine = None;
            let message = VmMessage::Failed(id, AttemptFailure::NotSent);
            self.vms[self.requests[id].vm].inbox.push(message);
            return;
        }
        let sequence = NewSequence {
            id,
            vm: request.vm,
            priority: request.class.engine_priority(),
            prompt_length: request.prompt_length,
            delivered: request.delivered,
            output_length: request.output_length,
            prefix: request.prefix,
        };
        if self.engines[engine].accept(self.now, sequence) {
            let cold_for = self.now - self.cold_start[engine].unwrap_or(self.now);
            let excess =
                self.engines[engine].requests() - self.engines[engine].concurrency_limit(self.now);
            self.metrics.record_over_cold_limit(cold_for, excess);
            if self.engines[engine].must_fail() {
                self.fail_engine(engine);
                return;
            }
        }
        self.start_step(engine);
    }

    fn start_step(&mut self, engine: usize) {
        if self.busy[engine] || !self.engines[engine].is_alive() {
            return;
        }
        let mut events = Vec::new();
        let duration = self.engines[engine].begin_step(self.now, &mut events);
        self.metrics.preemptions += events.len() as u64;
        for (sequence, digest, inserted) in self.engines[engine].take_cache_events() {
            let published = self.now + self.spec.engine.cache_event_delay;
            self.events.push(published, SimEvent::CacheEvent(engine, sequence, digest, inserted));
        }
        let Some(duration) = duration else {
            return;
        };
        self.busy[engine] = true;
        let instance = self.engines[engine].instance();
        self.events.push(self.now + duration, SimEvent::StepEnd(engine, instance));
    }

    fn end_step(&mut self, engine: usize, instance: u64) {
        if !self.engines[engine].is_alive() || self.engines[engine].instance() != instance {
            return;
        }
        self.busy[engine] = false;
        let mut events = Vec::new();
        self.engines[engine].end_step(&mut events);
        for event in events {
            match event {
                EngineEvent::Token(id) => {
                    if self.record_token(id) {
                        self.fail_engine(engine);
                        return;
                    }
                }
                EngineEvent::Finished(id) => self.record_finished(id),
                EngineEvent::Preempted(_) => {}
            }
        }
        self.start_step(engine);
    }

    /// Records a token. Returns whether it makes the engine fail.
    fn record_token(&mut self, id: usize) -> bool {
        let request = &mut self.requests[id];
        request.delivered += 1;
        let first = request.last_token.is_none();
        let since = self.now - request.last_token.unwrap_or(request.submitted);
        request.last_token = Some(self.now);
        self.metrics.record_token(first, request.class, since);
        request.poison && request.delivered >= POISON_TOKENS
    }

    fn record_finished(&mut self, id: usize) {
        let request = &mut self.requests[id];
        request.engine = None;
        request.ended = true;
        if self.now <= request.deadline {
            self.metrics.in_time += 1;
            self.metrics.tokens_in_time += u64::from(request.output_length);
            // As in the demand, requests whose deadline lies after the end of the run don't count.
            if request.deadline <= self.spec.duration + self.spec.drain {
                self.metrics.team_served[request.team] += u64::from(request.output_length);
            }
        }
        let vm = request.vm;
        self.vms[vm].inbox.push(VmMessage::Finished(id));
    }

    fn fail_engine(&mut self, engine: usize) {
        if !self.engines[engine].is_alive() {
            return;
        }
        self.metrics.engine_failures += 1;
        self.busy[engine] = false;
        for id in self.engines[engine].fail() {
            let request = &mut self.requests[id];
            request.engine = None;
            let message = VmMessage::Failed(id, AttemptFailure::ServerLost);
            self.vms[request.vm].inbox.push(message);
        }
        let restart = self.now + self.spec.engine.restart_time;
        self.events.push(restart, SimEvent::Restart(engine));
    }

    fn poll(&mut self, vm: usize, engine: usize) {
        self.events.push(self.now + POLL_INTERVAL, SimEvent::Poll(vm, engine));
        if self.engines[engine].is_alive() {
            let snapshot = self.engines[engine].snapshot();
            self.vms[vm].apply_report(self.now, engine, snapshot, &self.spec);
        } else {
            let server = ServerKey::from_index(engine);
            let signal = ColdSignal::ConnectionReset;
            self.vms[vm].scheduler.signal(mono_time(self.now), server, signal);
        }
    }
}
