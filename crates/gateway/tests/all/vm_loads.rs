//! Bounds of a VM by its size.

use std::{sync::Arc, time::Duration};

use dragonflycart_gateway::{
    GatewayContext, LoadChange, RefusalReason, TimerDelay, VmLoad, serve_callers,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::{fixtures::context, stub_store::StubStore};

/// Interval of the measured timer.
const INTERVAL: Duration = Duration::from_millis(100);
/// Memory of a small VM.
const SMALL_BYTES: usize = 88 << 20;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Records delays for `total`. Returns the changes.
fn note_delays(load: &mut VmLoad, delay: Duration, total: Duration) -> Vec<LoadChange> {
    let mut changes = Vec::new();
    let mut elapsed = Duration::ZERO;
    while elapsed < total {
        changes.extend(load.note_delay(INTERVAL, delay));
        elapsed += INTERVAL + delay;
    }
    changes
}

/// Pattern: a small VM gets more requests than it has processor time for.
/// Guards against requests that are accepted and then time out: the VM refuses new ones within the
/// time limit of a plain call, and says so.
#[test]
fn small_vm_without_processor_time_refuses_before_requests_time_out() {
    let mut load = VmLoad::new(SMALL_BYTES, 0.12);

    let changes = note_delays(&mut load, millis(500), millis(1_200));

    assert_eq!(changes, [LoadChange::Begins(RefusalReason::LateTimers)]);
    assert_eq!(load.refuse(), Some(RefusalReason::LateTimers));
    assert!(load.retry_time(1) >= load.delay().recovery_time());
}

/// Pattern: the same, and the load ends.
/// Guards against a VM that goes on to refuse after it has recovered, or that changes its mind with
/// each sample near a threshold.
#[test]
fn vm_recovers_soon_and_does_not_flap() {
    let mut load = VmLoad::new(SMALL_BYTES, 0.12);
    note_delays(&mut load, millis(500), millis(3_000));
    load.refuse();

    let near = note_delays(&mut load, millis(120), millis(10_000));
    let retry = load.retry_time(1);
    let after = note_delays(&mut load, millis(1), retry + millis(200));

    assert_eq!(near, [], "it changed its mind between the thresholds");
    let ends = LoadChange::Ends { reason: RefusalReason::LateTimers, refused: 1 };
    assert_eq!(after, [ends]);
    assert_eq!(load.refuse(), None);
}

/// Pattern: a VM with a small processor share is throttled for most of a period now and then.
/// Guards against refusals by a VM that is only busy.
#[test]
fn busy_vm_refuses_nothing() {
    let mut delay = TimerDelay::default();

    for index in 0..1_000 {
        delay.note(INTERVAL, if index % 3 == 0 { millis(90) } else { millis(15) });
        assert!(!delay.is_overloaded());
    }
}

/// Pattern: a VM is frozen for some seconds and goes on.
/// Guards against refusals because of a single late timer, when the VM has all its processor time.
#[test]
fn frozen_vm_serves_at_once_when_it_goes_on() {
    for frozen_s in [1, 5, 600] {
        let mut delay = TimerDelay::default();
        delay.note(INTERVAL, millis(5));

        delay.note(INTERVAL, Duration::from_secs(frozen_s));

        assert!(!delay.is_overloaded(), "{frozen_s} s");
    }
}

/// Pattern: a VM that is as busy as it may be without an overload is frozen for some seconds.
/// Guards against a limit of one sample with which a single freeze counts as an overload.
#[test]
fn single_freeze_of_a_busy_vm_is_no_overload() {
    let mut delay = TimerDelay::default();
    for _ in 0..1_000 {
        delay.note(INTERVAL, millis(59));
    }

    delay.note(INTERVAL, Duration::from_secs(600));

    assert!(!delay.is_overloaded(), "{:?}", delay.average());
}

/// Pattern: the timers are so late that calls with the shortest time limit, 1.2 s, would time out
/// after six wake-ups, or just not.
/// Guards against a VM that accepts requests that are bound to time out, and against refusals of
/// requests that it can serve.
#[test]
fn overload_begins_where_six_wake_ups_take_the_shortest_time_limit() {
    for (delay_ms, is_overloaded) in [(1_200 / 6 - 10, false), (1_200 / 6 + 10, true)] {
        let mut delay = TimerDelay::default();
        for _ in 0..100 {
            delay.note(INTERVAL, millis(delay_ms));
        }

        assert_eq!(delay.is_overloaded(), is_overloaded, "{delay_ms}");
    }
}

/// Pattern: requests pile up at one VM.
/// Guards against a VM that runs out of memory with waiting requests, and against a bound that VMs
/// of the usual sizes reach in normal service (some ten requests wait at each).
#[test]
fn waiting_requests_are_bounded_by_the_size_of_the_vm() {
    for (memory_mb, cpu_share, bound) in
        [(88, 0.09, 180), (110, 0.25, 264), (512, 0.5, 1_000), (512, 4.0, 1_228), (1, 0.0, 32)]
    {
        assert_eq!(VmLoad::new(memory_mb << 20, cpu_share).waiting_bound(), bound, "{memory_mb}");
    }
}

/// Pattern: the same, until requests are answered again.
/// Guards against a count that never falls, and against a log line for each request at the bound.
#[test]
fn vm_admits_requests_again_when_fewer_wait() {
    let mut load = VmLoad::new(SMALL_BYTES, 0.09);
    let bound = load.waiting_bound();

    let mut changes = Vec::new();
    for _ in 0..bound {
        assert_eq!(load.refuse(), None);
        changes.extend(load.note_waiting());
    }
    let refused = load.refuse();
    for _ in 0..10 {
        changes.extend(load.note_answered());
        changes.extend(load.note_waiting());
    }
    for _ in 0..bound {
        changes.extend(load.note_answered());
    }

    assert_eq!(refused, Some(RefusalReason::ManyWaiting));
    let ends = LoadChange::Ends { reason: RefusalReason::ManyWaiting, refused: 1 };
    assert_eq!(changes, [LoadChange::Begins(RefusalReason::ManyWaiting), ends]);
    assert_eq!((load.refuse(), load.waiting()), (None, 0));
}

/// Sends a booking to the VM at `address` and returns the response.
async fn book(address: std::net::SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = "GET /bookings/1 HTTP/1.1\r\nhost: desk.example\r\nx-echo-id: a1\r\n\
        authorization: Key k1\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response
}

fn refusals(context: &GatewayContext, reason: RefusalReason) -> usize {
    let sample = format!("load_refusals_total{{reason=\"{reason}\"}} 1");
    context.metrics.encode().matches(&sample).count()
}

/// Pattern: an overloaded VM gets a request, recovers, and gets another one.
/// Guards against an overload that is logged and changes nothing, against a refusal that callers
/// take for a run or can't follow, and against refusals after the end.
#[tokio::test]
async fn overloaded_vm_refuses_as_not_run_until_it_has_recovered() {
    let context = context(Arc::new(StubStore::default()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(serve_callers(Arc::clone(&context), listener));

    note_delays(&mut context.vm_load(), millis(500), millis(2_000));
    let refused = book(address).await;
    let count = refusals(&context, RefusalReason::LateTimers);
    note_delays(&mut context.vm_load(), millis(0), millis(4_000));
    book(address).await;
    server.abort();

    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    assert!(refused.contains("retry-after: "), "{refused}");
    assert_eq!((count, refusals(&context, RefusalReason::LateTimers)), (1, 1));
    assert_eq!(context.vm_load().waiting(), 0, "a request still counts as waiting");
}
