//! HTTP client of the log service.
//!
//! `POST /topics/{topic}` appends the request body as a record and returns `{"offset": n}`.
//! `GET /topics/{topic}?from=n&wait_ms=m` returns a line of JSON,
//! `{"first_available", "end", "sizes": [[offset, bytes], ...]}`, followed by the record bodies.

use std::{net::SocketAddr, time::Duration};

use bytes::{Buf, Bytes};
use dragonflycart_core::LogOffset;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    BoxFuture, LogError, LogRecord, LogService, LogTopic, ReadBatch,
    http_transport::{HttpTransport, TransportError},
};

/// Timeout for an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time by which the timeout of a read exceeds the time that the read may wait for records.
const READ_GRACE: Duration = Duration::from_secs(2);

#[derive(Serialize, Deserialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Deserialize)]
struct ReadHeader {
    first_available: u64,
    end: u64,
    sizes: Vec<(u64, usize)>,
}

#[derive(Deserialize)]
struct ExpiredResponse {
    first_available: u64,
}

#[derive(Deserialize)]
struct TooLargeResponse {
    limit: usize,
}

/// HTTP client of the log service.
pub struct HttpLogClient {
    transport: HttpTransport,
}

impl HttpLogClient {
    /// Builds a client for the log service at `address`.
    pub fn new(address: SocketAddr) -> HttpLogClient {
        HttpLogClient { transport: HttpTransport::new(address) }
    }

    async fn append_record(&self, topic: LogTopic, body: Bytes) -> Result<LogOffset, LogError> {
        let found = body.len();
        let path = format!("/topics/{topic}");
        let response = self.transport.send(Method::POST, &path, body, APPEND_TIMEOUT).await;
        let (status, body) = response.map_err(|error| match error {
            TransportError::NotSent => LogError::Unavailable,
            TransportError::MaybeSent => LogError::ResponseLost,
        })?;
        match status {
            StatusCode::OK => {
                let response: AppendResponse =
                    serde_json::from_slice(&body).map_err(|_| LogError::ResponseLost)?;
                Ok(LogOffset(response.offset))
            }
            StatusCode::PAYLOAD_TOO_LARGE => {
                let response: TooLargeResponse =
                    serde_json::from_slice(&body).map_err(|_| LogError::Unavailable)?;
                Err(LogError::TooLarge { found, limit: response.limit })
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(LogError::Unavailable)
            }
            _ => Err(LogError::ResponseLost),
        }
    }

    async fn read_records(
        &self,
        topic: LogTopic,
        from: LogOffset,
        wait: Duration,
    ) -> Result<ReadBatch, LogError> {
        let path = format!("/topics/{topic}?from={}&wait_ms={}", from.0, wait.as_millis());
        let response =
            self.transport.send(Method::GET, &path, Bytes::new(), wait + READ_GRACE).await;
        let (status, body) = response.map_err(|_| LogError::Unavailable)?;
        match status {
            StatusCode::OK => parse_batch(body).ok_or(LogError::Unavailable),
            StatusCode::GONE => {
                let response: ExpiredResponse =
                    serde_json::from_slice(&body).map_err(|_| LogError::Unavailable)?;
                Err(LogError::Expired { first_available: LogOffset(response.first_available) })
            }
            _ => Err(LogError::Unavailable),
        }
    }
}

/// Parses the header line and the record bodies. Returns `None` if they are malformed or truncated.
fn parse_batch(mut body: Bytes) -> Option<ReadBatch> {
    let line_end = body.iter().position(|byte| *byte == b'\n')?;
    let header: ReadHeader = serde_json::from_slice(&body[..line_end]).ok()?;
    body.advance(line_end + 1);
    let mut records = Vec::with_capacity(header.sizes.len());
    for (offset, size) in header.sizes {
        if body.len() < size {
            return None;
        }
        records.push(LogRecord { offset: LogOffset(offset), body: body.split_to(size) });
    }
    Some(ReadBatch {
        first_available: LogOffset(header.first_available),
        end: LogOffset(header.end),
        records,
    })
}

impl LogService for HttpLogClient {
    fn append(&self, topic: LogTopic, body: Bytes) -> BoxFuture<'_, Result<LogOffset, LogError>> {
        Box::pin(self.append_record(topic, body))
    }

    fn read(
        &self,
        topic: LogTopic,
        from: LogOffset,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ReadBatch, LogError>> {
        Box::pin(self.read_records(topic, from, wait))
    }
}
