//! HTTP/1.1 connection to a backend server.
//!
//! This is implemented here and not with a client library, because a response must echo the attempt
//! ID of its request to be accepted. A late or extra response on a reused connection is skipped
//! without losing the right one. And when a response arrives before the whole request body was
//! sent, the connection must not be reused, since the server would take the rest of the body for
//! another request.

use std::{
    collections::VecDeque, io::ErrorKind, mem::MaybeUninit, net::SocketAddr, time::Duration,
};

use bytes::{Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::Instant,
};
use tracing::info;

use crate::{
    BodyFraming, ChunkDecoder, ConnectionError, DecodedChunk, MemoryReservation, ResponseHead,
    contacts::{ChannelContact, ExpectedResponse},
};

/// Maximum time to establish a connection. The latency between zones is some milliseconds. A lost
/// SYN packet is resent after one second, which is too late for plain requests.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// `TCP_USER_TIMEOUT`: the kernel closes a connection whose sent data stays unacknowledged for this
/// long.
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Idle time before the first TCP keep-alive probe, and interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an idle connection can be reused if the server states no limit.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Fraction of a server's stated idle limit that is used, so that a request does not race with the
/// server's close.
const IDLE_FRACTION: f64 = 0.6;
/// Maximum number of late responses to earlier requests that are skipped.
const SKIP_LIMIT: u32 = 3;
/// Maximum size of the bodies of these responses, in bytes. A whole stream fits.
const SKIP_LIMIT_BYTES: usize = 1024 * 1024;
/// Maximum time in which they are skipped.
const SKIP_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of informational responses before the final one.
const INFORMATIONAL_LIMIT: u32 = 64;
/// Maximum time from the first byte of a response head to its last one.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Free space in the buffer for the first read of a body, in bytes, and its maximum. It doubles each
/// time that a read fills it, so that only connections with large bodies have large buffers.
const FIRST_READ_BYTES: usize = 1024;
const LARGEST_READ_BYTES: usize = 16 * 1024;

/// Number of requests whose identities a connection remembers. Attempts of one request follow each
/// other closely.
const IDENTITIES_KEPT: usize = 16;

enum BodyState {
    Idle,
    Length(u64),
    Chunked(ChunkDecoder),
    UntilClose,
}

/// Connection that handles one request at a time.
pub struct ServerConnection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Free space in the buffer for the next read of a body, in bytes.
    read_bytes: usize,
    body: BodyState,
    was_used: bool,
    /// Identities of the latest requests, oldest first.
    served: VecDeque<String>,
    must_close: bool,
    was_closed: bool,
    /// Whether a write failed. The kernel reports a reset once, so that later reads see an orderly end.
    write_failed: bool,
    idle_limit: Duration,
    idle_since: Instant,
    /// Contact with the server while a request is in progress.
    contact: Option<ChannelContact>,
}

impl ServerConnection {
    /// Connects to a server, within the time that plain requests allow for it.
    ///
    /// # Errors
    ///
    /// As for [`ServerConnection::connect_within`].
    pub async fn connect(address: SocketAddr) -> Result<ServerConnection, ConnectionError> {
        ServerConnection::connect_within(address, CONNECT_TIMEOUT).await
    }

    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::NotListening`] if the server's machine refuses the connection, and
    /// [`ConnectionError::Unreachable`] if it can't be established within `limit`.
    pub async fn connect_within(
        address: SocketAddr,
        limit: Duration,
    ) -> Result<ServerConnection, ConnectionError> {
        let stream = tokio::time::timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| ConnectionError::Unreachable)?
            .map_err(|error| match error.kind() {
                ErrorKind::ConnectionRefused => ConnectionError::NotListening,
                _ => ConnectionError::Unreachable,
            })?;
        set_socket_options(&stream).map_err(|_| ConnectionError::Unreachable)?;
        Ok(ServerConnection {
            stream,
            buffer: BytesMut::new(),
            read_bytes: FIRST_READ_BYTES,
            body: BodyState::Idle,
            was_used: false,
            served: VecDeque::new(),
            must_close: false,
            was_closed: false,
            write_failed: false,
            idle_limit: DEFAULT_IDLE_LIMIT,
            idle_since: Instant::now(),
            contact: None,
        })
    }

    /// Reports the arrival of bytes to `contact` until the connection is idle again.
    pub(crate) fn follow(&mut self, contact: ChannelContact) {
        self.contact = Some(contact);
    }

    /// Makes the kernel discard what was not delivered when the connection is closed. Otherwise it
    /// goes on sending a call that was given up, and the call may arrive after a partition has ended.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::Closed`] if the option can't be set.
    pub fn discard_on_close(&self) -> Result<(), ConnectionError> {
        SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .map_err(|_| ConnectionError::Closed)
    }

    /// Returns whether the connection was used before.
    pub fn is_reused(&self) -> bool {
        self.was_used
    }

    /// Returns whether the request with this identity was sent on the connection before. The server
    /// may repeat its response, which could not be told from the response to a new attempt.
    pub fn has_served(&self, identity: &str) -> bool {
        self.served.iter().any(|served| served == identity)
    }

    /// Returns whether the connection can be reused: the last response was read completely, no
    /// bytes followed it, the server has not closed the connection, and its idle limit is not near.
    pub fn is_reusable(&mut self) -> bool {
        if self.must_close
            || !matches!(self.body, BodyState::Idle)
            || !self.buffer.is_empty()
            || self.idle_since.elapsed() > self.idle_limit
        {
            return false;
        }
        // Asks the socket itself: the event loop may not know yet that the server has closed it.
        let mut probe = [MaybeUninit::uninit(); 1];
        let pending = SockRef::from(&self.stream).peek(&mut probe);
        matches!(pending, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of its response. `echo` is the name and value of the
    /// header that the response must echo; with `None`, the first response is accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid response. The request may have run then.
    pub async fn exchange(
        &mut self,
        head: &[u8],
        body: &Bytes,
        echo: Option<(&str, &str)>,
    ) -> Result<ResponseHead, ConnectionError> {
        let expected = echo.map_or(ExpectedResponse::First, |(name, value)| {
            ExpectedResponse::Echo { name, value }
        });
        self.exchange_expecting(head, body, expected).await
    }

    /// Sends a request and reads the head of the response that `expected` tells from others.
    ///
    /// # Errors
    ///
    /// As for [`ServerConnection::exchange`].
    pub(crate) async fn exchange_expecting(
        &mut self,
        head: &[u8],
        body: &Bytes,
        expected: ExpectedResponse<'_>,
    ) -> Result<ResponseHead, ConnectionError> {
        let is_reused = std::mem::replace(&mut self.was_used, true);
        self.must_close = true;
        if let Some(identity) = expected.identity() {
            if self.served.len() == IDENTITIES_KEPT {
                self.served.pop_front();
            }
            self.served.push_back(identity.to_owned());
        }
        let mut request = BytesMut::with_capacity(head.len() + body.len());
        request.extend_from_slice(head);
        request.extend_from_slice(body);
        let mut sent = 0;
        let mut skipped = 0;
        let mut informational = 0;
        loop {
            let response = self.next_head(&request, &mut sent).await?;
            if response.status.is_informational() {
                informational += 1;
                if informational > INFORMATIONAL_LIMIT {
                    self.log_excess("informational responses", INFORMATIONAL_LIMIT as usize);
                    return Err(ConnectionError::Malformed);
                }
                continue;
            }
            if expected.is_met_by(&response, is_reused) {
                // A server that does not name the request, or that responds to others, may do so
                // again; a later request on the connection would wait in vain.
                let is_out_of_turn = skipped > 0 || expected.lacks_echo(&response);
                self.must_close = !response.keeps_alive
                    || sent < request.len()
                    || self.write_failed
                    || is_out_of_turn;
                self.note_idle_limit(&response);
                return Ok(response);
            }
            skipped += 1;
            if skipped > SKIP_LIMIT || response.framing == BodyFraming::UntilClose {
                return Err(ConnectionError::Mismatched);
            }
            self.skip_body().await?;
        }
    }

    /// Reads the body of a response to an earlier request.
    async fn skip_body(&mut self) -> Result<(), ConnectionError> {
        let body = self.discard_body(SKIP_LIMIT_BYTES);
        match tokio::time::timeout(SKIP_TIMEOUT, body).await {
            Ok(result) => result,
            Err(_) => {
                self.log_excess(
                    "milliseconds of another response",
                    SKIP_TIMEOUT.as_millis() as usize,
                );
                Err(ConnectionError::Mismatched)
            }
        }
    }

    /// Logs that a response of the server exceeds a limit, of which `unit` says what it counts.
    pub(crate) fn log_excess(&self, unit: &'static str, limit: usize) {
        let address = self.stream.peer_addr().ok().map(|address| address.to_string());
        info!(address, unit, limit, "server: response exceeds a limit");
    }

    fn note_idle_limit(&mut self, response: &ResponseHead) {
        if let Some(limit) = response.idle_limit() {
            self.idle_limit = limit.mul_f64(IDLE_FRACTION);
        }
    }

    /// Reads the next response head while sending the rest of the request.
    async fn next_head(
        &mut self,
        request: &[u8],
        sent: &mut usize,
    ) -> Result<ResponseHead, ConnectionError> {
        let mut head_deadline = None;
        loop {
            if let Some((head, length)) = ResponseHead::parse(&self.buffer)? {
                let _ = self.buffer.split_to(length);
                self.body = match head.framing {
                    BodyFraming::Length(0) => BodyState::Idle,
                    BodyFraming::Length(length) => BodyState::Length(length),
                    BodyFraming::Chunked => BodyState::Chunked(ChunkDecoder::new()),
                    BodyFraming::UntilClose => BodyState::UntilClose,
                };
                return Ok(head);
            }
            if !self.buffer.is_empty() {
                head_deadline.get_or_insert_with(|| Instant::now() + HEAD_TIMEOUT);
            }
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                biased;
                written = writer.write(&request[*sent..]), if *sent < request.len() => {
                    match written {
                        Ok(count) => *sent += count,
                        // The server may have responded before it closed its side, so keep reading.
                        Err(_) => {
                            self.write_failed = true;
                            *sent = request.len();
                        }
                    }
                }
                read = reader.read_buf(&mut self.buffer) => {
                    let count = read.unwrap_or(0);
                    self.note_read(count);
                    if count == 0 {
                        return Err(ConnectionError::Closed);
                    }
                }
                () = sleep_until(head_deadline), if head_deadline.is_some() => {
                    self.log_excess("milliseconds of a head", HEAD_TIMEOUT.as_millis() as usize);
                    return Err(ConnectionError::Malformed);
                }
            }
        }
    }

    /// Reads the next data of the body. Returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is cut off. A body without a length whose connection was reset
    /// counts as cut off, also if it was reset while the request was still being sent.
    pub async fn next_data(&mut self) -> Result<Option<Bytes>, ConnectionError> {
        loop {
            if let Some(piece) = self.buffered_data()? {
                return Ok(piece);
            }
            let is_open_ended = matches!(self.body, BodyState::UntilClose);
            let read = self.read_more().await;
            self.note_read(*read.as_ref().unwrap_or(&0));
            let count = read.map_err(|_| ConnectionError::Closed)?;
            if count == 0 {
                self.must_close = true;
                self.was_closed = true;
                if is_open_ended && !self.write_failed {
                    self.body = BodyState::Idle;
                    return Ok(None);
                }
                return Err(ConnectionError::Closed);
            }
        }
    }

    /// Reads into the buffer. Returns the number of bytes read.
    async fn read_more(&mut self) -> std::io::Result<usize> {
        self.buffer.reserve(self.read_bytes);
        let space = self.buffer.capacity() - self.buffer.len();
        let count = self.stream.read_buf(&mut self.buffer).await?;
        if count == space {
            self.read_bytes = (self.read_bytes * 2).min(LARGEST_READ_BYTES);
        }
        Ok(count)
    }

    /// Records in the contact that bytes arrived, or that the server closed the connection.
    fn note_read(&mut self, count: usize) {
        if count > 0 {
            if let Some(contact) = &self.contact {
                contact.note_bytes();
            }
            return;
        }
        if let Some(contact) = self.contact.take() {
            contact.close_broken();
        }
    }

    /// Takes body data from the buffer. Returns `Some(None)` at the end of the body, and `None` if
    /// more bytes are needed.
    fn buffered_data(&mut self) -> Result<Option<Option<Bytes>>, ConnectionError> {
        match &mut self.body {
            BodyState::Idle => Ok(Some(None)),
            BodyState::Length(left) => {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                let taken = (*left).min(self.buffer.len() as u64);
                *left -= taken;
                if *left == 0 {
                    self.body = BodyState::Idle;
                }
                Ok(Some(Some(self.buffer.split_to(taken as usize).freeze())))
            }
            BodyState::Chunked(decoder) => match decoder.decode(&mut self.buffer)? {
                DecodedChunk::Data(data) => Ok(Some(Some(data))),
                DecodedChunk::End => {
                    self.body = BodyState::Idle;
                    Ok(Some(None))
                }
                DecodedChunk::NeedsMore => Ok(None),
            },
            BodyState::UntilClose => {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                Ok(Some(Some(self.buffer.split().freeze())))
            }
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is cut off or exceeds `limit` bytes.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes, ConnectionError> {
        let mut body = BytesMut::new();
        while let Some(piece) = self.next_data().await? {
            if body.len() + piece.len() > limit {
                self.log_excess("bytes of a body", limit);
                return Err(ConnectionError::Malformed);
            }
            body.extend_from_slice(&piece);
        }
        Ok(body.freeze())
    }

    /// Reads the rest of an unneeded body, without keeping it.
    ///
    /// # Errors
    ///
    /// As for [`ServerConnection::read_body`].
    pub async fn discard_body(&mut self, limit: usize) -> Result<(), ConnectionError> {
        let mut length = 0;
        while let Some(piece) = self.next_data().await? {
            length += piece.len();
            if length > limit {
                self.log_excess("bytes of a body", limit);
                return Err(ConnectionError::Malformed);
            }
        }
        Ok(())
    }

    /// Returns whether the response states the length of its body.
    pub fn has_known_length(&self) -> bool {
        matches!(self.body, BodyState::Idle | BodyState::Length(_))
    }

    /// Reads the rest of the body into memory that is reserved as it grows. The body is not read
    /// while there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is cut off or exceeds `limit` bytes, and
    /// [`ConnectionError::NoMemory`] if there is no memory for it.
    pub async fn read_reserved_body(
        &mut self,
        limit: usize,
        reservation: &mut MemoryReservation,
    ) -> Result<Vec<u8>, ConnectionError> {
        let largest = match self.body {
            BodyState::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            _ => limit,
        };
        if largest > limit {
            self.log_excess("bytes of a body", limit);
            return Err(ConnectionError::Malformed);
        }
        let mut body = Vec::new();
        while let Some(piece) = self.next_data().await? {
            let length = body.len() + piece.len();
            if length > limit {
                self.log_excess("bytes of a body", limit);
                return Err(ConnectionError::Malformed);
            }
            if length > body.capacity() {
                let capacity = length.next_power_of_two().min(largest);
                reservation.grow_to(capacity).await?;
                body.reserve_exact(capacity - body.len());
            }
            body.extend_from_slice(&piece);
        }
        Ok(body)
    }

    /// Returns whether the last body was ended by the server's closing the connection, not by a
    /// length or a last chunk.
    pub fn ended_by_close(&self) -> bool {
        self.was_closed
    }

    /// Marks the connection as idle from now on.
    pub fn start_idle(&mut self) {
        self.idle_since = Instant::now();
        self.contact = None;
        self.read_bytes = FIRST_READ_BYTES;
        if self.buffer.is_empty() && self.buffer.capacity() > FIRST_READ_BYTES {
            self.buffer = BytesMut::new();
        }
    }

    /// Closes the connection.
    pub fn close(self) {
        drop(self.stream);
    }
}

async fn sleep_until(deadline: Option<Instant>) {
    if let Some(deadline) = deadline {
        tokio::time::sleep_until(deadline).await;
    }
}

/// Sets socket options that detect dead connections.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL)
            .with_retries(2),
    )
}
