//! Tests of real gateway processes: planned stops, abandoned streams and a log that nobody reads.

use std::{
    io::Read,
    process::{Command, Stdio},
    time::Duration,
};

use dragonflycart_standins::send;
use tokio::{task::JoinSet, time::Instant};

use crate::support::GatewayFleet;

/// Returns how many times requests ran, on either version.
fn runs(fleet: &GatewayFleet) -> usize {
    let (old, new) = fleet.runs_by_version();
    old + new
}

/// Guards against accepting requests later than three seconds after SIGTERM. A request that is
/// accepted may not be abandoned, and a long one can't end within the grace period: one that
/// arrived after 3.17 seconds was broken off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_three_seconds_after_the_stop_is_not_taken() {
    let mut fleet = GatewayFleet::start("late-request", 0).await;
    fleet.start_gateways().await;
    fleet.send_request();
    fleet.send_request();
    assert_eq!(fleet.success_share().await, 1.0, "both gateways serve");
    let before = runs(&fleet);
    let stopped = Instant::now();
    for gateway in &mut fleet.gateways {
        gateway.process.terminate().unwrap();
    }

    tokio::time::sleep_until(stopped + Duration::from_millis(1_500)).await;
    fleet.send_request();
    fleet.success_share().await;
    let early = runs(&fleet);
    tokio::time::sleep_until(stopped + Duration::from_millis(3_020)).await;
    fleet.send_request();
    fleet.send_request();
    fleet.success_share().await;

    assert_eq!(
        early,
        before + 1,
        "requests are served until the load balancer has noticed the stop"
    );
    assert_eq!(runs(&fleet), early, "a request was taken after three seconds");
    fleet.close();
}

/// Guards against a VM that exits at once in a planned stop and so breaks off its open streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn open_streams_end_whole_in_a_planned_stop() {
    let mut fleet = GatewayFleet::start("open-streams", 0).await;
    fleet.start_gateways().await;
    let http_address = fleet.gateways[0].http_address;
    let mut streams = JoinSet::new();
    for _ in 0..6 {
        // Takes six seconds of the grace period of eight.
        let request = fleet.stream_request(3_000);
        streams.spawn(async move { send(http_address, &request).await });
    }
    tokio::time::sleep(Duration::from_millis(500)).await;

    fleet.gateways[0].process.terminate().unwrap();
    let responses = streams.join_all().await;

    for response in responses {
        assert!(response.is_complete, "broken off after {} bytes", response.body.len());
        assert!(String::from_utf8_lossy(&response.body).contains("id: 749\n"));
    }
    fleet.close();
}

/// Guards against an engine that goes on generating for a caller that has disconnected, while other
/// requests wait for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generation_ends_soon_after_its_caller_left() {
    let mut fleet = GatewayFleet::start("caller-leaves", 0).await;
    fleet.start_gateways().await;
    let http_address = fleet.gateways[0].http_address;
    let request = fleet.stream_request(4_000);
    let id = request.id.clone();

    let left = tokio::time::timeout(Duration::from_millis(400), send(http_address, &request)).await;
    assert!(left.is_err(), "the stream takes eight seconds");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let soon = fleet.log.events(&id);
    tokio::time::sleep(Duration::from_millis(500)).await;

    assert!(soon > 0, "the generation had not begun");
    assert_eq!(
        fleet.log.events(&id),
        soon,
        "the engine still generates half a second after the caller left"
    );
    fleet.close();
}

/// Guards against requests that fail because the reader of the log stalls. Log lines may be lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reader_of_the_log_that_stalls_costs_no_request() {
    let mut fleet = GatewayFleet::start("stalled-reader", 0).await;
    fleet.start_gateways().await;
    let gateway = &mut fleet.gateways[0];
    gateway.process.kill().unwrap();
    let mut stalled = Command::new(env!("CARGO_BIN_EXE_dragonflycartd"))
        .args(["gateway".as_ref(), gateway.settings.as_os_str()])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = stalled.stdout.take().unwrap();
    log.read_exact(&mut [0]).unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;

    let status_address = fleet.gateways[0].status_address;
    let mut lost = 0.0;
    for _ in 0..400 {
        for _ in 0..60 {
            fleet.send_request_to(0);
        }
        assert_eq!(fleet.success_share().await, 1.0, "a request failed while the reader stalled");
        lost = fleet.metric(status_address, "dragonflycart_gateway_log_lines_lost").await;
        if lost > 0.0 {
            break;
        }
    }

    assert!(lost > 0.0, "the queue of log lines never filled up, so the test proves nothing");
    stalled.kill().unwrap();
    stalled.wait().unwrap();
    fleet.close();
}
