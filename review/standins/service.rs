//! Stand-in of a runner of a plain service.

use std::{
    collections::BTreeMap,
    io::{BufReader, ErrorKind, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    engine::HEARTBEAT,
    http::{read_request, response},
    record::Record,
    store::Store,
};

/// Time that a request takes.
const WORK_TIME: Duration = Duration::from_millis(30);

/// What all runners share.
#[derive(Clone)]
pub struct Desk {
    pub store: Store,
    pub record: Record,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Number of times that each attempt ran.
    pub runs: Arc<Mutex<BTreeMap<String, u64>>>,
}

pub struct Service {
    desk: Desk,
    pub id: String,
    address: SocketAddr,
    born_ms: u128,
    sequence: AtomicU64,
    is_registered: AtomicBool,
    is_ended: AtomicBool,
    sockets: Mutex<Vec<TcpStream>>,
    /// Time at which the store accepted that the entry was removed.
    pub removed_at: Mutex<Option<Instant>>,
}

/// Arrival of a request at a runner.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub runner: String,
    pub attempt: String,
}

impl Desk {
    pub fn new(store: Store, record: Record) -> Desk {
        Desk { store, record, arrivals: Arc::default(), runs: Arc::default() }
    }

    /// Starts a runner on a free port.
    pub fn start(&self, id: &str) -> Arc<Service> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        let service = Arc::new(Service {
            desk: self.clone(),
            id: id.to_owned(),
            address: listener.local_addr().expect("a bound listener"),
            born_ms: now.as_millis(),
            sequence: AtomicU64::new(0),
            is_registered: AtomicBool::new(true),
            is_ended: AtomicBool::new(false),
            sockets: Mutex::default(),
            removed_at: Mutex::default(),
        });
        listener.set_nonblocking(true).expect("a socket option");
        service.register();
        self.record.note(format_args!("runner {id} starts at {}", service.address));
        let served = Arc::clone(&service);
        thread::spawn(move || served.accept(&listener));
        let beating = Arc::clone(&service);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if !beating.is_registered.load(Ordering::SeqCst) {
                    return;
                }
                beating.register();
            }
        });
        service
    }
}

impl Service {
    fn register(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let text = format!(
            "{{\"service\":\"dravu-app\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{},\
             \"sequence\":{sequence}}}",
            self.address, self.born_ms
        );
        self.desk.store.put("keyed.servers", &self.id, Some(&text));
    }

    /// Removes the entry without a report that the runner drains. It serves on for `notice`.
    pub fn leave(self: &Arc<Service>, notice: Duration) {
        self.is_registered.store(false, Ordering::SeqCst);
        self.desk.store.put("keyed.servers", &self.id, None);
        *self.removed_at.lock().expect("not poisoned") = Some(Instant::now());
        self.desk.record.note(format_args!(
            "the entry of runner {} is removed; it serves on for {} ms",
            self.id,
            notice.as_millis()
        ));
        let service = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(notice);
            service.desk.record.note(format_args!("runner {} exits", service.id));
            service.is_ended.store(true, Ordering::SeqCst);
            for socket in service.sockets.lock().expect("not poisoned").drain(..) {
                // Fails if the peer has closed the channel.
                drop(socket.shutdown(Shutdown::Both));
            }
        });
    }

    fn accept(self: &Arc<Service>, listener: &TcpListener) {
        while !self.is_ended.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let service = Arc::clone(self);
                    thread::spawn(move || service.serve(stream));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(Duration::from_millis(1));
                }
                Err(_) => return,
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        if stream.set_nonblocking(false).is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.sockets.lock().expect("not poisoned").push(kept);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let attempt = request.header("attempt-id").unwrap_or("").to_owned();
            let answer = if request.target().1 == "/health" {
                response(200, &[("Instance-Id", &self.id)], b"")
            } else if request.header("expect-instance").is_some_and(|id| id != self.id) {
                let headers = [("Not-Executed", "1"), ("Attempt-Id", attempt.as_str())];
                response(421, &headers, b"")
            } else {
                self.run(&attempt)
            };
            if writer.write_all(&answer).is_err() {
                break;
            }
        }
        // The clone among the sockets keeps the channel open otherwise.
        drop(writer.shutdown(Shutdown::Both));
    }

    fn run(&self, attempt: &str) -> Vec<u8> {
        let arrival =
            Arrival { at: Instant::now(), runner: self.id.clone(), attempt: attempt.to_owned() };
        self.desk.arrivals.lock().expect("not poisoned").push(arrival);
        let run = {
            let mut runs = self.desk.runs.lock().expect("not poisoned");
            *runs.entry(attempt.to_owned()).and_modify(|count| *count += 1).or_insert(1)
        };
        thread::sleep(WORK_TIME);
        self.desk.record.note(format_args!("runner {} ran {attempt} (time {run})", self.id));
        let headers = [("Attempt-Id", attempt), ("Response-Signature", "s")];
        response(200, &headers, format!("{attempt} ran").as_bytes())
    }
}
