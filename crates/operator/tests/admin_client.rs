//! The client of the administration API against a scripted VM.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

use dragonflycart_core::PlanRevision;
use dragonflycart_operator::{
    AdminClient, OperatorCredential,
    api::{SubmitId, SubmitResponse},
};

/// Starts a VM that accepts the n-th submission as revision n. On a connection in use again, it
/// first sends a copy of its response before.
fn start_repeating_vm() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut revision = PlanRevision(0);
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut before = String::new();
            while read_request(&mut stream) {
                revision = revision.next();
                let own = response(revision);
                if stream.write_all(format!("{before}{own}").as_bytes()).is_err() {
                    break;
                }
                before = own;
            }
        }
    });
    address
}

/// Reads a request without a body. Returns whether there was one.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let mut buffer = [0; 1_024];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            Ok(_) | Err(_) => return false,
        }
    }
    true
}

fn response(revision: PlanRevision) -> String {
    let body = serde_json::to_string(&SubmitResponse::Accepted { revision }).unwrap();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// Guards against an operator who is shown the outcome of an earlier submission.
#[tokio::test]
async fn second_copy_of_an_outcome_is_not_shown_for_the_next_submission() {
    let credential = OperatorCredential::load(None, Some("operator-credential")).unwrap();
    let timeout = Duration::from_secs(2);
    let client = AdminClient::new(vec![start_repeating_vm()], credential, timeout);

    let mut outcomes = Vec::new();
    for _ in 0..2 {
        outcomes.push(client.submission(&SubmitId("s-1".to_owned())).await.unwrap());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    let expected = [1, 2].map(|number| SubmitResponse::Accepted { revision: PlanRevision(number) });
    assert_eq!(outcomes, expected);
}
