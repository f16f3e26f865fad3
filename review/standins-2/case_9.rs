//! Case 9: a server crashes in the middle of an answer that has no length.

mod kit;

use std::{
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    sync::mpsc::{self, Sender},
    thread,
    time::Duration,
};

use kit::{
    BROKEN, Call, Folder, Gateway, HELD, NOT_RUN, Record, Registration, Store, finish, free_ports,
    has_trouble, listen, send, serve, unix_ms,
};

const HOST: &str = "desk.example";
/// Body of an answer, as long as the mean of the sheets.
const BODY_BYTES: usize = 800;
/// Number of servers, of which one crashes at a time: within the share of `srv_crash`.
const SERVERS: u32 = 7;
/// Number of answers without a length, each of which its server's crash cuts off.
const ROUNDS: u32 = 5;
/// Number of requests with usual answers before each of them.
const USUAL_REQUESTS: u32 = 30;
const BOUNDS: &str = "{\"contact_ms\":3000,\"ack_ms\":4000,\"drain_ms\":2000,\"grace_s\":8,\
    \"config_deadline_ms\":2000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\
    \"budget_slack\":52,\"exposure_share\":0.1,\"exposure_slack\":50,\"strict_revocation\":false,\
    \"revoke_ms\":5000}";

fn manifest() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"look\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/look/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,\
         \"target_latency_ms\":150,\"priority\":0,\"service\":\"desk\",\"max_attempts\":2,\
         \"public\":true}}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\
         \"max_connections\":96,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Server as a process of its own: it prints its address, and the half of each answer that it has
/// written before it goes on.
fn serve_forever(id: &str) -> ! {
    let listener = listen().expect("a free port");
    println!("{}", listener.local_addr().expect("a bound listener has an address"));
    let id = id.to_owned();
    serve(listener, move |request, stream| {
        if request.path == "/health" {
            return kit::answer(stream, 200, &[("Instance-Id", id.clone())], b"");
        }
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        if request.header("expect-instance") != Some(&id) {
            return kit::answer(stream, 421, &[("Attempt-Id", attempt)], b"");
        }
        if !attempt.starts_with("cut-") {
            let headers = [("Attempt-Id", attempt), ("Response-Signature", "s".to_owned())];
            return kit::answer(stream, 200, &headers, &[b'x'; BODY_BYTES]);
        }
        // The answer has neither a length nor chunks and ends with its connection.
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s\r\n\
             Connection: close\r\n\r\n"
        );
        let body = vec![b'x'; BODY_BYTES];
        if stream.write_all(head.as_bytes()).is_err()
            || stream.write_all(&body[..BODY_BYTES / 2]).is_err()
        {
            return false;
        }
        println!("{attempt}");
        thread::sleep(Duration::from_millis(60));
        let _ = stream.write_all(&body[BODY_BYTES / 2..]);
        false
    });
    loop {
        thread::sleep(Duration::from_secs(1));
    }
}

struct Server {
    child: Child,
    registration: Registration,
}

impl Server {
    /// Starts a server and registers it. Its index goes to `halves` when it has written half of an
    /// answer.
    fn start(number: u32, index: usize, store: &Store, halves: &Sender<usize>) -> Option<Server> {
        let id = format!("i-{number}");
        let mut child = Command::new(std::env::current_exe().ok()?)
            .args(["server", &id])
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        kit::note_started(&child);
        let mut lines = BufReader::new(child.stdout.take()?).lines();
        let address: SocketAddr = lines.next()?.ok()?.parse().ok()?;
        let halves = halves.clone();
        thread::spawn(move || {
            for _ in lines.map_while(Result::ok) {
                let _ = halves.send(index);
            }
        });
        let registration = Registration {
            id,
            service: "desk".to_owned(),
            zone: "za".to_owned(),
            address,
            slots: 6,
            state: "ready",
            born: unix_ms(),
        };
        store.put("keyed.servers", &registration.id, Some(&registration.text(1)));
        Some(Server { child, registration })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        kit::end_process(&mut self.child);
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match &arguments[..] {
        [role, id] if role == "server" => serve_forever(id),
        [root, path] => std::process::exit(run(Path::new(root), Path::new(path))),
        _ => {
            eprintln!("usage: case_9 REPOSITORY RECORD");
            std::process::exit(NOT_RUN);
        }
    }
}

fn run(root: &Path, path: &Path) -> i32 {
    let Ok(record) = Record::create(path) else { return NOT_RUN };
    let Ok(store) = Store::start(&record) else { return NOT_RUN };
    let Ok(folder) = Folder::create("review-9") else { return NOT_RUN };
    store.put("keyed.op", "config", Some(&manifest()));
    let Some(ports) = free_ports(&["127.0.0.1"]) else { return NOT_RUN };
    let address = store.address;
    let started = Gateway::start(root, &folder.0, "edge-za-0", "za", "127.0.0.1", ports, address, BOUNDS);
    let Ok(gateway) = started else { return finish(&record, NOT_RUN, "the gateway can't start") };
    let (halves, half) = mpsc::channel();
    let mut servers = Vec::new();
    let mut started = 0;
    for index in 0..SERVERS as usize {
        started += 1;
        let Some(server) = Server::start(started, index, &store, &halves) else {
            return finish(&record, NOT_RUN, "a server can't start");
        };
        servers.push(server);
    }
    if !gateway.wait_ready(Duration::from_secs(10)) {
        return finish(&record, NOT_RUN, "the gateway does not become ready");
    }
    thread::sleep(Duration::from_secs(1));
    let call = |attempt: &str| {
        Call::get("/look/1", HOST).with("Attempt-Id", attempt).with("Deadline-Ms", "1000")
    };
    let (mut cut, mut whole, mut usual) = (0, 0, 0);
    for round in 1..=ROUNDS {
        for number in 1..=USUAL_REQUESTS {
            let attempt = format!("usual-{round}-{number}");
            let got = send(gateway.front, &call(&attempt), Duration::from_millis(1_500));
            usual += u32::from(got.status == Some(200) && got.body.len() == BODY_BYTES);
            thread::sleep(Duration::from_millis(20));
        }
        let attempt = format!("cut-{round}");
        let (front, asked) = (gateway.front, call(&attempt));
        let asking = thread::spawn(move || send(front, &asked, Duration::from_millis(1_500)));
        let Ok(index) = half.recv_timeout(Duration::from_secs(2)) else {
            return finish(&record, NOT_RUN, "no server gets the request");
        };
        let id = servers[index].registration.id.clone();
        record.note(format!(
            "server {id} has written {} of {BODY_BYTES} bytes to {attempt}",
            BODY_BYTES / 2
        ));
        if has_trouble() {
            let _ = servers[index].child.kill();
            record.note(format!("server {id} is killed"));
        }
        let got = asking.join().unwrap_or_default();
        record.note(format!(
            "client got {attempt}: {:?}, signature {:?}, {} bytes, {}",
            got.status,
            got.header("response-signature"),
            got.body.len(),
            if got.is_complete { "complete" } else { "not complete" }
        ));
        let is_success = got.status == Some(200) && got.is_complete;
        cut += u32::from(is_success && got.body.len() != BODY_BYTES);
        whole += u32::from(is_success && got.body.len() == BODY_BYTES);
        // A second attempt may have been answered by another server.
        while half.try_recv().is_ok() {}
        if has_trouble() {
            thread::sleep(Duration::from_secs(1));
            store.put("keyed.servers", &id, None);
            started += 1;
            let Some(server) = Server::start(started, index, &store, &halves) else {
                return finish(&record, NOT_RUN, "a server can't start");
            };
            servers[index] = server;
        }
        thread::sleep(Duration::from_millis(1_000));
    }
    if usual == 0 || (!has_trouble() && whole == 0) {
        return finish(&record, NOT_RUN, "no request is served");
    }
    let text = format!(
        "{cut} of {ROUNDS} clients got half of the body as a whole success, {whole} the whole body; \
         {usual} of {} usual answers arrived whole",
        ROUNDS * USUAL_REQUESTS
    );
    finish(&record, if cut > 0 { BROKEN } else { HELD }, &text)
}
