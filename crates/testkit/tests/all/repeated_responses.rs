//! Tests of the clients with a server that repeats its earlier response on a connection in use
//! again.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use dragonflycart_core::LogOffset;
use dragonflycart_engine::{
    EngineClient, EngineError, HttpEngineClient, HttpServiceClient, ServiceClient,
    protocol::REQUEST_ID_HEADER,
};
use dragonflycart_interfaces::{
    HttpLogClient, HttpVmDirectoryClient, HttpWeightStoreClient, LogService, LogTopic, VmDirectory,
    WeightStore, WeightStoreError,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::fixtures::{model, short_options, version};

/// Which response a server sends to a further request on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RepeatedResponse {
    /// A copy of the response before, and then the right one.
    First,
    /// The response that the request before should have got, so that it is late by one each time.
    Only,
}

/// Starts a server that responds to its n-th request, counted over all connections from 0, with
/// `respond(n, request)`.
pub(crate) async fn repeating_server(
    repeated: RepeatedResponse,
    respond: fn(usize, &str) -> String,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        let count = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = std::sync::Arc::clone(&count);
            connections.spawn(async move {
                let mut before: Option<String> = None;
                while let Some(request) = read_request(&mut stream).await {
                    let number = count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let own = respond(number, &request);
                    let sent = match (&before, repeated) {
                        (None, _) => own.clone(),
                        (Some(before), RepeatedResponse::First) => format!("{before}{own}"),
                        (Some(before), RepeatedResponse::Only) => before.clone(),
                    };
                    if stream.write_all(sent.as_bytes()).await.is_err() {
                        return;
                    }
                    before = Some(own);
                }
            });
        }
    });
    address
}

/// Reads a request with its body. Returns `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() >= header(head, "content-length").parse().unwrap_or(0)
        {
            return Some(text);
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

pub(crate) fn header<'a>(request: &'a str, name: &str) -> &'a str {
    let value = request.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    value.unwrap_or_default()
}

fn response(request: &str, body: &str) -> String {
    let id = header(request, REQUEST_ID_HEADER);
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\n{REQUEST_ID_HEADER}: {id}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Waits until a client has put its connection back.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(20)).await;
}

/// Guards against an append that is reported at the offset of the append before it, and against a
/// read that returns the records of another topic.
#[tokio::test]
async fn second_copy_of_a_response_of_the_log_does_not_answer_the_next_request() {
    let address = repeating_server(RepeatedResponse::First, |number, request| {
        if request.starts_with("POST") {
            return response(request, &format!("{{\"offset\":{number}}}"));
        }
        let text = format!("{number}");
        let head = format!("{{\"first_available\":0,\"end\":9,\"sizes\":[[0,{}]]}}", text.len());
        response(request, &format!("{head}\n{text}"))
    })
    .await;
    let log = HttpLogClient::new(address);

    let mut offsets = Vec::new();
    for _ in 0..2 {
        offsets.push(log.append(LogTopic::Calls, Bytes::from_static(b"x")).await);
        settle().await;
    }
    let mut texts = Vec::new();
    for topic in [LogTopic::Calls, LogTopic::Plan] {
        let batch = log.read(topic, LogOffset(0), Duration::ZERO).await.unwrap();
        texts.push(batch.records[0].body.clone());
        settle().await;
    }

    assert_eq!(offsets, [Ok(LogOffset(0)), Ok(LogOffset(1))]);
    assert_eq!(texts, [Bytes::from_static(b"2"), Bytes::from_static(b"3")]);
}

/// Guards against a list of VMs that is older than its request.
#[tokio::test]
async fn second_copy_of_the_vm_list_does_not_answer_the_next_request() {
    let address = repeating_server(RepeatedResponse::First, |number, request| {
        let entry = r#"{"address":"127.0.0.1:9","zone":"dobele","state":"leaving"}"#;
        response(request, &format!("[{}]", vec![entry; number].join(",")))
    })
    .await;
    let directory = HttpVmDirectoryClient::new(address);

    let mut counts = Vec::new();
    for _ in 0..3 {
        counts.push(directory.list().await.map(|entries| entries.len()));
        settle().await;
    }

    assert_eq!(counts, [Ok(0), Ok(1), Ok(2)]);
}

/// Guards against a load that starts although the weight store refused it.
#[tokio::test]
async fn second_copy_of_a_permission_does_not_allow_the_next_load() {
    let address = repeating_server(RepeatedResponse::First, |number, request| {
        if number == 0 {
            return response(request, "");
        }
        let body = r#"{"retry_after_ms":40}"#;
        let refusal = response(request, body);
        refusal.replace("200 OK", "429 Too Many Requests")
    })
    .await;
    let weights = HttpWeightStoreClient::new(address);

    let first = weights.begin_load(&model(), &version("v1")).await;
    settle().await;
    let second = weights.begin_load(&model(), &version("v2")).await;

    assert_eq!(first, Ok(()));
    let retry_after = Duration::from_millis(40);
    assert_eq!(second, Err(WeightStoreError::RateLimited { retry_after }));
}

fn report(number: usize, request: &str) -> String {
    let body = format!(
        "{{\"instance\":1,\"cold\":false,\"bears\":8,\"leaving\":false,\"running\":{number},\
         \"waiting\":0,\"memory_used_tokens\":0,\"memory_total_tokens\":9,\"preemptions\":0,\
         \"running_by_seat\":[],\"loaded\":[],\"highest_fence\":{{\"revision\":0,\"sequence\":0}}}}"
    );
    response(request, &body)
}

/// Guards against a load report that is taken for the next one, and against a connection that is
/// kept although its responses are late by one, so that no later report is read.
#[tokio::test]
async fn connection_with_late_load_reports_is_not_used_again() {
    for repeated in [RepeatedResponse::First, RepeatedResponse::Only] {
        let engine = HttpEngineClient::new(repeating_server(repeated, report).await);
        let service =
            HttpServiceClient::new(repeating_server(repeated, report).await, short_options());

        let (mut engine_reports, mut service_reports) = (Vec::new(), Vec::new());
        for _ in 0..3 {
            engine_reports.push(engine.report().await.map(|report| report.running));
            service_reports.push(service.report().await.ok().map(|report| report.running));
            settle().await;
        }

        assert_eq!(engine_reports, [Ok(0), Err(EngineError::Protocol), Ok(2)], "{repeated:?}");
        assert_eq!(service_reports, [Some(0), None, Some(2)], "{repeated:?}");
    }
}
