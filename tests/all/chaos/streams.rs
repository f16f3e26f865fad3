//! Callers that stream and go on at other VMs; each token once, in order.

use std::net::SocketAddr;

use dragonflycart_testkit::TokenSource;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use super::RunCounts;
use crate::support::{Caller, StreamedAnswer};

/// Attempts of one stream; with the pause between them longer than a healed fault lasts.
const MOST_ATTEMPTS: usize = 100;
/// Pause between two attempts.
const ATTEMPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(150);

/// Time without a token after which a caller goes on at another VM, as at a paused one.
const PATIENCE: std::time::Duration = std::time::Duration::from_millis(2_500);

/// What a streaming caller saw.
#[derive(Debug, Default)]
pub(super) struct StreamReport {
    whole: usize,
    resumed: usize,
    interrupted: usize,
}

impl StreamReport {
    pub(super) fn add_to(&self, counts: &mut RunCounts) {
        counts.streams += self.whole;
        counts.resumed += self.resumed;
        counts.interrupted += self.interrupted;
    }
}

/// Streams until `stopped`, and checks each stream.
pub(super) async fn call(
    addresses: Vec<SocketAddr>,
    mut rng: ChaCha8Rng,
    stopped: watch::Receiver<bool>,
) -> StreamReport {
    let mut report = StreamReport::default();
    while !*stopped.borrow() {
        let tokens = rng.random_range(20..300);
        let (answer, resumed) = stream_one(&addresses, tokens, &mut rng).await;
        report.resumed += usize::from(resumed);
        check(&answer, tokens);
        if answer.done {
            report.whole += 1;
        } else {
            report.interrupted += 1;
        }
    }
    report
}

fn check(answer: &StreamedAnswer, tokens: u32) {
    let count = answer.indexes.len() as u64;
    assert_eq!(answer.indexes, (0..count).collect::<Vec<u64>>(), "tokens lost or repeated");
    assert_eq!(answer.text, TokenSource::expected_text(count), "tokens of another generation");
    if answer.done {
        assert_eq!(count, u64::from(tokens), "the stream ended early");
    }
}

/// Starts or resumes a stream and leaves it when nothing arrives for a while.
async fn attempt(
    caller: &Caller,
    address: SocketAddr,
    tokens: u32,
    so_far: StreamedAnswer,
) -> Result<StreamedAnswer, StreamedAnswer> {
    let (sender, mut receiver) = watch::channel(so_far.clone());
    let on_token = move |answer: &StreamedAnswer| drop(sender.send(answer.clone()));
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
            answer = &mut reading => return answer,
            changed = tokio::time::timeout(PATIENCE, receiver.changed()) => {
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
) -> (StreamedAnswer, bool) {
    let caller = Caller::new("reports");
    let mut resumed = false;
    let mut address = addresses[rng.random_range(0..addresses.len())];
    let mut so_far = StreamedAnswer::default();
    for _ in 0..MOST_ATTEMPTS {
        resumed |= !so_far.last_event.is_empty();
        let answer = attempt(&caller, address, tokens, so_far).await;
        match answer {
            Ok(whole) => return (whole, resumed),
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
    panic!("no VM served the stream: {so_far:?}");
}
