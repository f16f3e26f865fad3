//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A parsed message: the first line, headers with names in lower case, and the body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
        return None;
    }
    Some(line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads the first line and the headers. Returns `None` if the connection ends before.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let first_line = read_line(reader)?;
    let mut message = Message { first_line, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(message);
        }
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a request with its body.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Encodes a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// What a client received.
#[derive(Debug, Clone, Default)]
pub struct Received {
    /// Status, or 0 if no response head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived whole, as its framing shows.
    pub is_complete: bool,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a new connection and reads the response until `limit` is over.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Received {
    let mut received = Received::default();
    let deadline = Instant::now() + limit;
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return received;
    };
    if stream.set_read_timeout(Some(limit)).is_err() || stream.write_all(request).is_err() {
        return received;
    }
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader) else { return received };
    received.status = head.status();
    received.headers = head.headers.clone();
    received.is_complete = read_body(&mut reader, &head, &mut received.body, deadline).is_some();
    received
}

/// Reads the body of a response. Returns `None` if it is cut off.
fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Message,
    body: &mut Vec<u8>,
    deadline: Instant,
) -> Option<()> {
    if head.header("transfer-encoding").is_some_and(|text| text.contains("chunked")) {
        loop {
            if Instant::now() > deadline {
                return None;
            }
            let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(());
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    match head.header("content-length").and_then(|text| text.parse::<usize>().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(body).ok()
        }
        None => reader.read_to_end(body).ok().map(drop),
    }
}

/// Returns the value of a field of a flat JSON object, without quotes.
pub fn json_field(text: &str, name: &str) -> Option<String> {
    let start = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = text[start..].trim_start();
    if let Some(rest) = rest.strip_prefix('"') {
        return rest.split('"').next().map(str::to_owned);
    }
    rest.split([',', '}', ']']).next().map(|value| value.trim().to_owned())
}
