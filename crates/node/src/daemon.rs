//! Starts and stops the parts of the daemon.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use displaydoc::Display;
use dragonflycart_core::Incarnation;
use dragonflycart_policy::UnknownPolicy;
use dragonflycart_settings::Config;
use log::{info, warn};
use statig::blocking::IntoStateMachineExt;
use thiserror::Error;
use tokio::{
    net::TcpListener,
    sync::{broadcast, mpsc, watch},
};

use crate::{
    containment::CrashWatch,
    control::{
        ControlContext, ControlHandle, ControlMessage, ControlThread, PlacementControl,
        policy_settings, vm_position,
    },
    generation::{GenerationStore, RunnerContext, RunnerLimits, StopLimits},
    node_clock::NodeClock,
    node_lifecycle::{LifecycleEvent, LifecyclePhase, NodeLifecycle},
    node_metrics::NodeMetrics,
    peer::PeerIdentity,
    plugin_host::{PluginContext, PluginEndpoints, RunningPlugins, TakeOnce},
    server_directory::ServerDirectory,
};

/// Maximum number of reconnections to one engine without a token in between.
const MAX_RECONNECTS: u32 = 3;
/// Number of broadcasts that a slow peer connection may lag behind before it skips some.
const BROADCAST_QUEUE: usize = 64;
/// Interval at which a stopping daemon checks whether it may exit.
const DRAIN_PERIOD: Duration = Duration::from_millis(100);

/// Failure to start the daemon.
#[derive(Debug, Display, Error)]
pub enum DaemonError {
    /// can't listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// can't start the control thread: {0}
    Thread(std::io::Error),
    /// can't start: {0}
    Policy(UnknownPolicy),
}

/// A daemon whose sockets are bound.
pub struct Daemon {
    config: Arc<Config>,
    clock: NodeClock,
    http: TcpListener,
    peer: TcpListener,
    admin: TcpListener,
}

async fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.map_err(|error| DaemonError::Listen(address, error))
}

impl Daemon {
    /// Binds the sockets. Binding the peer address also ensures that no other process runs with the
    /// same settings, since an address can be bound only once.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Listen`] if an address can't be bound.
    pub async fn bind(config: Config) -> Result<Daemon, DaemonError> {
        Ok(Daemon {
            clock: NodeClock::start(),
            http: bind(config.vm.http).await?,
            peer: bind(config.vm.peer).await?,
            admin: bind(config.vm.admin).await?,
            config: Arc::new(config),
        })
    }

    /// Runs until a planned stop has completed. `stop` becomes true when the stop is requested.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] if a part can't be started.
    pub async fn run(self, stop: watch::Receiver<bool>) -> Result<(), DaemonError> {
        let incarnation = Incarnation::generate();
        let metrics = Arc::new(NodeMetrics::new());
        let crashes = Arc::new(CrashWatch::new(incarnation, self.clock, Arc::clone(&metrics)));
        let identity = self.identity(incarnation);
        let (broadcasts, _) = broadcast::channel(BROADCAST_QUEUE);
        let peers: BTreeSet<SocketAddr> = self.config.peers.iter().copied().collect();
        let (address_sender, addresses) = watch::channel(peers);
        let (appends, append_requests) = mpsc::unbounded_channel();
        let (prepared, preparing) = watch::channel(false);
        let placement = PlacementControl::new(
            &self.config,
            vm_position(&self.config, incarnation),
            policy_settings(&self.config),
            self.clock.now(),
        )
        .map_err(DaemonError::Policy)?;
        let (orders, order_tasks) = mpsc::unbounded_channel();
        let (jobs, job_attempts) = mpsc::unbounded_channel();
        let (phase, phases) = watch::channel(LifecyclePhase::Starting);
        let context = ControlContext {
            phase: phases,
            jobs,
            orders,
            config: Arc::clone(&self.config),
            clock: self.clock,
            incarnation,
            metrics: Arc::clone(&metrics),
            prepared,
            placement,
            identity: identity.clone(),
            broadcasts: broadcasts.clone(),
            addresses: address_sender,
            appends,
            crashes: Arc::clone(&crashes),
        };
        let thread = ControlThread::start(context).map_err(DaemonError::Thread)?;
        let (handover, handovers) = watch::channel(false);
        let (close, closing) = watch::channel(false);
        let store = Arc::new(GenerationStore::default());
        let context = PluginContext {
            clock: self.clock,
            identity,
            runner: runner_context(&self.config, thread.handle(), metrics, crashes),
            store: Arc::clone(&store),
            phase: phase.subscribe(),
            handover: handovers,
            closing,
            endpoints: PluginEndpoints {
                http: TakeOnce::new(self.http),
                admin: TakeOnce::new(self.admin),
                peer: TakeOnce::new(self.peer),
                addresses: TakeOnce::new(addresses),
                appends: TakeOnce::new(append_requests),
                orders: TakeOnce::new(order_tasks),
                jobs: TakeOnce::new(job_attempts),
                broadcasts,
            },
            config: Arc::clone(&self.config),
        };
        let plugins = RunningPlugins::start(&context, close);
        let timeouts = &self.config.timeouts;
        let record_limit = 2 * (timeouts.call_deadline + timeouts.log_append);
        let driver = LifecycleDriver {
            config: Arc::clone(&self.config),
            control: thread.handle(),
            store,
            phase,
            handover,
        };
        driver.run(preparing, stop).await;
        plugins.close().await;
        wait_recorded(&thread.handle(), record_limit).await;
        thread.close().await;
        Ok(())
    }

    fn identity(&self, incarnation: Incarnation) -> PeerIdentity {
        PeerIdentity {
            incarnation,
            zone: self.config.vm.zone.clone(),
            ordinal: self.config.vm.ordinal,
            address: self.config.vm.peer.to_string(),
        }
    }
}

/// Waits until the last calls have ended and their outcomes are in the log, for at most `limit`: a
/// call without its caller and its lookup end by the default deadline of calls, unless the caller
/// asked for more, while the log may stay unreachable.
async fn wait_recorded(control: &ControlHandle, limit: Duration) {
    let started = tokio::time::Instant::now();
    while !control.ask(ControlMessage::IsIdle).await.unwrap_or(true) {
        if started.elapsed() >= limit {
            warn!("daemon: ended before all records were in the log");
            return;
        }
        tokio::time::sleep(DRAIN_PERIOD).await;
    }
}

fn runner_context(
    config: &Config,
    control: ControlHandle,
    metrics: Arc<NodeMetrics>,
    crashes: Arc<CrashWatch>,
) -> RunnerContext {
    let limits = RunnerLimits {
        idle_timeout: config.timeouts.engine_silence,
        progress_timeout: config.timeouts.engine_progress,
        max_reconnects: MAX_RECONNECTS,
        stop: StopLimits {
            request: config.timeouts.engine_silence,
            start: config.timeouts.order,
            engine: config.timeouts.stream_retention,
        },
    };
    RunnerContext {
        control,
        servers: Arc::new(ServerDirectory::new(config)),
        metrics,
        limits,
        crashes,
    }
}

/// Drives the daemon through its phases, from the start to the end of a planned stop.
struct LifecycleDriver {
    config: Arc<Config>,
    control: ControlHandle,
    store: Arc<GenerationStore>,
    phase: watch::Sender<LifecyclePhase>,
    handover: watch::Sender<bool>,
}

impl LifecycleDriver {
    async fn run(self, mut prepared: watch::Receiver<bool>, mut stop: watch::Receiver<bool>) {
        let mut machine = NodeLifecycle.state_machine();
        loop {
            let event = tokio::select! {
                known = prepared.wait_for(|prepared| *prepared),
                    if *self.phase.borrow() == LifecyclePhase::Starting =>
                {
                    if known.is_err() {
                        return;
                    }
                    LifecycleEvent::Prepared
                }
                _ = stop.wait_for(|stop| *stop) => LifecycleEvent::StopRequested,
            };
            machine.handle(&event);
            self.publish(machine.state().into());
            if event == LifecycleEvent::StopRequested {
                break;
            }
        }
        self.drain(machine).await;
    }

    fn publish(&self, phase: LifecyclePhase) {
        if *self.phase.borrow() != phase {
            info!("daemon: phase changed; phase={phase}");
            self.phase.send_replace(phase);
        }
    }

    /// Takes the VM out of service without interrupting requests.
    async fn drain(self, mut machine: statig::blocking::StateMachine<NodeLifecycle>) {
        let limit = self.config.drain.shutdown_timeout;
        let started = tokio::time::Instant::now();
        let lag = self.config.drain.balancer_lag;
        while LifecyclePhase::from(machine.state()) != LifecyclePhase::Stopped {
            let elapsed = started.elapsed();
            let mut event = None;
            if *self.phase.borrow() == LifecyclePhase::Leaving && elapsed >= lag {
                self.control.send(ControlMessage::Drain).await;
                event = Some(LifecycleEvent::BalancerNoticed);
            } else if limit.is_some_and(|limit| elapsed >= limit) {
                info!("daemon: shutdown timeout reached; handing streams over to other VMs");
                // Fails only if the control thread has ended, and then nothing is sent either.
                let _ = self.control.ask(ControlMessage::StopLimit).await;
                self.handover.send_replace(true);
                event = Some(LifecycleEvent::StopLimitReached);
            } else if *self.phase.borrow() == LifecyclePhase::Draining && self.is_idle().await {
                event = Some(LifecycleEvent::Idle);
            }
            match event {
                Some(event) => machine.handle(&event),
                None => tokio::time::sleep(DRAIN_PERIOD).await,
            }
            self.publish(machine.state().into());
        }
    }

    async fn is_idle(&self) -> bool {
        if self.store.open_count() > 0 || self.store.has_resumed() {
            return false;
        }
        self.control.ask(ControlMessage::IsIdle).await.unwrap_or(true)
    }
}
