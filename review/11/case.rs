//! A runner that answers without a length is killed in the middle of its answer.

#[path = "../standin-3/lib.rs"]
mod standin;

use std::{
    io::Write,
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use standin::{
    BROKEN, Gateway, HELD, Message, NOT_RUN, Process, Record, Store, Wire, announce_listener,
    free_port, has_trouble, manifest, registration, respond, route, send, serve, start_standin,
    temporary_folder,
};

/// Pieces of an answer, the size of one and the pause between two: an answer takes a second.
const PIECES: usize = 40;
const PIECE_BYTES: usize = 512;
const PIECE_PAUSE: Duration = Duration::from_millis(25);
/// Time from the requests to the kill.
const KILL_AFTER: Duration = Duration::from_millis(500);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const REQUESTS: usize = 12;
/// One of six runners is killed: a share of 0.167.
const RUNNERS: usize = 6;

fn piece(id: &str, number: usize) -> String {
    format!("{:<width$}\n", format!("{id} piece {number}"), width = PIECE_BYTES - 1)
}

fn whole_body(id: &str) -> String {
    (0..PIECES).map(|number| piece(id, number)).collect()
}

/// Runner process: prints a line for each run.
fn run_runner(id: &str) {
    let listener = announce_listener();
    let id = id.to_owned();
    serve(listener, move |wire, request| answer(&id, wire, &request));
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn answer(runner: &str, wire: &mut Wire, request: &Message) -> bool {
    if request.target() == "/health" {
        return respond(wire, 200, &format!("instance-id: {runner}\r\n"), b"");
    }
    let attempt = request.header("attempt-id").unwrap_or("").to_owned();
    if request.header("expect-instance").is_some_and(|id| id != runner) {
        let headers = format!("attempt-id: {attempt}\r\nnot-executed: 1\r\n");
        return respond(wire, 421, &headers, b"");
    }
    println!("{runner} runs {attempt}");
    let head =
        format!("HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-signature: {runner}\r\n\r\n");
    if wire.stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in 0..PIECES {
        if wire.stream.write_all(piece(&attempt, number).as_bytes()).is_err() {
            return false;
        }
        thread::sleep(PIECE_PAUSE);
    }
    println!("{runner} has answered {attempt}");
    // Without a length, the answer ends with its channel.
    false
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, role, id] = &arguments[..]
        && role == "runner"
    {
        return run_runner(id);
    }
    exit(play(&arguments[0]));
}

/// Runners of the runs so far, in order.
type Runs = Arc<Mutex<Vec<String>>>;

/// Runner process with its check-ins.
struct Runner {
    id: String,
    process: Process,
    is_alive: Arc<AtomicBool>,
}

impl Runner {
    fn start(
        program: &str,
        id: &str,
        record: &Record,
        store: &Store,
        runs: &Runs,
    ) -> Option<Runner> {
        let (process, address, output) = start_standin(program, &["runner", id])?;
        let (log, runs, name) = (record.clone(), Arc::clone(runs), id.to_owned());
        thread::spawn(move || {
            for line in output.map_while(Result::ok) {
                if line.contains(" runs ") {
                    runs.lock().unwrap().push(name.clone());
                }
                log.note(&line);
            }
        });
        let is_alive = Arc::new(AtomicBool::new(true));
        let (store, alive, name) = (store.clone(), Arc::clone(&is_alive), id.to_owned());
        thread::spawn(move || {
            let mut sequence = 0;
            while alive.load(Ordering::Relaxed) {
                sequence += 1;
                let value = registration("desk", address, 6, "v1", 1, sequence);
                store.put("keyed.servers", &name, Some(&value));
                thread::sleep(HEARTBEAT);
            }
        });
        Some(Runner { id: id.to_owned(), process, is_alive })
    }
}

fn play(program: &str) -> i32 {
    let record = Record::create(Path::new("review/11/record.txt"));
    let folder = temporary_folder("review-11");
    let store = Store::start();
    let routes = [route("look", "idempotent", "desk", 5_000, 2)];
    store.put("keyed.op", "config", Some(&manifest(1, &routes)));
    let runs: Runs = Arc::default();
    let mut runners = Vec::new();
    for number in 0..RUNNERS {
        match Runner::start(program, &format!("i-desk-{number}"), &record, &store, &runs) {
            Some(runner) => runners.push(runner),
            None => return NOT_RUN,
        }
    }
    thread::sleep(Duration::from_millis(300));
    let Some(gateway) =
        Gateway::start(&record, &folder, "vm-0", "127.0.0.1", free_port("127.0.0.1"), store.address)
    else {
        return NOT_RUN;
    };
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let (answers, record, front) = (Arc::clone(&answers), record.clone(), gateway.front);
        clients.push(thread::spawn(move || {
            let id = format!("a-{number}");
            record.note(&format!("client sends {id}"));
            let request = format!(
                "GET /look/x HTTP/1.1\r\nhost: desk.example\r\nattempt-id: {id}\r\n\
                 deadline-ms: 4000\r\nauthorization: Token key\r\n\r\n"
            );
            let response = send(front, request.as_bytes(), Duration::from_secs(5));
            answers.lock().unwrap().push((id, response));
        }));
    }
    thread::sleep(KILL_AFTER);
    let Some(victim) = runs.lock().unwrap().first().cloned() else { return NOT_RUN };
    if has_trouble() {
        for runner in runners.iter_mut().filter(|runner| runner.id == victim) {
            record.note(&format!("{victim} is killed"));
            runner.is_alive.store(false, Ordering::Relaxed);
            runner.process.kill();
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let mut result = HELD;
    let mut successes = 0;
    for (id, response) in answers.lock().unwrap().iter() {
        let Some(response) = response else {
            record.note(&format!("{id}: the channel closed without an answer"));
            continue;
        };
        let whole = whole_body(id);
        let is_whole = response.body == whole.as_bytes();
        record.note(&format!(
            "{id}: status {}, signature {:?}, content-length {:?}, body of {} of {} bytes, ended as framed: {}",
            response.status(),
            response.header("response-signature"),
            response.header("content-length"),
            response.body.len(),
            whole.len(),
            response.is_framed && response.is_whole,
        ));
        if response.status() != 200 {
            continue;
        }
        if is_whole {
            successes += 1;
        } else if response.is_framed && response.is_whole {
            record.note(&format!("{id}: MIXED is broken: an answer that ended early looks complete"));
            result = BROKEN;
        }
    }
    if !has_trouble() && successes != REQUESTS {
        record.note("without the disruption, not all answers are whole");
        result = BROKEN;
    }
    drop(gateway);
    drop(runners);
    let _ = std::fs::remove_dir_all(folder);
    record.note(if result == HELD { "held" } else { "broken" });
    result
}
