//! Engine that answers calls by a script.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
};

use crate::stub_protocol::{COPY, FINAL_COPY, RELEASE};

/// Maximum length of the queue of new connections.
const BACKLOG: u32 = 1;
/// Time after which a connection counts as not established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// Answer of an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineAnswer {
    /// Time until it is sent.
    pub(crate) delay: Duration,
    /// Status; the connection is closed without a response if it is `None`.
    pub(crate) status: Option<u16>,
    /// Body.
    pub(crate) body: &'static str,
}

impl EngineAnswer {
    /// Closed connection.
    pub(crate) const LOST: EngineAnswer = EngineAnswer::new(None, "");
    /// Response to a copy: there is no such generation.
    pub(crate) const UNKNOWN: EngineAnswer = EngineAnswer::new(Some(404), "");
    /// Response to a copy: another one is in progress.
    pub(crate) const BUSY: EngineAnswer = EngineAnswer::new(Some(409), "");
    /// Response to a copy: the generation is stopped, and its memory is copied.
    pub(crate) const COPIED: EngineAnswer = EngineAnswer::new(Some(200), "h1");
    /// Response to a generation that resumes.
    pub(crate) const RESUMED: EngineAnswer = EngineAnswer::new(Some(200), "");
    /// Response to a generation that is refused without having run.
    pub(crate) const REFUSED: EngineAnswer = EngineAnswer::new(Some(503), "");

    const fn new(status: Option<u16>, body: &'static str) -> EngineAnswer {
        EngineAnswer { delay: Duration::ZERO, status, body }
    }

    /// Sends the answer after a delay.
    pub(crate) const fn after(self, delay: Duration) -> EngineAnswer {
        EngineAnswer { delay, ..self }
    }
}

/// Answers to the calls of one kind in turn; the last one is repeated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineScript {
    /// Answers to final copies.
    pub(crate) final_copies: &'static [EngineAnswer],
    /// Answers to generations that resume.
    pub(crate) resumptions: &'static [EngineAnswer],
}

/// What an engine was asked.
#[derive(Debug, Clone, Default)]
pub(crate) struct EngineCalls {
    /// Number of final copies.
    pub(crate) final_copies: usize,
    /// Memory from which generations resumed.
    pub(crate) resumptions: Vec<String>,
    /// Handles that were freed.
    pub(crate) releases: Vec<String>,
}

/// Scripted engine on the loopback interface.
pub(crate) struct ScriptedEngine {
    /// Address.
    pub(crate) address: SocketAddr,
    calls: Arc<Mutex<EngineCalls>>,
    is_full: Arc<AtomicBool>,
    accepts: watch::Sender<bool>,
}

impl ScriptedEngine {
    /// Starts an engine.
    pub(crate) async fn start(script: EngineScript) -> ScriptedEngine {
        ScriptedEngine::start_at("127.0.0.1:0".parse().unwrap(), script)
    }

    /// Starts an engine at an address.
    pub(crate) fn start_at(address: SocketAddr, script: EngineScript) -> ScriptedEngine {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind(address).unwrap();
        let listener = socket.listen(BACKLOG).unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::<Mutex<EngineCalls>>::default();
        let is_full = Arc::<AtomicBool>::default();
        let accepts = watch::Sender::new(true);
        let (served, refuses) = (Arc::clone(&calls), Arc::clone(&is_full));
        tokio::spawn(accept(listener, accepts.subscribe(), move |stream| {
            tokio::spawn(serve(stream, script, Arc::clone(&served), Arc::clone(&refuses)));
        }));
        ScriptedEngine { address, calls, is_full, accepts }
    }

    /// Fills the queue of new connections with the returned ones. The engine serves on those that
    /// are open.
    pub(crate) async fn fill_queue(&self) -> Vec<TcpStream> {
        self.accepts.send_replace(false);
        let mut queued = Vec::new();
        while let Ok(Ok(stream)) =
            tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await
        {
            queued.push(stream);
        }
        queued
    }

    /// Accepts connections again.
    pub(crate) fn empty_queue(&self, queued: Vec<TcpStream>) {
        drop(queued);
        self.accepts.send_replace(true);
    }

    /// Refuses all further resumptions.
    pub(crate) fn fill(&self) {
        self.is_full.store(true, Ordering::Release);
    }

    /// Returns what the engine was asked so far.
    pub(crate) fn calls(&self) -> EngineCalls {
        self.calls.lock().unwrap().clone()
    }
}

/// Accepts connections until the engine is dropped.
async fn accept(
    listener: TcpListener,
    mut accepts: watch::Receiver<bool>,
    serve: impl Fn(TcpStream),
) {
    while accepts.wait_for(|accepts| *accepts).await.is_ok() {
        tokio::select! {
            biased;
            changed = accepts.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
                serve(stream);
            }
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    script: EngineScript,
    calls: Arc<Mutex<EngineCalls>>,
    is_full: Arc<AtomicBool>,
) {
    let mut buffer = vec![0; 4_096];
    loop {
        let Ok(read @ 1..) = stream.read(&mut buffer).await else { return };
        let head = String::from_utf8_lossy(&buffer[..read]).into_owned();
        let is_full = is_full.load(Ordering::Acquire);
        let answer = answer(&head, script, is_full, &mut calls.lock().unwrap());
        tokio::time::sleep(answer.delay).await;
        let Some(status) = answer.status else { return };
        let mark = if status == 503 { "x-not-run: 1" } else { "x-signature: s" };
        let response = format!(
            "HTTP/1.1 {status} X\r\nx-echo-id: a1\r\n{mark}\r\ncontent-length: {}\r\n\r\n{}",
            answer.body.len(),
            answer.body
        );
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn answer(
    head: &str,
    script: EngineScript,
    is_full: bool,
    calls: &mut EngineCalls,
) -> EngineAnswer {
    let in_turn = |answers: &[EngineAnswer], number: usize| answers[number.min(answers.len() - 1)];
    let path = head.split(' ').nth(1).unwrap_or_default();
    if path == FINAL_COPY {
        calls.final_copies += 1;
        return in_turn(script.final_copies, calls.final_copies - 1);
    }
    if path == COPY {
        return EngineAnswer::COPIED;
    }
    if let Some(handle) = path.strip_prefix(RELEASE) {
        calls.releases.push(handle.to_owned());
        return EngineAnswer::RESUMED;
    }
    let Some(from) = head.lines().find_map(|line| line.strip_prefix("x-resume-from: ")) else {
        return EngineAnswer::UNKNOWN;
    };
    calls.resumptions.push(from.to_owned());
    if is_full {
        return EngineAnswer::REFUSED;
    }
    in_turn(script.resumptions, calls.resumptions.len() - 1)
}
