//! Stand-ins for the scripts of the third review: the platform's store, HTTP servers and clients, and
//! the start of gateway processes. Uses the standard library only.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet},
    ffi::{c_int, c_ulong},
    fs,
    io::{BufRead, BufReader, Lines, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Returns whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// Record of what was sent, answered and run, in `record.txt` of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = fs::File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ports that were given out.
static PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns a free loopback port on `ip` that was not given out before.
pub fn free_port(ip: &str) -> u16 {
    loop {
        let port = TcpListener::bind((ip, 0)).expect("a free port").local_addr().unwrap().port();
        if PORTS.lock().unwrap().insert(port) {
            return port;
        }
    }
}

/// Binds a free port in a stand-in process and tells the script, which reads the first line.
pub fn announce_listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    println!("{}", listener.local_addr().unwrap());
    listener
}

unsafe extern "C" {
    fn prctl(option: c_int, signal: c_ulong) -> c_int;
}
const PR_SET_PDEATHSIG: c_int = 1;
const SIGKILL: c_ulong = 9;

/// Makes the kernel kill the child when the script ends, however it ends.
fn ends_with_script(command: &mut Command) -> &mut Command {
    // SAFETY: the call changes an attribute of the child only, and needs no memory.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    }
}

/// Starts a stand-in process. Returns it with its address and the rest of its output.
pub fn start_standin(
    program: &str,
    arguments: &[&str],
) -> Option<(Process, SocketAddr, Lines<BufReader<ChildStdout>>)> {
    let mut command = Command::new(program);
    command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped());
    let mut child = ends_with_script(&mut command).spawn().ok()?;
    let mut lines = BufReader::new(child.stdout.take()?).lines();
    let process = Process { child };
    let address = lines.next()?.ok()?.parse().ok()?;
    Some((process, address, lines))
}

/// Request or response: the first line, the headers in lower case and the body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has its whole length or its last chunk.
    pub is_whole: bool,
    /// Whether a length or chunks tell where the body ends.
    pub is_framed: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Connection with a read buffer.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> bool {
        let mut bytes = [0_u8; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&bytes[..count]);
                true
            }
            _ => false,
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn take(&mut self, length: usize, body: &mut Vec<u8>) -> bool {
        while self.buffer.len() < length {
            if !self.fill() {
                body.append(&mut self.buffer);
                return false;
            }
        }
        body.extend(self.buffer.drain(..length));
        true
    }

    /// Reads a head.
    pub fn head(&mut self) -> Option<Message> {
        let mut message = Message { first_line: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(message);
            }
            let (name, value) = line.split_once(':')?;
            message.headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads a message with its body. A response without a length or chunks ends with its channel.
    pub fn message(&mut self, is_response: bool) -> Option<Message> {
        let mut message = self.head()?;
        if message.header("transfer-encoding").is_some() {
            message.is_framed = true;
            loop {
                let Some(size) = self.line() else { return Some(message) };
                let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return Some(message) };
                if !self.take(size, &mut message.body) || self.line().is_none() {
                    return Some(message);
                }
                if size == 0 {
                    message.is_whole = true;
                    return Some(message);
                }
            }
        }
        if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
            message.is_framed = true;
            message.is_whole = self.take(length, &mut message.body);
            return Some(message);
        }
        if is_response {
            while self.fill() {}
            message.body.append(&mut self.buffer);
        }
        message.is_whole = true;
        Some(message)
    }
}

/// Serves connections with `handler`, which gets each request and writes the response itself. It
/// returns whether the channel stays open.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(&mut Wire, Message) -> bool + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Some(request) = wire.message(false) {
                    if !handler(&mut wire, request) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes a response with a length.
pub fn respond(wire: &mut Wire, status: u16, headers: &str, body: &[u8]) -> bool {
    let head =
        format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n{headers}\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    wire.stream.write_all(&bytes).is_ok()
}

#[derive(Default)]
struct Topic {
    records: Vec<(String, Option<Vec<u8>>)>,
    newest: BTreeMap<String, (u64, Option<Vec<u8>>)>,
}

type Topics = Arc<(Mutex<BTreeMap<String, Topic>>, Condvar)>;

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Topics,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let topics: Topics = Arc::default();
        let store = Store { address, topics };
        let served = store.clone();
        serve(listener, move |wire, request| served.answer(wire, &request));
        store
    }

    /// Opens another address of the store, for a machine that it may turn away.
    pub fn open_entry(&self) -> StoreEntry {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let turns_away = Arc::new(AtomicBool::new(false));
        let (store, is_turned_away) = (self.clone(), Arc::clone(&turns_away));
        serve(listener, move |wire, request| {
            if is_turned_away.load(Ordering::Relaxed) {
                return respond(wire, 503, "", b"");
            }
            store.answer(wire, &request)
        });
        StoreEntry { address, turns_away }
    }

    /// Appends a record; without a value, the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) -> u64 {
        self.append(topic, key, value.map(|text| text.as_bytes().to_vec()), None).unwrap()
    }

    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.topics.0.lock().unwrap();
        let value = topics.get(topic)?.newest.get(key)?.1.clone()?;
        Some(String::from_utf8_lossy(&value).into_owned())
    }

    fn append(
        &self,
        topic: &str,
        key: &str,
        value: Option<Vec<u8>>,
        at: Option<u64>,
    ) -> Result<u64, u64> {
        let mut topics = self.topics.0.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len() as u64;
        if at.is_some_and(|at| at != offset) {
            return Err(offset);
        }
        topic.records.push((key.to_owned(), value.clone()));
        topic.newest.insert(key.to_owned(), (offset, value));
        self.topics.1.notify_all();
        Ok(offset)
    }

    fn answer(&self, wire: &mut Wire, request: &Message) -> bool {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or("");
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        match path {
            "/dragonflycart/log-append" => self.answer_append(wire, topic, number("at"), request),
            "/dragonflycart/log-newest" => self.answer_newest(wire, topic, query.get("after")),
            "/dragonflycart/log-read" => {
                let wait = number("wait_ms").unwrap_or(0);
                self.answer_read(wire, topic, number("from").unwrap_or(0), wait)
            }
            _ => respond(wire, 404, "", b""),
        }
    }

    fn answer_append(
        &self,
        wire: &mut Wire,
        topic: &str,
        at: Option<u64>,
        request: &Message,
    ) -> bool {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return respond(wire, 403, "", b"");
        }
        let record = &request.body[4..];
        let key_length = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..1 + key_length]).into_owned();
        let value = Some(record[1 + key_length..].to_vec()).filter(|value| !value.is_empty());
        match self.append(topic, &key, value, at) {
            Ok(offset) => {
                let body = format!("{{\"offset\":{offset},\"end\":{}}}", offset + 1);
                respond(wire, 200, "", body.as_bytes())
            }
            Err(end) => respond(wire, 412, "", format!("{{\"end\":{end}}}").as_bytes()),
        }
    }

    fn answer_newest(&self, wire: &mut Wire, topic: &str, after: Option<&&str>) -> bool {
        let body = {
            let topics = self.topics.0.lock().unwrap();
            let empty = Topic::default();
            let topic = topics.get(topic).unwrap_or(&empty);
            let mut entries = Vec::new();
            for (key, (offset, value)) in &topic.newest {
                let Some(value) = value else { continue };
                if after.is_some_and(|after| key.as_str() <= *after) {
                    continue;
                }
                entries.push(format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                ));
            }
            let end = topic.records.len();
            format!("{{\"entries\":[{}],\"has_more\":false,\"end\":{end}}}", entries.join(","))
        };
        respond(wire, 200, "", body.as_bytes())
    }

    fn answer_read(&self, wire: &mut Wire, topic: &str, from: u64, wait_ms: u64) -> bool {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, |topic| topic.records.len() as u64);
            if from > end {
                drop(topics);
                return respond(wire, 410, "", b"{\"first\":0}");
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                break;
            }
            topics = self.topics.1.wait_timeout(topics, left).unwrap().0;
        }
        let mut body = Vec::new();
        let empty = Topic::default();
        let topic = topics.get(topic).unwrap_or(&empty);
        body.extend((topic.records.len() as u64).to_be_bytes());
        body.extend(0_u64.to_be_bytes());
        for (key, value) in &topic.records[from as usize..] {
            let value = value.clone().unwrap_or_default();
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        drop(topics);
        respond(wire, 200, "", &body)
    }
}

/// Address of the store for one machine.
pub struct StoreEntry {
    pub address: SocketAddr,
    /// Whether the machine's calls are refused.
    pub turns_away: Arc<AtomicBool>,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for index in 0..4 {
            if index > group.len() {
                text.push('=');
            } else {
                text.push(char::from(DIGITS[(number >> (18 - 6 * index)) as usize & 63]));
            }
        }
    }
    text
}

/// A child process that is killed when dropped.
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A gateway process, started with the command of the deploy file.
pub struct Gateway {
    pub process: Process,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
}

/// Settings of a gateway as in a small deployment.
pub fn settings(
    name: &str,
    zone: &str,
    ip: &str,
    (front, ready, peer): (u16, u16, u16),
    store: SocketAddr,
) -> String {
    format!(
        "{{\"node_name\":\"{name}\",\"role\":\"gateway\",\"machine_class\":\"edge\",\"serves\":[\"edge\"],\
         \"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"r\",\"zones\":{{\"a\":\"r\",\"b\":\"r\"}},\
         \"listen\":{{\"front\":\"{ip}:{front}\",\"ready\":\"{ip}:{ready}\"}},\
         \"internal_ports\":[{peer},{last}],\"seeds\":[],\"bootstrap\":true,\
         \"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":110,\"max_fds\":4100,\
         \"link_mbps\":1000.0,\"disk_mb\":0}},\"data_dir\":null,\"heartbeat_ms\":1200,\
         \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
         \"stream\",\"tenants\",\"places\",\"rollout\",\"platform\"],\
         \"bounds\":{{\"contact_ms\":3000,\"drain_ms\":2000,\"grace_s\":8,\"config_deadline_ms\":2000,\
         \"strict_revocation\":false,\"revoke_ms\":5000,\"retry_budget_ratio\":0.2,\
         \"budget_window_s\":10,\"budget_slack\":58,\"exposure_share\":0.1,\"exposure_slack\":50,\
         \"evacuate_ms\":5000}},\
         \"platform\":{{\"address\":\"{store}\",\"form\":\"log\",\"writes_per_s\":400,\
         \"reads_per_s\":2000}}}}",
        last = peer + 15
    )
}

impl Gateway {
    /// Starts a gateway from the root of the repository and waits until it is ready.
    pub fn start(
        record: &Record,
        folder: &Path,
        name: &str,
        ip: &str,
        peer: u16,
        store: SocketAddr,
    ) -> Option<Gateway> {
        let (front, ready) = (free_port(ip), free_port(ip));
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings(name, "a", ip, (front, ready, peer), store)).ok()?;
        let gateway = Gateway {
            process: Gateway::spawn(&path)?,
            front: format!("{ip}:{front}").parse().unwrap(),
            ready: format!("{ip}:{ready}").parse().unwrap(),
            settings: path,
        };
        if !gateway.wait_ready() {
            record.note(&format!("gateway {name} is not ready"));
            return None;
        }
        record.note(&format!("gateway {name} is ready at {}", gateway.front));
        Some(gateway)
    }

    fn spawn(settings: &Path) -> Option<Process> {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(settings.with_extension("log"))
            .ok()?;
        let mut command = Command::new("target/release/dragonflycartd");
        command
            .arg("gateway")
            .env("DRAGONFLYCART_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null());
        let child = ends_with_script(&mut command).spawn().ok()?;
        Some(Process { child })
    }

    /// Starts the process again after it was killed.
    pub fn start_again(&mut self) -> bool {
        match Gateway::spawn(&self.settings) {
            Some(process) => self.process = process,
            None => return false,
        }
        self.wait_ready()
    }

    fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /dragonflycart/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        send(self.ready, request.as_bytes(), Duration::from_secs(1))
            .is_some_and(|response| response.status() == 200)
    }
}

/// Sends one request on a new channel and reads the response.
pub fn send(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut wire = Wire::new(stream);
    wire.stream.write_all(request).ok()?;
    wire.message(true)
}

/// Returns a temporary folder of this process.
pub fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// Route of a manifest.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path_prefix\":\"/{name}/\",\
         \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":1500,\"priority\":0,\
         \"service\":\"{service}\",\"max_attempts\":{attempts},\"public\":false,\
         \"gap_target_ms\":180}}"
    )
}

/// Manifest with routes, an engine service `engines` and a plain service `desk`.
pub fn manifest(version: u64, routes: &[String]) -> String {
    manifest_with_keys(version, routes, &["key"])
}

/// The same with the API keys of the only tenant.
pub fn manifest_with_keys(version: u64, routes: &[String], keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"engines\",\"health_path\":\"/health\",\"max_connections\":300,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{{\"slots\":24,\
         \"kv_capacity_tokens\":34000,\"kv_token_bytes\":18432,\"link_mbps\":2700.0,\"moves\":true,\
         \"backups\":true,\"stride\":4}}}},\
         {{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":110,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"studio\",\"api_keys\":[{}],\"priority\":0}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

/// Registration of a runner.
pub fn registration(
    service: &str,
    address: SocketAddr,
    slots: u32,
    version: &str,
    born: u64,
    sequence: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"{version}\",\
         \"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{born},\
         \"sequence\":{sequence}}}"
    )
}
