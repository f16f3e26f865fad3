//! DRAIN: a stream is moved to an engine that has been draining for long.

use std::{net::SocketAddr, thread, time::Duration};

use crate::{
    Verdict,
    engine::{self, EngineOptions, Framing, World},
    fleet::{Fleet, manifest},
    record::Record,
    store::Store,
    streams,
};

const ENGINES: usize = 14;
/// One less than three for each engine.
const STREAMS: usize = 41;
/// Events of a stream, which take 20 s.
const EVENTS: u64 = 200;
const EVENT_TIME: Duration = Duration::from_millis(100);
/// Time from the last request to the first draining.
const LEAD_TIME: Duration = Duration::from_secs(2);
/// Pause between two engines that are taken away.
const GAP: Duration = Duration::from_secs(1);
/// Time from the draining of each engine to its exit: `drain_ms` and some seconds.
const NOTICES: [Duration; 2] = [Duration::from_millis(9_000), Duration::from_millis(7_700)];
/// `drain_ms` of the settings.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);

pub fn run(record: &Record, has_trouble: bool) -> Option<Verdict> {
    let store = Store::start();
    store.put("keyed.op", "config", Some(&manifest(34_159, 0.0, 0.0)));
    let world = World::new(store.clone(), record.clone());
    let any: SocketAddr = "127.0.0.1:0".parse().expect("a valid address");
    let options = EngineOptions {
        framing: Framing::Chunked,
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
    let fleet = Fleet::start("drain", 2, &store)?;

    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let front = fleet.gateways[number % 2].front;
        let parts = format!("5c1e07a2:47,{:x}:30", 0x1000 + number);
        let attempt = format!("stream-{number}");
        clients.push(streams::send(front, &attempt, &parts, 3_000, EVENTS, record));
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(LEAD_TIME);
    if has_trouble {
        // First one of the busiest engines, then one to which the memory of its streams went.
        let first = engines.iter().max_by_key(|engine| engine.run_count())?;
        first.drain(NOTICES[0]);
        thread::sleep(GAP);
        let targets = world.copy_targets();
        let second = engines.iter().find(|engine| targets.contains(&engine.address))?;
        second.drain(NOTICES[1]);
    }

    let mut lost = 0;
    for client in clients {
        let result = client.join().ok()?;
        let is_whole = result.is_complete && result.events == Some(EVENTS);
        lost += usize::from(!is_whole);
    }
    fleet.close();

    record.note(format_args!("{lost} of {STREAMS} streams were not received whole"));
    let mut verdict = Verdict::Held;
    for (at, id, attempt, is_resumed) in world.arrivals.lock().expect("not poisoned").iter() {
        let engine = engines.iter().find(|engine| engine.id == *id)?;
        let drained_at = *engine.drained_at.lock().expect("not poisoned");
        let Some(late) = drained_at.and_then(|drained| at.checked_duration_since(drained)) else {
            continue;
        };
        if late > DRAIN_TIME {
            record.note(format_args!(
                "BROKEN: {attempt} reached {id} {} ms after the store had accepted that it \
                 drains (goes on from a copy: {is_resumed})",
                late.as_millis()
            ));
            verdict = Verdict::Broken;
        }
    }
    Some(verdict)
}
