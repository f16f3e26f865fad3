//! Connections to servers, tested against a scripted server on the loopback interface.

use std::{
    io::{Read, Write},
    net::SocketAddr,
    sync::mpsc,
    time::Duration,
};

use bytes::Bytes;
use dragonflycart_gateway::{
    ConnectionError, ConnectionPool, HttpCall, MemoryBudget, ServerConnection,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
const ECHO: &str = "echo-id";

/// Starts a server that accepts one connection, responds to its n-th request with the n-th script,
/// and closes the connection shortly after the last one.
async fn scripted(scripts: Vec<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4_096];
        for script in scripts {
            if stream.read(&mut buffer).await.unwrap() == 0 {
                return;
            }
            stream.write_all(script.as_bytes()).await.unwrap();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    });
    address
}

fn echo(id: &str) -> Option<(&str, &str)> {
    Some((ECHO, id))
}

const FIRST: &str = "HTTP/1.1 200 OK\r\necho-id: a1\r\ncontent-length: 2\r\n\r\nok";
const SECOND: &str = "HTTP/1.1 200 OK\r\necho-id: a2\r\ncontent-length: 3\r\n\r\nyes";
const LATE_AND_SECOND: &str = "HTTP/1.1 200 OK\r\necho-id: a1\r\ncontent-length: 2\r\n\r\nok\
     HTTP/1.1 200 OK\r\necho-id: a2\r\ncontent-length: 3\r\n\r\nyes";

#[tokio::test]
async fn second_exchange_uses_the_same_connection() {
    let address = scripted(vec![FIRST, SECOND]).await;
    let mut connection = ServerConnection::connect(address).await.unwrap();

    connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await.unwrap();
    let first = connection.read_body(100).await.unwrap();
    assert!(connection.is_reusable());
    connection.exchange(REQUEST, &Bytes::new(), echo("a2")).await.unwrap();
    let second = connection.read_body(100).await.unwrap();

    assert_eq!((&first[..], &second[..]), (&b"ok"[..], &b"yes"[..]));
}

/// A server may send a second response to an earlier request before the response to the current
/// one.
#[tokio::test]
async fn late_response_of_another_request_is_skipped() {
    let address = scripted(vec![FIRST, LATE_AND_SECOND]).await;
    let mut connection = ServerConnection::connect(address).await.unwrap();
    connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await.unwrap();
    connection.read_body(100).await.unwrap();

    let head = connection.exchange(REQUEST, &Bytes::new(), echo("a2")).await.unwrap();

    assert_eq!(head.text(ECHO), Some("a2"));
    assert_eq!(&connection.read_body(100).await.unwrap()[..], b"yes");
}

/// The server responds to another request only and then closes the connection.
#[tokio::test]
async fn response_of_another_request_is_never_taken() {
    let address = scripted(vec![FIRST, FIRST]).await;
    let mut connection = ServerConnection::connect(address).await.unwrap();
    connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await.unwrap();
    connection.read_body(100).await.unwrap();

    let result = connection.exchange(REQUEST, &Bytes::new(), echo("a2")).await;

    assert_eq!(result.unwrap_err(), ConnectionError::Closed);
}

/// A successful response that does not echo an attempt ID may belong to any request.
#[tokio::test]
async fn success_without_identity_is_not_taken() {
    let address = scripted(vec!["HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"]).await;
    let mut connection = ServerConnection::connect(address).await.unwrap();

    let result = connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await;

    assert!(result.is_err());
}

/// Guards against later requests on a connection whose server does not name the request that it
/// responds to, or responds to others: they can get nothing that is accepted, and wait in vain.
#[tokio::test]
async fn connection_with_a_response_out_of_turn_is_not_used_again() {
    let nameless = "HTTP/1.1 503 Busy\r\ncontent-length: 2\r\n\r\nno";
    let scripts = [vec![nameless, SECOND], vec![FIRST, LATE_AND_SECOND]];
    for script in scripts {
        let address = scripted(script.clone()).await;
        let pool = ConnectionPool::default();
        let mut connection = pool.acquire(address).await.unwrap();
        if script[0] == FIRST {
            connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await.unwrap();
            connection.read_body(100).await.unwrap();
        }
        connection.exchange(REQUEST, &Bytes::new(), echo("a2")).await.unwrap();
        connection.read_body(100).await.unwrap();

        assert!(!connection.is_reusable(), "{script:?}");
    }
}

/// Bytes after a complete response do not belong to any request.
#[tokio::test]
async fn connection_with_extra_bytes_is_not_used_again() {
    let address = scripted(vec![LATE_AND_SECOND]).await;
    let mut connection = ServerConnection::connect(address).await.unwrap();
    connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await.unwrap();
    connection.read_body(100).await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;

    assert!(!connection.is_reusable());
}

/// A truncated body must not be taken for a complete one.
#[tokio::test]
async fn body_that_ends_early_is_an_error() {
    for script in [
        "HTTP/1.1 200 OK\r\necho-id: a1\r\ncontent-length: 20\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\necho-id: a1\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ] {
        let address = scripted(vec![script]).await;
        let mut connection = ServerConnection::connect(address).await.unwrap();
        connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await.unwrap();

        assert_eq!(connection.read_body(100).await, Err(ConnectionError::Closed));
    }
}

#[tokio::test]
async fn body_without_length_ends_with_the_connection() {
    let address = scripted(vec!["HTTP/1.1 200 OK\r\necho-id: a1\r\n\r\nall of it"]).await;
    let mut connection = ServerConnection::connect(address).await.unwrap();
    connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await.unwrap();

    assert_eq!(&connection.read_body(100).await.unwrap()[..], b"all of it");
    assert!(!connection.is_reusable());
}

/// If a response arrives before the whole request body was sent, the server would take the rest of
/// the body for the next request.
#[tokio::test]
async fn connection_with_an_unsent_body_is_not_used_again() {
    let address = scripted(vec![FIRST]).await;
    let mut connection = ServerConnection::connect(address).await.unwrap();
    let body = Bytes::from(vec![b'x'; 64 << 20]);

    connection.exchange(REQUEST, &body, echo("a1")).await.unwrap();
    connection.read_body(100).await.unwrap();

    assert!(!connection.is_reusable());
}

/// Guards against a new connection for each request, and against a request on a connection that its
/// server has closed.
#[tokio::test]
async fn pool_gives_an_idle_connection_again_and_drops_closed_ones() {
    let (address, close, server) = threaded();
    let pool = ConnectionPool::default();
    let mut connection = pool.acquire(address).await.unwrap();
    connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await.unwrap();
    connection.read_body(100).await.unwrap();
    pool.put_back(address, connection);

    let mut reused = pool.acquire(address).await.unwrap();
    assert!(reused.is_reused());
    close.send(()).unwrap();
    server.join().unwrap();

    assert!(!reused.is_reusable(), "the server closed it");
}

/// Starts a server on a thread of its own that answers one request and closes the connection when it
/// is told to. The thread ends after that.
fn threaded() -> (SocketAddr, mpsc::Sender<()>, std::thread::JoinHandle<()>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (close, is_told) = mpsc::channel();
    let thread = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 4_096];
        assert!(stream.read(&mut buffer).unwrap() > 0);
        stream.write_all(FIRST.as_bytes()).unwrap();
        is_told.recv().unwrap();
    });
    (address, close, thread)
}

/// Guards against a request that is sent on a connection which its server closed while this process
/// was halted, before the event loop was told. Its response would be lost.
#[tokio::test]
async fn connection_that_was_closed_during_a_halt_is_not_used_again() {
    let (address, close, server) = threaded();
    let mut connection = ServerConnection::connect(address).await.unwrap();
    connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await.unwrap();
    connection.read_body(100).await.unwrap();
    assert!(connection.is_reusable());

    // Blocks the only thread of the event loop meanwhile.
    close.send(()).unwrap();
    server.join().unwrap();

    assert!(!connection.is_reusable(), "the server closed it");
}

/// Starts a server that sends `head` on each connection and then `piece` again and again, until the
/// connection is closed.
async fn endless(head: &'static str, piece: &'static str, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                if stream.write_all(head.as_bytes()).await.is_err() {
                    return;
                }
                while stream.write_all(piece.as_bytes()).await.is_ok() {
                    tokio::time::sleep(pause).await;
                }
            });
        }
    });
    address
}

/// Returns the result of an exchange that must end long before the deadline of a request.
async fn exchange_with(address: SocketAddr) -> Result<(), ConnectionError> {
    let mut connection = ServerConnection::connect(address).await.unwrap();
    let body = Bytes::new();
    let exchange = connection.exchange(REQUEST, &body, echo("a1"));
    let result = tokio::time::timeout(Duration::from_secs(20), exchange).await;
    result.expect("the server holds the request").map(|_| ())
}

/// Guards against a server that holds a request, and the place of its caller, with bytes that are
/// no response to it.
#[tokio::test]
async fn bytes_without_end_before_the_response_are_given_up() {
    const NO_PAUSE: Duration = Duration::from_millis(0);
    const PAUSE: Duration = Duration::from_millis(100);
    let foreign = "HTTP/1.1 200 OK\r\necho-id: a0\r\ncontent-length: 900000000\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\necho-id: a0\r\ntransfer-encoding: chunked\r\n\r\n";
    let scripts = [
        ("", "HTTP/1.1 100 Continue\r\n\r\n", NO_PAUSE),
        ("HTTP/1.1 200 OK\r\nx: ", "yyyyyyyyyyyyyyyy", NO_PAUSE),
        ("HTTP/1.1 200 OK\r\nx: ", "y", PAUSE),
        (foreign, "zzzzzzzzzzzzzzzz", NO_PAUSE),
        (foreign, "z", PAUSE),
        (chunked, "1\r\nz\r\n", PAUSE),
    ];
    let mut exchanges = tokio::task::JoinSet::new();
    for (head, piece, pause) in scripts {
        exchanges.spawn(async move {
            let address = endless(head, piece, pause).await;
            (head, piece, exchange_with(address).await)
        });
    }

    for (head, piece, result) in exchanges.join_all().await {
        assert!(result.is_err(), "{head:?} {piece:?}");
    }
}

/// A bound on skipped bytes must not cost the response that follows a long late one.
#[tokio::test]
async fn response_after_a_long_late_one_is_found() {
    let length = 400_000;
    let late = format!("HTTP/1.1 200 OK\r\necho-id: a1\r\ncontent-length: {length}\r\n\r\n");
    let script = format!("{late}{}{SECOND}", "x".repeat(length)).leak();
    let address = scripted(vec![FIRST, script]).await;
    let mut connection = ServerConnection::connect(address).await.unwrap();
    connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await.unwrap();
    connection.read_body(100).await.unwrap();

    connection.exchange(REQUEST, &Bytes::new(), echo("a2")).await.unwrap();

    assert_eq!(&connection.read_body(100).await.unwrap()[..], b"yes");
}

/// Status reads, copies and calls to the store have no ID that their responses echo. A second copy
/// of an earlier response, sent late, must not answer the next call.
#[tokio::test]
async fn second_copy_of_a_response_does_not_answer_the_next_call() {
    const COPY: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut buffer = [0; 4_096];
        let (mut first, _) = listener.accept().await.unwrap();
        let _read = first.read(&mut buffer).await.unwrap();
        first.write_all(COPY.as_bytes()).await.unwrap();
        // The copy is sent once the connection is used again, or by then was closed.
        tokio::spawn(async move {
            let mut buffer = [0; 4_096];
            if first.read(&mut buffer).await.is_ok_and(|count| count > 0) {
                first.write_all(COPY.as_bytes()).await.unwrap();
                tokio::time::sleep(Duration::from_secs(2)).await;
            }
        });
        let (mut second, _) = listener.accept().await.unwrap();
        let _read = second.read(&mut buffer).await.unwrap();
        let own = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";
        second.write_all(own.as_bytes()).await.unwrap();
    });
    let timeout = Duration::from_secs(2);

    let first = HttpCall::get("/a".to_owned()).send(address, timeout).await.unwrap();
    let second = HttpCall::get("/b".to_owned()).send(address, timeout).await.unwrap();

    assert_eq!((&first.1[..], &second.1[..]), (&b"first"[..], &b"second"[..]));
}

/// Guards against taking a network failure for the end of a server's process, or the reverse: only
/// a refused connection shows that nothing listens there any more.
#[tokio::test]
async fn refused_connection_is_told_apart_from_one_that_is_not_established() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool = ConnectionPool::default();

    let while_it_listens = pool.acquire(address).await.map(ServerConnection::close);
    drop(listener);
    let after_its_end = pool.acquire(address).await.map(ServerConnection::close);

    assert_eq!(while_it_listens, Ok(()));
    assert_eq!(after_its_end, Err(ConnectionError::NotListening));
}

/// Guards against a response head that breaks off and counts as a whole response with an empty body
/// (MIXED), wherever it breaks off.
#[tokio::test]
async fn head_that_breaks_off_is_no_response() {
    let head = "HTTP/1.1 200 OK\r\necho-id: a1\r\nresponse-signature: s\r\n\r\n";
    for length in 1..head.len() {
        let address = scripted(vec![&head[..length]]).await;
        let mut connection = ServerConnection::connect(address).await.unwrap();

        let result = connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await;

        assert!(result.is_err(), "{:?}", &head[..length]);
    }
}

/// Guards against a refusal that a faulty server repeats on a kept connection and that is taken for
/// the response to a later attempt of the same request, which the server runs (REFUSED, TWICE).
#[tokio::test]
async fn connection_that_refused_a_request_is_not_used_for_it_again() {
    let refusal = "HTTP/1.1 503 Busy\r\necho-id: a1\r\ncontent-length: 0\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                while stream.read(&mut buffer).await.unwrap() > 0 {
                    stream.write_all(refusal.as_bytes()).await.unwrap();
                }
            });
        }
    });
    let pool = ConnectionPool::default();
    let mut connection = pool.acquire_for(address, "a1").await.unwrap();
    connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await.unwrap();
    pool.put_back(address, connection);

    let same = pool.acquire_for(address, "a1").await.unwrap();
    let mut other = ServerConnection::connect(address).await.unwrap();
    other.exchange(REQUEST, &Bytes::new(), echo("a1")).await.unwrap();
    pool.put_back(address, other);
    let another = pool.acquire_for(address, "a2").await.unwrap();

    assert!(!same.is_reused());
    assert!(another.is_reused());
}

/// Guards against a large body that is read some hundred bytes at a time, the size of the head of
/// its response, which costs a system call each.
#[tokio::test]
async fn large_body_is_read_in_large_pieces() {
    let length = 1024 * 1024;
    let head = format!("HTTP/1.1 200 OK\r\necho-id: a1\r\ncontent-length: {length}\r\n\r\n");
    let address = scripted(vec![format!("{head}{}", "x".repeat(length)).leak()]).await;
    let mut connection = ServerConnection::connect(address).await.unwrap();
    connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await.unwrap();

    let (mut pieces, mut bytes) = (0, 0);
    while let Some(piece) = connection.next_data().await.unwrap() {
        pieces += 1;
        bytes += piece.len();
    }

    assert_eq!(bytes, length);
    assert!(bytes / pieces >= 4_096, "{pieces} pieces");
}

/// Guards against a body that is read, and takes memory, although it states that it is too large.
#[tokio::test]
async fn body_that_states_too_large_a_length_is_not_read() {
    let address =
        scripted(vec!["HTTP/1.1 200 OK\r\necho-id: a1\r\ncontent-length: 200\r\n\r\n"]).await;
    let mut connection = ServerConnection::connect(address).await.unwrap();
    connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await.unwrap();
    let budget = MemoryBudget::new(1_000, None);

    let result = connection.read_reserved_body(100, &mut budget.reservation(0)).await;

    assert_eq!(result, Err(ConnectionError::Malformed));
}

/// Guards against a body that is read faster than there is memory for it.
#[tokio::test]
async fn body_is_not_read_while_there_is_no_memory_for_it() {
    let length = 100_000;
    let head = format!("HTTP/1.1 200 OK\r\necho-id: a1\r\ncontent-length: {length}\r\n\r\n");
    let address = scripted(vec![format!("{head}{}", "x".repeat(length)).leak()]).await;
    let mut connection = ServerConnection::connect(address).await.unwrap();
    connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await.unwrap();
    let budget = MemoryBudget::new(length, None);
    let mut other = budget.reservation(0);
    other.grow_to(length).await.unwrap();
    other.grow_to(2 * length).await.unwrap();
    let mut memory = budget.reservation(0);

    let wait = Duration::from_millis(100);
    let early = tokio::time::timeout(wait, connection.read_reserved_body(length, &mut memory));
    assert!(early.await.is_err());
    assert!(memory.is_waiting());

    assert_eq!(budget.free_bytes(), 0);
    drop(other);
    assert_eq!(budget.free_bytes(), length);
}

/// Guards against a server whose report has no end and takes megabytes for each call, while the store
/// needs large responses.
#[tokio::test]
async fn response_to_a_call_is_limited_by_what_the_call_needs() {
    let length = 1024 * 1024;
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    let script = &*format!("{response}{}", "x".repeat(length)).leak();
    let timeout = Duration::from_secs(5);

    let report = HttpCall::get("/report".to_owned());
    let report = report.send(scripted(vec![script]).await, timeout).await;
    let table = HttpCall::get("/table".to_owned()).with_response_limit(8 * 1024 * 1024);
    let table = table.send(scripted(vec![script]).await, timeout).await;

    assert_eq!(report, Err(ConnectionError::Malformed));
    assert_eq!(table.unwrap().1.len(), length);
}

/// Server that answers while a request's body is still being sent, and resets the connection.
struct EarlyResetter {
    address: SocketAddr,
    began: mpsc::Receiver<()>,
    may_answer: mpsc::Sender<()>,
    was_reset: mpsc::Receiver<()>,
}

impl EarlyResetter {
    fn start(answer: &'static str) -> EarlyResetter {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (begin, began) = mpsc::channel();
        let (may_answer, answering) = mpsc::channel();
        let (reset, was_reset) = mpsc::channel();
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            assert_ne!(stream.read(&mut [0; 1_024]).unwrap(), 0);
            begin.send(()).unwrap();
            answering.recv().unwrap();
            stream.write_all(answer.as_bytes()).unwrap();
            // What is unread makes the kernel reset the connection.
            drop(stream);
            reset.send(()).unwrap();
        });
        EarlyResetter { address, began, may_answer, was_reset }
    }

    /// Lets the server answer once the request has begun. Holds the only thread meanwhile, so that the
    /// answer and the reset arrive while a write waits.
    async fn answer(&self) {
        while self.began.try_recv().is_err() {
            tokio::task::yield_now().await;
        }
        self.may_answer.send(()).unwrap();
        self.was_reset.recv().unwrap();
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a part of a body that passes as whole (MIXED): the server answers a long upload
/// early, without a length, and resets the connection; the error of the write used up the reset, so
/// that the read saw an orderly end.
#[tokio::test]
async fn body_whose_connection_was_reset_during_the_upload_is_an_error() {
    let server = EarlyResetter::start("HTTP/1.1 200 OK\r\necho-id: a1\r\n\r\npart of the bo");
    let mut connection = ServerConnection::connect(server.address).await.unwrap();
    let upload = Bytes::from(vec![b'x'; 32 << 20]);

    let exchange = connection.exchange(REQUEST, &upload, echo("a1"));
    let (response, ()) = tokio::join!(exchange, server.answer());
    let body = match response {
        Ok(_) => connection.read_body(100).await,
        Err(error) => Err(error),
    };

    assert_eq!(body, Err(ConnectionError::Closed));
}

/// Guards against the same where short answers are read: those of the store, of engines and of health
/// checks.
#[tokio::test]
async fn answer_to_a_call_that_was_reset_during_the_upload_is_an_error() {
    let server = EarlyResetter::start("HTTP/1.1 200 OK\r\n\r\n{\"offset\":1");
    let upload = Bytes::from(vec![b'x'; 32 << 20]);
    let call = HttpCall::post("/append".to_owned(), "application/octet-stream", upload);

    let sending = call.send(server.address, Duration::from_secs(5));
    let (result, ()) = tokio::join!(sending, server.answer());

    assert_eq!(result, Err(ConnectionError::Closed));
}

/// Guards against an interim response that passes as the answer because none follows it.
#[tokio::test]
async fn interim_response_is_never_the_answer() {
    for status in ["100 Continue", "101 Switching Protocols", "103 Early Hints"] {
        let script = format!("HTTP/1.1 {status}\r\necho-id: a1\r\n\r\n").leak();
        let mut connection = ServerConnection::connect(scripted(vec![script]).await).await.unwrap();

        let result = connection.exchange(REQUEST, &Bytes::new(), echo("a1")).await;

        assert_eq!(result.unwrap_err(), ConnectionError::Closed, "{status}");
    }
}

/// Guards against heads that are no answer and pass as one where short answers are read: those of the
/// store, of engines and of health checks.
#[tokio::test]
async fn call_takes_no_head_that_is_not_of_the_protocol() {
    let heads = [
        "HTTP/1.1 000 OK\r\ncontent-length: 2",
        "HTTP/1.1 600 OK\r\ncontent-length: 2",
        "HTTP/1.1 200 OK\r\ncontent -length: 2",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\na\x01b: c",
    ];
    for head in heads {
        let address = scripted(vec![format!("{head}\r\n\r\nok").leak()]).await;

        let result = HttpCall::get("/".to_owned()).send(address, Duration::from_secs(5)).await;

        assert_eq!(result, Err(ConnectionError::Malformed), "{head}");
    }
}
