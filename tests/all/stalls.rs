//! Tests of real gateway processes with engines whose streams are slow or stall.

use std::time::Duration;

use dragonflycart_standins::{CallerResponse, EngineScript, ManifestSpec, ScriptedEngine, send};

use crate::support::GatewayFleet;

/// Service of the scripted engine.
const SERVICE: &str = "scripted";
/// Time within which a stalled stream must have ended. Callers leave after six seconds without an
/// event on the route, whose time limit is 20 s.
const STALL_TIMEOUT: Duration = Duration::from_secs(12);

/// Sends a request for a stream to an engine that follows `script`.
async fn stream_from(name: &str, script: EngineScript) -> CallerResponse {
    let mut fleet = GatewayFleet::start(name, 0).await;
    let engine = ScriptedEngine::start(script).await;
    let plan = ManifestSpec { version: 2, extra_routes: 0, keys: vec!["key".to_owned()] };
    let plan = plan.to_json().to_string().replace("\"engines\"", &format!("\"{SERVICE}\""));
    fleet.store.put_order("config", &serde_json::from_str(&plan).unwrap());
    fleet.store.put_server("i-scripted", &engine.registration(SERVICE));
    fleet.start_gateways().await;
    let request = fleet.stream_request(40);
    let response =
        tokio::time::timeout(STALL_TIMEOUT, send(fleet.gateways[0].http_address, &request))
            .await
            .unwrap_or_else(|_| panic!("{script:?}: the stream never ends"));
    fleet.close();
    engine.close();
    response
}

/// Guards against a stream that seems alive because its engine sends something that is no event.
/// It kept its caller and its place until the time limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_stream_is_ended_as_incomplete() {
    let pause = Duration::from_millis(300);
    let (comments, bytes, only_comments) = tokio::join!(
        stream_from("stall-comments", EngineScript::Comments(pause)),
        stream_from("stall-bytes", EngineScript::Bytes(pause)),
        stream_from("stall-start", EngineScript::OnlyComments(pause)),
    );

    for response in [&comments, &bytes, &only_comments] {
        assert_eq!(response.status, Some(200));
        assert!(!response.is_complete, "{response:?}");
    }
    assert!(comments.body.starts_with(b"id: 0\n"));
    assert_eq!(&bytes.body[..], b"id: 0\ndata: x\n\n", "no part of an event is passed on");
}

/// Guards against a stream that an engine holds open with comments, which it sends without pause: the
/// gateway read them, and did not look at its time limits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_comments_without_pause_is_ended_as_incomplete() {
    let comment = format!(": {}\n\n", "wait ".repeat(200)).leak();

    let response = stream_from("flood-comments", EngineScript::Flood(comment)).await;

    assert_eq!((response.status, response.is_complete), (Some(200), false));
    assert!(response.body.starts_with(b"id: 0\ndata: x\n\n: wait"));
}

/// Guards against the same with an event that was passed on before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_that_repeats_an_event_without_pause_is_ended_as_incomplete() {
    let event = "id: 0\ndata: x\n\n";

    let response = stream_from("flood-repeated", EngineScript::Flood(event)).await;

    assert_eq!((response.status, response.is_complete), (Some(200), false));
    assert_eq!(&response.body[..], event.as_bytes(), "an event is passed on once");
}

/// Guards against a slow stream that is cut although each event arrives in time for its caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_stream_arrives_whole() {
    let script = EngineScript::Events(4, Duration::from_millis(2_200));

    let response = stream_from("slow-stream", script).await;

    assert!(response.is_complete, "{response:?}");
    assert!(String::from_utf8_lossy(&response.body).contains("id: 3\n"));
}

/// Guards against an engine that ends before the first event of a response without length or chunks:
/// the stream looked complete to the caller. One that ends after an event is complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unframed_stream_without_an_event_is_incomplete() {
    let pause = Duration::from_millis(20);
    let (empty, whole) = tokio::join!(
        stream_from("unframed-empty", EngineScript::Unframed(0, pause)),
        stream_from("unframed-whole", EngineScript::Unframed(2, pause)),
    );

    assert!(!empty.is_complete, "{empty:?}");
    assert!(whole.is_complete, "{whole:?}");
    assert!(String::from_utf8_lossy(&whole.body).contains("id: 1\n"));
}
