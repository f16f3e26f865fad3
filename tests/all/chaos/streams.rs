//! Callers that stream and resume at other VMs. Checks that each token arrives once, in order.

use std::net::SocketAddr;

use dragonflycart_testkit::TokenSource;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use super::RunCounts;
use crate::support::{Caller, StreamedResponse};

/// Attempts of one stream. With the pauses between them they take longer than any fault lasts.
const MAX_ATTEMPTS: usize = 100;
/// Pause between two attempts.
const ATTEMPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(150);

/// Time without a token, for example from a paused VM, after which a caller resumes at another VM.
const TOKEN_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(2_500);

/// Streams of one caller by their end.
#[derive(Debug, Default)]
pub(super) struct StreamReport {
    completed: usize,
    resumed: usize,
    interrupted: usize,
}

impl StreamReport {
    pub(super) fn add_to(&self, counts: &mut RunCounts) {
        counts.streams += self.completed;
        counts.resumed += self.resumed;
        counts.interrupted += self.interrupted;
    }
}

/// Streams until `stopped` and checks each stream.
pub(super) async fn run_caller(
    addresses: Vec<SocketAddr>,
    mut rng: ChaCha8Rng,
    stopped: watch::Receiver<bool>,
) -> StreamReport {
    let mut report = StreamReport::default();
    while !*stopped.borrow() {
        let tokens = rng.random_range(20..300);
        let (response, resumed) = stream_one(&addresses, tokens, &mut rng).await;
        report.resumed += usize::from(resumed);
        check(&response, tokens);
        if response.done {
            report.completed += 1;
        } else {
            report.interrupted += 1;
        }
    }
    report
}

fn check(response: &StreamedResponse, tokens: u32) {
    let count = response.indexes.len() as u64;
    assert_eq!(response.indexes, (0..count).collect::<Vec<u64>>(), "tokens lost or repeated");
    assert_eq!(response.text, TokenSource::expected_text(count), "tokens of another generation");
    if response.done {
        assert_eq!(count, u64::from(tokens), "the stream ended early");
    }
}

/// Starts or resumes a stream and abandons it if nothing arrives for `TOKEN_TIMEOUT`.
async fn attempt(
    caller: &Caller,
    address: SocketAddr,
    tokens: u32,
    so_far: StreamedResponse,
) -> Result<StreamedResponse, StreamedResponse> {
    let (sender, mut receiver) = watch::channel(so_far.clone());
    let on_token = move |response: &StreamedResponse| drop(sender.send(response.clone()));
    let reading = async {
        if so_far.last_event.is_empty() {
            caller.stream(address, "a report", tokens, on_token).await
        } else {
            caller.resume_with(address, so_far, on_token).await
        }
    };
    tokio::pin!(reading);
    loop {
        tokio::select! {
            response = &mut reading => return response,
            changed = tokio::time::timeout(TOKEN_TIMEOUT, receiver.changed()) => {
                if changed.is_err() {
                    return Err(receiver.borrow().clone());
                }
                if matches!(changed, Ok(Err(_))) {
                    return reading.await;
                }
            }
        }
    }
}

async fn stream_one(
    addresses: &[SocketAddr],
    tokens: u32,
    rng: &mut ChaCha8Rng,
) -> (StreamedResponse, bool) {
    let caller = Caller::new("reports");
    let mut resumed = false;
    let mut address = addresses[rng.random_range(0..addresses.len())];
    let mut so_far = StreamedResponse::default();
    for _ in 0..MAX_ATTEMPTS {
        resumed |= !so_far.last_event.is_empty();
        let response = attempt(&caller, address, tokens, so_far).await;
        match response {
            Ok(completed) => return (completed, resumed),
            Err(partial) => so_far = partial,
        }
        let ended = so_far.error.as_ref().is_some_and(|error| {
            error.contains("\"interrupted\"") || error.contains("\"not_found\"")
        });
        if ended && !so_far.last_event.is_empty() {
            return (so_far, resumed);
        }
        so_far.error = None;
        tokio::time::sleep(ATTEMPT_PAUSE).await;
        address = addresses[rng.random_range(0..addresses.len())];
    }
    panic!("no VM served the stream in {MAX_ATTEMPTS} attempts: {so_far:?}");
}
