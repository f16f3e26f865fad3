//! A fleet of VMs and uneven engines on virtual time, with and without learned capacity.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use dragonflycart_capacity::{PauseWindow, RunningLoad};
use dragonflycart_core::MonoTime;
use dragonflycart_gateway::{
    FleetView, PeerReport, Placement, PlacementQuery, RunEnd, RunKey, ServerLoad, TokenDemand,
    VmSettings, apply_speeds, speed_entries,
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

use crate::fixtures::{at, key_of, query, settings, view_of};

const ENGINES: usize = 20;
const VMS: usize = 8;
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Prompt tokens that an engine reads in a step, beside its running requests.
const CHUNK_TOKENS: u64 = 112;
const REPORT_MS: u64 = 300;
/// Time before which results are not counted, since the speeds are not known yet.
const WARM_UP_MS: u64 = 15_000;
const RUN_MS: u64 = 50_000;

/// Request at an engine.
struct Work {
    vm: usize,
    placement: Placement,
    run: RunKey,
    is_long: bool,
    arrived_ms: f64,
    unread: u64,
    made: u64,
    output: u64,
    last_event_ms: Option<f64>,
    is_late: bool,
    pauses: PauseWindow,
}

/// Engine of the second deployment of the page on hard load.
struct Engine {
    /// Time of a piece of work as a multiple of a fast engine's.
    slowness: f64,
    slow_phase_ms: (f64, f64),
    at_ms: f64,
    reading: VecDeque<Work>,
    running: Vec<Work>,
}

#[derive(Debug, Default)]
struct Outcome {
    long: u32,
    late_long: u32,
    short: u32,
    late_short: u32,
    refused: u32,
    slow_long: u32,
}

struct Fleet {
    views: Vec<FleetView>,
    engines: Vec<Engine>,
    has_pace: bool,
    outcome: Outcome,
    rng: ChaCha8Rng,
}

fn time(at_ms: f64) -> MonoTime {
    at((at_ms.max(0.0)) as u64)
}

impl Fleet {
    fn new(has_pace: bool, seed: u64) -> Fleet {
        let zones: Vec<&str> = (0..ENGINES).map(|index| ZONES[index % 4]).collect();
        let mut views = Vec::new();
        for vm in 0..VMS {
            let (name, zone) = (format!("vm-{vm}"), ZONES[vm % 4].to_owned());
            let mut view = view_of(VmSettings { name, zone, ..settings() }, &zones);
            view.vm_count = VMS;
            view.sharing_vms = VMS;
            view.own_rank = vm;
            views.push(view);
        }
        let engine = |index: usize| Engine {
            // One engine of four in a row of zones, so that each zone has one or two.
            slowness: if index % 4 == (index / 4) % 4 { 2.2 } else { 1.0 },
            slow_phase_ms: (0.0, 0.0),
            at_ms: 0.0,
            reading: VecDeque::new(),
            running: Vec::new(),
        };
        Fleet {
            views,
            engines: (0..ENGINES).map(engine).collect(),
            has_pace,
            outcome: Outcome::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// Places a request, or returns false if no engine has room.
    fn start(&mut self, is_long: bool, now_ms: u64, arrived_ms: f64) -> bool {
        let vm = (self.rng.next_u32() as usize) % VMS;
        let demand = if is_long {
            TokenDemand::estimate(3_000, 1_600, Some(750))
        } else {
            TokenDemand::estimate(2_200, 40, Some(10))
        };
        let excluded = BTreeSet::new();
        let target = Duration::from_millis(if is_long { 1_800 } else { 1_500 });
        let sample_seed = self.rng.next_u64();
        let query =
            PlacementQuery { latency_target: target, sample_seed, ..query(demand, &excluded) };
        let now = at(now_ms);
        let Ok(placement) = self.views[vm].place(&query, now) else { return false };
        let index: usize = placement.id[1..].parse().unwrap();
        let run = self.views[vm].start_run(placement.server, "reports", now);
        let load = RunningLoad {
            requests: placement.seen.requests + 1,
            unread_tokens: placement.seen.pending_prompt_tokens + demand.prompt_tokens,
        };
        self.views[vm].note_run_load(run, load);
        let output = if is_long { 500 + (self.chance() * 500.0) as u64 } else { 10 };
        if is_long && self.engines[index].slowness > 1.0 && now_ms >= WARM_UP_MS {
            self.outcome.slow_long += 1;
        }
        let engine = &mut self.engines[index];
        engine.at_ms = engine.at_ms.max(now_ms as f64);
        engine.reading.push_back(Work {
            vm,
            placement,
            run,
            is_long,
            arrived_ms,
            unread: demand.prompt_tokens,
            made: 0,
            output,
            last_event_ms: None,
            is_late: false,
            pauses: PauseWindow::default(),
        });
        true
    }

    /// Lets an engine work until `until_ms`.
    fn work(&mut self, index: usize, until_ms: f64) {
        while self.engines[index].at_ms < until_ms {
            let engine = &mut self.engines[index];
            if engine.reading.is_empty() && engine.running.is_empty() {
                engine.at_ms = until_ms;
                return;
            }
            let (from, to) = engine.slow_phase_ms;
            let is_slow = (from..to).contains(&engine.at_ms);
            let pace = if is_slow { 2.5 } else { 1.0 };
            let mut step_ms = 0.0;
            if let Some(first) = engine.reading.front_mut() {
                step_ms += 8.0;
                first.unread = first.unread.saturating_sub(CHUNK_TOKENS);
            }
            if !engine.running.is_empty() {
                step_ms += 7.0 + 0.12 * engine.running.len() as f64;
            }
            engine.at_ms += step_ms * pace * engine.slowness;
            let now_ms = engine.at_ms;
            let requests = engine.running.len() + engine.reading.len();
            let header = match self.has_pace {
                true => format!("{requests},0,24,{}", pace * 100.0),
                false => format!("{requests},0,24"),
            };
            for mut work in std::mem::take(&mut self.engines[index].running) {
                work.made += 1;
                let is_end = work.made >= work.output;
                if work.made % 4 == 0 || is_end {
                    self.note_event(&mut work, now_ms, &header);
                }
                if is_end {
                    self.end(work, now_ms);
                } else {
                    self.engines[index].running.push(work);
                }
            }
            let engine = &mut self.engines[index];
            if engine.reading.front().is_some_and(|work| work.unread == 0) {
                let work = engine.reading.pop_front().unwrap();
                engine.running.push(work);
            }
        }
    }

    fn note_event(&mut self, work: &mut Work, now_ms: f64, header: &str) {
        let (view, now) = (&mut self.views[work.vm], time(now_ms));
        if let Some(last_ms) = work.last_event_ms.replace(now_ms) {
            work.is_late |= now_ms - last_ms > 180.0;
        } else {
            let target_ms = if work.is_long { 1_800.0 } else { 1_500.0 };
            work.is_late |= now_ms - work.arrived_ms > target_ms;
            view.note_load_header(work.placement.server, Some(header), now);
            view.note_run_started(work.run, now);
            let read = ServerLoad {
                pending_prompt_tokens: std::mem::take(
                    &mut work.placement.load.pending_prompt_tokens,
                ),
                ..ServerLoad::default()
            };
            view.release(work.placement.server, read);
        }
        if let Some(sample) = work.pauses.note_event(now) {
            view.note_run_pauses(work.run, sample, now);
        }
    }

    fn end(&mut self, work: Work, now_ms: f64) {
        let view = &mut self.views[work.vm];
        view.end_run(work.run, RunEnd::Good, time(now_ms));
        view.release(work.placement.server, work.placement.load);
        if work.arrived_ms < WARM_UP_MS as f64 {
            return;
        }
        let late = u32::from(work.is_late);
        if work.is_long {
            self.outcome.long += 1;
            self.outcome.late_long += late;
        } else {
            self.outcome.short += 1;
            self.outcome.late_short += late;
        }
    }

    /// Exchanges loads within the zones, as VMs do at each change.
    fn exchange_near(&mut self, now: MonoTime) {
        for sender in 0..VMS {
            let loads: Vec<(String, ServerLoad)> = self.views[sender]
                .servers()
                .map(|(_, state)| (state.id.clone(), state.own_load))
                .collect();
            for receiver in (0..VMS).filter(|receiver| receiver % 4 == sender % 4) {
                for (id, load) in loads.iter().filter(|_| receiver != sender) {
                    self.views[receiver].note_peer_load(sender as u64 + 1, id, *load, now);
                }
            }
        }
    }

    /// Exchanges loads, and speeds where they are measured, between all VMs.
    fn exchange(&mut self, turn: u64, now: MonoTime) {
        let mut reports = Vec::new();
        for view in &self.views {
            let loads: BTreeMap<String, ServerLoad> =
                view.servers().map(|(_, state)| (state.id.clone(), state.own_load)).collect();
            reports.push((loads, speed_entries(view, turn, now)));
        }
        for (receiver, view) in self.views.iter_mut().enumerate() {
            for (sender, (loads, speeds)) in reports.iter().enumerate() {
                if sender == receiver {
                    continue;
                }
                let boot = sender as u64 + 1;
                for (id, load) in loads {
                    view.note_peer_load(boot, id, *load, now);
                }
                let report = PeerReport { boot, speeds: speeds.clone(), ..PeerReport::default() };
                apply_speeds(view, &report, now);
            }
        }
    }

    fn run(mut self) -> Outcome {
        let mut waiting: VecDeque<(bool, f64)> = VecDeque::new();
        for now_ms in (0..RUN_MS).step_by(10) {
            for index in 0..ENGINES {
                // A slow phase of 400 ms, about every eight seconds.
                let draw = self.chance();
                let engine = &mut self.engines[index];
                if engine.slow_phase_ms.1 < now_ms as f64 && draw < 0.00125 {
                    engine.slow_phase_ms = (now_ms as f64, now_ms as f64 + 400.0);
                }
                self.work(index, now_ms as f64);
            }
            self.exchange_near(at(now_ms));
            if now_ms % REPORT_MS == 0 {
                self.exchange(now_ms / REPORT_MS, at(now_ms));
            }
            // A third of the demand of the page, on a third of its engines.
            if self.chance() < 0.098 {
                waiting.push_back((true, now_ms as f64));
            }
            if self.chance() < 0.109 {
                waiting.push_back((false, now_ms as f64));
            }
            for _ in 0..waiting.len() {
                let (is_long, arrived_ms) = waiting.pop_front().unwrap();
                if self.start(is_long, now_ms, arrived_ms) {
                    continue;
                }
                if now_ms as f64 - arrived_ms < 5_400.0 {
                    waiting.push_back((is_long, arrived_ms));
                } else if arrived_ms >= WARM_UP_MS as f64 {
                    self.outcome.refused += 1;
                }
            }
        }
        for view in &self.views {
            assert!(view.servers().count() == ENGINES);
            assert!(key_of(view, "e0") == key_of(&self.views[0], "e0"));
        }
        self.outcome
    }
}

/// Pattern: the second deployment on a quiet day. Long streams were late by their pauses on slow
/// engines in slow phases while fast ones had room. With learned speeds, much fewer are, and short
/// streams and refusals do not pay for it.
#[test]
fn long_streams_are_seldom_late_on_uneven_engines() {
    for seed in 0..2 {
        let before = Fleet::new(false, seed).run();
        let learned = Fleet::new(true, seed).run();
        println!("seed {seed}\n{before:?}\n{learned:?}");

        let share = |outcome: &Outcome| f64::from(outcome.late_long) / f64::from(outcome.long);
        assert!(before.long > 200 && learned.long > 200);
        assert!(share(&learned) < share(&before) / 2.0, "{before:?} {learned:?}");
        assert!(learned.late_short <= before.late_short + before.short / 20, "{learned:?}");
        assert!(learned.refused <= before.refused + 5, "{learned:?}");
    }
}
