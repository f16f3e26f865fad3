//! Starts and stops all parts of the daemon.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use displaydoc::Display;
use dragonflycart_core::Incarnation;
use dragonflycart_platform::{
    HttpDirectory, HttpLog, HttpWeights, LogService, LogTopic, VmDirectory,
};
use dragonflycart_policy::UnknownPolicy;
use dragonflycart_settings::Config;
use log::info;
use statig::blocking::IntoStateMachineExt;
use strum::IntoEnumIterator;
use thiserror::Error;
use tokio::{
    net::TcpListener,
    sync::{broadcast, mpsc, watch},
};

use crate::{
    admin::AdminFront,
    control::{
        ControlHandle, ControlMessage, ControlParts, ControlThread, PlacementControl,
        policy_settings, vm_position,
    },
    generation::{GenerationStore, RunnerContext, RunnerLimits},
    http::{HttpFront, HttpServer},
    job::run_worker,
    log_appender::run_appender,
    log_tailer::LogTailer,
    node_clock::NodeClock,
    node_lifecycle::{LifecycleEvent, LifecyclePhase, NodeLifecycle},
    node_metrics::NodeMetrics,
    order_sender::run_sender,
    peer::{LinkIdentity, PeerHub},
    server_directory::ServerDirectory,
};

/// Connections that a generation opens to one engine without a token in between.
const RECONNECTS: u32 = 3;
/// Broadcasts that a slow peer connection may miss before it skips some.
const BROADCAST_QUEUE: usize = 64;
/// Events of the log that may wait for the control thread.
const TAIL_QUEUE: usize = 64;
/// Interval at which a stopping daemon looks whether it may end.
const DRAIN_PERIOD: Duration = Duration::from_millis(100);
/// Interval at which ended generations are looked at for removal.
const EXPIRE_PERIOD: Duration = Duration::from_secs(1);

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
    /// Binds the sockets. The peer socket also proves that no other process runs at this place,
    /// since an address can be bound once.
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

    /// Runs until a planned stop has completed. `stop` becomes true when the stop is asked for.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] if a part can't be started.
    pub async fn run(self, stop: watch::Receiver<bool>) -> Result<(), DaemonError> {
        let incarnation = Incarnation::generate();
        let metrics = Arc::new(NodeMetrics::new());
        let identity = self.identity(incarnation);
        let (broadcasts, _) = broadcast::channel(BROADCAST_QUEUE);
        let peers: BTreeSet<SocketAddr> = self.config.peers.iter().copied().collect();
        let (address_sender, addresses) = watch::channel(peers);
        let (appends, append_orders) = mpsc::unbounded_channel();
        let (prepared, preparing) = watch::channel(false);
        let placement = PlacementControl::new(
            &self.config,
            vm_position(&self.config, incarnation),
            policy_settings(&self.config),
            self.clock.now(),
        )
        .map_err(DaemonError::Policy)?;
        let (orders, order_tasks) = mpsc::unbounded_channel();
        let (jobs, job_orders) = mpsc::unbounded_channel();
        let (phase, phases) = watch::channel(LifecyclePhase::Starting);
        let parts = ControlParts {
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
        };
        let thread = ControlThread::start(parts).map_err(DaemonError::Thread)?;
        let control = thread.handle();
        let hub = PeerHub::new(identity, control.clone(), broadcasts);
        tokio::spawn(hub.run(self.peer, addresses));
        start_platform(&self.config, &control, append_orders);
        let servers = Arc::new(ServerDirectory::new(&self.config));
        servers.start_polls(&control, self.clock, self.config.timeouts.report_poll);
        let weights = Arc::new(HttpWeights::new(self.config.platform.weight_store));
        let timeout = self.config.timeouts.order;
        let sender =
            run_sender(Arc::clone(&servers), weights, control.clone(), timeout, order_tasks);
        tokio::spawn(sender);
        let limits = RunnerLimits {
            silence: self.config.timeouts.engine_silence,
            progress: self.config.timeouts.engine_progress,
            reconnects: RECONNECTS,
        };
        let runner = RunnerContext { control: control.clone(), servers, metrics, limits };
        let store = Arc::new(GenerationStore::default());
        let worker = run_worker(runner.clone(), Arc::clone(&store), self.clock, job_orders);
        tokio::spawn(worker);
        let parts = (self.clock, runner, store);
        let serving = Serving::start(self.config, parts, (self.http, self.admin), phase);
        serving.run(preparing, stop).await;
        thread.close().await;
        Ok(())
    }

    fn identity(&self, incarnation: Incarnation) -> LinkIdentity {
        LinkIdentity {
            incarnation,
            zone: self.config.vm.zone.clone(),
            seat: self.config.vm.seat,
            address: self.config.vm.peer.to_string(),
        }
    }
}

/// Starts everything that talks to the platform.
fn start_platform(
    config: &Config,
    control: &ControlHandle,
    orders: mpsc::UnboundedReceiver<crate::log_appender::AppendOrder>,
) {
    let service: Arc<dyn LogService> = Arc::new(HttpLog::new(config.platform.log));
    let (events, mut tail) = mpsc::channel(TAIL_QUEUE);
    for topic in LogTopic::iter() {
        let tailer = LogTailer::new(Arc::clone(&service), topic, events.clone());
        tokio::spawn(tailer.run());
    }
    let tail_control = control.clone();
    tokio::spawn(async move {
        while let Some(event) = tail.recv().await {
            tail_control.send(ControlMessage::Tail(event)).await;
        }
    });
    tokio::spawn(run_appender(service, control.clone(), orders));
    let directory = HttpDirectory::new(config.platform.vm_list);
    tokio::spawn(poll_vm_list(directory, control.clone(), config.timeouts.vm_list_poll));
}

async fn poll_vm_list(directory: HttpDirectory, control: ControlHandle, period: Duration) {
    loop {
        if let Ok(entries) = directory.list().await {
            control.send(ControlMessage::VmList(entries)).await;
        }
        tokio::time::sleep(period).await;
    }
}

/// The callers' interface and the phases of the daemon.
struct Serving {
    config: Arc<Config>,
    clock: NodeClock,
    control: ControlHandle,
    store: Arc<GenerationStore>,
    phase: watch::Sender<LifecyclePhase>,
    handover: watch::Sender<bool>,
    closed: watch::Sender<bool>,
    server: tokio::task::JoinHandle<()>,
}

impl Serving {
    fn start(
        config: Arc<Config>,
        (clock, runner, store): (NodeClock, RunnerContext, Arc<GenerationStore>),
        (http, admin): (TcpListener, TcpListener),
        phase: watch::Sender<LifecyclePhase>,
    ) -> Serving {
        let (handover, handovers) = watch::channel(false);
        let (closed, closing) = watch::channel(false);
        let control = runner.control.clone();
        let front = HttpFront {
            config: Arc::clone(&config),
            clock,
            runner,
            store: Arc::clone(&store),
            phase: phase.subscribe(),
            handover: handovers,
        };
        let server = HttpServer::new(http, front.router(), config.limits.header);
        let server = tokio::spawn(server.run(closing.clone()));
        let front = AdminFront::new(Arc::clone(&config), control.clone());
        let admin = HttpServer::new(admin, front.router(), config.limits.header);
        tokio::spawn(admin.run(closing));
        Serving { config, clock, control, store, phase, handover, closed, server }
    }

    async fn run(self, mut prepared: watch::Receiver<bool>, mut stop: watch::Receiver<bool>) {
        let mut machine = NodeLifecycle.state_machine();
        let store = Arc::clone(&self.store);
        let (clock, retention) = (self.clock, self.config.timeouts.stream_retention);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(EXPIRE_PERIOD).await;
                store.expire(clock.now(), retention);
            }
        });
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

    /// Takes the VM out of service without cutting a request.
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
                info!("daemon: shutdown timeout passed; handing streams over");
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
        self.closed.send_replace(true);
        let _ = self.server.await;
    }

    async fn is_idle(&self) -> bool {
        if self.store.open_count() > 0 {
            return false;
        }
        self.control.ask(ControlMessage::IsIdle).await.unwrap_or(true)
    }
}
