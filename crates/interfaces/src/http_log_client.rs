//! Client of the log service over HTTP.
//!
//! `POST /topics/{topic}` appends the body and answers `{"offset": n}`.
//! `GET /topics/{topic}?from=n&wait_ms=m` answers a JSON header line
//! `{"first_available", "end", "sizes": [[offset, bytes], ...]}` followed by the record bodies.

use std::{net::SocketAddr, time::Duration};

use bytes::{Buf, Bytes};
use dragonflycart_core::LogOffset;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    BoxFuture, LogError, LogRecord, LogService, LogTopic, ReadBatch,
    http_transport::{ExchangeError, HttpTransport},
};

/// Longest wait for the answer to an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time added to the requested wait of a read before the read counts as failed.
const READ_GRACE: Duration = Duration::from_secs(2);

#[derive(Serialize, Deserialize)]
struct AppendAnswer {
    offset: u64,
}

#[derive(Deserialize)]
struct ReadHeader {
    first_available: u64,
    end: u64,
    sizes: Vec<(u64, usize)>,
}

#[derive(Deserialize)]
struct ExpiredAnswer {
    first_available: u64,
}

#[derive(Deserialize)]
struct TooLargeAnswer {
    limit: usize,
}

/// Log service met over HTTP.
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
        let answer = self.transport.exchange(Method::POST, &path, body, APPEND_TIMEOUT).await;
        let (status, body) = answer.map_err(|error| match error {
            ExchangeError::NotSent => LogError::Unavailable,
            ExchangeError::MaybeSent => LogError::ResponseLost,
        })?;
        match status {
            StatusCode::OK => {
                let answer: AppendAnswer =
                    serde_json::from_slice(&body).map_err(|_| LogError::ResponseLost)?;
                Ok(LogOffset(answer.offset))
            }
            StatusCode::PAYLOAD_TOO_LARGE => {
                let answer: TooLargeAnswer =
                    serde_json::from_slice(&body).map_err(|_| LogError::Unavailable)?;
                Err(LogError::TooLarge { found, limit: answer.limit })
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
        let answer =
            self.transport.exchange(Method::GET, &path, Bytes::new(), wait + READ_GRACE).await;
        let (status, body) = answer.map_err(|_| LogError::Unavailable)?;
        match status {
            StatusCode::OK => parse_batch(body).ok_or(LogError::Unavailable),
            StatusCode::GONE => {
                let answer: ExpiredAnswer =
                    serde_json::from_slice(&body).map_err(|_| LogError::Unavailable)?;
                Err(LogError::Expired { first_available: LogOffset(answer.first_available) })
            }
            _ => Err(LogError::Unavailable),
        }
    }
}

/// Parses the header line and the record bodies; returns `None` for a truncated answer.
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
