//! Tests of real gateway processes with engines whose streams are slow or stall.

use std::{net::SocketAddr, time::Duration};

use dragonflycart_standins::{CallerResponse, ManifestSpec, send};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::support::GatewayFleet;

/// Service of the scripted engine.
const SERVICE: &str = "scripted";
/// Time within which a stalled stream must have ended. Callers leave after six seconds without an
/// event on the route, whose time limit is 20 s.
const STALL_TIMEOUT: Duration = Duration::from_secs(12);

/// What an engine sends after the response head.
#[derive(Debug, Clone, Copy)]
enum EngineScript {
    /// This many events, each after a pause, and the end of the stream.
    Events(u64, Duration),
    /// One event, then comments without end.
    Comments(Duration),
    /// One event, then single bytes of another one without end.
    Bytes(Duration),
    /// No event, but comments without end.
    OnlyComments(Duration),
}

async fn start_engine(script: EngineScript) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(run_script(stream, script));
        }
    });
    address
}

async fn send_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await
}

async fn run_script(mut stream: TcpStream, script: EngineScript) -> std::io::Result<()> {
    let mut request = Vec::new();
    while !request.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    let text = String::from_utf8_lossy(&request).into_owned();
    let attempt =
        text.lines().find_map(|line| line.strip_prefix("attempt-id: ")).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    if matches!(script, EngineScript::Comments(_) | EngineScript::Bytes(_)) {
        send_chunk(&mut stream, "id: 0\ndata: x\n\n").await?;
    }
    match script {
        EngineScript::Events(count, pause) => {
            for id in 0..count {
                tokio::time::sleep(pause).await;
                send_chunk(&mut stream, &format!("id: {id}\ndata: x\n\n")).await?;
            }
            stream.write_all(b"0\r\n\r\n").await
        }
        EngineScript::Comments(pause) | EngineScript::OnlyComments(pause) => loop {
            tokio::time::sleep(pause).await;
            send_chunk(&mut stream, ": wait\n\n").await?;
        },
        EngineScript::Bytes(pause) => loop {
            tokio::time::sleep(pause).await;
            send_chunk(&mut stream, "y").await?;
        },
    }
}

fn registration(address: SocketAddr) -> Value {
    json!({
        "service": SERVICE, "address": address.to_string(), "zone": "a", "version": "v1",
        "slots": 24, "state": "ready", "cold_remaining_ms": 0, "born": 1, "sequence": 1,
    })
}

/// Sends a request for a stream to an engine that follows `script`.
async fn stream_from(name: &str, script: EngineScript) -> CallerResponse {
    let mut fleet = GatewayFleet::start(name, 0).await;
    let address = start_engine(script).await;
    let plan = ManifestSpec { version: 2, extra_routes: 0, keys: vec!["key".to_owned()] };
    let plan = plan.to_json().to_string().replace("\"engines\"", &format!("\"{SERVICE}\""));
    fleet.store.put_order("config", &serde_json::from_str(&plan).unwrap());
    fleet.store.put_server("i-scripted", &registration(address));
    fleet.start_gateways().await;
    let request = fleet.stream_request(40);
    let response =
        tokio::time::timeout(STALL_TIMEOUT, send(fleet.gateways[0].http_address, &request))
            .await
            .unwrap_or_else(|_| panic!("{script:?}: the stream never ends"));
    fleet.close();
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

/// Guards against a slow stream that is cut although each event arrives in time for its caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_stream_arrives_whole() {
    let script = EngineScript::Events(4, Duration::from_millis(2_200));

    let response = stream_from("slow-stream", script).await;

    assert!(response.is_complete, "{response:?}");
    assert!(String::from_utf8_lossy(&response.body).contains("id: 3\n"));
}
