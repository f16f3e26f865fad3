//! Case 10: an entry of another writer, with fields missing, names a server of another service.

mod kit;

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use kit::{
    BROKEN, Call, Folder, Gateway, HELD, NOT_RUN, Record, Registration, Store, answer, finish,
    free_ports, has_trouble, listen, send, serve, unix_ms,
};

const HOST: &str = "desk.example";
/// Check-in interval of the sheets (`heartbeat_ms`).
const CHECK_IN: Duration = Duration::from_millis(1_200);
/// Client threads, each of which sends a request every [`SEND_INTERVAL`].
const CLIENTS: u32 = 8;
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the case sends requests.
const LENGTH: Duration = Duration::from_secs(8);
const BOUNDS: &str = "{\"contact_ms\":3000,\"ack_ms\":4000,\"drain_ms\":2000,\"grace_s\":8,\
    \"config_deadline_ms\":2000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\
    \"budget_slack\":52,\"exposure_share\":0.1,\"exposure_slack\":50,\"strict_revocation\":false,\
    \"revoke_ms\":5000}";

/// Returns a manifest in which each route has a service of its own.
fn manifest() -> String {
    let route = |prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{prefix}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{prefix}/\",\
             \"kind\":\"non_idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":150,\
             \"priority\":0,\"service\":\"{service}\",\"max_attempts\":1,\"public\":true}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":96,\
             \"cold_start_s\":0.0,\"cold_per_s\":0.0}}"
        )
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("book", "desk"),
        route("look", "stock"),
        service("desk"),
        service("stock")
    )
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(root), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: case_10 REPOSITORY RECORD");
        std::process::exit(NOT_RUN);
    };
    std::process::exit(run(Path::new(&root), Path::new(&path)));
}

fn run(root: &Path, path: &Path) -> i32 {
    let Ok(record) = Record::create(path) else { return NOT_RUN };
    let Ok(store) = Store::start(&record) else { return NOT_RUN };
    let Ok(folder) = Folder::create("review-10") else { return NOT_RUN };
    store.put("keyed.op", "config", Some(&manifest()));
    // Requests of /book/ that a server of the service `stock` ran.
    let foreign = Arc::new(Mutex::new(0));
    let checked_in = Arc::new(Mutex::new(BTreeMap::new()));
    let mut registrations = Vec::new();
    for (id, service, zone) in
        [("i-1", "desk", "za"), ("i-2", "desk", "zb"), ("i-3", "stock", "za"), ("i-4", "stock", "zb")]
    {
        let Ok(listener) = listen() else { return NOT_RUN };
        let registration = Registration {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            slots: 6,
            state: "ready",
            born: unix_ms(),
        };
        let (record, foreign) = (record.clone(), Arc::clone(&foreign));
        serve(listener, move |request, stream| {
            if request.path == "/health" {
                return answer(stream, 200, &[("Instance-Id", id.to_owned())], b"");
            }
            let attempt = request.header("attempt-id").unwrap_or("").to_owned();
            if request.header("expect-instance") != Some(id) {
                return answer(stream, 421, &[("Attempt-Id", attempt)], b"");
            }
            record.note(format!("server {id} of {service} runs {attempt} {}", request.path));
            if service == "stock" && request.path.starts_with("/book/") {
                *foreign.lock().unwrap() += 1;
            }
            thread::sleep(Duration::from_millis(10));
            let headers = [("Attempt-Id", attempt), ("Response-Signature", "s".to_owned())];
            answer(stream, 200, &headers, service.as_bytes())
        });
        let (store, checks_in) = (store.clone(), registration.clone());
        let checked_in = Arc::clone(&checked_in);
        thread::spawn(move || {
            for sequence in 1.. {
                store.put("keyed.servers", &checks_in.id, Some(&checks_in.text(sequence)));
                checked_in.lock().unwrap().insert(checks_in.id.clone(), Instant::now());
                thread::sleep(CHECK_IN);
            }
        });
        registrations.push(registration);
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

    let counts = Arc::new(Mutex::new((0, 0, 0)));
    let started = Instant::now();
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let front = gateways[client as usize % gateways.len()].front;
        let (counts, record) = (Arc::clone(&counts), record.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(SEND_INTERVAL * client / CLIENTS);
            for number in 0.. {
                let at = Instant::now();
                if at - started >= LENGTH {
                    return;
                }
                let attempt = format!("c{client}-{number}");
                let call = Call::post("/book/1", HOST, b"order")
                    .with("Attempt-Id", &attempt)
                    .with("Deadline-Ms", "1000");
                let got = send(front, &call, Duration::from_millis(1_200));
                let text = String::from_utf8_lossy(&got.body).into_owned();
                record.note(format!("client got {attempt}: {:?} {text}", got.status));
                let is_served = got.status == Some(200);
                let mut counts = counts.lock().unwrap();
                counts.0 += 1;
                counts.1 += u32::from(is_served);
                counts.2 += u32::from(is_served && text != "desk");
                drop(counts);
                thread::sleep((at + SEND_INTERVAL).saturating_duration_since(Instant::now()));
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    if has_trouble() {
        let server = &registrations[2];
        // Until the server's next check-in, which replaces the entry, is about a whole interval.
        while checked_in.lock().unwrap()[&server.id].elapsed() > CHECK_IN / 10 {
            thread::sleep(Duration::from_millis(5));
        }
        // Neither `cold_remaining_ms` nor `sequence` nor `born`.
        let entry = format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1\",\
             \"slots\":6,\"state\":\"ready\"}}",
            server.address, server.zone
        );
        record.note(format!("another writer writes servers/{}: {entry}", server.id));
        store.put("keyed.servers", &server.id, Some(&entry));
    }
    for client in clients {
        let _ = client.join();
    }
    let (number, served, wrong) = *counts.lock().unwrap();
    if served == 0 {
        return finish(&record, NOT_RUN, "no request is served");
    }
    let foreign = *foreign.lock().unwrap();
    let text = format!(
        "{foreign} of {number} requests on a route to desk ran at a server of stock, and {wrong} \
         clients got its answers"
    );
    finish(&record, if foreign > 0 { BROKEN } else { HELD }, &text)
}
