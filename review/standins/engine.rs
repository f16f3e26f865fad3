//! Stand-in of a model runner: streams of events, moves of memory, draining and crashes.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{BufReader, ErrorKind, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Message, json_field, read_request, response},
    record::Record,
    store::Store,
};

/// Interval of the registrations, as in the settings of the gateways.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Tokens in each event.
const TOKENS_PER_EVENT: u64 = 4;
/// Time to read a prompt.
const PREFILL_TIME: Duration = Duration::from_millis(120);
/// Time until the first event of a stream that goes on from a copy.
const RESUME_TIME: Duration = Duration::from_millis(20);
/// Time to copy the memory of a token, at 35,136 bytes and 5,100 Mbit/s.
const TOKEN_COPY_TIME: Duration = Duration::from_micros(55);
/// Bytes of an answer that an engine writes before it crashes.
const BYTES_BEFORE_CRASH: usize = 12;
/// Events after which a backup copy is brought up to date.
const EVENTS_PER_BACKUP: u64 = 8;
/// Age of a report.
const REPORT_AGE: Duration = Duration::from_millis(300);
/// Memory, in tokens.
const MEMORY_TOKENS: u64 = 34_159;

/// How a stream is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Chunked,
    /// Neither a length nor chunks: the answer ends with its channel.
    UntilClose,
}

#[derive(Debug, Clone)]
pub struct EngineOptions {
    pub framing: Framing,
    /// Time between two events.
    pub event_time: Duration,
    /// Whether the engine drops a request when its channel closes, as most do.
    pub drops_requests: bool,
    /// Requests that reach the engine within a second from which it crashes while it is cold.
    pub cold_limit: usize,
    /// Time from the head of a response to its first event; without it, they are sent together.
    pub head_lead: Option<Duration>,
    /// Part of a prompt that makes the engine crash when it begins to write the answer.
    pub crash_part: Option<String>,
}

/// Memory of a stopped or copied run.
#[derive(Debug, Clone)]
struct MemoryCopy {
    attempt: String,
    holders: Vec<SocketAddr>,
    tokens: u64,
}

/// What all engines and the checks share.
pub struct World {
    pub store: Store,
    pub record: Record,
    /// Copies by the value of `Kv-From`.
    copies: Mutex<BTreeMap<String, MemoryCopy>>,
    /// Engines by address.
    engines: Mutex<BTreeMap<SocketAddr, Arc<EngineState>>>,
    next_handle: AtomicU64,
    /// Arrivals of requests at engines: time, engine, attempt, and whether it goes on from a copy.
    pub arrivals: Mutex<Vec<(Instant, String, String, bool)>>,
    /// Times at which engines crashed.
    pub crashes: Mutex<Vec<Instant>>,
    /// Work on requests: engine, attempt, first and last time.
    pub work: Mutex<Vec<(String, String, Instant, Instant)>>,
}

struct Run {
    prompt_tokens: u64,
    events: AtomicU64,
    deadline: Instant,
    must_stop: AtomicBool,
    has_stopped: AtomicBool,
    is_copying: AtomicBool,
}

impl Run {
    fn is_over(&self) -> bool {
        self.must_stop.load(Ordering::SeqCst) || Instant::now() >= self.deadline
    }

    fn tokens(&self) -> u64 {
        self.prompt_tokens + self.events.load(Ordering::SeqCst) * TOKENS_PER_EVENT
    }
}

pub struct EngineState {
    world: Arc<World>,
    options: EngineOptions,
    pub id: String,
    pub address: SocketAddr,
    born_ms: u128,
    /// Times from which and until which the engine is cold.
    cold: Mutex<(Instant, Instant)>,
    sequence: AtomicU64,
    is_dead: AtomicBool,
    /// Time of the exit, once the engine drains.
    exits_at: Mutex<Option<Instant>>,
    /// Time at which the store accepted the report that it drains.
    pub drained_at: Mutex<Option<Instant>>,
    sockets: Mutex<Vec<TcpStream>>,
    runs: Mutex<BTreeMap<String, Arc<Run>>>,
}

impl World {
    pub fn new(store: Store, record: Record) -> Arc<World> {
        let world = Arc::new(World {
            store,
            record,
            copies: Mutex::default(),
            engines: Mutex::default(),
            next_handle: AtomicU64::new(1),
            arrivals: Mutex::default(),
            crashes: Mutex::default(),
            work: Mutex::default(),
        });
        let beating = Arc::clone(&world);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                let engines: Vec<_> = beating.lock_engines().values().cloned().collect();
                for engine in engines.iter().filter(|engine| !engine.is_dead()) {
                    engine.register();
                }
            }
        });
        world
    }

    /// Returns the engines to which running requests were copied.
    pub fn copy_targets(&self) -> BTreeSet<SocketAddr> {
        let copies = self.copies.lock().expect("not poisoned");
        // A backup copy has the name of its attempt, any other one a handle.
        let moved = copies.iter().filter(|(key, copy)| !key.ends_with(&copy.attempt));
        moved.flat_map(|(_, copy)| copy.holders.clone()).collect()
    }

    fn lock_engines(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Arc<EngineState>>> {
        self.engines.lock().expect("not poisoned")
    }

    /// Returns the engine at an address.
    pub fn engine_at(&self, address: SocketAddr) -> Option<Arc<EngineState>> {
        self.lock_engines().get(&address).cloned()
    }
}

/// Starts an engine at `address`; port 0 stands for a free one.
pub fn start(
    world: &Arc<World>,
    id: &str,
    address: SocketAddr,
    options: EngineOptions,
) -> Arc<EngineState> {
    let listener = TcpListener::bind(address).expect("a free port");
    listener.set_nonblocking(true).expect("a socket option");
    let address = listener.local_addr().expect("a bound listener");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    let state = Arc::new(EngineState {
        world: Arc::clone(world),
        options,
        id: id.to_owned(),
        address,
        born_ms: now.as_millis(),
        cold: Mutex::new((Instant::now(), Instant::now())),
        sequence: AtomicU64::new(0),
        is_dead: AtomicBool::new(false),
        exits_at: Mutex::default(),
        drained_at: Mutex::default(),
        sockets: Mutex::default(),
        runs: Mutex::default(),
    });
    world.lock_engines().insert(address, Arc::clone(&state));
    world.record.note(format_args!("engine {id} starts at {address}"));
    state.register();
    let served = Arc::clone(&state);
    thread::spawn(move || served.accept(&listener));
    state
}

impl EngineState {
    pub fn is_dead(&self) -> bool {
        self.is_dead.load(Ordering::SeqCst)
    }

    fn is_draining(&self) -> bool {
        self.drained_at.lock().expect("not poisoned").is_some()
    }

    /// Returns how long the engine stays cold.
    fn cold_left(&self) -> Duration {
        let (_, until) = *self.cold.lock().expect("not poisoned");
        until.saturating_duration_since(Instant::now())
    }

    /// Makes the engine cold. It keeps its memory.
    pub fn cool(&self, time: Duration) {
        let now = Instant::now();
        *self.cold.lock().expect("not poisoned") = (now, now + time);
        self.register();
        self.world.record.note(format_args!("engine {} is cold for {time:?}", self.id));
    }

    /// Crashes the engine if it is cold and more requests reached it within a second than it bears.
    fn check_cold_rate(&self) {
        if self.cold_left().is_zero() {
            return;
        }
        let arrivals = self.world.arrivals.lock().expect("not poisoned");
        let (since, _) = *self.cold.lock().expect("not poisoned");
        let is_recent = |at: &Instant| *at >= since && at.elapsed() < Duration::from_secs(1);
        let own = arrivals.iter().filter(|(at, id, _, _)| *id == self.id && is_recent(at));
        let count = own.count();
        drop(arrivals);
        if count < self.options.cold_limit || self.is_dead() {
            return;
        }
        self.world.record.note(format_args!(
            "engine {} is cold and crashes, as {count} requests reached it within a second; it ran \
             {:?}",
            self.id,
            self.attempts()
        ));
        self.world.crashes.lock().expect("not poisoned").push(Instant::now());
        self.end();
    }

    /// Returns the number of running requests.
    pub fn run_count(&self) -> usize {
        self.runs.lock().expect("not poisoned").len()
    }

    /// Returns the attempts of the running requests.
    pub fn attempts(&self) -> Vec<String> {
        self.runs.lock().expect("not poisoned").keys().cloned().collect()
    }

    fn register(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.is_draining() { "draining" } else { "ready" };
        let text = format!(
            "{{\"service\":\"drafter\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":24,\"state\":\"{state}\",\"cold_remaining_ms\":{},\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"born\":{},\
             \"sequence\":{sequence}}}",
            self.address,
            self.cold_left().as_millis(),
            self.born_ms
        );
        self.world.store.put("keyed.servers", &self.id, Some(&text));
    }

    /// Reports that the engine drains, and lets it exit after `notice`.
    pub fn drain(self: &Arc<EngineState>, notice: Duration) {
        *self.exits_at.lock().expect("not poisoned") = Some(Instant::now() + notice);
        *self.drained_at.lock().expect("not poisoned") = Some(Instant::now());
        self.register();
        self.world.record.note(format_args!(
            "engine {} drains, accepted by the store; it exits in {} ms; it runs {:?}",
            self.id,
            notice.as_millis(),
            self.attempts()
        ));
        let state = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(notice);
            let left = state.attempts();
            state.world.record.note(format_args!("engine {} exits; it ran {left:?}", state.id));
            state.world.store.put("keyed.servers", &state.id, None);
            state.end();
        });
    }

    /// Ends the process of the engine: nothing listens any more, and all channels are closed.
    fn end(&self) {
        self.is_dead.store(true, Ordering::SeqCst);
        for socket in self.sockets.lock().expect("not poisoned").drain(..) {
            // Fails if the peer has closed the channel.
            drop(socket.shutdown(Shutdown::Both));
        }
    }

    fn accept(self: &Arc<EngineState>, listener: &TcpListener) {
        while !self.is_dead() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let state = Arc::clone(self);
                    thread::spawn(move || state.serve(stream));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(Duration::from_millis(1));
                }
                Err(_) => return,
            }
        }
    }

    fn serve(self: &Arc<EngineState>, stream: TcpStream) {
        if stream.set_nonblocking(false).is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        {
            let mut sockets = self.sockets.lock().expect("not poisoned");
            if self.is_dead() {
                return;
            }
            sockets.push(kept);
        }
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if self.is_dead() || !self.answer(&request, &mut writer) {
                break;
            }
        }
        // The clone among the sockets keeps the channel open otherwise.
        drop(writer.shutdown(Shutdown::Both));
    }

    /// Answers a request. Returns whether the channel stays open.
    fn answer(self: &Arc<EngineState>, request: &Message, writer: &mut TcpStream) -> bool {
        let (method, target) = request.target();
        let json = [("Content-Type", "application/json")];
        let answer = match (method, target) {
            ("GET", "/dragonflycart/report") => response(200, &json, self.report().as_bytes()),
            ("GET", "/health") => {
                let status = if self.is_draining() { 503 } else { 200 };
                let cold = self.cold_left().as_millis().to_string();
                response(status, &[("Instance-Id", &self.id), ("Cold-Ms", &cold)], b"")
            }
            ("POST", "/dragonflycart/kv-move") => self.copy_memory(request),
            ("DELETE", target) if target.starts_with("/dragonflycart/kv-handle/") => {
                let handle = target.rsplit('/').next().unwrap_or("");
                let key = format!("{}/{handle}", self.address);
                self.world.copies.lock().expect("not poisoned").remove(&key);
                response(200, &[], b"")
            }
            (_, target) if target.starts_with("/dragonflycart/") => response(404, &[], b""),
            _ => return self.run(request, writer),
        };
        writer.write_all(&answer).is_ok()
    }

    fn report(&self) -> String {
        let runs = self.runs.lock().expect("not poisoned");
        let rows: Vec<String> = runs
            .iter()
            .map(|(attempt, run)| {
                let events = run.events.load(Ordering::SeqCst);
                format!("[\"{attempt}\",{},{events},4]", run.tokens())
            })
            .collect();
        let used: u64 = runs.values().map(|run| run.tokens()).sum();
        let exits_at = *self.exits_at.lock().expect("not poisoned");
        let leaves = exits_at.map_or_else(String::new, |at| {
            let left = at.saturating_duration_since(Instant::now()) + REPORT_AGE;
            format!("\"leaves_ms\":{},", left.as_millis())
        });
        let state = if self.is_draining() { "draining" } else { "ready" };
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"sequence\":0,\"queue_depth\":0,\"active_requests\":{},\
             \"kv_used\":{used},\"kv_total\":{MEMORY_TOKENS},\"handles\":0,\"pinned\":0,\"held\":0,\
             \"state\":\"{state}\",{leaves}\"next\":0,\"runs\":[{}],\"born\":{}}}",
            rows.len(),
            rows.join(","),
            self.born_ms
        )
    }

    /// Copies the memory of a run to another engine.
    fn copy_memory(self: &Arc<EngineState>, request: &Message) -> Vec<u8> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let attempt = json_field(&body, "id").unwrap_or_default();
        let target = json_field(&body, "target").and_then(|text| text.parse().ok());
        let is_last = json_field(&body, "last").as_deref() == Some("true");
        let run = self.runs.lock().expect("not poisoned").get(&attempt).cloned();
        let (Some(run), Some(target)) = (run, target) else { return response(404, &[], b"{}") };
        if run.is_copying.swap(true, Ordering::SeqCst) {
            return response(409, &[], b"{}");
        }
        let record = &self.world.record;
        if is_last {
            // The run stops first, and its stream is closed without its end.
            run.must_stop.store(true, Ordering::SeqCst);
            while !run.has_stopped.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(1));
            }
            record.note(format_args!(
                "engine {} stops {attempt} after {} events to move it",
                self.id,
                run.events.load(Ordering::SeqCst)
            ));
        }
        let known = {
            let copies = self.world.copies.lock().expect("not poisoned");
            let is_known =
                |copy: &&MemoryCopy| copy.attempt == attempt && copy.holders.contains(&target);
            let handles = copies.iter().find(|(_, copy)| is_known(copy));
            handles.map(|(key, copy)| (key.clone(), copy.tokens))
        };
        let tokens = run.tokens();
        let missing = tokens - known.as_ref().map_or(0, |(_, tokens)| *tokens).min(tokens);
        thread::sleep(TOKEN_COPY_TIME * u32::try_from(missing).unwrap_or(u32::MAX));
        let key = known.map_or_else(
            || {
                let number = self.world.next_handle.fetch_add(1, Ordering::SeqCst);
                format!("{}/h{number}", self.address)
            },
            |(key, _)| key,
        );
        let handle = key.rsplit('/').next().unwrap_or("").to_owned();
        let reached = self.world.engine_at(target).filter(|engine| !engine.is_dead());
        let mut holders = vec![];
        if is_last {
            holders.push(self.address);
        }
        if reached.is_some() {
            holders.push(target);
        }
        let copy = MemoryCopy { attempt: attempt.clone(), holders, tokens };
        self.world.copies.lock().expect("not poisoned").insert(key, copy);
        run.is_copying.store(false, Ordering::SeqCst);
        let created = run.events.load(Ordering::SeqCst);
        let status = if reached.is_some() { 200 } else { 503 };
        record.note(format_args!(
            "engine {} copies {attempt} to {}, last: {is_last}, {status}",
            self.id,
            reached.map_or_else(|| target.to_string(), |engine| engine.id.clone())
        ));
        let text = if status == 200 || is_last {
            format!("{{\"handle\":\"{handle}\",\"created\":{created}}}")
        } else {
            "{}".to_owned()
        };
        response(status, &[("Content-Type", "application/json")], text.as_bytes())
    }

    fn refuse(&self, status: u16, attempt: &str) -> Vec<u8> {
        let headers =
            [("Not-Executed", "1"), ("Attempt-Id", attempt), ("Instance-Id", self.id.as_str())];
        response(status, &headers, b"")
    }

    /// Runs a request and writes its stream. Returns whether the channel stays open.
    fn run(self: &Arc<EngineState>, request: &Message, writer: &mut TcpStream) -> bool {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        if request.header("expect-instance").is_some_and(|id| id != self.id) {
            return writer.write_all(&self.refuse(421, &attempt)).is_ok();
        }
        let counts = request.header("token-usage").unwrap_or("");
        let mut counts = counts.split(',').filter_map(|text| text.parse::<u64>().ok());
        let (Some(prompt_tokens), Some(limit), false) =
            (counts.next(), counts.next(), attempt.is_empty())
        else {
            return writer.write_all(&self.refuse(400, &attempt)).is_ok();
        };
        let from = request.header("kv-from").map(str::to_owned);
        let arrival = (Instant::now(), self.id.clone(), attempt.clone(), from.is_some());
        self.world.arrivals.lock().expect("not poisoned").push(arrival);
        self.world.record.note(format_args!(
            "engine {} receives {attempt}, parts {}, goes on from {from:?}",
            self.id,
            request.header("prompt-prefix").unwrap_or("")
        ));
        self.check_cold_rate();
        if self.is_dead() {
            return false;
        }
        if let Some(from) = &from {
            let mut copies = self.world.copies.lock().expect("not poisoned");
            let is_held = copies.get(from).is_some_and(|copy| {
                copy.attempt == attempt && copy.holders.contains(&self.address)
            });
            if !is_held {
                return writer.write_all(&self.refuse(503, &attempt)).is_ok();
            }
            copies.remove(from);
        }
        // A runner stops work at the value that it receives.
        let limit_ms = request.header("deadline-ms").and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(limit_ms.unwrap_or(u64::MAX >> 24));
        let next = match (&from, request.header("last-event-id")) {
            (Some(_), Some(last)) => last.parse::<u64>().map_or(0, |last| last + 1),
            _ => 0,
        };
        let run = Arc::new(Run {
            prompt_tokens,
            events: AtomicU64::new(next),
            deadline,
            must_stop: AtomicBool::new(false),
            has_stopped: AtomicBool::new(false),
            is_copying: AtomicBool::new(false),
        });
        self.runs.lock().expect("not poisoned").insert(attempt.clone(), Arc::clone(&run));
        thread::sleep(if from.is_some() { RESUME_TIME } else { PREFILL_TIME });
        let parts = request.header("prompt-prefix").unwrap_or("").split(',');
        let makes_crash = self.options.crash_part.as_ref().is_some_and(|bad| {
            parts.into_iter().filter_map(|entry| entry.split(':').next()).any(|part| part == bad)
        });
        if makes_crash && self.options.head_lead.is_none() {
            // Fails if the caller has left, and then the engine crashes all the same.
            drop(writer.write_all(&b"HTTP/1.1 200 Status\r\n"[..BYTES_BEFORE_CRASH]));
            self.crash_on(&attempt);
        }
        let started = Instant::now();
        let backup = request.header("kv-backup").map(|address| format!("{address}/{attempt}"));
        let is_whole = self
            .write_stream(&run, &attempt, limit / TOKENS_PER_EVENT, backup, makes_crash, writer)
            .is_some();
        // A channel that ends with its answer is closed before the run counts as stopped.
        let is_kept = is_whole && self.options.framing == Framing::Chunked;
        if !is_kept {
            drop(writer.shutdown(Shutdown::Both));
        }
        run.has_stopped.store(true, Ordering::SeqCst);
        let work = (self.id.clone(), attempt.clone(), started, Instant::now());
        self.world.work.lock().expect("not poisoned").push(work);
        let events = run.events.load(Ordering::SeqCst);
        if !run.must_stop.load(Ordering::SeqCst) {
            self.runs.lock().expect("not poisoned").remove(&attempt);
        }
        self.world.record.note(format_args!(
            "engine {} ends {attempt} after {events} events, whole: {is_whole}",
            self.id
        ));
        is_kept
    }

    fn crash_on(&self, attempt: &str) {
        if self.is_dead() {
            return;
        }
        self.world.record.note(format_args!("engine {} crashes on {attempt}", self.id));
        self.world.crashes.lock().expect("not poisoned").push(Instant::now());
        self.end();
    }

    /// Writes the events of a run. Returns `None` if the stream ends before its last event.
    fn write_stream(
        &self,
        run: &Run,
        attempt: &str,
        total: u64,
        backup: Option<String>,
        makes_crash: bool,
        writer: &mut TcpStream,
    ) -> Option<()> {
        let is_chunked = self.options.framing == Framing::Chunked;
        let framing = if is_chunked { "Transfer-Encoding: chunked" } else { "Connection: close" };
        let mut pending = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s\r\n\
             Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n"
        );
        if let Some(lead) = self.options.head_lead {
            writer.write_all(pending.as_bytes()).ok()?;
            pending.clear();
            thread::sleep(lead);
        }
        for number in run.events.load(Ordering::SeqCst)..total {
            if self.is_dead() || run.is_over() {
                return None;
            }
            let event = format!("id: {number}\ndata: {attempt} event {number} of {total}\n\n");
            if is_chunked {
                pending.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            } else {
                pending.push_str(&event);
            }
            if writer.write_all(pending.as_bytes()).is_err() && self.options.drops_requests {
                return None;
            }
            pending.clear();
            if makes_crash {
                self.crash_on(attempt);
            }
            run.events.store(number + 1, Ordering::SeqCst);
            if let Some(key) = backup.as_ref().filter(|_| number % EVENTS_PER_BACKUP == 0) {
                self.back_up(key, attempt, run);
            }
            thread::sleep(self.options.event_time);
        }
        if self.is_dead() || run.is_over() {
            return None;
        }
        if let Some(key) = &backup {
            self.world.copies.lock().expect("not poisoned").remove(key);
        }
        if is_chunked {
            pending.push_str("0\r\n\r\n");
        }
        writer.write_all(pending.as_bytes()).ok()
    }

    fn back_up(&self, key: &str, attempt: &str, run: &Run) {
        let address = key.split('/').next().and_then(|text| text.parse().ok());
        let holder = address.and_then(|address| self.world.engine_at(address));
        let Some(holder) = holder.filter(|holder| !holder.is_dead()) else { return };
        let copy = MemoryCopy {
            attempt: attempt.to_owned(),
            holders: vec![holder.address],
            tokens: run.tokens(),
        };
        self.world.copies.lock().expect("not poisoned").insert(key.to_owned(), copy);
    }
}
