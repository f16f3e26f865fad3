//! Responses of the platform that come a second time.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use dragonflycart_core::LogOffset;
use dragonflycart_interfaces::{HttpLogClient, LogError, LogService, LogTopic};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Time in which a response is sent completely.
const SEND_TIME: Duration = Duration::from_millis(50);

/// Starts a log service that counts appends from 1, and sends the response to the last append on a
/// connection once more before the response to the next one there.
async fn repeating_log() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let end = Arc::new(AtomicU64::new(0));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&end)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, end: Arc<AtomicU64>) {
    let mut buffer = [0; 4_096];
    let mut last = String::new();
    while let Ok(1..) = stream.read(&mut buffer).await {
        let body = format!(r#"{{"offset":{}}}"#, end.fetch_add(1, Ordering::Relaxed) + 1);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let response = format!("{head}{body}");
        // The client may close the connection after the first response.
        drop(stream.write_all(last.as_bytes()).await);
        tokio::time::sleep(SEND_TIME).await;
        drop(stream.write_all(response.as_bytes()).await);
        last = response;
    }
}

async fn append(log: &HttpLogClient) -> Result<LogOffset, LogError> {
    log.append(LogTopic::Calls, Bytes::from_static(b"record")).await
}

/// Guards against a late second copy of a response that is taken for the response to the next call:
/// an append would count as written, at an offset that it does not have.
#[tokio::test]
async fn late_copy_of_a_response_does_not_answer_the_next_call() {
    let log = HttpLogClient::new(repeating_log().await);

    let mut offsets = Vec::new();
    for _ in 0..3 {
        offsets.push(append(&log).await);
    }

    assert_eq!(offsets, [Ok(LogOffset(1)), Ok(LogOffset(2)), Ok(LogOffset(3))]);
}
