//! Stand-ins of the platform and of servers for the scripts of this review, with the standard
//! library only: an HTTP server, the store, gateways as processes, a client and a record.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Time after which a case ends its processes and gives up.
const TIME_LIMIT: Duration = Duration::from_secs(100);

/// Processes that the case has started and not ended.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Records a process that the case has started.
pub fn note_started(child: &Child) {
    CHILDREN.lock().unwrap().push(child.id());
}

/// Ends a process that the case has started.
pub fn end_process(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    CHILDREN.lock().unwrap().retain(|id| *id != child.id());
}

/// Ends all processes and the case after its time limit.
fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        for id in CHILDREN.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        std::process::exit(NOT_RUN);
    });
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Record of what was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the record, and starts the time limit of the case.
    pub fn create(path: &Path) -> io::Result<Record> {
        start_watchdog();
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {}", self.ms(), line.as_ref());
    }
}

/// Request as a stand-in received it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a field of a flat JSON body: the text of a string, or the literal.
    pub fn json_field(&self, name: &str) -> Option<String> {
        json_field(&String::from_utf8_lossy(&self.body), name)
    }
}

/// Returns a field of a flat JSON object: the text of a string, or the literal.
pub fn json_field(text: &str, name: &str) -> Option<String> {
    let start = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = text[start..].trim_start();
    if let Some(rest) = rest.strip_prefix('"') {
        return rest.split('"').next().map(str::to_owned);
    }
    rest.split([',', '}']).next().map(|value| value.trim().to_owned())
}

/// Reads one request, or returns `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end;
        }
        let mut part = [0; 8192];
        match stream.read(&mut part)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&part[..count]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or("").split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.parse::<usize>().ok())
        .unwrap_or(0);
    while buffer.len() < length {
        let mut part = [0; 8192];
        match stream.read(&mut part)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&part[..count]),
        }
    }
    let body = buffer.drain(..length).collect();
    Ok(Some(Request { method, path: path.to_owned(), query, headers, body }))
}

pub fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|part| part == wanted)
}

/// Serves HTTP/1.1 on a listener, one thread per connection. The handler answers on the stream and
/// returns whether the connection stays open.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
                    if !handler(&request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes a response with a length. Returns whether that worked.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> bool {
    let mut bytes = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Returns a listener on a free loopback port.
pub fn listen() -> io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0")
}

/// Returns whether the peer has closed or reset a connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    let _ = stream.set_nonblocking(true);
    let result = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match result {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

#[derive(Clone, Default)]
struct Topic {
    first: u64,
    records: Vec<(String, Option<Vec<u8>>)>,
    newest: BTreeMap<String, (u64, Option<Vec<u8>>)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, key: &str, value: Option<Vec<u8>>) -> u64 {
        let offset = self.end();
        self.records.push((key.to_owned(), value.clone()));
        self.newest.insert(key.to_owned(), (offset, value));
        offset
    }
}

/// Copy of the store's topics.
#[derive(Clone, Default)]
pub struct StoreCopy(BTreeMap<String, Topic>);

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Topic>,
    era: u64,
    is_away: bool,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    record: Record,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(record: &Record) -> io::Result<Store> {
        let listener = listen()?;
        let address = listener.local_addr()?;
        let store =
            Store { state: Arc::default(), record: record.clone(), address };
        let server = store.clone();
        serve(listener, move |request, stream| server.handle(request, stream));
        Ok(store)
    }

    /// Appends a record as the operator or a server does. Returns its offset.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) -> u64 {
        let offset = {
            let mut state = self.state.0.lock().unwrap();
            let topic = state.topics.entry(topic.to_owned()).or_default();
            topic.append(key, value.map(|value| value.as_bytes().to_vec()))
        };
        self.state.1.notify_all();
        offset
    }

    /// Returns a copy of all topics.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.0.lock().unwrap().topics.clone())
    }

    /// Makes the store unavailable: it closes connections without an answer.
    pub fn go_away(&self) {
        self.state.0.lock().unwrap().is_away = true;
        self.state.1.notify_all();
    }

    /// Brings the store back from a copy, in the next era.
    pub fn come_back_from(&self, copy: &StoreCopy) {
        let mut state = self.state.0.lock().unwrap();
        state.topics = copy.0.clone();
        state.era += 1;
        state.is_away = false;
        drop(state);
        self.state.1.notify_all();
    }

    /// Returns the newest value of a key, as text.
    pub fn newest_text(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let (_, value) = state.topics.get(topic)?.newest.get(key)?;
        Some(String::from_utf8_lossy(value.as_ref()?).into_owned())
    }

    pub fn end(&self, topic: &str) -> u64 {
        self.state.0.lock().unwrap().topics.get(topic).map_or(0, Topic::end)
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        match request.path.as_str() {
            "/dragonflycart/log-append" => self.append(&topic, request, stream),
            "/dragonflycart/log-read" => self.read(&topic, request, stream),
            "/dragonflycart/log-newest" => self.newest(&topic, stream),
            _ => answer(stream, 404, &[], b""),
        }
    }

    fn append(&self, name: &str, request: &Request, stream: &mut TcpStream) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if state.is_away {
            return false;
        }
        let era = [("Store-Era", state.era.to_string())];
        if name == "keyed.op" || name == "keyed.servers" {
            return answer(stream, 403, &era, b"");
        }
        let topic = state.topics.entry(name.to_owned()).or_default();
        let at: Option<u64> = request.query.get("at").and_then(|text| text.parse().ok());
        if at.is_some_and(|at| at != topic.end()) {
            let body = format!("{{\"end\":{}}}", topic.end());
            return answer(stream, 412, &era, body.as_bytes());
        }
        let first = topic.end();
        let mut rest = &request.body[..];
        while rest.len() >= 5 {
            let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
            let content = &rest[4..4 + length];
            let key_length = usize::from(content[0]);
            let key = String::from_utf8_lossy(&content[1..1 + key_length]).into_owned();
            let value = content[1 + key_length..].to_vec();
            topic.append(&key, Some(value).filter(|value| !value.is_empty()));
            rest = &rest[4 + length..];
        }
        let body = format!("{{\"offset\":{first},\"end\":{}}}", topic.end());
        drop(state);
        self.state.1.notify_all();
        answer(stream, 200, &era, body.as_bytes())
    }

    fn read(&self, name: &str, request: &Request, stream: &mut TcpStream) -> bool {
        let number = |key: &str| {
            request.query.get(key).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
        };
        let from = number("from");
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.is_away {
                return false;
            }
            let era = [("Store-Era", state.era.to_string())];
            let empty = Topic::default();
            let topic = state.topics.get(name).unwrap_or(&empty);
            // An offset that the store doesn't have.
            if from < topic.first || from > topic.end() {
                let body = format!("{{\"first\":{}}}", topic.first);
                return answer(stream, 410, &era, body.as_bytes());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if from < topic.end() || left.is_zero() {
                let mut body = Vec::new();
                body.extend_from_slice(&topic.end().to_be_bytes());
                body.extend_from_slice(&topic.first.to_be_bytes());
                for (key, value) in &topic.records[(from - topic.first) as usize..] {
                    let value = value.as_deref().unwrap_or_default();
                    body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return answer(stream, 200, &era, &body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, name: &str, stream: &mut TcpStream) -> bool {
        let state = self.state.0.lock().unwrap();
        if state.is_away {
            return false;
        }
        let era = [("Store-Era", state.era.to_string())];
        let empty = Topic::default();
        let topic = state.topics.get(name).unwrap_or(&empty);
        let mut entries = Vec::new();
        for (key, (offset, value)) in &topic.newest {
            let Some(value) = value else { continue };
            entries.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            ));
        }
        let body = format!(
            "{{\"entries\":[{}],\"has_more\":false,\"end\":{}}}",
            entries.join(","),
            topic.end()
        );
        answer(stream, 200, &era, body.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let bits = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= part.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * index) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Registration of a server in the store.
#[derive(Clone)]
pub struct Registration {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub state: &'static str,
    pub born: u64,
}

impl Registration {
    pub fn text(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1\",\
             \"slots\":{},\"state\":\"{}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.state, self.born
        )
    }
}

/// Gateway as a process, started with the command of the deploy file.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

static NUMBER: AtomicU64 = AtomicU64::new(0);

impl Gateway {
    /// Starts a gateway with settings like those of a small site.
    pub fn start(
        root: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        ip: &str,
        ports: Ports,
        store: SocketAddr,
        bounds: &str,
    ) -> io::Result<Gateway> {
        let front: SocketAddr = format!("{ip}:{}", ports.front).parse().unwrap();
        let ready: SocketAddr = format!("{ip}:{}", ports.ready).parse().unwrap();
        let settings = format!(
            "{{\"node_name\":\"{name}\",\"role\":\"gateway\",\"machine_class\":\"edge\",\
             \"serves\":[\"edge\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"r\",\
             \"zones\":{{}},\"listen\":{{\"front\":\"{front}\",\"ready\":\"{ready}\"}},\
             \"internal_ports\":[{},{}],\"seeds\":[],\"bootstrap\":true,\
             \"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":260,\"max_fds\":4100,\
             \"link_mbps\":1000.0,\"disk_mb\":0}},\"data_dir\":null,\"discovery\":\"platform\",\
             \"entry\":\"vip\",\"heartbeat_ms\":1200,\"contracts\":[\"base\"],\
             \"bounds\":{bounds},\"platform\":{{\"address\":\"{store}\",\"form\":\"log\"}}}}",
            ports.internal,
            ports.internal + 15,
        );
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let file = folder.join(format!("settings-{name}-{number}.json"));
        std::fs::write(&file, settings)?;
        let log = File::create(folder.join(format!("log-{name}-{number}.txt")))?;
        let child = Command::new(root.join("target/release/dragonflycartd"))
            .arg("gateway")
            .current_dir(root)
            .env("DRAGONFLYCART_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        note_started(&child);
        Ok(Gateway { name: name.to_owned(), front, ready, child })
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let request = Call::get("/dragonflycart/ready", "x");
            if send(self.ready, &request, Duration::from_millis(500)).status == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        end_process(&mut self.child);
    }
}

/// Ports of the gateways, which differ in their loopback addresses.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub internal: u16,
}

/// Finds ports that are free on all of the addresses.
pub fn free_ports(ips: &[&str]) -> Option<Ports> {
    let start = 20_000 + (std::process::id() as u16 % 97) * 100;
    for base in (start..start + 20_000).step_by(20) {
        let is_free = ips.iter().all(|ip| {
            (0..3).all(|index| {
                TcpListener::bind((*ip, base + index)).is_ok()
                    && UdpSocket::bind((*ip, base + index)).is_ok()
            })
        });
        if is_free {
            return Some(Ports { front: base, ready: base + 1, internal: base + 2 });
        }
    }
    None
}

/// Temporary folder of a case. It is removed on drop, unless KEEP is set.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Request of a client.
#[derive(Clone, Default)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub host: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn get(path: &str, host: &str) -> Call {
        Call {
            method: "GET".to_owned(),
            path: path.to_owned(),
            host: host.to_owned(),
            ..Call::default()
        }
    }

    pub fn post(path: &str, host: &str, body: &[u8]) -> Call {
        Call { method: "POST".to_owned(), body: body.to_vec(), ..Call::get(path, host) }
    }

    pub fn with(mut self, name: &str, value: impl Into<String>) -> Call {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\nHost: {}\r\n", self.method, self.path, self.host);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method == "POST" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Answer that a client received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: Option<u16>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn send(address: SocketAddr, call: &Call, limit: Duration) -> Answer {
    let end = Instant::now() + limit;
    let Ok(mut stream) = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))
    else {
        return Answer::default();
    };
    let _ = stream.set_nodelay(true);
    if stream.write_all(&call.bytes()).is_err() {
        return Answer::default();
    }
    read_answer(&mut stream, end)
}

/// Reads an answer until its end, the end of the connection or `end`.
pub fn read_answer(stream: &mut TcpStream, end: Instant) -> Answer {
    let mut bytes = Vec::new();
    let mut answer = Answer::default();
    loop {
        if parse_answer(&bytes, false, &mut answer) {
            return answer;
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return answer;
        }
        let _ = stream.set_read_timeout(Some(left));
        let mut part = [0; 16_384];
        match stream.read(&mut part) {
            Ok(0) => {
                parse_answer(&bytes, true, &mut answer);
                return answer;
            }
            Ok(count) => bytes.extend_from_slice(&part[..count]),
            Err(_) => return answer,
        }
    }
}

/// Parses what has arrived. Returns whether the answer is complete.
fn parse_answer(bytes: &[u8], is_ended: bool, answer: &mut Answer) -> bool {
    let Some(end) = find(bytes, b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    answer.status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
    answer.headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut rest = &bytes[end + 4..];
    if let Some(length) = answer.header("content-length").and_then(|text| text.parse().ok()) {
        answer.body = rest[..rest.len().min(length)].to_vec();
        answer.is_complete = rest.len() >= length;
        return answer.is_complete;
    }
    if answer.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let Some(line) = find(rest, b"\r\n") else { break };
            let text = String::from_utf8_lossy(&rest[..line]).into_owned();
            let Ok(size) = usize::from_str_radix(text.trim(), 16) else { break };
            if size == 0 {
                answer.is_complete = rest.len() >= line + 4;
                break;
            }
            if rest.len() < line + 2 + size + 2 {
                break;
            }
            body.extend_from_slice(&rest[line + 2..line + 2 + size]);
            rest = &rest[line + 2 + size + 2..];
        }
        answer.body = body;
        return answer.is_complete;
    }
    answer.body = rest.to_vec();
    answer.is_complete = is_ended;
    is_ended
}

/// Exits with a verdict, after the record and the folder are closed.
pub fn finish(record: &Record, code: i32, reason: &str) -> i32 {
    let verdict = match code {
        BROKEN => "BROKEN",
        HELD => "HELD",
        _ => "NOT RUN",
    };
    record.note(format!("{verdict}: {reason}"));
    println!("{verdict}: {reason}");
    code
}
