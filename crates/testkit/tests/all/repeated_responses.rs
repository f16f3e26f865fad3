//! Tests of the clients with a server that repeats its earlier response on a connection in use
//! again.

use std::{net::SocketAddr, time::Duration};

use dragonflycart_engine::{
    EngineClient, EngineError, HttpEngineClient, HttpServiceClient, ServiceClient,
    protocol::REQUEST_ID_HEADER,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::fixtures::short_options;

/// Which response a server sends to a further request on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RepeatedResponse {
    /// A copy of the response before, and then the right one.
    First,
    /// The response that the request before should have got, so that it is late by one each time.
    Only,
}

/// Starts a server that responds to its n-th request, counted over all connections from 0, with
/// `respond(n, request)`.
async fn repeating_server(
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

fn header<'a>(request: &'a str, name: &str) -> &'a str {
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
