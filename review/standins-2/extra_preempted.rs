//! Extra: an engine preempts a generation in the middle of its stream.

mod kit;

use std::{
    collections::BTreeMap,
    io::Write,
    net::TcpStream,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use kit::{
    BROKEN, Call, Folder, Gateway, HELD, NOT_RUN, Record, Registration, Request, Store, answer,
    finish, free_ports, has_trouble, listen, send, serve, unix_ms,
};

const HOST: &str = "desk.example";
/// Number of events of a stream.
const EVENTS: u64 = 110;
/// Time between two events, under the pause of the sheets (180 ms).
const PACE: Duration = Duration::from_millis(40);
/// Event before which the generation is preempted, and the time until there is memory again and its
/// prompt has been read in again.
const PREEMPTED_AT: u64 = 40;
const PREEMPTED_FOR: Duration = Duration::from_millis(900);
/// Number of streams, one after the other.
const STREAMS: u32 = 3;
/// Time after which the runner before may not work on a request that goes on elsewhere.
const OVERLAP: Duration = Duration::from_millis(400);
const BOUNDS: &str = "{\"contact_ms\":3000,\"ack_ms\":4000,\"drain_ms\":2000,\"grace_s\":8,\
    \"config_deadline_ms\":2000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\
    \"budget_slack\":52,\"exposure_share\":0.1,\"exposure_slack\":50,\"strict_revocation\":false,\
    \"revoke_ms\":5000}";

/// Returns a manifest with the engines of the sheet of Zemgale.
fn manifest() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"plan\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/plan/\",\"kind\":\"streaming\",\"timeout_ms\":39000,\
         \"target_latency_ms\":1800,\"gap_target_ms\":180,\"priority\":0,\"service\":\"drafter\",\
         \"max_attempts\":1,\"public\":true}}],\"services\":[{{\"name\":\"drafter\",\
         \"health_path\":\"/health\",\"max_connections\":232,\"cold_start_s\":1.0,\
         \"cold_per_s\":40.0,\"engine\":{{\"slots\":24,\"kv_capacity_tokens\":34159,\
         \"kv_token_bytes\":35136,\"link_mbps\":5100.0,\"moves\":true,\"backups\":true,\
         \"stride\":4}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum RunState {
    Running,
    /// It waits until it is read in again.
    Preempted,
    Stopped,
    Ended,
}

/// Work of one engine on one request.
struct Run {
    state: RunState,
    started: Instant,
    /// Time of the last event that the engine made.
    worked_at: Instant,
    resumed_at: Option<u64>,
}

type Runs = Arc<Mutex<BTreeMap<(String, &'static str), Run>>>;

fn event(stream: &mut TcpStream, id: u64) -> bool {
    let text = format!("id: {id}\ndata: piece {id}\n\n");
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok()
}

/// Generates the stream of a request. This runner does not notice that its channel has closed.
fn generate(
    id: &'static str,
    request: &Request,
    stream: &mut TcpStream,
    record: &Record,
    runs: &Runs,
) -> bool {
    let attempt = request.header("attempt-id").unwrap_or("").to_owned();
    let last = request.header("last-event-id").and_then(|text| text.parse::<u64>().ok());
    let resumed = request.header("kv-from").map(str::to_owned);
    record.note(format!(
        "engine {id} begins {attempt}, Kv-From {resumed:?}, Last-Event-Id {last:?}, Kv-Backup {:?}",
        request.header("kv-backup")
    ));
    let key = (attempt.clone(), id);
    let now = Instant::now();
    let resumed_at = resumed.as_ref().map(|_| last.map_or(0, |last| last + 1));
    let run = Run { state: RunState::Running, started: now, worked_at: now, resumed_at };
    runs.lock().unwrap().insert(key.clone(), run);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s\r\n\
         Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    for number in resumed_at.unwrap_or(0)..EVENTS {
        if number == PREEMPTED_AT && resumed.is_none() && has_trouble() {
            record.note(format!("engine {id} preempts {attempt}"));
            runs.lock().unwrap().get_mut(&key).unwrap().state = RunState::Preempted;
            thread::sleep(PREEMPTED_FOR);
            record.note(format!("engine {id} has read {attempt} in again and goes on"));
            runs.lock().unwrap().get_mut(&key).unwrap().state = RunState::Running;
        }
        thread::sleep(PACE);
        {
            let mut runs = runs.lock().unwrap();
            let run = runs.get_mut(&key).unwrap();
            if run.state == RunState::Stopped {
                return false;
            }
            run.worked_at = Instant::now();
        }
        is_open = is_open && event(stream, number);
    }
    runs.lock().unwrap().get_mut(&key).unwrap().state = RunState::Ended;
    record.note(format!("engine {id} has made the last event of {attempt}"));
    is_open && stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Answers `kv-move`: a call with `last` stops the run first.
fn move_memory(
    id: &'static str,
    request: &Request,
    stream: &mut TcpStream,
    record: &Record,
    runs: &Runs,
) -> bool {
    let attempt = request.json_field("id").unwrap_or_default();
    let is_last = request.json_field("last").as_deref() == Some("true");
    let status = {
        let mut runs = runs.lock().unwrap();
        match runs.get_mut(&(attempt.clone(), id)) {
            Some(run) if run.state == RunState::Running => {
                if is_last {
                    run.state = RunState::Stopped;
                }
                200
            }
            // A request that waits has no memory here and does not run.
            _ => 404,
        }
    };
    record.note(format!("engine {id}: kv-move of {attempt}, last {is_last}: {status}"));
    if status == 404 {
        return answer(stream, 404, &[], b"{}");
    }
    let body = format!("{{\"handle\":\"h-{attempt}\",\"created\":0}}");
    answer(stream, 200, &[], body.as_bytes())
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(root), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: extra_preempted REPOSITORY RECORD");
        std::process::exit(NOT_RUN);
    };
    std::process::exit(run(Path::new(&root), Path::new(&path)));
}

fn run(root: &Path, path: &Path) -> i32 {
    let Ok(record) = Record::create(path) else { return NOT_RUN };
    let Ok(store) = Store::start(&record) else { return NOT_RUN };
    let Ok(folder) = Folder::create("review-extra") else { return NOT_RUN };
    store.put("keyed.op", "config", Some(&manifest()));
    let runs: Runs = Arc::default();
    for (id, zone) in [("i-1", "za"), ("i-2", "zb"), ("i-3", "za")] {
        let Ok(listener) = listen() else { return NOT_RUN };
        let registration = Registration {
            id: id.to_owned(),
            service: "drafter".to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            slots: 24,
            state: "ready",
            born: unix_ms(),
        };
        let (record, runs) = (record.clone(), Arc::clone(&runs));
        let born = registration.born;
        serve(listener, move |request, stream| match request.path.as_str() {
            "/health" => answer(stream, 200, &[("Instance-Id", id.to_owned())], b""),
            "/dragonflycart/report" => {
                let body = format!(
                    "{{\"stage\":\"both\",\"state\":\"ready\",\"born\":{born},\"sequence\":1,\
                     \"runs\":[]}}"
                );
                answer(stream, 200, &[], body.as_bytes())
            }
            "/dragonflycart/kv-move" => move_memory(id, request, stream, &record, &runs),
            path if path.starts_with("/dragonflycart/") => answer(stream, 200, &[], b"{}"),
            _ if request.header("expect-instance") != Some(id) => answer(stream, 421, &[], b""),
            _ => generate(id, request, stream, &record, &runs),
        });
        let store = store.clone();
        thread::spawn(move || {
            for sequence in 1.. {
                store.put("keyed.servers", id, Some(&registration.text(sequence)));
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }
    thread::sleep(Duration::from_millis(100));
    let ips = ["127.0.0.1", "127.0.0.2"];
    let Some(ports) = free_ports(&ips) else { return NOT_RUN };
    let mut gateways = Vec::new();
    for (index, (ip, zone)) in ips.into_iter().zip(["za", "zb"]).enumerate() {
        let name = format!("edge-{zone}-{index}");
        let started = Gateway::start(root, &folder.0, &name, zone, ip, ports, store.address, BOUNDS);
        let Ok(gateway) = started else { return finish(&record, NOT_RUN, "a gateway can't start") };
        gateways.push(gateway);
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(10)) {
            return finish(&record, NOT_RUN, "a gateway does not become ready");
        }
    }
    // In touch for `contact_ms`, with requests enough for the retry budget.
    thread::sleep(Duration::from_millis(4_000));

    let mut whole = 0;
    for number in 1..=STREAMS {
        let gateway = &gateways[number as usize % gateways.len()];
        let attempt = format!("s{number}");
        let call = Call::post("/plan/1", HOST, b"prompt")
            .with("Attempt-Id", &attempt)
            .with("Deadline-Ms", "39000")
            .with("Model", "m")
            .with("Token-Usage", "3000,900")
            .with("Prompt-Prefix", format!("a1:40,b{number}:30"));
        record.note(format!("client sends {attempt} to {}", gateway.name));
        let (front, record_of) = (gateway.front, record.clone());
        let got = send(front, &call, Duration::from_secs(12));
        let events = String::from_utf8_lossy(&got.body).matches("id: ").count();
        record_of.note(format!(
            "client got {attempt}: {:?}, {events} events, {}",
            got.status,
            if got.is_complete { "complete" } else { "not complete" }
        ));
        whole += u32::from(got.is_complete && events as u64 == EVENTS);
        thread::sleep(Duration::from_millis(1_500));
    }

    let runs = runs.lock().unwrap();
    let mut overlaps = Vec::new();
    for ((attempt, id), run) in runs.iter().filter(|(_, run)| run.resumed_at.is_some()) {
        for ((other, before), earlier) in runs.iter() {
            if other != attempt || before == id || earlier.started >= run.started {
                continue;
            }
            if earlier.worked_at > run.started + OVERLAP {
                overlaps.push(format!(
                    "{attempt} goes on at {id} while {before} works on it for {} ms more",
                    (earlier.worked_at - run.started).as_millis()
                ));
            }
        }
    }
    if whole == 0 && !has_trouble() {
        return finish(&record, NOT_RUN, "no stream arrives whole");
    }
    let text = format!(
        "{whole} of {STREAMS} streams arrived whole; {} went on at another engine while the engine \
         before worked on: {overlaps:?}",
        overlaps.len()
    );
    finish(&record, if overlaps.is_empty() { HELD } else { BROKEN }, &text)
}

