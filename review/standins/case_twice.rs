//! TWICE: a stream goes on from its backup copy while the engine before still works on it.

use std::{net::SocketAddr, thread, time::Duration};

use crate::{
    Verdict,
    engine::{self, EngineOptions, Framing, World},
    fleet::{Fleet, manifest},
    record::Record,
    store::Store,
    streams,
};

const ENGINES: usize = 7;
/// Engines that do not drop a request when its channel closes; most do.
const STUBBORN: usize = 3;
const STREAMS: usize = 6;
/// Events of a stream, which take 12 s.
const EVENTS: u64 = 300;
const EVENT_TIME: Duration = Duration::from_millis(40);
/// Time from the last request to the draining.
const LEAD_TIME: Duration = Duration::from_secs(2);
/// Time from the draining to the exit: `drain_ms` and a little longer.
const NOTICE: Duration = Duration::from_millis(3_500);
/// Time of the rule for which two runners may work on a request.
const OVERLAP_ALLOWED: Duration = Duration::from_millis(400);

pub fn run(record: &Record, has_trouble: bool) -> Option<Verdict> {
    let store = Store::start();
    store.put("keyed.op", "config", Some(&manifest(34_159, 0.0, 0.0)));
    let world = World::new(store.clone(), record.clone());
    let any: SocketAddr = "127.0.0.1:0".parse().expect("a valid address");
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let options = EngineOptions {
            framing: Framing::Chunked,
            event_time: EVENT_TIME,
            drops_requests: number >= STUBBORN,
            head_lead: None,
            cold_limit: usize::MAX,
            crash_part: None,
        };
        engines.push(engine::start(&world, &format!("i-{number}"), any, options));
    }
    let fleet = Fleet::start("twice", 2, &store)?;

    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let front = fleet.gateways[number % 2].front;
        let parts = format!("5c1e07a2:47,{:x}:30", 0x1000 + number);
        let attempt = format!("stream-{number}");
        clients.push(streams::send(front, &attempt, &parts, 3_000, EVENTS, record));
        thread::sleep(Duration::from_millis(150));
    }
    thread::sleep(LEAD_TIME);
    if has_trouble {
        // One that does not drop requests.
        engines[..STUBBORN].iter().max_by_key(|engine| engine.run_count())?.drain(NOTICE);
    }
    for client in clients {
        client.join().ok()?;
    }
    thread::sleep(NOTICE);
    fleet.close();

    let mut verdict = Verdict::Held;
    let work = world.work.lock().expect("not poisoned");
    for (later_engine, attempt, later_start, _) in work.iter() {
        for (engine, other, start, end) in work.iter() {
            if other != attempt || start >= later_start || *end <= *later_start + OVERLAP_ALLOWED {
                continue;
            }
            record.note(format_args!(
                "BROKEN: {attempt} went on at {later_engine}; {engine} worked on it for {} ms more",
                (*end - *later_start).as_millis()
            ));
            verdict = Verdict::Broken;
        }
    }
    Some(verdict)
}
