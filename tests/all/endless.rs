//! Tests of real gateway processes with servers whose responses have no end, or are large.

use std::{fs, net::SocketAddr, time::Duration};

use bytes::Bytes;
use dragonflycart_standins::{
    BulkReceipt, BulkResponse, BulkServer, CallerRequest, ManifestSpec, open_stream, send,
    send_and_count,
};
use serde_json::json;
use tokio::task::JoinSet;

use crate::support::GatewayFleet;

/// Service of the servers under test.
const SERVICE: &str = "bulk";
/// Memory of all processes of a VM, by the settings of the gateways.
const VM_MEMORY_KB: u64 = 110 * 1024;
/// Requests at once at one gateway.
const CALLS: usize = 60;
/// Streams at once at one gateway.
const STREAMS: usize = 120;
/// Time for which their callers read nothing. A gateway closes a connection after 8 s without.
const STREAM_TIME: Duration = Duration::from_secs(7);
/// Number of servers of the service.
const SERVERS: usize = 3;
/// Time for which callers wait.
const TIME_LIMIT: Duration = Duration::from_secs(5);
/// Pause between two requests to the sound servers of another service.
const SOUND_PAUSE: Duration = Duration::from_millis(50);
/// Size of a large body, in bytes. Sixty of them are more than a VM's memory.
const LARGE_BYTES: usize = 2 * 1024 * 1024;
/// Size of the body of a usual response, in bytes. The largest of a plain service in the given sites
/// has 4,800.
const USUAL_BYTES: usize = 4_800;
/// Size of an event just below the largest that is passed on.
const EVENT_BYTES: usize = 200 * 1024;

/// Gateways with servers of a service that send one kind of response each, and sound ones of
/// another service.
struct BulkFleet {
    fleet: GatewayFleet,
    servers: Vec<BulkServer>,
    next_id: usize,
}

impl BulkFleet {
    /// Starts three servers of each kind of response, each kind as a service, to whose number paths
    /// under `/bulk-` lead.
    async fn start(name: &str, responses: &[BulkResponse]) -> BulkFleet {
        let fleet = GatewayFleet::start(name, 0).await;
        let plan = ManifestSpec { version: 2, extra_routes: 0, keys: vec!["key".to_owned()] };
        let mut plan = plan.to_json();
        let mut servers = Vec::new();
        for (index, response) in responses.iter().enumerate() {
            let service = format!("{SERVICE}-{index}");
            plan["routes"].as_array_mut().unwrap().push(json!({
                "name": service, "host": "desk.example", "path_prefix": format!("/{service}/"),
                "kind": "non_idempotent", "timeout_ms": TIME_LIMIT.as_millis() as u64,
                "target_latency_ms": 1_500, "priority": 0, "service": service,
                "max_attempts": 1, "public": false, "gap_target_ms": 180,
            }));
            plan["services"].as_array_mut().unwrap().push(json!({
                "name": service, "health_path": "/health", "max_connections": 300,
                "cold_start_s": 0.0, "cold_per_s": 0.0,
            }));
            for number in 0..SERVERS {
                let server = BulkServer::start(*response).await;
                let registration = server.registration(&service, 1);
                fleet.store.put_server(&format!("i-{service}-{number}"), &registration);
                servers.push(server);
            }
        }
        fleet.store.put_order("config", &plan);
        let mut bulk = BulkFleet { fleet, servers, next_id: 0 };
        bulk.fleet.start_gateways().await;
        bulk
    }

    /// Starts three engines of the fleet's only service for streams.
    async fn start_streams(name: &str, response: BulkResponse) -> BulkFleet {
        let fleet = GatewayFleet::start(name, 0).await;
        let plan = ManifestSpec { version: 2, extra_routes: 0, keys: vec!["key".to_owned()] };
        let plan = plan.to_json().to_string().replace("\"engines\"", &format!("\"{SERVICE}\""));
        let plan = plan.replace("\"kv_capacity_tokens\":100000", "\"kv_capacity_tokens\":1000000");
        fleet.store.put_order("config", &serde_json::from_str(&plan).unwrap());
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            let server = BulkServer::start(response).await;
            fleet.store.put_server(&format!("i-{number}"), &server.registration(SERVICE, 1));
            servers.push(server);
        }
        let mut bulk = BulkFleet { fleet, servers, next_id: 0 };
        bulk.fleet.start_gateways().await;
        bulk
    }

    fn address(&self) -> SocketAddr {
        self.fleet.gateways[0].http_address
    }

    fn request(&mut self, path: &str) -> CallerRequest {
        self.next_id += 1;
        CallerRequest {
            id: format!("b-{}", self.next_id),
            method: "POST",
            path: path.to_owned(),
            key: "key".to_owned(),
            tokens: None,
            inner_parts: Vec::new(),
            body: Bytes::from_static(b"booking"),
            time_limit: TIME_LIMIT,
        }
    }

    /// Sends requests at once to the service of a response. Their callers read the bodies after
    /// `pause`.
    fn call(&mut self, index: usize, count: usize, pause: Duration) -> JoinSet<BulkReceipt> {
        let address = self.address();
        let mut calls = JoinSet::new();
        for _ in 0..count {
            let request = self.request(&format!("/{SERVICE}-{index}/x"));
            calls.spawn(async move { send_and_count(address, &request, pause).await });
        }
        calls
    }

    /// Sends requests for streams at once, whose callers read nothing for `time`.
    fn stream(&mut self, count: usize, time: Duration) -> JoinSet<()> {
        let address = self.address();
        let mut calls = JoinSet::new();
        for _ in 0..count {
            let request = self.fleet.stream_request(40);
            calls.spawn(async move { open_stream(address, &request, time).await });
        }
        calls
    }

    /// Sends requests to the sound servers until the calls have ended. Returns their number, and of
    /// how many the response was the right one.
    async fn call_sound<T: 'static>(&mut self, calls: &mut JoinSet<T>) -> (usize, usize) {
        let (mut sent, mut answered) = (0, 0);
        while !calls.is_empty() || sent == 0 {
            while calls.try_join_next().is_some() {}
            let request = self.request("/book/b");
            let response = send(self.address(), &request).await;
            sent += 1;
            let expected = format!("{} {}", request.id, request.body.len());
            answered += usize::from(response.status == Some(200) && response.body == expected);
            self.fleet.heartbeat();
            tokio::time::sleep(SOUND_PAUSE).await;
        }
        (sent, answered)
    }

    /// Returns the peak memory of the gateway that gets the requests, in KiB.
    fn peak_kb(&self) -> u64 {
        let process = self.fleet.gateways[0].process.id();
        let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    fn request_count(&self) -> usize {
        self.servers.iter().map(BulkServer::request_count).sum()
    }

    fn close(self) {
        self.fleet.close();
    }
}

/// Asserts that a gateway with many calls of one endless response keeps to the VM's memory and
/// answers the calls of other services.
async fn check_endless(name: &str, response: BulkResponse) {
    let mut bulk = BulkFleet::start(name, &[response]).await;

    let mut calls = bulk.call(0, CALLS, Duration::ZERO);
    let (sent, answered) = bulk.call_sound(&mut calls).await;

    let peak_kb = bulk.peak_kb();
    println!("{response:?}: peak {peak_kb} KiB, sound requests answered: {answered} of {sent}");
    assert!(bulk.request_count() >= CALLS, "only {} requests ran", bulk.request_count());
    assert!(peak_kb <= VM_MEMORY_KB, "{peak_kb} KiB of {VM_MEMORY_KB} at {response:?}");
    assert_eq!(answered, sent);
    bulk.close();
}

/// Guards against a gateway that keeps a response head without an end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_heads_stay_within_the_memory() {
    check_endless("endless-head", BulkResponse::EndlessHead).await;
}

/// Guards against a gateway that keeps bytes that are no response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_bytes_stay_within_the_memory() {
    check_endless("endless-bytes", BulkResponse::EndlessBytes).await;
}

/// Guards against bodies in chunks that are each within the limit of a response and together take
/// more memory than the VM has.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_chunks_stay_within_the_memory() {
    check_endless("endless-chunks", BulkResponse::EndlessChunks).await;
}

/// Guards against the same of bodies without a length.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_unframed_bodies_stay_within_the_memory() {
    check_endless("endless-unframed", BulkResponse::EndlessUnframed).await;
}

/// Asserts the same for streams whose callers read nothing.
async fn check_endless_streams(name: &str, response: BulkResponse) {
    let mut bulk = BulkFleet::start_streams(name, response).await;

    let mut calls = bulk.stream(STREAMS, STREAM_TIME);
    let (sent, answered) = bulk.call_sound(&mut calls).await;

    let peak_kb = bulk.peak_kb();
    println!("{response:?}: peak {peak_kb} KiB, sound requests answered: {answered} of {sent}");
    assert!(bulk.request_count() >= STREAMS, "only {} streams ran", bulk.request_count());
    assert!(peak_kb <= VM_MEMORY_KB, "{peak_kb} KiB of {VM_MEMORY_KB} at {response:?}");
    assert_eq!(answered, sent);
    bulk.close();
}

/// Guards against large events that wait for callers who do not read their streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn events_for_slow_callers_stay_within_the_memory() {
    check_endless_streams("endless-events", BulkResponse::EndlessEvents(EVENT_BYTES)).await;
}

/// Guards against many events without an end, which are kept until they are complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_events_stay_within_the_memory() {
    check_endless_streams("endless-event", BulkResponse::EndlessEvent).await;
}

/// Guards against large bodies that wait, complete, for callers who do not read them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_for_slow_callers_stay_within_the_memory() {
    let mut bulk = BulkFleet::start("bulk-slow", &[BulkResponse::Length(2 * LARGE_BYTES)]).await;

    let mut calls = bulk.call(0, CALLS, Duration::from_secs(3));
    let (sent, answered) = bulk.call_sound(&mut calls).await;

    let peak_kb = bulk.peak_kb();
    println!("slow callers: peak {peak_kb} KiB, sound requests answered: {answered} of {sent}");
    assert!(peak_kb <= VM_MEMORY_KB, "{peak_kb} KiB of {VM_MEMORY_KB}");
    assert_eq!(answered, sent);
    bulk.close();
}

/// Guards against a limit on memory that fails large sound responses, which together are more than
/// it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_large_responses_arrive_whole() {
    let responses = [BulkResponse::Length(LARGE_BYTES), BulkResponse::Chunks(LARGE_BYTES)];
    let mut bulk = BulkFleet::start("bulk-large", &responses).await;

    for (index, response) in responses.iter().enumerate() {
        let receipts = bulk.call(index, CALLS, Duration::ZERO).join_all().await;

        let whole = count_whole(&receipts, LARGE_BYTES);
        println!("{response:?}: {whole} of {CALLS} arrived whole");
        assert_eq!(whole, CALLS, "{receipts:?}");
    }
    let peak_kb = bulk.peak_kb();
    println!("peak {peak_kb} KiB");
    assert!(peak_kb <= VM_MEMORY_KB, "{peak_kb} KiB of {VM_MEMORY_KB}");
    bulk.close();
}

/// Guards against endless responses that take the memory of sound ones: usual ones in chunks, and
/// large ones that state their length.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_responses_arrive_beside_endless_ones() {
    let responses = [
        BulkResponse::EndlessChunks,
        BulkResponse::Length(LARGE_BYTES),
        BulkResponse::Chunks(USUAL_BYTES),
    ];
    let mut bulk = BulkFleet::start("bulk-beside", &responses).await;

    let endless = bulk.call(0, CALLS, Duration::ZERO);
    let large = bulk.call(1, CALLS / 4, Duration::ZERO);
    let usual = bulk.call(2, CALLS, Duration::ZERO);
    let (large, usual) = (large.join_all().await, usual.join_all().await);
    endless.join_all().await;

    let peak_kb = bulk.peak_kb();
    println!("peak {peak_kb} KiB");
    assert_eq!(count_whole(&large, LARGE_BYTES), CALLS / 4, "{large:?}");
    assert_eq!(count_whole(&usual, USUAL_BYTES), CALLS, "{usual:?}");
    assert!(peak_kb <= VM_MEMORY_KB, "{peak_kb} KiB of {VM_MEMORY_KB}");
    bulk.close();
}

fn count_whole(receipts: &[BulkReceipt], size: usize) -> usize {
    let whole = BulkReceipt { status: Some(200), body_bytes: size, is_complete: true };
    receipts.iter().filter(|receipt| **receipt == whole).count()
}
