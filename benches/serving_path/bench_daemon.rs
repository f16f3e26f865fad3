//! Daemon process that is measured.

use std::{
    error::Error,
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use bytes::Bytes;
use dragonflycart_core::{
    ModelName, ModelPlacement, OperatingPlan, VersionName, ZoneName, ZonePlan, ZoneState,
};
use dragonflycart_interfaces::{HttpLogClient, LogService, LogTopic};
use dragonflycart_testkit::{
    ChildProcess, DirectoryConfig, FakeDirectory, FakeLog, FakeWeights, LogConfig, WeightConfig,
};
use dragonflycart_wire::{LogEntry, PlanProposal, RecordBatch, log_entry::Kind};
use prost::Message;

/// Clock ticks per second in the process statistics of Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Daemon process that is measured, with the fakes that it needs.
pub(crate) struct BenchDaemon {
    address: SocketAddr,
    process: ChildProcess,
    startup_time: Duration,
    settings: PathBuf,
    _log: FakeLog,
    _directory: FakeDirectory,
    _weights: FakeWeights,
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

impl BenchDaemon {
    /// Starts a daemon in front of the engine at `engine` and waits until it is ready.
    pub(crate) async fn start(
        engine: SocketAddr,
    ) -> Result<BenchDaemon, Box<dyn Error + Send + Sync>> {
        let log = FakeLog::start(LogConfig::default()).await?;
        let directory = FakeDirectory::start(DirectoryConfig::default()).await?;
        let weights = FakeWeights::start(WeightConfig::default()).await?;
        submit_plan(log.address()).await?;
        let address = free_address()?;
        let text = format!(
            "[vm]\nzone = zone-0\nseat = 0\nhttp = {address}\npeer = {}\nadmin = {}\n\
             traffic_threads = 2\n\n[zones]\nzone-0 = 1, region-0\n\n[platform]\nlog = {}\n\
             vm_list = {}\nweight_store = {}\n\n[limits]\nopen_streams = 20000\n\n\
             [timeouts]\nstream_retention = 1s\n\n\
             [model:assistant]\nroutes = report\nforced_prefix = yes\n\n\
             [team:desk]\ncredential = desk-credential-0001\n\n\
             [engine:engine]\naddress = {engine}\nzone = zone-0\nmodels = assistant\n\
             checks_fences = yes\ncold_limit = 2\nramp = 5s\n",
            free_address()?,
            free_address()?,
            log.address(),
            directory.address(),
            weights.address(),
        );
        let name = format!("dragonflycart-bench-{}.ini", std::process::id());
        let settings = std::env::temp_dir().join(name);
        fs::write(&settings, text)?;
        let start = Instant::now();
        let program = Path::new(env!("CARGO_BIN_EXE_dragonflycartd"));
        let process = ChildProcess::start(program, [Path::new("run"), &settings])?;
        while !is_ready(address).await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(BenchDaemon {
            address,
            process,
            startup_time: start.elapsed(),
            settings,
            _log: log,
            _directory: directory,
            _weights: weights,
        })
    }

    /// Returns the address of the HTTP interface for callers.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the time from the start of the process until it was ready.
    pub(crate) fn startup_time(&self) -> Duration {
        self.startup_time
    }

    /// Returns the processor time used so far, in seconds.
    pub(crate) fn cpu_seconds(&self) -> Result<f64, Box<dyn Error + Send + Sync>> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.process.id()))?;
        let (_, rest) = text.rsplit_once(')').ok_or("unexpected process statistics")?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        Ok(ticks / TICKS_PER_SECOND)
    }

    /// Returns the resident memory, in KiB.
    pub(crate) fn resident_memory_kib(&self) -> Result<u64, Box<dyn Error + Send + Sync>> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.process.id()))?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        Ok(value.ok_or("unexpected process status")?.parse()?)
    }
}

impl Drop for BenchDaemon {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.settings);
    }
}

async fn submit_plan(log: SocketAddr) -> Result<(), Box<dyn Error + Send + Sync>> {
    let zone = ZoneName::new("zone-0")?;
    let mut plan = OperatingPlan::default();
    let limits = ZonePlan { state: ZoneState::In, concurrency_limit: 100_000 };
    plan.zones.insert(zone.clone(), limits);
    let (model, version) = (ModelName::new("assistant")?, VersionName::new("v1")?);
    plan.placements.push(ModelPlacement { zone, model, version });
    let proposal = PlanProposal {
        submit_id: "bench".to_owned(),
        author: "bench".to_owned(),
        body: Bytes::from(serde_json::to_vec(&plan)?),
        ..PlanProposal::default()
    };
    let batch = RecordBatch {
        sequence: 1,
        entries: vec![LogEntry { kind: Some(Kind::PlanProposal(proposal)) }],
        ..RecordBatch::default()
    };
    let client = HttpLogClient::new(log);
    client.append(LogTopic::Plan, Bytes::from(batch.encode_to_vec())).await?;
    Ok(())
}

async fn is_ready(address: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let Ok(mut socket) = tokio::net::TcpStream::connect(address).await else {
        return false;
    };
    let request = "GET /readyz HTTP/1.1\r\nhost: bench\r\nconnection: close\r\n\r\n";
    let mut response = String::new();
    socket.write_all(request.as_bytes()).await.is_ok()
        && socket.read_to_string(&mut response).await.is_ok()
        && response.starts_with("HTTP/1.1 200")
}
