//! BUDGET: a part of a prompt crashes each engine that begins to write an answer on it.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    engine::{self, EngineOptions, EngineState, Framing, HEARTBEAT, World},
    fleet::{Fleet, manifest},
    record::Record,
    store::Store,
    streams,
};

const ENGINES: usize = 8;
/// Time after which a crashed engine is back.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Part on which engines crash, and one that only sound requests have.
const BAD_PART: &str = "bad0";
const SOUND_PART: &str = "50fd";
/// Interval of the sound requests; each fifth one is followed by one with the bad part.
const REQUEST_INTERVAL: Duration = Duration::from_millis(120);
/// Time for which requests are sent.
const TRAFFIC_TIME: Duration = Duration::from_secs(30);
/// `contact_ms` of the settings.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// Limits of the rule.
const CRASHES: usize = 5;
const ARRIVALS_ALLOWED: usize = 3;

/// Returns `HEAD_LEAD_MS` of the environment.
fn head_lead() -> Option<Duration> {
    let text = std::env::var("HEAD_LEAD_MS").ok()?;
    text.parse().ok().map(Duration::from_millis)
}

fn options(has_trouble: bool) -> EngineOptions {
    EngineOptions {
        framing: Framing::Chunked,
        event_time: Duration::from_millis(20),
        drops_requests: true,
        head_lead: head_lead(),
        cold_limit: usize::MAX,
        crash_part: has_trouble.then(|| BAD_PART.to_owned()),
    }
}

/// Brings crashed engines back under a new id. The old entry goes after three intervals of silence.
fn keep_alive(world: Arc<World>, mut engine: Arc<EngineState>) {
    let first_id = engine.id.clone();
    for start in 1.. {
        while !engine.is_dead() {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(BACK_AFTER);
        let old_id = engine.id.clone();
        let (address, id) = (engine.address, format!("{first_id}-{start}"));
        engine = engine::start(&world, &id, address, options(true));
        let store = world.store.clone();
        thread::spawn(move || {
            thread::sleep((HEARTBEAT * 3).saturating_sub(BACK_AFTER));
            store.put("keyed.servers", &old_id, None);
        });
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Option<Verdict> {
    let store = Store::start();
    store.put("keyed.op", "config", Some(&manifest(34_159, 0.0, 0.0)));
    let world = World::new(store.clone(), record.clone());
    let any: SocketAddr = "127.0.0.1:0".parse().expect("a valid address");
    for number in 0..ENGINES {
        let engine = engine::start(&world, &format!("i-{number}"), any, options(has_trouble));
        let world = Arc::clone(&world);
        thread::spawn(move || keep_alive(world, engine));
    }
    let fleet = Fleet::start("crash", 2, &store)?;

    let started = Instant::now();
    let (mut sound, mut bad) = (Vec::new(), Vec::new());
    for number in 0.. {
        if started.elapsed() > TRAFFIC_TIME {
            break;
        }
        let front = fleet.gateways[number % 2].front;
        let parts = format!("5c1e07a2:800,{SOUND_PART}:40,{:x}:30", 0x1000 + number);
        sound.push(streams::send(front, &format!("sound-{number}"), &parts, 900, 30, record));
        if number % 5 == 4 {
            let parts = format!("5c1e07a2:800,{BAD_PART}:40,{:x}:30", 0x9000 + number);
            bad.push(streams::send(front, &format!("bad-{number}"), &parts, 900, 30, record));
        }
        thread::sleep(REQUEST_INTERVAL);
    }
    let sound_count = sound.len();
    let served = sound.into_iter().filter_map(|client| client.join().ok());
    let served = served.filter(|result| result.is_complete && result.events == Some(30)).count();
    let bad_count = bad.into_iter().filter_map(|client| client.join().ok()).count();
    fleet.close();

    let crashes = world.crashes.lock().expect("not poisoned").clone();
    let arrivals = world.arrivals.lock().expect("not poisoned").clone();
    record.note(format_args!(
        "{} crashes; {served} of {sound_count} sound requests served whole; {bad_count} bad sent",
        crashes.len()
    ));
    if !has_trouble {
        return Some(if served == sound_count { Verdict::Held } else { Verdict::Broken });
    }
    let Some(fifth) = crashes.get(CRASHES - 1) else { return Some(Verdict::Held) };
    let late = arrivals
        .iter()
        .filter(|(at, _, attempt, _)| attempt.starts_with("bad-") && *at > *fifth + CONTACT_TIME);
    let late = late.count();
    record.note(format_args!(
        "{late} requests with the part reached engines later than 3 s after the fifth crash; \
         {ARRIVALS_ALLOWED} are allowed"
    ));
    Some(if late > ARRIVALS_ALLOWED { Verdict::Broken } else { Verdict::Held })
}
