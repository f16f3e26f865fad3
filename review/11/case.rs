//! An engine that is slow, and whose queue of new channels is full, can't be told on a new channel to
//! stop its generations.

#[path = "../standin-3/lib.rs"]
mod standin;

use std::{
    collections::BTreeMap,
    ffi::c_int,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use standin::{
    BROKEN, Gateway, HELD, Message, NOT_RUN, Record, Store, Wire, free_port, has_trouble, manifest,
    registration, respond, route, temporary_folder,
};

unsafe extern "C" {
    fn listen(socket: c_int, backlog: c_int) -> c_int;
}

/// One of seven engines is slow: a share of 0.143.
const ENGINES: usize = 7;
const STREAMS: usize = 28;
/// Events of a stream. Every fourth one is so short that no copy of its memory is made.
const EVENTS: u64 = 60;
const FEW_EVENTS: u64 = 25;
const TOKENS_PER_EVENT: u64 = 4;
const EVENT_TIME: Duration = Duration::from_millis(100);
/// How many times as long an engine works while it is slow, and for how long it is.
const SLOWNESS: u32 = 8;
const SLOW_TIME: Duration = Duration::from_millis(6_500);
/// Time for which its queue of new channels is full.
const FULL_TIME: Duration = Duration::from_millis(4_000);
/// Time for which two engines may work on one generation.
const OVERLAP: Duration = Duration::from_millis(400);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Work of one engine on one attempt.
#[derive(Debug, Clone)]
struct Work {
    engine: String,
    began: Instant,
    ended: Option<Instant>,
}

/// What all engines share: copies by address and attempt, and the work on each attempt.
struct Fleet {
    record: Record,
    copies: Mutex<BTreeMap<(String, String), u64>>,
    work: Mutex<BTreeMap<String, Vec<Work>>>,
}

struct Engine {
    id: String,
    address: SocketAddr,
    fleet: Arc<Fleet>,
    /// Running generations, with their number of events.
    runs: Mutex<BTreeMap<String, u64>>,
    is_slow: AtomicBool,
    is_full: AtomicBool,
}

impl Engine {
    fn start(number: usize, fleet: &Arc<Fleet>) -> Arc<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        // SAFETY: the descriptor is open; a second call only sets the length of the queue.
        unsafe { listen(listener.as_raw_fd(), 1) };
        let engine = Arc::new(Engine {
            id: format!("i-engine-{number}"),
            address: listener.local_addr().unwrap(),
            fleet: Arc::clone(fleet),
            runs: Mutex::default(),
            is_slow: AtomicBool::new(false),
            is_full: AtomicBool::new(false),
        });
        let served = Arc::clone(&engine);
        thread::spawn(move || {
            loop {
                while served.is_full.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(5));
                }
                let Ok((stream, _)) = listener.accept() else { continue };
                let engine = Arc::clone(&served);
                thread::spawn(move || {
                    let mut wire = Wire::new(stream);
                    while let Some(request) = wire.message(false) {
                        if !engine.answer(&mut wire, &request) {
                            return;
                        }
                    }
                });
            }
        });
        engine
    }

    fn answer(self: &Arc<Engine>, wire: &mut Wire, request: &Message) -> bool {
        match request.target() {
            "/health" => return respond(wire, 200, &format!("instance-id: {}\r\n", self.id), b""),
            "/dragonflycart/report" => return respond(wire, 200, "", b"{\"state\":\"ready\"}"),
            "/dragonflycart/kv-move" => return self.move_memory(wire, request),
            target if target.starts_with("/dragonflycart/") => return respond(wire, 200, "", b""),
            _ => {}
        }
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        let refusal = format!("attempt-id: {attempt}\r\nnot-executed: 1\r\n");
        if request.header("expect-instance").is_some_and(|id| id != self.id) {
            return respond(wire, 421, &refusal, b"");
        }
        let mut made = 0;
        if let Some(from) = request.header("kv-from") {
            let (address, id) = from.split_once('/').unwrap_or(("", ""));
            let key = (address.to_owned(), id.to_owned());
            match self.fleet.copies.lock().unwrap().remove(&key) {
                Some(count) if address == self.address.to_string() => made = count,
                _ => return respond(wire, 503, &refusal, b""),
            }
        }
        let next = request.header("last-event-id").and_then(|text| text.parse::<u64>().ok());
        let next = next.map_or(0, |last| last + 1);
        let backup = request.header("kv-backup").map(str::to_owned);
        let usage = request.header("token-usage").and_then(|text| text.split_once(','));
        let tokens = usage.and_then(|(_, tokens)| tokens.parse::<u64>().ok()).unwrap_or(0);
        let total = tokens / TOKENS_PER_EVENT;
        self.generate(wire, &attempt, (made.max(next), next, total), backup)
    }

    fn move_memory(&self, wire: &mut Wire, request: &Message) -> bool {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let id = body.split("\"id\":\"").nth(1).and_then(|rest| rest.split('"').next());
        let id = id.unwrap_or("").to_owned();
        let is_last = body.contains("\"last\":true");
        let mut runs = self.runs.lock().unwrap();
        let Some(made) = runs.get(&id).copied() else {
            drop(runs);
            return respond(wire, 404, "", b"");
        };
        if is_last {
            runs.remove(&id);
            self.fleet.record.note(&format!("{} is told to stop {id}", self.id));
        }
        drop(runs);
        let handle = format!("{{\"handle\":\"h-{id}\",\"created\":{made}}}");
        respond(wire, 503, "content-type: application/json\r\n", handle.as_bytes())
    }

    /// Makes events until the generation is complete or stopped. It goes on if its channel closes.
    fn generate(
        &self,
        wire: &mut Wire,
        attempt: &str,
        (made, next, total): (u64, u64, u64),
        backup: Option<String>,
    ) -> bool {
        let fleet = &self.fleet;
        fleet.record.note(&format!("{} begins {attempt} at event {made}", self.id));
        self.runs.lock().unwrap().insert(attempt.to_owned(), made);
        let index = {
            let mut work = fleet.work.lock().unwrap();
            let work = work.entry(attempt.to_owned()).or_default();
            work.push(Work { engine: self.id.clone(), began: Instant::now(), ended: None });
            work.len() - 1
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-signature: {}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        );
        let mut is_open = wire.stream.write_all(head.as_bytes()).is_ok();
        let mut is_stopped = false;
        for number in next..total {
            if number >= made {
                let slowness = if self.is_slow.load(Ordering::Relaxed) { SLOWNESS } else { 1 };
                let end = Instant::now() + EVENT_TIME * slowness;
                while Instant::now() < end && !is_stopped {
                    thread::sleep(Duration::from_millis(10));
                    is_stopped = !self.runs.lock().unwrap().contains_key(attempt);
                }
                if is_stopped {
                    break;
                }
                self.runs.lock().unwrap().insert(attempt.to_owned(), number + 1);
                if let Some(address) = &backup {
                    let key = (address.clone(), attempt.to_owned());
                    fleet.copies.lock().unwrap().insert(key, number + 1);
                }
            }
            let event = format!("id: {number}\ndata: token\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_open = is_open && wire.stream.write_all(chunk.as_bytes()).is_ok();
            if self.is_full.load(Ordering::Relaxed) && backup.is_none() {
                fleet.record.note(&format!("{} sends event {number} of {attempt}", self.id));
            }
        }
        self.runs.lock().unwrap().remove(attempt);
        fleet.work.lock().unwrap().get_mut(attempt).unwrap()[index].ended = Some(Instant::now());
        let outcome = if is_stopped { "stops" } else { "completes" };
        fleet.record.note(&format!("{} {outcome} {attempt}", self.id));
        !is_stopped && is_open && wire.stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn main() {
    exit(play());
}

fn play() -> i32 {
    let record = Record::create(Path::new("review/11/record.txt"));
    let folder = temporary_folder("review-11");
    let store = Store::start();
    let routes = [route("ask", "streaming", "engines", 30_000, 1)];
    store.put("keyed.op", "config", Some(&manifest(1, &routes)));
    let fleet = Arc::new(Fleet {
        record: record.clone(),
        copies: Mutex::default(),
        work: Mutex::default(),
    });
    let engines: Vec<Arc<Engine>> = (0..ENGINES).map(|number| Engine::start(number, &fleet)).collect();
    let (registrar, registered) = (store.clone(), engines.clone());
    thread::spawn(move || {
        for sequence in 1.. {
            for engine in &registered {
                let value = registration("engines", engine.address, 24, "v1", 1, sequence);
                registrar.put("keyed.servers", &engine.id, Some(&value));
            }
            thread::sleep(HEARTBEAT);
        }
    });
    let peer = free_port("127.0.0.1");
    let Some(mut gateway) =
        Gateway::start(&record, &folder, "vm-0", "127.0.0.1", peer, store.address)
    else {
        return NOT_RUN;
    };
    thread::sleep(Duration::from_secs(4));
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (record, front) = (record.clone(), gateway.front);
        clients.push(thread::spawn(move || read_stream(&record, front, number)));
        thread::sleep(Duration::from_millis(60));
    }
    thread::sleep(Duration::from_millis(700));
    // The engine has long streams and a short one, which shows that the machine reaches it.
    let is_short = |id: &String| id[2..].parse::<usize>().is_ok_and(|number| number % 4 == 3);
    let mixed = engines.iter().filter(|engine| {
        let runs = engine.runs.lock().unwrap();
        runs.keys().any(is_short) && !runs.keys().all(is_short)
    });
    let Some(busiest) = mixed.max_by_key(|engine| engine.runs.lock().unwrap().len()) else {
        record.note("no engine has streams of both kinds");
        return NOT_RUN;
    };
    record.note(&format!("{} runs {}", busiest.id, busiest.runs.lock().unwrap().len()));
    if has_trouble() {
        record.note(&format!("{} is slow, and its queue of new channels is full", busiest.id));
        busiest.is_slow.store(true, Ordering::Relaxed);
        busiest.is_full.store(true, Ordering::Relaxed);
        // Channels of other callers fill the queue. One is taken by the call that is in accept.
        let others: Vec<_> = (0..4)
            .filter_map(|_| {
                TcpStream::connect_timeout(&busiest.address, Duration::from_millis(100)).ok()
            })
            .collect();
        let engine = Arc::clone(busiest);
        thread::spawn(move || {
            thread::sleep(FULL_TIME);
            drop(others);
            engine.is_full.store(false, Ordering::Relaxed);
            engine.fleet.record.note("its queue has room again");
            thread::sleep(SLOW_TIME - FULL_TIME);
            engine.is_slow.store(false, Ordering::Relaxed);
        });
    }
    let whole = clients.into_iter().filter_map(|client| client.join().ok()).filter(|whole| *whole);
    record.note(&format!("{} of {STREAMS} streams arrived whole", whole.count()));
    thread::sleep(Duration::from_secs(1));
    let mut longest = Duration::ZERO;
    for (attempt, work) in fleet.work.lock().unwrap().iter() {
        for (index, later) in work.iter().enumerate().skip(1) {
            let before = &work[index - 1];
            let end = before.ended.unwrap_or_else(Instant::now);
            let overlap = end.saturating_duration_since(later.began);
            record.note(&format!(
                "{attempt}: {} worked on for {} ms after {} had begun",
                before.engine,
                overlap.as_millis(),
                later.engine
            ));
            longest = longest.max(overlap);
        }
    }
    let is_alive = gateway.process.is_alive();
    if std::env::var("KEEP_LOGS").is_ok() {
        record.note(&format!("logs: {}", folder.display()));
    } else {
        let _ = std::fs::remove_dir_all(folder);
    }
    drop(gateway);
    if !is_alive {
        return NOT_RUN;
    }
    let is_broken = longest > OVERLAP;
    record.note(if is_broken { "broken: TWICE" } else { "held" });
    if is_broken { BROKEN } else { HELD }
}

/// Reads one stream. Returns whether it arrived whole.
fn read_stream(record: &Record, front: SocketAddr, number: usize) -> bool {
    let events_wanted = if number % 4 == 3 { FEW_EVENTS } else { EVENTS };
    let request = format!(
        "POST /ask/x HTTP/1.1\r\nhost: desk.example\r\nattempt-id: s-{number}\r\nmodel: m\r\n\
         token-usage: 900,{tokens}\r\nlength-hint: {tokens}\r\nprompt-prefix: 5a:200,{number:x}:700\r\n\
         deadline-ms: 30000\r\nauthorization: Token key\r\ncontent-length: 6\r\n\r\nprompt",
        tokens = events_wanted * TOKENS_PER_EVENT
    );
    let response = standin::send(front, request.as_bytes(), Duration::from_secs(15));
    let events = response.as_ref().map_or(0, |response| {
        String::from_utf8_lossy(&response.body).matches("id: ").count()
    });
    let is_whole = response.is_some_and(|response| response.is_whole) && events as u64 == events_wanted;
    record.note(&format!("s-{number}: {events} of {events_wanted} events, whole: {is_whole}"));
    is_whole
}
