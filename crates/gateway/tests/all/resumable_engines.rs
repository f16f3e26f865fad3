//! Engines that respond to the requests for a stream by a script for each request.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Time for which an engine that holds a connection waits for its end.
const HOLD_LIMIT: Duration = Duration::from_secs(20);

/// Part of a script. The connection is closed at the end of a script.
#[derive(Debug, Clone)]
pub(crate) enum Piece {
    /// Sends this text.
    Send(String),
    /// Sends nothing for this time.
    Pause(Duration),
    /// Waits until the gateway closes the connection.
    Hold,
    /// Sends this text again and again until the gateway closes the connection.
    Repeat(&'static str),
}

/// Request that reached an engine.
#[derive(Debug, Clone)]
pub(crate) struct SeenRequest {
    /// Index of the engine.
    pub(crate) engine: usize,
    /// Head of the request.
    pub(crate) head: String,
    /// Time of its arrival.
    pub(crate) arrived: Instant,
    /// Time at which the gateway closed the connection, if the engine was holding it.
    pub(crate) closed: Option<Instant>,
}

impl SeenRequest {
    /// Returns the values of the header that names the last event.
    pub(crate) fn last_event_ids(&self) -> Vec<&str> {
        self.head.lines().filter_map(|line| line.strip_prefix("last-event-id: ")).collect()
    }
}

/// Engines on the loopback interface.
pub(crate) struct ResumableEngines {
    /// Addresses.
    pub(crate) addresses: Vec<SocketAddr>,
    requests: Arc<Mutex<Vec<SeenRequest>>>,
    listeners: Vec<tokio::task::AbortHandle>,
}

impl ResumableEngines {
    /// Starts engines. The n-th request, at whichever engine, gets the n-th script; further ones get
    /// no response.
    pub(crate) async fn start(count: usize, scripts: Vec<Vec<Piece>>) -> ResumableEngines {
        let requests = Arc::<Mutex<Vec<SeenRequest>>>::default();
        let scripts = Arc::new(scripts);
        let (mut addresses, mut listeners) = (Vec::new(), Vec::new());
        for engine in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            addresses.push(listener.local_addr().unwrap());
            let (requests, scripts) = (Arc::clone(&requests), Arc::clone(&scripts));
            let task = tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (requests, scripts) = (Arc::clone(&requests), Arc::clone(&scripts));
                    tokio::spawn(serve(stream, engine, scripts, requests));
                }
            });
            listeners.push(task.abort_handle());
        }
        ResumableEngines { addresses, requests, listeners }
    }

    /// Closes the listener of an engine, as when its process ends.
    pub(crate) fn stop_listening(&self, engine: usize) {
        self.listeners[engine].abort();
    }

    /// Returns the requests that reached engines so far.
    pub(crate) fn requests(&self) -> Vec<SeenRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Waits until this many requests have reached engines.
    pub(crate) async fn wait_requests(&self, count: usize) {
        while self.requests.lock().unwrap().len() < count {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Returns the head of a response with events.
pub(crate) fn stream_head(signature: &str) -> Piece {
    Piece::Send(format!(
        "HTTP/1.1 200 OK\r\nx-echo-id: a1\r\nx-signature: {signature}\r\n\
         transfer-encoding: chunked\r\n\r\n"
    ))
}

/// Returns a response without a body.
pub(crate) fn empty_response(status: u16, marks: &str) -> Piece {
    Piece::Send(format!("HTTP/1.1 {status} X\r\nx-echo-id: a1\r\n{marks}content-length: 0\r\n\r\n"))
}

/// Returns a chunk with this text.
pub(crate) fn chunk(text: &str) -> Piece {
    Piece::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// Returns events with these IDs, each in a chunk.
pub(crate) fn events(ids: std::ops::Range<u64>) -> Piece {
    let chunks = ids.map(|id| {
        let event = format!("id: {id}\ndata: word {id}\n\n");
        format!("{:x}\r\n{event}\r\n", event.len())
    });
    Piece::Send(chunks.collect())
}

/// Returns the last chunk.
pub(crate) fn end() -> Piece {
    Piece::Send("0\r\n\r\n".to_owned())
}

async fn serve(
    mut stream: TcpStream,
    engine: usize,
    scripts: Arc<Vec<Vec<Piece>>>,
    requests: Arc<Mutex<Vec<SeenRequest>>>,
) {
    let mut buffer = vec![0; 8_192];
    let Ok(read @ 1..) = stream.read(&mut buffer).await else { return };
    let head = String::from_utf8_lossy(&buffer[..read]).into_owned();
    let number = {
        let mut requests = requests.lock().unwrap();
        requests.push(SeenRequest { engine, head, arrived: Instant::now(), closed: None });
        requests.len() - 1
    };
    for piece in scripts.get(number).cloned().unwrap_or_default() {
        match piece {
            Piece::Send(text) => {
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            Piece::Pause(time) => tokio::time::sleep(time).await,
            Piece::Hold => {
                let read = tokio::time::timeout(HOLD_LIMIT, stream.read(&mut buffer)).await;
                if matches!(read, Ok(Ok(0) | Err(_))) {
                    requests.lock().unwrap()[number].closed = Some(Instant::now());
                }
            }
            Piece::Repeat(text) => {
                let text = text.repeat(4_096 / text.len());
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                while stream.write_all(chunk.as_bytes()).await.is_ok() {}
                requests.lock().unwrap()[number].closed = Some(Instant::now());
            }
        }
    }
}
