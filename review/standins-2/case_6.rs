//! Case 6: the store comes back from a copy that is some seconds old.

mod kit;

use std::{
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
/// `config_deadline_ms` of the sheets.
const CONFIG_DEADLINE: Duration = Duration::from_millis(2_000);
/// `contact_ms` of the sheets.
const CONTACT: Duration = Duration::from_millis(3_000);
/// `bounds` of the sheet of Zemgale, as far as the gateway reads them.
const BOUNDS: &str = "{\"contact_ms\":3000,\"ack_ms\":4000,\"drain_ms\":2000,\"grace_s\":8,\
    \"config_deadline_ms\":2000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\
    \"budget_slack\":52,\"exposure_share\":0.1,\"exposure_slack\":50,\"strict_revocation\":false,\
    \"revoke_ms\":5000}";

/// Returns a manifest. Its routes go to `desk`, and `keys` are the keys of the only tenant.
fn manifest(version: u64, prefixes: &[&str], keys: &[&str]) -> String {
    let mut routes = Vec::new();
    for prefix in prefixes {
        routes.push(format!(
            "{{\"name\":\"{prefix}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{prefix}/\",\
             \"kind\":\"non_idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":150,\
             \"priority\":0,\"service\":\"desk\",\"max_attempts\":1,\"public\":false}}"
        ));
    }
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\
         \"health_path\":\"/health\",\"max_connections\":96,\"cold_start_s\":0.0,\
         \"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"studio\",\"api_keys\":[{}],\"priority\":0}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(root), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: case_6 REPOSITORY RECORD");
        std::process::exit(NOT_RUN);
    };
    std::process::exit(run(Path::new(&root), Path::new(&path)));
}

fn run(root: &Path, path: &Path) -> i32 {
    let Ok(record) = Record::create(path) else { return NOT_RUN };
    let Ok(store) = Store::start(&record) else { return NOT_RUN };
    let Ok(folder) = Folder::create("review-6") else { return NOT_RUN };
    let runs = Arc::new(Mutex::new(Vec::<String>::new()));

    // Two servers of a plain service, which check in every 1.2 s.
    let mut servers = Vec::new();
    for (id, zone) in [("i-1", "za"), ("i-2", "zb")] {
        let Ok(listener) = listen() else { return NOT_RUN };
        let registration = Registration {
            id: id.to_owned(),
            service: "desk".to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            slots: 6,
            state: "ready",
            born: unix_ms(),
        };
        let (record, runs) = (record.clone(), Arc::clone(&runs));
        serve(listener, move |request, stream| {
            if request.path == "/health" {
                return answer(stream, 200, &[("Instance-Id", id.to_owned())], b"");
            }
            let attempt = request.header("attempt-id").unwrap_or("").to_owned();
            if request.header("expect-instance") != Some(id) {
                return answer(stream, 421, &[("Attempt-Id", attempt)], b"");
            }
            record.note(format!("server {id} runs {attempt} {}", request.path));
            runs.lock().unwrap().push(attempt.clone());
            thread::sleep(Duration::from_millis(10));
            let headers = [("Attempt-Id", attempt), ("Response-Signature", "s".to_owned())];
            answer(stream, 200, &headers, b"done")
        });
        servers.push(registration);
    }
    let is_quiet = Arc::new(Mutex::new(false));
    for registration in servers.clone() {
        let (store, is_quiet) = (store.clone(), Arc::clone(&is_quiet));
        thread::spawn(move || {
            for sequence in 0.. {
                // A server that can't reach the store checks in once it is back.
                while *is_quiet.lock().unwrap() {
                    thread::sleep(Duration::from_millis(10));
                }
                store.put("keyed.servers", &registration.id, Some(&registration.text(sequence)));
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }
    let ask = |gateway: &Gateway, number: u32, what: &str, path: &str, key: &str| -> Option<u16> {
        let attempt = format!("{what}-{number}-{}", gateway.name);
        let call = Call::post(path, HOST, b"order")
            .with("Attempt-Id", &attempt)
            .with("Deadline-Ms", "1000")
            .with("Authorization", format!("Token {key}"));
        record.note(format!("client sends {attempt} to {}", gateway.name));
        let status = send(gateway.front, &call, Duration::from_millis(1_500)).status;
        record.note(format!("client got {attempt}: {status:?}"));
        status
    };

    store.put("keyed.op", "config", Some(&manifest(3, &["book"], &["key-a", "key-b"])));
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

    // Two ordinary changes of the manifest. The copy from which the store comes back is older.
    let copy = store.copy();
    thread::sleep(Duration::from_millis(1_500));
    for version in [7, 12] {
        let offset =
            store.put("keyed.op", "config", Some(&manifest(version, &["book"], &["key-a", "key-b"])));
        record.note(format!("operator wrote manifest {version} at offset {offset}"));
        thread::sleep(Duration::from_millis(1_500));
    }
    for gateway in &gateways {
        if ask(gateway, 0, "before", "/book/1", "key-b") != Some(200) {
            return finish(&record, NOT_RUN, "a request before the disruption is not served");
        }
    }

    if has_trouble() {
        record.note("the store is away");
        *is_quiet.lock().unwrap() = true;
        store.go_away();
        thread::sleep(Duration::from_millis(600));
        store.come_back_from(&copy);
        record.note(format!("the store is back from a copy, keyed.op ends at {}", store.end("keyed.op")));
        // The operator's and the servers' newest records are written again.
        let offset =
            store.put("keyed.op", "config", Some(&manifest(12, &["book"], &["key-a", "key-b"])));
        record.note(format!("operator wrote manifest 12 again at offset {offset}"));
        *is_quiet.lock().unwrap() = false;
    }
    // The store and the gateways are in touch again, with a margin.
    thread::sleep(CONTACT * 2);

    // The next manifest withdraws a key and adds a route.
    let offset = store.put("keyed.op", "config", Some(&manifest(15, &["book", "new"], &["key-a"])));
    let confirmed = Instant::now();
    record.note(format!("operator wrote manifest 15 at offset {offset}: key-b withdrawn, /new/ added"));
    thread::sleep(CONFIG_DEADLINE + Duration::from_millis(500));
    let mut refused = 0;
    for number in 1..=20 {
        for gateway in &gateways {
            ask(gateway, number, "withdrawn", "/book/1", "key-b");
            if ask(gateway, number, "added", "/new/1", "key-a") == Some(404) {
                refused += 1;
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    let ran = runs.lock().unwrap().iter().filter(|attempt| attempt.starts_with("withdrawn")).count();
    let late_s = confirmed.elapsed().as_secs_f64();
    for gateway in &mut gateways {
        if !gateway.is_running() {
            return finish(&record, BROKEN, "a gateway has ended");
        }
    }
    let text = format!(
        "up to {late_s:.1} s after the confirmation of manifest 15, {ran} of 40 requests with the \
         withdrawn key ran, and {refused} of 40 on the added route got 404"
    );
    finish(&record, if ran > 0 || refused > 0 { BROKEN } else { HELD }, &text)
}
