//! Random schedule of faults, each of which ends after a random time.

use std::time::Duration;

use dragonflycart_testkit::{
    EngineCommand, FaultCommand, LogCommand, OutageKind, RelayCommand, RelayMode, RelayScope,
    ServiceCommand,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::support::Deployment;

/// Pause between two faults, in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 100..600;
/// Duration of a fault, in milliseconds. The longest ones exceed the timeout after which an
/// unresponsive connection is replaced.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..3_500;

/// A fault with the index of the engine, booking server or VM that it affects.
#[derive(Debug, Clone, Copy)]
enum Fault {
    EngineDies(usize),
    EngineTurnsCold(usize),
    EngineConnectionsBlackholed(usize),
    EngineFreezes(usize),
    EngineResponsesSwapped(usize),
    EngineResponsesDropped(usize),
    EngineLeaves(usize),
    EngineStalls(usize),
    EngineLinkStalls(usize),
    EngineLinkCut(usize),
    ServerDies(usize),
    ServerConnectionsBlackholed(usize),
    ServerResponsesDropped(usize),
    ServerResponsesDelayed(usize),
    ServerLeaves(usize),
    LogOutage(OutageKind),
    LogSlow,
    LogResponsesDropped,
    LogAppendsDelayed,
    LogLinkCut(usize),
    PeersCut(usize),
    ZonePartitioned(usize),
    VmListFreezes,
    VmKilled(usize),
    VmPaused(usize),
    VmStopped(usize),
}

/// Random schedule of faults, each of which ends after a random time.
pub(super) struct FaultSchedule {
    rng: ChaCha8Rng,
    active: Vec<(Instant, Fault)>,
    history: Vec<Fault>,
}

impl FaultSchedule {
    /// Builds the schedule of a seed.
    pub(super) fn new(seed: u64) -> FaultSchedule {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        FaultSchedule { rng, active: Vec::new(), history: Vec::new() }
    }

    /// Returns the number of injected faults.
    pub(super) fn injected(&self) -> usize {
        self.history.len()
    }

    /// Returns the injected faults as text.
    pub(super) fn describe(&self) -> String {
        format!("{:?}", self.history)
    }

    /// Ends the faults that are due, injects a new one if it is allowed, and pauses.
    pub(super) async fn step(&mut self, deployment: &mut Deployment) {
        let now = Instant::now();
        let due = self.active.extract_if(.., |(end, _)| *end <= now).collect::<Vec<_>>();
        for (_, fault) in due {
            heal(deployment, fault);
        }
        let fault = self.random_fault(deployment);
        let end = now + Duration::from_millis(self.rng.random_range(FAULT_DURATION_MS));
        if self.is_allowed(fault) {
            inject(deployment, fault);
            self.active.push((end, fault));
            self.history.push(fault);
        }
        let pause = self.rng.random_range(FAULT_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    /// Ends all faults.
    pub(super) async fn heal_all(&mut self, deployment: &mut Deployment) {
        for (_, fault) in std::mem::take(&mut self.active) {
            heal(deployment, fault);
        }
    }

    fn random_fault(&mut self, deployment: &Deployment) -> Fault {
        let engine = self.rng.random_range(0..deployment.engines.len());
        let server = self.rng.random_range(0..deployment.bookings.len());
        let vm = self.rng.random_range(0..deployment.vms.len());
        match self.rng.random_range(0..33) {
            0 => Fault::EngineDies(engine),
            1 => Fault::EngineTurnsCold(engine),
            2 => Fault::EngineConnectionsBlackholed(engine),
            3 => Fault::EngineFreezes(engine),
            4 => Fault::EngineResponsesSwapped(engine),
            5 => Fault::EngineResponsesDropped(engine),
            6 => Fault::EngineLeaves(engine),
            7 => Fault::EngineStalls(engine),
            8 => Fault::EngineLinkStalls(engine),
            9 => Fault::EngineLinkCut(engine),
            10 => Fault::ServerDies(server),
            11 => Fault::ServerConnectionsBlackholed(server),
            12 => Fault::ServerResponsesDropped(server),
            13 => Fault::ServerResponsesDelayed(server),
            14 => Fault::ServerLeaves(server),
            15 => Fault::LogOutage(OutageKind::Refuse),
            16 => Fault::LogOutage(OutageKind::RefuseAppends),
            17 => Fault::LogOutage(OutageKind::Hang),
            18 => Fault::LogSlow,
            19 => Fault::LogResponsesDropped,
            20 => Fault::LogAppendsDelayed,
            21 => Fault::LogLinkCut(vm),
            22 => Fault::PeersCut(vm),
            23 => Fault::ZonePartitioned(vm),
            24 => Fault::VmListFreezes,
            25..=27 => Fault::VmKilled(vm),
            28..=29 => Fault::VmStopped(vm),
            _ => Fault::VmPaused(vm),
        }
    }

    /// Returns whether a fault may be added. At most one VM is killed, stopped or paused at a time,
    /// at most one engine is dead or frozen, at most one booking server is dead and at most one
    /// log outage lasts, so that requests can be served at all. All other faults may overlap, also
    /// with others of their kind.
    fn is_allowed(&self, fault: Fault) -> bool {
        let kind = |fault| match fault {
            Fault::VmKilled(_) | Fault::VmPaused(_) | Fault::VmStopped(_) => 1,
            Fault::EngineDies(_) | Fault::EngineFreezes(_) => 2,
            Fault::ServerDies(_) => 3,
            Fault::LogOutage(_) => 4,
            _ => 0,
        };
        kind(fault) == 0 || !self.active.iter().any(|(_, active)| kind(*active) == kind(fault))
    }
}

fn set_engine_link(deployment: &Deployment, engine: usize, mode: RelayMode) {
    deployment.engine_relays[engine].apply(RelayCommand { scope: RelayScope::Open, mode });
}

fn inject(deployment: &mut Deployment, fault: Fault) {
    let drop_responses = FaultCommand::DropResponses { count: 2, reset: true };
    match fault {
        Fault::EngineDies(index) => deployment.engines[index].fault(&FaultCommand::Die),
        Fault::EngineTurnsCold(index) => deployment.engines[index].fault(&FaultCommand::TurnCold),
        Fault::EngineConnectionsBlackholed(index) => {
            deployment.engines[index].fault(&FaultCommand::BlackholeOpenConnections);
        }
        Fault::EngineFreezes(index) => deployment.engines[index].fault(&FaultCommand::Freeze),
        Fault::EngineResponsesSwapped(index) => {
            deployment.engines[index].fault(&FaultCommand::SwapResponses { keep_head: true });
        }
        Fault::EngineResponsesDropped(index) => deployment.engines[index].fault(&drop_responses),
        Fault::EngineLeaves(index) => {
            deployment.engines[index].command(EngineCommand::Leaving { leaving: true });
        }
        Fault::EngineStalls(index) => {
            deployment.engines[index].command(EngineCommand::Stall { stalled: true });
        }
        Fault::EngineLinkStalls(index) => set_engine_link(deployment, index, RelayMode::Stall),
        Fault::EngineLinkCut(index) => set_engine_link(deployment, index, RelayMode::Cut),
        Fault::ServerDies(index) => deployment.bookings[index].fault(&FaultCommand::Die),
        Fault::ServerConnectionsBlackholed(index) => {
            deployment.bookings[index].fault(&FaultCommand::BlackholeOpenConnections);
        }
        Fault::ServerResponsesDropped(index) => deployment.bookings[index].fault(&drop_responses),
        Fault::ServerResponsesDelayed(index) => {
            deployment.bookings[index].fault(&FaultCommand::DelayResponses { ms: 1_000 });
        }
        Fault::ServerLeaves(index) => {
            deployment.bookings[index].command(ServiceCommand::Leaving { leaving: true });
        }
        Fault::LogOutage(kind) => deployment.log.command(LogCommand::Outage { kind }),
        Fault::LogSlow => deployment.log.command(LogCommand::Slow { ms: 500 }),
        Fault::LogResponsesDropped => deployment.log.fault(&drop_responses),
        Fault::LogAppendsDelayed => {
            deployment.log.command(LogCommand::ApplyLate { count: 3, ms: 1_500 });
        }
        Fault::LogLinkCut(vm) => deployment.cut_log(vm, true),
        Fault::PeersCut(vm) => deployment.cut_peers(vm, true),
        Fault::ZonePartitioned(vm) => {
            deployment.cut_log(vm, true);
            deployment.cut_peers(vm, true);
        }
        Fault::VmListFreezes => deployment.directory.fault(&FaultCommand::Freeze),
        Fault::VmKilled(vm) => deployment.vms[vm].process().kill().unwrap(),
        Fault::VmPaused(vm) => deployment.vms[vm].process().pause().unwrap(),
        Fault::VmStopped(vm) => deployment.vms[vm].process().terminate().unwrap(),
    }
}

fn heal(deployment: &mut Deployment, fault: Fault) {
    match fault {
        Fault::EngineDies(index) => deployment.engines[index].fault(&FaultCommand::Restart),
        Fault::EngineFreezes(index) => deployment.engines[index].fault(&FaultCommand::Thaw),
        Fault::EngineResponsesSwapped(index) | Fault::EngineResponsesDropped(index) => {
            deployment.engines[index].fault(&FaultCommand::Clear);
        }
        Fault::EngineLeaves(index) => {
            deployment.engines[index].command(EngineCommand::Leaving { leaving: false });
        }
        Fault::EngineStalls(index) => {
            deployment.engines[index].command(EngineCommand::Stall { stalled: false });
        }
        Fault::ServerDies(index) => deployment.bookings[index].fault(&FaultCommand::Restart),
        Fault::ServerResponsesDropped(index) | Fault::ServerResponsesDelayed(index) => {
            deployment.bookings[index].fault(&FaultCommand::Clear);
        }
        Fault::ServerLeaves(index) => {
            deployment.bookings[index].command(ServiceCommand::Leaving { leaving: false });
        }
        Fault::LogOutage(_) => {
            deployment.log.command(LogCommand::Outage { kind: OutageKind::None });
        }
        Fault::LogSlow => deployment.log.command(LogCommand::Slow { ms: 0 }),
        Fault::LogResponsesDropped => deployment.log.fault(&FaultCommand::Clear),
        Fault::LogAppendsDelayed => {
            deployment.log.command(LogCommand::ApplyLate { count: 0, ms: 0 });
        }
        Fault::LogLinkCut(vm) => deployment.cut_log(vm, false),
        Fault::PeersCut(vm) => deployment.cut_peers(vm, false),
        Fault::ZonePartitioned(vm) => {
            deployment.cut_log(vm, false);
            deployment.cut_peers(vm, false);
        }
        Fault::VmListFreezes => deployment.directory.fault(&FaultCommand::Thaw),
        // `start` kills a VM that has not completed its planned stop.
        Fault::VmKilled(vm) | Fault::VmStopped(vm) => deployment.vms[vm].start(),
        Fault::VmPaused(vm) => deployment.vms[vm].process().resume().unwrap(),
        Fault::EngineTurnsCold(_)
        | Fault::EngineConnectionsBlackholed(_)
        | Fault::EngineLinkStalls(_)
        | Fault::EngineLinkCut(_)
        | Fault::ServerConnectionsBlackholed(_) => {}
    }
}
