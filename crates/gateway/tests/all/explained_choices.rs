//! Explanation of the choice of a server, over random fleets.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dragonflycart_admission::AdmissionClass;
use dragonflycart_capacity::PeerSample;
use dragonflycart_core::{MonoTime, PromptPart};
use dragonflycart_explanation::{ScorePart, ServerExclusion};
use dragonflycart_gateway::{
    ChoiceExplanation, FleetOrder, FleetView, PlacementQuery, ServerLoad, ServerRecord,
    TokenDemand, VersionMoveSpec, VersionRole,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use strum::IntoEnumIterator;

use crate::{
    fixtures::{DESK, ENGINES, at, key_of, position, query, record, settings, view},
    learned_placements::{LEARNED_MS, teach_engines},
};

/// Number of random fleets.
const FLEETS: u64 = 400;
/// Number of placements in each.
const PLACEMENTS: u64 = 12;
/// Number of VMs of a fleet in which servers of other zones are sampled.
const LARGE_FLEET: usize = 100;
/// Largest difference between a score and the sum of its parts, by rounding.
const ROUNDING: f64 = 1e-9;

/// Random fleet with servers `e0`, `e1` and so on of one service.
struct RandomFleet {
    rng: ChaCha8Rng,
    view: FleetView,
    service: &'static str,
    prefix: PromptPart,
}

impl RandomFleet {
    fn new(seed: u64) -> RandomFleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let service = if rng.random_bool(0.7) { ENGINES } else { DESK };
        let count = rng.random_range(1..24);
        let zones: Vec<&str> =
            (0..count).map(|_| ["a", "a", "b", "c"][rng.random_range(0..4)]).collect();
        let mut view = view(if service == ENGINES { zones.as_slice() } else { &[] });
        if service == ENGINES && rng.random_bool(0.5) {
            let factors: Vec<f64> =
                (0..count).map(|_| if rng.random_bool(0.3) { 2.2 } else { 1.0 }).collect();
            teach_engines(&mut view, &factors);
        }
        let prefix = PromptPart::from_text("shared");
        let mut fleet = RandomFleet { rng, view, service, prefix };
        for (index, zone) in zones.iter().enumerate() {
            fleet.register(index, zone);
            fleet.disturb(index);
        }
        fleet.disturb_fleet();
        fleet
    }

    fn now() -> MonoTime {
        at(LEARNED_MS)
    }

    fn register(&mut self, index: usize, zone: &str) {
        let registration = ServerRecord {
            version: if self.rng.random_bool(0.5) { "v1" } else { "v2" }.to_owned(),
            slots: self.rng.random_range(1..24),
            cold_left: Duration::from_secs(if self.rng.random_bool(0.3) { 10 } else { 0 }),
            ..record(self.service, zone, 8_000 + index as u16)
        };
        let offset = 100 + index as u64;
        self.view.apply_server(
            &format!("e{index}"),
            registration,
            position(offset),
            RandomFleet::now(),
        );
    }

    fn disturb(&mut self, index: usize) {
        let now = RandomFleet::now();
        let id = format!("e{index}");
        let key = key_of(&self.view, &id);
        if self.rng.random_bool(0.6) {
            let load = ServerLoad {
                requests: self.rng.random_range(0..20),
                tokens: self.rng.random_range(0..27_000),
                copy_tokens: self.rng.random_range(0..3_000),
                pending_prompt_tokens: self.rng.random_range(0..6_000),
                arriving_tokens: 0,
            };
            self.view.note_peer_load(7, &id, load, now - Duration::from_millis(400));
        }
        if self.rng.random_bool(0.3) {
            self.view.note_load_header(key, Some("3,1,24,140"), now);
        }
        if self.rng.random_bool(0.3) {
            let speed = self.rng.random_range(0.3..1.6);
            let sample = PeerSample { samples: 40, speed, age: Duration::from_secs(3) };
            self.view.note_peer_speed(9, &id, Some(1), sample, now);
        }
        if self.rng.random_bool(0.2) {
            self.view.note_peer_losses(7, &id, 2, now);
        }
        if self.rng.random_bool(0.3) {
            let time = Duration::from_millis(self.rng.random_range(10..400));
            self.view.note_result(key, "reports", self.rng.random_bool(0.4), time);
        }
        match self.rng.random_range(0..30) {
            0 => self.view.note_refusal(key, Duration::from_millis(300), now),
            1 => self.view.note_unreachable(key, now),
            2 => {
                let state = self.view.server_mut(key).unwrap();
                state.note_declined(Duration::from_millis(300), now);
            }
            3 => {
                self.view.note_leaving(&id, Some(1), false, now);
            }
            4 => self.view.server_mut(key).unwrap().expired_at = Some(now),
            _ => {}
        }
    }

    fn disturb_fleet(&mut self) {
        let now = RandomFleet::now();
        self.view.vm_count = if self.rng.random_bool(0.5) { LARGE_FLEET } else { 3 };
        self.view.sharing_vms = self.view.vm_count;
        if self.rng.random_bool(0.15) {
            let zone = ["a", "b", "c"][self.rng.random_range(0..3)].to_owned();
            self.view.apply_order(FleetOrder::EvacuateZone { zone }, now);
        }
        if self.rng.random_bool(0.15) {
            let zone = ["a", "b"][self.rng.random_range(0..2)];
            let servers = self.view.servers().filter(|(_, state)| state.record.zone == zone);
            let lost: Vec<_> = servers.map(|(key, _)| key).take(2).collect();
            for key in lost {
                self.view.note_unreachable(key, now);
            }
        }
        if self.rng.random_bool(0.4) {
            let order = VersionMoveSpec {
                service: self.service.to_owned(),
                target: "v2".to_owned(),
                time_limit: Duration::from_secs(60),
            };
            // Some of them may have ended unknown to the VM.
            let known_at = if self.rng.random_bool(0.5) { at(LEARNED_MS - 5_000) } else { now };
            self.view.start_version_move(order, position(5), known_at, 0);
            if self.rng.random_bool(0.5) {
                self.view.note_statuses_read();
            }
        }
    }

    fn query<'a>(
        &mut self,
        excluded: &'a BTreeSet<dragonflycart_gateway::ServerKey>,
    ) -> PlacementQuery<'a> {
        let demand = match (self.service, self.rng.random_range(0..3)) {
            (DESK, _) | (_, 0) => TokenDemand::default(),
            (_, 1) => TokenDemand::estimate(2_200, 40, Some(12)),
            _ => TokenDemand::estimate(3_000, 1_600, Some(800)),
        };
        let seed = self.rng.random();
        let is_managed = self.rng.random_bool(0.5);
        PlacementQuery {
            service: self.service,
            shared_prefix: (self.service == ENGINES).then_some(self.prefix),
            spread_seed: is_managed.then_some(seed),
            sample_seed: seed,
            admission: [AdmissionClass::Urgent, AdmissionClass::Deferrable]
                [self.rng.random_range(0..2)],
            ..query(demand, excluded)
        }
    }

    /// Returns whether the chosen server has another role than the one that is tried first.
    fn is_fallback(&self, choice: &ChoiceExplanation) -> bool {
        let Some(version_move) = self.view.version_move(self.service) else { return false };
        let Ok(id) = &choice.result else { return false };
        let key = key_of(&self.view, id);
        let chosen = version_move.role_of(&self.view.server(key).unwrap().record.version);
        chosen != version_move.next_role(settings().exposure, self.view.sharing_vms)
    }
}

/// Guards against an explanation that names another server than placement chooses, that has wrong
/// candidates or parts that do not add up to the score, or that changes the state. The counts guard
/// against random fleets in which a case never occurs.
#[test]
fn explained_choice_is_the_real_one_in_random_fleets() {
    let mut reasons = BTreeMap::<ServerExclusion, u32>::new();
    let mut parts = BTreeSet::<ScorePart>::new();
    let (mut refused, mut sampled) = (0, 0);
    let mut fallbacks = BTreeSet::new();
    for seed in 0..FLEETS {
        let mut fleet = RandomFleet::new(seed);
        let excluded = BTreeSet::new();
        for step in 0..PLACEMENTS {
            let now = RandomFleet::now() + Duration::from_millis(step);
            let query = fleet.query(&excluded);
            let before = format!("{:?}", fleet.view);

            let choice = fleet.view.explain_choice(&query, now);

            assert_eq!(format!("{:?}", fleet.view), before, "seed {seed}: the state changed");
            if fleet.is_fallback(&choice) {
                let role = &choice.version_move.as_ref().unwrap().role;
                fallbacks.insert(role.clone());
            }
            let placed = fleet.view.place(&query, now).map(|placement| placement.id);
            assert_eq!(choice.result, placed, "seed {seed} step {step}");
            let candidates: Vec<_> =
                choice.servers.iter().filter(|server| server.excluded.is_empty()).collect();
            let best = candidates.first().map(|server| server.id.clone());
            assert_eq!(best, placed.ok(), "seed {seed} step {step}: {choice:#?}");
            for server in &choice.servers {
                let sum: f64 = server.parts.values().sum();
                assert!((sum - server.score).abs() < ROUNDING, "seed {seed}: {server:#?}");
                parts.extend(server.parts.keys().copied());
                for reason in &server.excluded {
                    *reasons.entry(*reason).or_default() += 1;
                }
            }
            refused += u32::from(choice.result.is_err());
            sampled += u32::from(choice.sampled_share < 1.0 && choice.result.is_ok());
        }
    }
    for reason in ServerExclusion::iter() {
        assert!(reasons.get(&reason).is_some_and(|count| *count >= 10), "{reason}: {reasons:?}");
    }
    // Only generations that are moved have a copy to wait for.
    let expected: BTreeSet<_> =
        ScorePart::iter().filter(|part| *part != ScorePart::Arrival).collect();
    assert_eq!(parts, expected);
    assert!(refused >= 10 && sampled >= 10, "{refused} {sampled}");
    assert_eq!(fallbacks.len(), 2, "{fallbacks:?}");
}

/// Guards against parts that do not add up, or a missing copy time, for a generation that is moved.
#[test]
fn parts_of_a_move_add_up() {
    let view = view(&["a", "b"]);
    let excluded = BTreeSet::new();
    let demand = TokenDemand::estimate(3_000, 1_600, Some(800));
    let query = PlacementQuery {
        preferred_zone: Some("b"),
        moved_tokens: 4_000,
        spread_seed: Some(3),
        ..query(demand, &excluded)
    };

    let choice = view.explain_choice(&query, at(0));

    assert_eq!(choice.servers.len(), 2);
    for server in &choice.servers {
        let sum: f64 = server.parts.values().sum();
        assert!((sum - server.score).abs() < ROUNDING, "{server:#?}");
        assert!(server.parts[&ScorePart::Arrival] > 0.0, "{server:#?}");
    }
}

/// Guards against ages that count inputs which placement no longer uses, and against wrong ones.
#[test]
fn ages_are_those_of_the_inputs_in_use() {
    let mut view = view(&["a", "a"]);
    let load = ServerLoad { requests: 2, ..ServerLoad::default() };
    view.note_peer_load(7, "e0", load, at(1_000));
    view.note_peer_load(8, "e0", load, at(3_000));
    view.note_peer_load(9, "e0", load, at(0));
    view.note_load_header(key_of(&view, "e0"), Some("5,0,24"), at(3_100));
    view.note_load_header(key_of(&view, "e1"), Some("5,0,24"), at(2_500));
    let excluded = BTreeSet::new();

    let choice = view.explain_choice(&query(TokenDemand::default(), &excluded), at(3_200));

    let ages: BTreeMap<_, _> =
        choice.servers.iter().map(|server| (server.id.as_str(), server.ages)).collect();
    assert_eq!(ages["e0"].reported_load_ms, Some(100));
    assert_eq!(ages["e0"].peer_reports, 2);
    assert_eq!(ages["e0"].newest_peer_report_ms, Some(200));
    assert_eq!(ages["e0"].oldest_peer_report_ms, Some(2_200));
    assert_eq!(ages["e1"].reported_load_ms, None, "the report is too old to count");
    assert_eq!(ages["e1"].peer_reports, 0);
}

/// Guards against an explanation that names the wrong version during a version move.
#[test]
fn version_move_names_the_role_that_is_chosen() {
    let mut view = view(&["a", "a"]);
    let new = ServerRecord { version: "v2".to_owned(), ..record(ENGINES, "a", 8_001) };
    view.apply_server("e1", new, position(9), at(0));
    let order = VersionMoveSpec {
        service: ENGINES.to_owned(),
        target: "v2".to_owned(),
        time_limit: Duration::from_secs(60),
    };
    view.start_version_move(order, position(5), at(0), 0);
    let first = view.version_move(ENGINES).unwrap().next_role(settings().exposure, 1);
    let excluded = BTreeSet::new();

    let choice = view.explain_choice(&query(TokenDemand::default(), &excluded), at(0));

    let expected = if first == VersionRole::New { ("new", "e1") } else { ("old", "e0") };
    let shown = choice.version_move.unwrap();
    assert_eq!((shown.role.as_str(), choice.result.unwrap().as_str()), expected);
    assert_eq!(shown.phase, "watching");
    let other = choice.servers.iter().find(|server| server.id != expected.1).unwrap();
    assert_eq!(other.excluded, [ServerExclusion::VersionRole]);
}
