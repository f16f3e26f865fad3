//! A small deployment: gateways started with the command of the deploy file, the store and engines.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{cut::Cut, http::exchange, store::Store};

/// Words of `run` in `deploy/system.toml`.
const RUN_WORDS: [&str; 2] = ["target/release/dragonflycartd", "gateway"];
/// Time for the gateways to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Host of the routes.
pub const HOST: &str = "ficu95.example";
/// API key of the tenant.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

pub struct Gateway {
    process: Child,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    /// Path of this gateway to the store.
    pub store_path: Cut,
}

/// Gateways. Dropping them ends their processes.
pub struct Fleet {
    directory: PathBuf,
    pub gateways: Vec<Gateway>,
}

fn start_process(settings: &Path, log: &Path) -> Option<Child> {
    let log = File::options().create(true).append(true).open(log).ok()?;
    Command::new(RUN_WORDS[0])
        .args(&RUN_WORDS[1..])
        .env("DRAGONFLYCART_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .inspect_err(|error| eprintln!("the gateway does not start: {error}"))
        .ok()
}

fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound listener");
        // The port for traffic between machines is used over both protocols.
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns a manifest like those of the installations: a route for streams to a service of engines
/// with this memory and limit for cold ones, and a route for orders to a plain service.
pub fn manifest(memory_tokens: u64, cold_start_s: f64, cold_per_s: f64) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-reports\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/reports/\",\"kind\":\"streaming\",\"timeout_ms\":39000,\
         \"target_latency_ms\":1800,\"priority\":0,\"service\":\"drafter\",\"max_attempts\":1,\
         \"public\":false,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":180}},\
         {{\"name\":\"r-orders\",\"host\":\"{HOST}\",\"path_prefix\":\"/orders/\",\
         \"kind\":\"non_idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":150,\
         \"priority\":2,\"service\":\"dravu-app\",\"max_attempts\":1,\"public\":false}}],\
         \"services\":[{{\"name\":\"drafter\",\"health_path\":\"/health\",\
         \"max_connections\":232,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":{cold_start_s:.1},\
         \"cold_per_s\":{cold_per_s:.1},\"engine\":{{\"slots\":24,\
         \"kv_capacity_tokens\":{memory_tokens},\
         \"kv_token_bytes\":35136,\"link_mbps\":5100.0,\"moves\":true,\"backups\":true,\
         \"stride\":4,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":15.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"dravu-app\",\"health_path\":\"/health\",\"max_connections\":96,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

impl Fleet {
    /// Starts gateways and waits until they are ready. Returns `None` if one does not get ready.
    pub fn start(name: &str, count: usize, store: &Store) -> Option<Fleet> {
        let directory = std::env::temp_dir()
            .join(format!("dragonflycart-review-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a temporary folder");
        let mut fleet = Fleet { directory, gateways: Vec::new() };
        for number in 1..=count {
            fleet.start_gateway(number, store)?;
        }
        let deadline = Instant::now() + START_TIMEOUT;
        for gateway in &fleet.gateways {
            let request =
                format!("GET /dragonflycart/ready HTTP/1.1\r\nHost: {}\r\n\r\n", gateway.ready);
            loop {
                let received = exchange(gateway.ready, request.as_bytes(), Duration::from_secs(1));
                if received.status == 200 {
                    break;
                }
                if Instant::now() > deadline {
                    eprintln!("a gateway was not ready in time");
                    return None;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // Each gateway hears the others' reports.
        thread::sleep(Duration::from_secs(1));
        Some(fleet)
    }

    fn start_gateway(&mut self, number: usize, store: &Store) -> Option<()> {
        let (front, ready, peers) = (free_address(), free_address(), free_address());
        let store_path = Cut::start(store.address);
        let settings = format!(
            "{{\"node_name\":\"edge-a-{number}\",\"role\":\"gateway\",\
             \"machine_class\":\"edge\",\"serves\":[\"edge\"],\"ip\":\"127.0.0.1\",\
             \"zone\":\"a\",\"region\":\"zemgale\",\"zones\":{{\"a\":\"zemgale\"}},\
             \"listen\":{{\"front\":\"{front}\",\"ready\":\"{ready}\"}},\
             \"internal_ports\":[{0},{0}],\"seeds\":[],\"bootstrap\":true,\
             \"counts_as_loss\":false,\"limits\":{{\"cpu_share\":0.25,\"cores\":1,\
             \"memory_mb\":260,\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0}},\
             \"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\
             \"heartbeat_ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\
             \"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\"rollout\",\
             \"platform\"],\"fault_tolerance\":{{\"machines\":1,\"zones\":1,\"regions\":0}},\
             \"bounds\":{{\"contact_ms\":3000,\"drain_ms\":2000,\"grace_s\":8,\
             \"loss_slack_ms\":200,\"config_deadline_ms\":2000,\"strict_revocation\":false,\
             \"revoke_ms\":5000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\
             \"budget_slack\":52,\"exposure_share\":0.1,\"exposure_slack\":50,\
             \"rollback_ms\":5000,\"evacuate_ms\":5000}},\
             \"platform\":{{\"address\":\"{1}\",\"form\":\"log\",\"writes_per_s\":400,\
             \"reads_per_s\":2000}}}}",
            peers.port(),
            store_path.address
        );
        let path = self.directory.join(format!("settings-{number}.json"));
        fs::write(&path, settings).expect("the temporary folder is writable");
        let log = self.directory.join(format!("gateway-{number}.log"));
        let process = start_process(&path, &log)?;
        self.gateways.push(Gateway { process, front, ready, settings: path, log, store_path });
        Some(())
    }
    /// Stops a gateway by SIGTERM and starts it again as soon as it has ended.
    pub fn restart(&mut self, number: usize) -> Option<()> {
        let gateway = &mut self.gateways[number];
        let id = gateway.process.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status().ok()?;
        gateway.process.wait().ok()?;
        gateway.process = start_process(&gateway.settings, &gateway.log)?;
        Some(())
    }

    /// Ends the gateways and removes their files.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for Fleet {
    /// The files are kept if `REVIEW_KEEP` is set.
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            // Fails only if the process has already ended.
            drop(gateway.process.kill());
            drop(gateway.process.wait());
        }
        if std::env::var_os("REVIEW_KEEP").is_some() {
            eprintln!("kept: {}", self.directory.display());
        } else {
            drop(fs::remove_dir_all(&self.directory));
        }
    }
}

/// Encodes a request for a stream.
pub fn stream_request(
    attempt: &str,
    parts: &str,
    prompt_tokens: u64,
    events: u64,
    limit: Duration,
) -> Vec<u8> {
    format!(
        "POST /reports/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nModel: m\r\n\
         Token-Usage: {prompt_tokens},{}\r\nPrompt-Prefix: {parts}\r\nDeadline-Ms: {}\r\n\
         Authorization: Token {KEY}\r\nContent-Length: 4\r\n\r\ntext",
        events * 4,
        limit.as_millis()
    )
    .into_bytes()
}

/// Encodes an order, which is not idempotent.
pub fn order_request(attempt: &str, limit: Duration) -> Vec<u8> {
    format!(
        "POST /orders/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: {}\r\nAuthorization: Token {KEY}\r\nContent-Length: 5\r\n\r\norder",
        limit.as_millis()
    )
    .into_bytes()
}
