//! Model of a small fleet in which keys are withdrawn. The VMs take their decisions with the
//! gateway's [`PlanFreshness`] and [`FeedProbes`]; store, clocks and network are simulated.

use std::time::Duration;

use dragonflycart_gateway::{BootTime, FeedProbes, PlanFreshness};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of a step.
const STEP: Duration = Duration::from_millis(50);
/// Time after the withdrawal of a key from which no server may get a request with it.
pub(crate) const REVOCATION_TIME: Duration = Duration::from_secs(5);
/// Steps between reads of the store by one VM.
const READ_STEPS: u64 = 13;
/// Maximum number of steps that a request takes to its server.
const TRANSPORT_STEPS: u64 = 4;
/// Maximum number of steps that a request waits in a VM's queue.
const QUEUE_STEPS: u64 = 60;
/// Number of steps that messages are usually on their way.
const DELAY_STEPS: u64 = 3;

/// Deliberate fault in the handling of confirmations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumIter)]
pub(crate) enum ModelFault {
    /// Keys are accepted up to the revocation time, without a margin for the way to the server.
    NoTransportMargin,
    /// A peer's plan counts as current when the probe was sent.
    PeerAgeDropped,
    /// A peer's age counts from the receipt of its confirmation.
    TimeOnTheWayDropped,
    /// A response of the store counts from its receipt.
    ReadCountsFromResponse,
    /// The plan's age is checked when a request arrives, and not again when it is sent on.
    CheckedAtArrivalOnly,
    /// The clock stops while the VM is suspended.
    ClockStopsInSuspension,
}

/// Counts of one run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ModelCounts {
    /// Requests sent to a server.
    pub(crate) sent: u64,
    /// Requests rejected because the plan may be outdated.
    pub(crate) rejected: u64,
    /// Keys withdrawn.
    pub(crate) withdrawn: u64,
    /// Requests that reached a server too late after the withdrawal of their key.
    pub(crate) violations: u64,
}

/// What happens at random in a run, each as the chance per VM and step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ModelTroubles {
    /// Partitions from the store.
    pub(crate) store_cut: f64,
    /// Partitions between two VMs, in one direction. Messages are held up and arrive later.
    pub(crate) peer_cut: f64,
    /// Suspensions.
    pub(crate) freeze: f64,
    /// Restarts, which lose the VM's state.
    pub(crate) restart: f64,
}

/// All troubles at once.
pub(crate) const ALL_TROUBLES: ModelTroubles =
    ModelTroubles { store_cut: 0.006, peer_cut: 0.004, freeze: 0.003, restart: 0.001 };

#[derive(Debug, Clone)]
enum ModelMessage {
    StoreResponse { began_at: BootTime, plan: u64 },
    Probe { from: usize, connection: u64, number: u64 },
    Confirmation { connection: u64, number: u64, age: Duration, plan: u64 },
}

#[derive(Debug, Clone)]
struct ModelDelivery {
    due: u64,
    /// Sending VM, or `None` for the store.
    from: Option<usize>,
    to: usize,
    boot: u64,
    message: ModelMessage,
}

#[derive(Debug, Clone)]
struct QueuedRequest {
    leaves_at: u64,
    key: u64,
}

struct ModelVm {
    /// Newest plan known. Plan `v` withdraws key `v - 1`; key `v` and later ones are held by it.
    plan: u64,
    freshness: PlanFreshness,
    /// Probes of the connection to `reader`.
    probes: FeedProbes,
    /// Number of the connection to `reader`.
    connection: u64,
    /// VM from which this one gets confirmations.
    reader: usize,
    boot: u64,
    clock_offset: Duration,
    clock_rate: f64,
    suspended_steps: u64,
    frozen_until: u64,
    store_cut_until: u64,
    queue: Vec<QueuedRequest>,
}

impl ModelVm {
    fn restart(&mut self) {
        self.plan = 0;
        self.freshness = PlanFreshness::new(Some(REVOCATION_TIME));
        self.probes = FeedProbes::default();
        self.connection += 1;
        self.boot += 1;
        self.queue.clear();
    }
}

/// Fleet of VMs at a point in time.
pub(crate) struct RevocationModel {
    random: ChaCha8Rng,
    fault: Option<ModelFault>,
    troubles: ModelTroubles,
    now: u64,
    /// Step at which each plan was confirmed to the operator.
    confirmed: Vec<u64>,
    vms: Vec<ModelVm>,
    cut_until: Vec<Vec<u64>>,
    network: Vec<ModelDelivery>,
    counts: ModelCounts,
}

impl RevocationModel {
    /// Builds a fleet of `vm_count` VMs that know nothing.
    pub(crate) fn new(
        vm_count: usize,
        seed: u64,
        troubles: ModelTroubles,
        fault: Option<ModelFault>,
    ) -> RevocationModel {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut vms = Vec::new();
        for index in 0..vm_count {
            vms.push(ModelVm {
                plan: 0,
                freshness: PlanFreshness::new(Some(REVOCATION_TIME)),
                probes: FeedProbes::default(),
                connection: 0,
                reader: (index + 1) % vm_count,
                boot: 0,
                // Some machines have just booted.
                clock_offset: Duration::from_secs(random.random_range(0..20)),
                clock_rate: 1.0 + random.random_range(-0.004..0.004),
                suspended_steps: 0,
                frozen_until: 0,
                store_cut_until: 0,
                queue: Vec::new(),
            });
        }
        RevocationModel {
            random,
            fault,
            troubles,
            now: 0,
            confirmed: vec![0],
            vms,
            cut_until: vec![vec![0; vm_count]; vm_count],
            network: Vec::new(),
            counts: ModelCounts::default(),
        }
    }

    /// Partitions a VM from the store until the end of the run.
    pub(crate) fn cut_from_store(&mut self, vm: usize) {
        self.vms[vm].store_cut_until = u64::MAX;
    }

    /// Runs a number of steps and returns the counts so far.
    pub(crate) fn run(&mut self, steps: u64) -> ModelCounts {
        for _ in 0..steps {
            self.now += 1;
            self.strike();
            self.deliver();
            for vm in 0..self.vms.len() {
                self.step_vm(vm);
            }
        }
        self.counts
    }

    fn has_fault(&self, fault: ModelFault) -> bool {
        self.fault == Some(fault)
    }

    fn clock(&self, vm: usize) -> BootTime {
        let state = &self.vms[vm];
        let stopped = if self.has_fault(ModelFault::ClockStopsInSuspension) {
            state.suspended_steps
        } else {
            0
        };
        let elapsed = STEP.mul_f64((self.now - stopped) as f64 * state.clock_rate);
        BootTime::from_boot(state.clock_offset + elapsed)
    }

    fn chance(&mut self, chance: f64) -> bool {
        self.random.random_bool(chance)
    }

    fn strike(&mut self) {
        if self.chance(0.01) {
            self.confirmed.push(self.now);
            self.counts.withdrawn += 1;
        }
        let count = self.vms.len();
        for vm in 0..count {
            if self.chance(self.troubles.store_cut) {
                let until = self.now + self.random.random_range(20..300);
                self.vms[vm].store_cut_until = self.vms[vm].store_cut_until.max(until);
            }
            if self.chance(self.troubles.peer_cut) {
                let other = self.random.random_range(0..count);
                self.cut_until[vm][other] = self.now + self.random.random_range(20..300);
            }
            if self.chance(self.troubles.freeze) {
                self.vms[vm].frozen_until = self.now + self.random.random_range(20..200);
            }
            if self.chance(self.troubles.restart) {
                self.vms[vm].restart();
            }
        }
    }

    fn send(&mut self, from: Option<usize>, to: usize, message: ModelMessage) {
        let is_slow = self.random.random_bool(0.05);
        let delay = if is_slow { 30 } else { self.random.random_range(1..=DELAY_STEPS) };
        let boot = self.vms[to].boot;
        self.network.push(ModelDelivery { due: self.now + delay, from, to, boot, message });
    }

    /// Delivers due messages. Those of a partition or to a suspended VM wait.
    fn deliver(&mut self) {
        for delivery in std::mem::take(&mut self.network) {
            let is_held = match delivery.from {
                Some(from) => self.cut_until[from][delivery.to] > self.now,
                None => self.vms[delivery.to].store_cut_until > self.now,
            };
            if is_held || delivery.due > self.now || self.vms[delivery.to].frozen_until > self.now {
                self.network.push(delivery);
                continue;
            }
            let is_for_another_process = delivery.boot != self.vms[delivery.to].boot;
            if !is_for_another_process {
                self.receive(delivery.to, delivery.message);
            }
        }
    }

    fn receive(&mut self, vm: usize, message: ModelMessage) {
        let now = self.clock(vm);
        match message {
            ModelMessage::StoreResponse { began_at, plan } => {
                let is_faulty = self.has_fault(ModelFault::ReadCountsFromResponse);
                let state = &mut self.vms[vm];
                state.plan = state.plan.max(plan);
                state.freshness.note_store_read(if is_faulty { now } else { began_at });
            }
            ModelMessage::Probe { from, connection, number } => {
                let Some(age) = self.vms[vm].freshness.age(now) else { return };
                let plan = self.vms[vm].plan;
                let confirmation = ModelMessage::Confirmation { connection, number, age, plan };
                self.send(Some(vm), from, confirmation);
            }
            ModelMessage::Confirmation { connection, number, age, plan } => {
                if connection != self.vms[vm].connection {
                    return;
                }
                let (drops_age, drops_way) = (
                    self.has_fault(ModelFault::PeerAgeDropped),
                    self.has_fault(ModelFault::TimeOnTheWayDropped),
                );
                let state = &mut self.vms[vm];
                state.plan = state.plan.max(plan);
                let Some(asked_at) = state.probes.sent_at(number) else { return };
                let asked_at = if drops_way { now } else { asked_at };
                let age = if drops_age { Duration::ZERO } else { age };
                state.freshness.note_peer_age(asked_at, age);
            }
        }
    }

    fn step_vm(&mut self, vm: usize) {
        if self.vms[vm].frozen_until > self.now {
            self.vms[vm].suspended_steps += 1;
            return;
        }
        let now = self.clock(vm);
        if (self.now + vm as u64).is_multiple_of(READ_STEPS)
            && self.vms[vm].store_cut_until <= self.now
        {
            // The store may respond at any time of the read; the earliest is the worst.
            let plan = self.confirmed.len() as u64 - 1;
            self.send(None, vm, ModelMessage::StoreResponse { began_at: now, plan });
        }
        if self.vms[vm].probes.is_due(now) {
            let state = &mut self.vms[vm];
            let (number, connection) = (state.probes.next(now), state.connection);
            let reader = state.reader;
            self.send(Some(vm), reader, ModelMessage::Probe { from: vm, connection, number });
        }
        if self.chance(0.02) {
            let count = self.vms.len();
            self.vms[vm].reader = (vm + self.random.random_range(1..count)) % count;
            self.vms[vm].probes = FeedProbes::default();
            self.vms[vm].connection += 1;
        }
        self.forward(vm, now);
        self.accept(vm, now);
    }

    fn allows_keys(&self, vm: usize, now: BootTime) -> bool {
        let freshness = &self.vms[vm].freshness;
        if self.has_fault(ModelFault::NoTransportMargin) {
            return freshness.age(now).is_some_and(|age| age <= REVOCATION_TIME);
        }
        freshness.allows_keys(now)
    }

    fn accept(&mut self, vm: usize, now: BootTime) {
        if self.vms[vm].plan == 0 && self.vms[vm].freshness.age(now).is_none() {
            return;
        }
        if !self.allows_keys(vm, now) {
            self.counts.rejected += 1;
            return;
        }
        let waits = if self.chance(0.5) { 0 } else { self.random.random_range(0..QUEUE_STEPS) };
        let request = QueuedRequest { leaves_at: self.now + waits, key: self.vms[vm].plan };
        self.vms[vm].queue.push(request);
    }

    fn forward(&mut self, vm: usize, now: BootTime) {
        for request in std::mem::take(&mut self.vms[vm].queue) {
            if request.leaves_at > self.now {
                self.vms[vm].queue.push(request);
                continue;
            }
            let is_checked = !self.has_fault(ModelFault::CheckedAtArrivalOnly);
            let is_held = request.key >= self.vms[vm].plan;
            if is_checked && !(is_held && self.allows_keys(vm, now)) {
                self.counts.rejected += 1;
                continue;
            }
            self.counts.sent += 1;
            let arrives = self.now + self.random.random_range(0..=TRANSPORT_STEPS);
            let withdrawn = self.confirmed.get(request.key as usize + 1);
            let is_late = withdrawn.is_some_and(|withdrawn| {
                STEP.mul_f64((arrives.saturating_sub(*withdrawn)) as f64) > REVOCATION_TIME
            });
            self.counts.violations += u64::from(is_late);
        }
    }
}
