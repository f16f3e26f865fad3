//! Case 8: a check-in of a server's earlier process is executed after those of its new process.

mod kit;

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use kit::{
    BROKEN, Call, Folder, Gateway, HELD, NOT_RUN, Ports, Record, Registration, Store, answer,
    finish, free_ports, has_trouble, read_request, send, unix_ms,
};

const HOST: &str = "desk.example";
/// `drain_ms` of the sheets.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Check-in interval of the sheets (`heartbeat_ms`).
const CHECK_IN: Duration = Duration::from_millis(1_200);
/// Time for which the server is down.
const DOWN_TIME: Duration = Duration::from_millis(1_200);
/// Time from the lost check-in to the server's planned shutdown, over `contact_ms`.
const SHUTDOWN_AT: Duration = Duration::from_millis(3_200);
/// Time by which the lost check-in is late; "seconds later", 1 to 6 s in the bench's words.
const LATE_BY: Duration = Duration::from_millis(5_800);
/// Time from its notice to the exit of the server, which serves on "a little longer (at times many
/// seconds)" than `drain_ms`.
const EXIT_AFTER: Duration = Duration::from_millis(2_680);
/// Time that a call takes at a server, within `work_ms` of the sheets (30 ms, at most 220 ms).
const WORK_TIME: Duration = Duration::from_millis(100);
/// Client threads, each of which sends a request every [`SEND_INTERVAL`].
const CLIENTS: u32 = 8;
const SEND_INTERVAL: Duration = Duration::from_millis(100);
const BOUNDS: &str = "{\"contact_ms\":3000,\"ack_ms\":4000,\"drain_ms\":2000,\"grace_s\":8,\
    \"config_deadline_ms\":2000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\
    \"budget_slack\":52,\"exposure_share\":0.1,\"exposure_slack\":50,\"strict_revocation\":false,\
    \"revoke_ms\":5000}";

fn manifest() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"book\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1000,\
         \"target_latency_ms\":150,\"priority\":0,\"service\":\"desk\",\"max_attempts\":1,\
         \"public\":true}}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\
         \"max_connections\":96,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Request that a server ran.
struct Arrival {
    attempt: String,
    at: Instant,
}

/// Process of a server: it answers until it ends.
struct Process {
    is_up: Arc<AtomicBool>,
    is_leaving: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Process {
    fn start(id: &'static str, listener: TcpListener, record: &Record) -> Arc<Process> {
        let process = Arc::new(Process {
            is_up: Arc::new(AtomicBool::new(true)),
            is_leaving: Arc::default(),
            streams: Arc::default(),
            arrivals: Arc::default(),
        });
        listener.set_nonblocking(true).unwrap();
        let (started, record) = (Arc::clone(&process), record.clone());
        thread::spawn(move || {
            while started.is_up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                started.streams.lock().unwrap().push(stream.try_clone().unwrap());
                let (process, record) = (Arc::clone(&started), record.clone());
                thread::spawn(move || process.serve(id, stream, &record));
            }
        });
        process
    }

    fn serve(&self, id: &'static str, mut stream: TcpStream, record: &Record) {
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
            if !self.is_up.load(Ordering::SeqCst) {
                return;
            }
            let is_leaving = self.is_leaving.load(Ordering::SeqCst);
            if request.path == "/health" {
                let status = if is_leaving { 503 } else { 200 };
                answer(&mut stream, status, &[("Instance-Id", id.to_owned())], b"");
                continue;
            }
            let attempt = request.header("attempt-id").unwrap_or("").to_owned();
            if request.header("expect-instance") != Some(id) {
                answer(&mut stream, 421, &[("Attempt-Id", attempt)], b"");
                continue;
            }
            self.arrivals
                .lock()
                .unwrap()
                .push(Arrival { attempt: attempt.clone(), at: Instant::now() });
            record.note(format!(
                "server {id}{} runs {attempt}",
                if is_leaving { " (leaving)" } else { "" }
            ));
            thread::sleep(WORK_TIME);
            let mut headers =
                vec![("Attempt-Id", attempt), ("Response-Signature", "s".to_owned())];
            // A runner that leaves says so in all its answers.
            if self.is_leaving.load(Ordering::SeqCst) {
                headers.push(("Server-Leaving", "1".to_owned()));
                headers.push(("Connection", "close".to_owned()));
            }
            if !answer(&mut stream, 200, &headers, b"done") {
                return;
            }
        }
    }

    /// Ends the process: nothing listens, and its connections are closed.
    fn end(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().iter() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Request as its client saw it.
struct Sent {
    attempt: String,
    gateway: usize,
    at: Instant,
    status: Option<u16>,
    /// Time of the answer, if it had `Server-Leaving`.
    told_leaving_at: Option<Instant>,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(root), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: case_8 REPOSITORY RECORD");
        std::process::exit(NOT_RUN);
    };
    std::process::exit(run(Path::new(&root), Path::new(&path)));
}

fn start_gateways(root: &Path, folder: &Folder, store: SocketAddr) -> Option<Vec<Gateway>> {
    let ips = ["127.0.0.1", "127.0.0.2"];
    let ports: Ports = free_ports(&ips)?;
    let mut gateways = Vec::new();
    for (index, (ip, zone)) in ips.into_iter().zip(["za", "zb"]).enumerate() {
        let name = format!("edge-{zone}-{index}");
        let started = Gateway::start(root, &folder.0, &name, zone, ip, ports, store, BOUNDS);
        gateways.push(started.ok()?);
    }
    let limit = Duration::from_secs(10);
    gateways.iter().all(|gateway| gateway.wait_ready(limit)).then_some(gateways)
}

fn check_in(store: &Store, registration: &Registration, sequence: u64) {
    store.put("keyed.servers", &registration.id, Some(&registration.text(sequence)));
}

fn run(root: &Path, path: &Path) -> i32 {
    let Ok(record) = Record::create(path) else { return NOT_RUN };
    let Ok(store) = Store::start(&record) else { return NOT_RUN };
    let Ok(folder) = Folder::create("review-8") else { return NOT_RUN };
    store.put("keyed.op", "config", Some(&manifest()));

    let mut registrations = Vec::new();
    let mut processes = Vec::new();
    // One of seven, which is within the share of `srv_crash` and `scale_in`.
    for (id, zone) in [
        ("i-1", "za"),
        ("i-2", "zb"),
        ("i-3", "za"),
        ("i-4", "zb"),
        ("i-5", "za"),
        ("i-6", "zb"),
        ("i-7", "za"),
    ] {
        let Ok(listener) = kit::listen() else { return NOT_RUN };
        registrations.push(Registration {
            id: id.to_owned(),
            service: "desk".to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            slots: 6,
            state: "ready",
            born: unix_ms(),
        });
        processes.push(Process::start(id, listener, &record));
        check_in(&store, registrations.last().unwrap(), 1);
    }
    // The other servers check in all the time.
    for other in registrations[1..].to_vec() {
        let store = store.clone();
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(CHECK_IN);
                check_in(&store, &other, sequence);
            }
        });
    }
    let Some(gateways) = start_gateways(root, &folder, store.address) else {
        return finish(&record, NOT_RUN, "a gateway does not start");
    };
    thread::sleep(Duration::from_secs(1));

    let sent = Arc::new(Mutex::new(Vec::<Sent>::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    for client in 0..CLIENTS {
        let gateway = client as usize % gateways.len();
        let front = gateways[gateway].front;
        let (sent, is_over, record) = (Arc::clone(&sent), Arc::clone(&is_over), record.clone());
        thread::spawn(move || {
            thread::sleep(SEND_INTERVAL * client / CLIENTS);
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let at = Instant::now();
                let attempt = format!("c{client}-{number}");
                let call = Call::post("/book/1", HOST, b"order")
                    .with("Attempt-Id", &attempt)
                    .with("Deadline-Ms", "1000");
                let got = send(front, &call, Duration::from_millis(1_200));
                let told_leaving_at = got.header("server-leaving").map(|_| Instant::now());
                record.note(format!(
                    "client got {attempt} from gateway {gateway}: {:?}{}",
                    got.status,
                    if told_leaving_at.is_some() { ", Server-Leaving" } else { "" }
                ));
                let status = got.status;
                sent.lock().unwrap().push(Sent { attempt, gateway, at, status, told_leaving_at });
                thread::sleep((at + SEND_INTERVAL).saturating_duration_since(Instant::now()));
            }
        });
    }
    for sequence in 2..4 {
        thread::sleep(CHECK_IN);
        check_in(&store, &registrations[0], sequence);
    }
    if processes[0].arrivals.lock().unwrap().is_empty() {
        return finish(&record, NOT_RUN, "the server gets no request before the disruption");
    }

    // A check-in that gets no answer. The store executes it at once, or seconds later.
    let before = registrations[0].clone();
    let lost_at = Instant::now();
    if has_trouble() {
        record.note("the answer to a check-in of i-1 is lost; it is executed later");
    } else {
        check_in(&store, &before, 4);
    }
    thread::sleep(Duration::from_millis(300));
    record.note("server i-1 crashes");
    processes[0].end();
    thread::sleep(DOWN_TIME);
    // It starts again under its ID and at its address.
    let Ok(listener) = TcpListener::bind(before.address) else {
        return finish(&record, NOT_RUN, "the server's port is taken");
    };
    let process = Process::start("i-1", listener, &record);
    let mut now = Registration { born: unix_ms(), ..before.clone() };
    record.note("server i-1 runs again");
    let mut sequence = 1;
    let mut next_check_in = Instant::now();
    let mut is_late_due = has_trouble();
    let mut noticed_at = None;
    loop {
        if noticed_at.is_none() && lost_at.elapsed() >= SHUTDOWN_AT {
            // Its planned shutdown begins with a report to the store.
            now.state = "draining";
            process.is_leaving.store(true, Ordering::SeqCst);
            noticed_at = Some(Instant::now());
            next_check_in = Instant::now();
        }
        if Instant::now() >= next_check_in {
            record.note(format!("server i-1 checks in: {}", now.state));
            check_in(&store, &now, sequence);
            sequence += 1;
            next_check_in += CHECK_IN;
        }
        if is_late_due && lost_at.elapsed() >= LATE_BY {
            is_late_due = false;
            record.note(format!(
                "the store executes the lost check-in of the process before, {} ms late: ready, \
                 born {} (that of now: {})",
                lost_at.elapsed().as_millis(),
                before.born,
                now.born
            ));
            check_in(&store, &before, 4);
        }
        if noticed_at.is_some_and(|at| at.elapsed() >= EXIT_AFTER) {
            break;
        }
        thread::sleep(Duration::from_millis(2));
    }
    store.put("keyed.servers", "i-1", None);
    process.end();
    record.note("server i-1 has left");
    is_over.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1_300));

    // Requests that were sent later than `drain_ms` after the store had accepted the report of the
    // shutdown, and of these the ones whose gateway had passed on Server-Leaving as long ago.
    let Some(noticed_at) = noticed_at else { return NOT_RUN };
    let sent = sent.lock().unwrap();
    let mut told: [Option<Instant>; 2] = [None; 2];
    for request in sent.iter() {
        if let Some(at) = request.told_leaving_at {
            let first = &mut told[request.gateway];
            *first = Some(first.map_or(at, |first| first.min(at)));
        }
    }
    let (mut late, mut late_after_answer, mut lost) = (Vec::new(), 0, 0);
    for arrival in process.arrivals.lock().unwrap().iter() {
        let Some(request) = sent.iter().find(|request| request.attempt == arrival.attempt) else {
            continue;
        };
        if request.at > noticed_at + DRAIN_TIME {
            late.push((request.attempt.clone(), (arrival.at - noticed_at).as_millis()));
            lost += u32::from(request.status != Some(200));
        }
        if told[request.gateway].is_some_and(|at| request.at > at + DRAIN_TIME) {
            late_after_answer += 1;
        }
    }
    let text = format!(
        "{} requests reached the leaving server i-1 that were sent later than drain_ms after the \
         store had accepted its report (attempt, ms after): {late:?}; {late_after_answer} of them \
         also later than drain_ms after their gateway had passed on Server-Leaving; {lost} were \
         lost when it exited",
        late.len()
    );
    finish(&record, if late.is_empty() { HELD } else { BROKEN }, &text)
}
