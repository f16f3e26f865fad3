//! Memory budgets of buffered responses.

use std::time::Duration;

use bytes::Bytes;
use dragonflycart_gateway::{ConnectionError, MemoryBudget, ResponseMemory, StreamMemory};

/// Time after which a test takes a wait for endless. The clock is paused.
const LONG: Duration = Duration::from_secs(600);
const WAIT_LIMIT: Duration = Duration::from_secs(2);
const MIB: usize = 1024 * 1024;

/// Returns whether a future is still waiting after a long time.
async fn waits(future: impl Future) -> bool {
    tokio::time::timeout(LONG, future).await.is_err()
}

/// Guards against bodies that each hold a part of the memory and wait for the rest for good.
#[tokio::test(start_paused = true)]
async fn buffers_that_hold_all_memory_do_not_wait_for_each_other() {
    let budget = MemoryBudget::new(1_000, None);
    let mut buffers = Vec::new();
    for _ in 0..4 {
        let mut buffer = budget.reservation(0);
        buffer.grow_to(250).await.unwrap();
        buffers.push(buffer);
    }
    assert_eq!(budget.free_bytes(), 0);

    let mut tasks = tokio::task::JoinSet::new();
    for mut buffer in buffers {
        tasks.spawn(async move { buffer.grow_to(900).await });
    }
    let results = tokio::time::timeout(LONG, tasks.join_all()).await;

    assert_eq!(results.expect("they wait for each other"), vec![Ok(()); 4]);
    assert_eq!(budget.free_bytes(), 1_000);
}

/// Guards against more than one body that grows without memory of the budget.
#[tokio::test(start_paused = true)]
async fn one_buffer_at_a_time_grows_beyond_the_budget() {
    let budget = MemoryBudget::new(1_000, None);
    let mut first = budget.reservation(0);
    first.grow_to(1_000).await.unwrap();
    first.grow_to(2_000).await.unwrap();
    let mut second = budget.reservation(0);

    assert!(waits(second.grow_to(1)).await);
    assert!(second.is_waiting());
    drop(first);

    assert!(!waits(second.grow_to(1_000)).await);
    assert!(!second.is_waiting());
}

/// Guards against an endless body that waits, with what it holds, for as long as its request lasts.
#[tokio::test(start_paused = true)]
async fn buffer_gives_up_after_the_wait_limit() {
    let budget = MemoryBudget::new(1_000, Some(WAIT_LIMIT));
    let mut first = budget.reservation(0);
    first.grow_to(1_000).await.unwrap();
    first.grow_to(2_000).await.unwrap();
    let mut second = budget.reservation(0);
    let start = tokio::time::Instant::now();

    let result = second.grow_to(1).await;

    assert_eq!(result, Err(ConnectionError::NoMemory));
    assert_eq!(start.elapsed().as_secs(), WAIT_LIMIT.as_secs());
}

/// Guards against bodies without an end that take the memory of those that state their length.
#[tokio::test(start_paused = true)]
async fn open_ended_bodies_take_no_memory_of_those_with_a_length() {
    let memory = ResponseMemory::new(110 * MIB);
    let mut held = Vec::new();
    for _ in 0..60 {
        let mut endless = memory.body(false);
        if endless.grow_to(4 * MIB).await.is_ok() {
            held.push(endless);
        }
    }
    let mut sound = memory.body(true);

    let is_waiting = waits(sound.grow_to(4 * MIB)).await;

    assert!(held.len() < 6, "{} bodies of 4 MiB", held.len());
    assert!(!is_waiting);
}

/// Guards against usual responses that wait because large ones use the memory.
#[tokio::test(start_paused = true)]
async fn usual_bodies_never_wait() {
    let memory = ResponseMemory::new(110 * MIB);
    let mut held = Vec::new();
    for _ in 0..60 {
        let mut endless = memory.body(false);
        if endless.grow_to(4 * MIB).await.is_ok() {
            held.push(endless);
        }
    }

    for _ in 0..200 {
        let mut usual = memory.body(false);
        assert!(!waits(usual.grow_to(8 * 1024)).await);
        held.push(usual);
    }
}

fn event(size: usize) -> Bytes {
    Bytes::from(vec![b'x'; size])
}

/// Guards against large events of one stream that take all memory because its caller reads nothing.
#[tokio::test(start_paused = true)]
async fn events_of_a_slow_caller_stay_within_the_window() {
    let budget = MemoryBudget::new(10 * MIB, None);
    let mut stream = StreamMemory::new(&budget);
    let large = event(200 * 1024);
    let mut waiting = Vec::new();
    for _ in 0..2 {
        stream.receive(large.len()).await.unwrap();
        waiting.push(stream.keep(&large).await);
    }

    stream.receive(large.len()).await.unwrap();
    assert!(waits(stream.keep(&large)).await);
    waiting.pop();

    assert!(!waits(stream.keep(&large)).await);
}

/// Guards against memory that stays reserved after an event was sent to the caller.
#[tokio::test(start_paused = true)]
async fn memory_of_an_event_is_released_with_its_last_reference() {
    let budget = MemoryBudget::new(MIB, None);
    let mut stream = StreamMemory::new(&budget);
    let large = event(100 * 1024);
    stream.receive(large.len()).await.unwrap();
    let kept = stream.keep(&large).await;
    assert!(budget.free_bytes() < MIB);

    let part = kept.slice(10..20);
    drop(kept);
    assert!(budget.free_bytes() < MIB);
    drop(part);

    assert_eq!(budget.free_bytes(), MIB);
}

/// Guards against memory that stays reserved for a large event that is not forwarded, for example
/// because the caller has it already.
#[tokio::test(start_paused = true)]
async fn memory_of_an_event_that_is_not_kept_is_released() {
    let budget = MemoryBudget::new(MIB, None);
    let mut stream = StreamMemory::new(&budget);
    stream.receive(100 * 1024).await.unwrap();
    assert!(budget.free_bytes() < MIB);

    stream.receive(2_000).await.unwrap();

    assert_eq!(budget.free_bytes(), MIB);
}

/// Guards against a small event that keeps the whole buffer into which it was received.
#[tokio::test(start_paused = true)]
async fn event_that_waits_does_not_keep_the_receive_buffer() {
    let budget = MemoryBudget::new(MIB, None);
    let mut stream = StreamMemory::new(&budget);
    let buffer = event(64 * 1024);
    let small = buffer.slice(..100);

    let kept = stream.keep(&small).await;
    drop(small);

    assert!(buffer.is_unique(), "the event holds the buffer");
    assert_eq!(kept.len(), 100);
}

/// Guards against small events of slow callers that take memory outside the budget, without a limit
/// over all streams.
#[tokio::test(start_paused = true)]
async fn small_events_beyond_the_share_of_a_stream_use_the_budget() {
    let budget = MemoryBudget::new(MIB, None);
    let mut stream = StreamMemory::new(&budget);
    let small = event(2_000);
    let mut waiting = Vec::new();

    for _ in 0..20 {
        waiting.push(stream.keep(&small).await);
    }

    assert!(MIB - budget.free_bytes() >= 20_000, "{} bytes free", budget.free_bytes());
    drop(waiting);
    assert_eq!(budget.free_bytes(), MIB);
}

/// Guards against a stream of small events that waits for the callers of other streams.
#[tokio::test(start_paused = true)]
async fn small_events_do_not_wait_for_other_streams() {
    let budget = MemoryBudget::new(MIB, None);
    let mut large = budget.reservation(0);
    large.grow_to(MIB).await.unwrap();
    large.grow_to(2 * MIB).await.unwrap();
    let mut stream = StreamMemory::new(&budget);
    let small = event(2_000);

    for _ in 0..50 {
        assert!(!waits(stream.receive(small.len())).await);
        assert!(!waits(stream.keep(&small)).await);
    }
}
