//! ORDER: a stream without a length or chunks is moved because its engine drains.

use std::{net::SocketAddr, thread, time::Duration};

use crate::{
    Verdict,
    engine::{self, EngineOptions, Framing, World},
    fleet::{Fleet, manifest},
    record::Record,
    store::Store,
    streams,
};

const ENGINES: usize = 3;
const STREAMS: usize = 12;
/// Events of a stream, which take 12 s.
const EVENTS: u64 = 300;
const EVENT_TIME: Duration = Duration::from_millis(40);
/// Time from the last request to the draining.
const LEAD_TIME: Duration = Duration::from_secs(2);
/// Time from the start of the new engine to the draining of the old one.
const REPLACED_AFTER: Duration = Duration::from_secs(1);
/// Time from the draining to the exit: `drain_ms` and a little longer.
const NOTICE: Duration = Duration::from_millis(2_500);

pub fn run(record: &Record, has_trouble: bool) -> Option<Verdict> {
    let store = Store::start();
    store.put("keyed.op", "config", Some(&manifest(34_159, 0.0, 0.0)));
    let world = World::new(store.clone(), record.clone());
    let any: SocketAddr = "127.0.0.1:0".parse().expect("a valid address");
    let options = EngineOptions {
        framing: Framing::UntilClose,
        event_time: EVENT_TIME,
        drops_requests: true,
        head_lead: None,
        cold_limit: usize::MAX,
        crash_part: None,
    };
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        engines.push(engine::start(&world, &format!("i-{number}"), any, options.clone()));
    }
    let fleet = Fleet::start("cut-stream", 2, &store)?;

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
        // The engine that replaces the one that drains starts first.
        engine::start(&world, "i-new", any, options);
        thread::sleep(REPLACED_AFTER);
        engines.iter().max_by_key(|engine| engine.run_count())?.drain(NOTICE);
    }

    let mut verdict = Verdict::Held;
    for client in clients {
        let result = client.join().ok()?;
        let is_whole = result.events == Some(EVENTS);
        if result.status == 200 && result.is_complete && !is_whole {
            record.note(format_args!(
                "BROKEN: {} ended as complete after {:?} of {EVENTS} events",
                result.attempt, result.events
            ));
            verdict = Verdict::Broken;
        }
    }
    fleet.close();
    Some(verdict)
}
