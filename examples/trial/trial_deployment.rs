//! Daemons and fakes of the trial deployment.

use std::{
    error::Error,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use dragonflycart_core::{
    ModelName, ModelPlacement, OperatingPlan, VersionName, WallTime, ZoneName, ZonePlan, ZoneState,
};
use dragonflycart_interfaces::{HttpLogClient, LogService, LogTopic};
use dragonflycart_node::Daemon;
use dragonflycart_settings::ConfigBuilder;
use dragonflycart_testkit::{
    BadEffect, BadVersion, DirectoryConfig, EngineConfig, FakeDirectory, FakeEngine, FakeLog,
    FakeService, FakeWeights, LogConfig, ServiceConfig, WeightConfig,
};
use dragonflycart_wire::{LogEntry, PlanProposal, RecordBatch, log_entry::Kind};
use prost::Message;
use tokio::{sync::watch, task::JoinHandle};

use crate::demo_caller::TEAM_CREDENTIAL;

/// Zones of the trial.
const ZONES: [&str; 2] = ["jelgava", "bauska"];
/// Number of engines per zone.
const ENGINES: usize = 2;
/// Credentials of the two operators.
const OPERATORS: [(&str, &str); 2] =
    [("anna", "trial-operator-anna"), ("juris", "trial-operator-juris")];
/// Time within which both daemons must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Addresses of one VM.
#[derive(Clone, Copy)]
struct VmAddresses {
    http: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
}

/// Daemons and fakes of the trial deployment.
pub(crate) struct TrialDeployment {
    vms: Vec<VmAddresses>,
    stop: watch::Sender<bool>,
    daemons: Vec<JoinHandle<()>>,
    log: FakeLog,
    _directory: FakeDirectory,
    _weights: FakeWeights,
    engines: Vec<FakeEngine>,
    ordering_servers: Vec<FakeService>,
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

impl TrialDeployment {
    /// Starts the fakes and the daemons, and waits until both daemons are ready. The engines fail
    /// the requests for version `bad_version`.
    pub(crate) async fn start(
        bad_version: &str,
    ) -> Result<TrialDeployment, Box<dyn Error + Send + Sync>> {
        let mut vms = Vec::new();
        for _ in ZONES {
            vms.push(VmAddresses {
                http: free_address()?,
                peer: free_address()?,
                admin: free_address()?,
            });
        }
        let mut deployment = TrialDeployment {
            vms,
            stop: watch::Sender::new(false),
            daemons: Vec::new(),
            log: FakeLog::start(LogConfig::default()).await?,
            _directory: FakeDirectory::start(DirectoryConfig::default()).await?,
            _weights: FakeWeights::start(WeightConfig::default()).await?,
            engines: Vec::new(),
            ordering_servers: Vec::new(),
        };
        for _ in 0..ZONES.len() * ENGINES {
            deployment.engines.push(FakeEngine::start(engine_config(bad_version)?).await?);
        }
        for _ in ZONES {
            let config = ServiceConfig { supports_lookup: true, ..ServiceConfig::default() };
            deployment.ordering_servers.push(FakeService::start(config).await?);
        }
        deployment.submit_first_plan().await?;
        for vm in 0..ZONES.len() {
            deployment.start_daemon(vm).await?;
        }
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    async fn submit_first_plan(&self) -> Result<(), Box<dyn Error + Send + Sync>> {
        let mut plan = OperatingPlan::default();
        for zone in ZONES {
            let zone = ZoneName::new(zone)?;
            let limits = ZonePlan { state: ZoneState::In, concurrency_limit: 60 };
            plan.zones.insert(zone.clone(), limits);
            let model = ModelName::new("draft")?;
            let version = VersionName::new("v1")?;
            plan.placements.push(ModelPlacement { zone, model, version });
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
        let proposal = PlanProposal {
            base_revision: 0,
            submit_id: "trial-first-plan".to_owned(),
            author: OPERATORS[0].0.to_owned(),
            body: Bytes::from(serde_json::to_vec(&plan)?),
            submitted_at_ms: WallTime::from_unix_millis(now).as_unix_millis(),
        };
        let batch = RecordBatch {
            writer: Bytes::from_static(b"trial-deployment"),
            sequence: 1,
            written_at_ms: now,
            entries: vec![LogEntry { kind: Some(Kind::PlanProposal(proposal)) }],
        };
        let client = HttpLogClient::new(self.log.address());
        client.append(LogTopic::Plan, Bytes::from(batch.encode_to_vec())).await?;
        Ok(())
    }

    async fn start_daemon(&mut self, vm: usize) -> Result<(), Box<dyn Error + Send + Sync>> {
        let config = ConfigBuilder::new().file("trial", &self.settings(vm)).build()?;
        let daemon = Daemon::bind(config).await?;
        let stop = self.stop.subscribe();
        self.daemons.push(tokio::spawn(async move {
            if let Err(error) = daemon.run(stop).await {
                eprintln!("daemon failed: {error}");
            }
        }));
        Ok(())
    }

    fn settings(&self, vm: usize) -> String {
        let VmAddresses { http, peer, admin } = self.vms[vm];
        let other = self.vms[1 - vm].peer;
        let mut text = format!(
            "[vm]\nzone = {}\nseat = 0\nhttp = {http}\npeer = {peer}\nadmin = {admin}\n\
             traffic_threads = 2\n\n[zones]\njelgava = 1, latvia\nbauska = 1, latvia\n\n\
             [peers]\naddresses = {other}\n\n[platform]\nlog = {}\nvm_list = {}\n\
             weight_store = {}\n\n[drain]\nbalancer_lag = 100ms\n\n\
             [timeouts]\nreport_poll = 200ms\n\n[log]\nlevel = off\n\n\
             [model:draft]\nroutes = plan\nforced_prefix = yes\n\n\
             [service:ordering]\nidempotent = stock\nnot_idempotent = order\nlookup = yes\n\n\
             [team:joiners]\ncredential = {TEAM_CREDENTIAL}\n\n\
             [objective:plan-first-token]\nroute = plan\nkind = first_token\n\
             threshold = 360ms\nratio = 0.95\nwindow = 6h\n\n\
             [objective:plan-answered]\nroute = plan\nkind = answered\nratio = 0.99\n\
             window = 6h\n",
            ZONES[vm],
            self.log.address(),
            self._directory.address(),
            self._weights.address(),
        );
        for (name, credential) in OPERATORS {
            text.push_str(&format!("\n[operator:{name}]\ncredential = {credential}\n"));
        }
        for (index, engine) in self.engines.iter().enumerate() {
            text.push_str(&format!(
                "\n[engine:engine-{index}]\naddress = {}\nzone = {}\nmodels = draft\n\
                 checks_fences = yes\ncold_limit = 2\nramp = 10s\n",
                engine.address(),
                ZONES[index / ENGINES],
            ));
        }
        for (index, server) in self.ordering_servers.iter().enumerate() {
            text.push_str(&format!(
                "\n[service-server:ordering-{index}]\nservice = ordering\naddress = {}\n\
                 zone = {}\nconcurrency = 16\n",
                server.address(),
                ZONES[index],
            ));
        }
        text
    }

    async fn wait_ready(&self) -> Result<(), Box<dyn Error + Send + Sync>> {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        for vm in &self.vms {
            while !is_ready(vm.http).await {
                if tokio::time::Instant::now() > deadline {
                    return Err("the daemons did not become ready".into());
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Returns the addresses of the HTTP interfaces for callers.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.http).collect()
    }

    /// Prints the addresses and credentials for trying the operators' commands.
    pub(crate) fn print_instructions(&self) {
        println!("\nThe trial keeps running. Press Ctrl-C to end it.");
        for (zone, vm) in ZONES.iter().zip(&self.vms) {
            println!("  zone {zone}: callers http://{}, operators {}", vm.http, vm.admin);
        }
        println!("  credentials: {} and {}", OPERATORS[0].1, OPERATORS[1].1);
        println!("Try, in another terminal:");
        println!("  export DRAGONFLYCART_CREDENTIAL={}", OPERATORS[0].1);
        println!(
            "  cargo run --bin dragonflycartctl -- status --server {} --server {}",
            self.vms[0].admin, self.vms[1].admin,
        );
    }

    /// Stops the daemons, which complete the requests in flight first, and then the fakes.
    pub(crate) async fn close(self) {
        self.stop.send_replace(true);
        for daemon in self.daemons {
            let _ = daemon.await;
        }
        for engine in self.engines {
            engine.close().await;
        }
        for server in self.ordering_servers {
            server.close().await;
        }
        self.log.close().await;
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let Ok(mut socket) = tokio::net::TcpStream::connect(address).await else {
        return false;
    };
    let request = "GET /readyz HTTP/1.1\r\nhost: trial\r\nconnection: close\r\n\r\n";
    let mut response = String::new();
    socket.write_all(request.as_bytes()).await.is_ok()
        && socket.read_to_string(&mut response).await.is_ok()
        && response.starts_with("HTTP/1.1 200")
}

fn engine_config(bad_version: &str) -> Result<EngineConfig, Box<dyn Error + Send + Sync>> {
    let loaded = vec![(ModelName::new("draft")?, VersionName::new("v1")?)];
    let rule = BadVersion {
        version: VersionName::new(bad_version)?,
        effect: BadEffect::Fail,
        after_ms: 0,
        above_running: 0,
        route: None,
    };
    Ok(EngineConfig { loaded, bad_versions: vec![rule], ..EngineConfig::default() })
}
