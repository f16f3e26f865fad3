//! Engines that crash when they begin to write an answer on a part of the prompt, and are started
//! again some seconds later; and a caller of them.

use std::{
    collections::BTreeSet,
    io::Write,
    net::SocketAddr,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::standin::{
    Message, Record, Store, Wire, announce_listener, registration, respond, send,
    serve, start_standin,
};

/// Part that crashes engines.
pub const CRASHING: &str = "c9d3e090";
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// An engine that ended is back after this time; its registration lapses after three check-ins.
const RESTART: Duration = Duration::from_millis(4_000);
const LAPSE: Duration = Duration::from_millis(3_600);

/// Serves as an engine process. `mode` is `crashing`, or `sound` if no part crashes the engine.
pub fn run_engine(mode: &str, id: &str) {
    let can_crash = mode == "crashing";
    let listener = announce_listener();
    let id = id.to_owned();
    serve(listener, move |wire, request| answer(&id, can_crash, wire, &request));
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn answer(engine: &str, can_crash: bool, wire: &mut Wire, request: &Message) -> bool {
    if request.target() == "/health" {
        return respond(wire, 200, &format!("instance-id: {engine}\r\n"), b"");
    }
    if request.target() == "/dragonflycart/report" {
        return respond(wire, 200, "content-type: application/json\r\n", b"{\"state\":\"ready\"}");
    }
    if request.target().starts_with("/dragonflycart/") {
        return respond(wire, 404, "", b"");
    }
    let attempt = request.header("attempt-id").unwrap_or("").to_owned();
    if request.header("expect-instance").is_some_and(|id| id != engine) {
        let headers = format!("attempt-id: {attempt}\r\nnot-executed: 1\r\n");
        return respond(wire, 421, &headers, b"");
    }
    let prefix = request.header("prompt-prefix").unwrap_or("");
    let crashes = can_crash && prefix.split(',').any(|part| part.starts_with(CRASHING));
    println!("run {attempt}");
    thread::sleep(Duration::from_millis(100));
    let head = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-signature: {engine}\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    if wire.stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    if crashes {
        exit(1);
    }
    for number in 0..10 {
        let event = format!("id: {number}\ndata: token\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if wire.stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(Duration::from_millis(30));
    }
    wire.stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Engines of a deployment.
pub struct Engines {
    shared: Arc<Shared>,
    keepers: Vec<thread::JoinHandle<()>>,
}

struct Shared {
    program: String,
    mode: &'static str,
    record: Record,
    store: Store,
    crashes: Mutex<Vec<Instant>>,
    runs: Mutex<BTreeSet<String>>,
    born: AtomicU64,
    is_over: AtomicBool,
}

impl Engines {
    /// Starts engines, which are kept running.
    pub fn start(
        program: &str,
        record: &Record,
        store: &Store,
        count: usize,
        can_crash: bool,
    ) -> Engines {
        let shared = Arc::new(Shared {
            program: program.to_owned(),
            mode: if can_crash { "crashing" } else { "sound" },
            record: record.clone(),
            store: store.clone(),
            crashes: Mutex::default(),
            runs: Mutex::default(),
            born: AtomicU64::new(1),
            is_over: AtomicBool::new(false),
        });
        let keep = |slot| {
            let shared = Arc::clone(&shared);
            thread::spawn(move || shared.keep(slot))
        };
        let keepers = (0..count).map(keep).collect();
        Engines { shared, keepers }
    }

    /// Returns the times of the crashes.
    pub fn crashes(&self) -> Vec<Instant> {
        self.shared.crashes.lock().unwrap().clone()
    }

    /// Returns the attempts that have run.
    pub fn runs(&self) -> BTreeSet<String> {
        self.shared.runs.lock().unwrap().clone()
    }

    /// Ends all engines.
    pub fn close(self) {
        self.shared.is_over.store(true, Ordering::Relaxed);
        for keeper in self.keepers {
            let _ = keeper.join();
        }
    }
}

impl Shared {
    fn keep(self: &Arc<Shared>, slot: usize) {
        loop {
            let born = self.born.fetch_add(1, Ordering::Relaxed);
            let id = format!("i-engine-{slot}-{born}");
            let Some((mut process, address, output)) =
                start_standin(&self.program, &[self.mode, &id])
            else {
                self.record.note(&format!("{id} can't be started"));
                return;
            };
            let (shared, name) = (Arc::clone(self), id.clone());
            thread::spawn(move || {
                for line in output.map_while(Result::ok) {
                    if let Some(attempt) = line.strip_prefix("run ") {
                        shared.record.note(&format!("{name} runs {attempt}"));
                        shared.runs.lock().unwrap().insert(attempt.to_owned());
                    }
                }
            });
            let mut sequence = 0;
            let mut next_beat = Instant::now() + Duration::from_millis(100);
            while process.is_alive() {
                if self.is_over.load(Ordering::Relaxed) {
                    return;
                }
                if Instant::now() >= next_beat {
                    sequence += 1;
                    let value = registration("engines", address, 24, "v1", born, sequence);
                    self.store.put("keyed.servers", &id, Some(&value));
                    next_beat += HEARTBEAT;
                }
                thread::sleep(Duration::from_millis(5));
            }
            self.record.note(&format!("{id} has crashed"));
            self.crashes.lock().unwrap().push(Instant::now());
            self.wait(LAPSE);
            self.store.put("keyed.servers", &id, None);
            self.wait(RESTART - LAPSE);
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
        }
    }

    fn wait(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end && !self.is_over.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Caller of the engines' route.
pub struct Sender {
    pub record: Record,
    pub fronts: Vec<SocketAddr>,
    /// Requests with the time at which they were sent.
    pub sent: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl Sender {
    /// Sends a request on a new channel to the next machine in turn.
    #[allow(dead_code)]
    pub fn send(&self, id: &str, prefix: &str) {
        let number = self.sent.lock().unwrap().len();
        self.send_to(number / 2, id, prefix);
    }

    /// Sends a request on a new channel to a machine, of which `number` is taken modulo their count.
    pub fn send_to(&self, number: usize, id: &str, prefix: &str) {
        self.sent.lock().unwrap().push((id.to_owned(), Instant::now()));
        let front = self.fronts[number % self.fronts.len()];
        let (record, id, prefix) = (self.record.clone(), id.to_owned(), prefix.to_owned());
        let tokens: u32 = prefix
            .split(',')
            .filter_map(|part| part.split_once(':')?.1.parse::<u32>().ok())
            .sum();
        let request = format!(
            "POST /ask/x HTTP/1.1\r\nhost: desk.example\r\nattempt-id: {id}\r\nmodel: m\r\n\
             token-usage: {tokens},40\r\nprompt-prefix: {prefix}\r\ndeadline-ms: 6000\r\n\
             authorization: Token key\r\ncontent-length: 6\r\n\r\nprompt"
        );
        thread::spawn(move || {
            let response = send(front, request.as_bytes(), Duration::from_secs(7));
            let text = response.as_ref().map_or("no answer".to_owned(), |response| {
                format!(
                    "{}, whole: {}, retry-after {:?}",
                    response.status(),
                    response.is_whole,
                    response.header("retry-after")
                )
            });
            let shown: String = prefix.chars().take(40).collect();
            record.note(&format!("{id} ({shown}): {text}"));
        });
    }
}
