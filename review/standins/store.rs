//! Stand-in of the platform's store: the calls and the keyed topics that gateways use.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Message, read_request, response};

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Largest number of entries of a page of the newest records.
const PAGE_ENTRIES: usize = 500;

#[derive(Default)]
struct Topic {
    records: Vec<(String, Option<Vec<u8>>)>,
}

impl Topic {
    fn newest(&self) -> BTreeMap<&str, (usize, Option<&Vec<u8>>)> {
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in self.records.iter().enumerate() {
            newest.insert(key.as_str(), (offset, value.as_ref()));
        }
        newest
    }
}

#[derive(Default)]
struct State {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

/// Store on a free loopback port, for the lifetime of the process.
#[derive(Clone)]
pub struct Store {
    state: Arc<State>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound listener");
        let state = Arc::<State>::default();
        let served = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&served);
                thread::spawn(move || serve(&state, stream));
            }
        });
        Store { state, address }
    }

    /// Appends a record of the operator or of a runner; without a value, the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let value = value.map(|text| text.as_bytes().to_vec());
        let mut topics = self.state.topics.lock().expect("not poisoned");
        topics.entry(topic.to_owned()).or_default().records.push((key.to_owned(), value));
        self.state.changed.notify_all();
    }
}

fn serve(state: &State, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        thread::sleep(ANSWER_TIME);
        let answer = answer(state, &request);
        if writer.write_all(&answer).is_err() {
            return;
        }
    }
}

fn answer(state: &State, request: &Message) -> Vec<u8> {
    let (_, target) = request.target();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let field = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(known, _)| *known == name).map(|(_, value)| value.to_owned())
    };
    let topic = field("topic").unwrap_or_default();
    match path {
        "/dragonflycart/log-append" => append(state, &topic, field("at"), &request.body),
        "/dragonflycart/log-newest" => newest(state, &topic, field("after").as_deref()),
        "/dragonflycart/log-read" => {
            let number = |name| field(name).and_then(|text| text.parse().ok()).unwrap_or(0);
            read(state, &topic, number("from"), Duration::from_millis(number("wait_ms") as u64))
        }
        _ => response(404, &[], b""),
    }
}

fn append(state: &State, topic: &str, at: Option<String>, body: &[u8]) -> Vec<u8> {
    if topic == "keyed.op" || topic == "keyed.servers" || body.len() < 5 {
        return response(403, &[], b"");
    }
    let mut topics = state.topics.lock().expect("not poisoned");
    let records = &mut topics.entry(topic.to_owned()).or_default().records;
    let end = records.len();
    if at.and_then(|text| text.parse::<usize>().ok()).is_some_and(|at| at != end) {
        return response(412, &[], format!("{{\"end\":{end}}}").as_bytes());
    }
    let key_end = 5 + usize::from(body[4]);
    let key = String::from_utf8_lossy(&body[5..key_end]).into_owned();
    let value = Some(body[key_end..].to_vec()).filter(|value| !value.is_empty());
    records.push((key, value));
    state.changed.notify_all();
    let text = format!("{{\"offset\":{end},\"end\":{}}}", end + 1);
    response(200, &[("Content-Type", "application/json")], text.as_bytes())
}

fn newest(state: &State, topic: &str, after: Option<&str>) -> Vec<u8> {
    let topics = state.topics.lock().expect("not poisoned");
    let empty = Topic::default();
    let topic = topics.get(topic).unwrap_or(&empty);
    let mut entries = Vec::new();
    let mut has_more = false;
    for (key, (offset, value)) in topic.newest() {
        let Some(value) = value.filter(|_| after.is_none_or(|after| key > after)) else { continue };
        if entries.len() == PAGE_ENTRIES {
            has_more = true;
            break;
        }
        let value = base64(value);
        entries.push(format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"));
    }
    let text = format!(
        "{{\"entries\":[{}],\"has_more\":{has_more},\"end\":{}}}",
        entries.join(","),
        topic.records.len()
    );
    response(200, &[("Content-Type", "application/json")], text.as_bytes())
}

fn read(state: &State, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
    let deadline = Instant::now() + wait;
    let mut topics = state.topics.lock().expect("not poisoned");
    loop {
        let end = topics.get(topic).map_or(0, |topic| topic.records.len());
        let left = deadline.saturating_duration_since(Instant::now());
        if end > from || left.is_zero() {
            break;
        }
        topics = state.changed.wait_timeout(topics, left).expect("not poisoned").0;
    }
    let empty = Topic::default();
    let records = &topics.get(topic).unwrap_or(&empty).records;
    let mut body = Vec::new();
    body.extend_from_slice(&(records.len() as u64).to_be_bytes());
    body.extend_from_slice(&0_u64.to_be_bytes());
    for (key, value) in records.iter().skip(from) {
        let value = value.as_deref().unwrap_or_default();
        body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
        body.push(key.len() as u8);
        body.extend_from_slice(key.as_bytes());
        body.extend_from_slice(value);
    }
    response(200, &[], &body)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= group.len() { digit } else { '=' });
        }
    }
    text
}
