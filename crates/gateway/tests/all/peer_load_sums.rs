//! Sums of the loads that peers report on a server.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::MonoTime;
use dragonflycart_gateway::{ServerLoad, ServerState};
use proptest::prelude::*;

use crate::fixtures::{ENGINES, at, position, record};

/// Time for which a peer's report is valid.
const PEER_LOAD_MS: u64 = 3_000;
/// Time for which a load that the server reported is valid.
const REPORTED_LOAD_MS: u64 = 300;

/// What happens to a server's loads.
#[derive(Debug, Clone)]
enum Event {
    Report {
        peer: u64,
        load: ServerLoad,
    },
    Removal {
        peer: u64,
    },
    OwnLoad {
        load: ServerLoad,
    },
    ServerReport {
        requests: u32,
    },
    /// Nothing; only the time advances.
    Pause,
}

fn load() -> impl Strategy<Value = ServerLoad> {
    (0..9_u32, 0..9_000_u64, 0..900_u64, 0..3_000_u64, 0..500_u64).prop_map(
        |(requests, tokens, copy_tokens, pending_prompt_tokens, arriving_tokens)| ServerLoad {
            requests,
            tokens,
            copy_tokens,
            pending_prompt_tokens,
            arriving_tokens,
        },
    )
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..6_u64, load()).prop_map(|(peer, load)| Event::Report { peer, load }),
        2 => (0..6_u64).prop_map(|peer| Event::Removal { peer }),
        1 => load().prop_map(|load| Event::OwnLoad { load }),
        1 => (0..60_u32).prop_map(|requests| Event::ServerReport { requests }),
        2 => Just(Event::Pause),
    ]
}

/// Returns steps of time that meet the limits of validity exactly, fall just short of them or pass
/// them.
fn step() -> impl Strategy<Value = Duration> {
    let micros = prop_oneof![
        4 => 0..200_000_u64,
        2 => Just(1_000_000),
        1 => Just(2_999_999),
        1 => Just(3_000_000),
        1 => Just(3_000_001),
        1 => 3_000_000..9_000_000_u64,
    ];
    micros.prop_map(Duration::from_micros)
}

/// Loads of a server, added up anew for each question.
#[derive(Default)]
struct DirectSum {
    own: ServerLoad,
    peers: BTreeMap<u64, (MonoTime, ServerLoad)>,
    reported: Option<(MonoTime, u32)>,
}

impl DirectSum {
    fn recent(&self, now: MonoTime) -> Vec<ServerLoad> {
        let valid = Duration::from_millis(PEER_LOAD_MS);
        let recent = self.peers.values().filter(|(heard_at, _)| now.since(*heard_at) <= valid);
        recent.map(|(_, load)| *load).collect()
    }

    fn total(&self, now: MonoTime) -> ServerLoad {
        let mut total = self.own;
        for load in self.recent(now) {
            total += load;
        }
        let valid = Duration::from_millis(REPORTED_LOAD_MS);
        if let Some((_, requests)) = self.reported.filter(|(at, _)| now.since(*at) <= valid) {
            total.requests = total.requests.max(requests);
        }
        total
    }
}

proptest! {
    /// Guards against a placement by a load that no longer holds: a peer's report that is counted
    /// twice or after its end, or that is missing from the kept sum. The times that are asked for
    /// also lie before the last event, as when two tasks read the clock before they take the lock.
    #[test]
    fn kept_sum_equals_the_sum_over_all_reports(
        events in prop::collection::vec((event(), step(), any::<bool>(), 0..4_000_000_u64), 1..80),
    ) {
        let mut state = ServerState::new("e0", record(ENGINES, "a", 8_000), position(0), at(0));
        let mut direct = DirectSum::default();
        let mut now = at(0);
        for (event, step, is_asked, earlier) in events {
            now = now + step;
            match event {
                Event::Report { peer, load } => {
                    state.note_peer_load(peer, load, now);
                    direct.peers.insert(peer, (now, load));
                }
                Event::Removal { peer } => {
                    state.clear_peer_load(peer);
                    direct.peers.remove(&peer);
                }
                Event::OwnLoad { load } => {
                    state.own_load = load;
                    direct.own = load;
                }
                Event::ServerReport { requests } => {
                    state.note_reported_load(requests, now);
                    direct.reported = Some((now, requests));
                }
                Event::Pause => {}
            }
            if !is_asked {
                continue;
            }
            let before = now - Duration::from_micros(earlier).min(Duration::from_millis(2_900));
            for asked in [now, before, now] {
                prop_assert_eq!(state.total_load(asked), direct.total(asked));
                prop_assert_eq!(state.user_count(asked), 1 + direct.recent(asked).len());
            }
        }
    }
}

/// Guards against loads that are kept for as long as a server runs. A VM that restarts reports
/// under another ID, so nothing replaces or removes its earlier load.
#[test]
fn loads_of_ended_processes_are_dropped() {
    let mut state = ServerState::new("e0", record(ENGINES, "a", 8_000), position(0), at(0));
    let load = ServerLoad { requests: 1, tokens: 3_000, ..ServerLoad::default() };

    for second in 0..120 {
        // One VM stays, and another one is restarted every second.
        state.note_peer_load(1, load, at(second * 1_000));
        state.note_peer_load(100 + second, load, at(second * 1_000));
    }

    assert_eq!(state.user_count(at(119_000)), 6, "the last four processes count");
    assert!(state.kept_peer_loads() <= 10, "{}", state.kept_peer_loads());
}
