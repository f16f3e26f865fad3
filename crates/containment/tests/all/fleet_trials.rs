//! Trials of a fleet whose engines end at one moment, with delays of crashes and reports.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_containment::{CrashLedger, EngineRun, PartVerdict, SuspectRecord};
use dragonflycart_core::{PromptPart, rendezvous_score};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{BAD, SOUND, at, engine};

/// Number of VMs of the fleet.
const VMS: usize = 9;
/// Number of seeds.
const SEEDS: u64 = 40;
/// Time of the first request of a burst.
const BURST_MS: u64 = 1_000;
/// Requests of a burst, which reach as many engines.
const BURST_REQUESTS: u64 = 5;
/// Length of a day.
const DAY_MS: u64 = 60_000;
/// Time after the fifth crash from which at most three requests may reach engines.
const CONTACT_MS: u64 = 3_000;
/// Number of these requests.
const LATE_ARRIVALS_ALLOWED: usize = 3;
/// Time from a common end of engines after which sound requests must all be served.
const RECOVERY_MS: u64 = 2_000;
/// Time from the end of an engine until a VM has found out.
const CHECK_MS: u64 = 40;
/// Time in which an engine answers a sound request.
const ANSWER_MS: u64 = 100;

/// Minimum time between two reports of a VM.
const REPORT_SPACING_MS: u64 = 50;
/// Maximum time until a report arrives.
const TRANSIT_MS: u64 = 20;

/// Something that happens at a VM.
enum FleetEvent {
    Request,
    EngineEnd(EngineRun),
    Answer,
    SendReport,
    Report(Vec<SuspectRecord>),
}

/// Simulated fleet whose requests all have one part.
struct TrialFleet {
    random: ChaCha8Rng,
    vms: Vec<CrashLedger>,
    part: PromptPart,
    events: BTreeMap<(u64, u64), (usize, FleetEvent)>,
    next_event: u64,
    now_ms: u64,
    /// Times before which the VMs send no further report of a change.
    report_due_ms: [u64; VMS],
    /// Time from the arrival of a request to the crash of its engine, if it makes it crash.
    crash_delay_ms: Option<u64>,
    crashes_ms: Vec<u64>,
    arrivals_ms: Vec<u64>,
    refusals_ms: Vec<u64>,
}

impl TrialFleet {
    /// Builds a fleet which knows that the part was sound.
    fn new(seed: u64, part: PromptPart, crash_delay_ms: Option<u64>) -> TrialFleet {
        let mut vms = vec![CrashLedger::default(); VMS];
        for vm in &mut vms {
            vm.note_sound(&[part], at(0));
        }
        TrialFleet {
            random: ChaCha8Rng::seed_from_u64(seed),
            vms,
            part,
            events: BTreeMap::new(),
            next_event: 0,
            now_ms: 0,
            report_due_ms: [0; VMS],
            crash_delay_ms,
            crashes_ms: Vec::new(),
            arrivals_ms: Vec::new(),
            refusals_ms: Vec::new(),
        }
    }

    fn schedule(&mut self, at_ms: u64, vm: usize, event: FleetEvent) {
        self.next_event += 1;
        self.events.insert((at_ms, self.next_event), (vm, event));
    }

    fn schedule_request(&mut self, at_ms: u64) {
        let vm = self.random.random_range(0..VMS);
        self.schedule(at_ms, vm, FleetEvent::Request);
    }

    /// Schedules requests until the end of the day, on average one in `interval_ms`.
    fn schedule_requests(&mut self, from_ms: u64, interval_ms: u64) {
        let mut at_ms = from_ms;
        while at_ms < DAY_MS {
            self.schedule_request(at_ms);
            at_ms += self.random.random_range(1..=2 * interval_ms);
        }
    }

    fn run(&mut self) {
        while let Some(((at_ms, _), (vm, event))) = self.events.pop_first() {
            self.now_ms = at_ms;
            let now = at(at_ms);
            match event {
                FleetEvent::Request => self.receive_request(vm),
                FleetEvent::Answer => drop(self.vms[vm].note_sound(&[self.part], now)),
                FleetEvent::SendReport => self.send_report(vm),
                FleetEvent::Report(records) => drop(self.vms[vm].merge(&records, now)),
                FleetEvent::EngineEnd(run) => {
                    self.vms[vm].note_break(run, &[self.part], now);
                    self.vms[vm].note_engine_end(run, now + Duration::from_millis(CHECK_MS));
                }
            }
            if self.vms[vm].take_news() {
                self.schedule_report(vm);
            }
        }
    }

    fn receive_request(&mut self, vm: usize) {
        if !self.is_admitted(vm) {
            self.refusals_ms.push(self.now_ms);
            return;
        }
        self.arrivals_ms.push(self.now_ms);
        let Some(delay_ms) = self.crash_delay_ms else {
            self.schedule(self.now_ms + ANSWER_MS, vm, FleetEvent::Answer);
            return;
        };
        let crashed_ms = self.now_ms + delay_ms;
        self.crashes_ms.push(crashed_ms);
        let run = engine(self.crashes_ms.len() as u64);
        self.schedule(crashed_ms + CHECK_MS, vm, FleetEvent::EngineEnd(run));
    }

    /// Decides on a request as a VM does.
    fn is_admitted(&mut self, vm: usize) -> bool {
        match self.vms[vm].check(&[self.part], None, at(self.now_ms)) {
            PartVerdict::Allowed => true,
            PartVerdict::Contained(_) => false,
            PartVerdict::TrialDue { part, round } => {
                let score = |vm: usize| {
                    let subject: [&[u8]; 2] = [&part.part.id().to_be_bytes(), &round.to_be_bytes()];
                    rendezvous_score(&subject, &vm.to_be_bytes())
                };
                let ahead = (0..VMS).filter(|other| score(*other) > score(vm)).count();
                let has_turn = part.trial_vms.is_none_or(|vms| ahead < vms);
                has_turn && self.vms[vm].begin_trial(part.part, round)
            }
        }
    }

    /// Schedules a report of a change, unless one is due that will contain it.
    fn schedule_report(&mut self, vm: usize) {
        if self.report_due_ms[vm] > self.now_ms + REPORT_SPACING_MS {
            return;
        }
        let at_ms = self.now_ms.max(self.report_due_ms[vm]);
        self.report_due_ms[vm] = at_ms + REPORT_SPACING_MS;
        self.schedule(at_ms, vm, FleetEvent::SendReport);
    }

    fn send_report(&mut self, from: usize) {
        let records = self.vms[from].records(at(self.now_ms));
        for to in 0..VMS {
            if to == from {
                continue;
            }
            let delay_ms = self.random.random_range(1..=TRANSIT_MS);
            self.schedule(self.now_ms + delay_ms, to, FleetEvent::Report(records.clone()));
        }
    }

    /// Returns how many requests reached engines later than the contact time after the fifth crash.
    fn late_arrivals(&self) -> usize {
        let mut crashes = self.crashes_ms.clone();
        crashes.sort_unstable();
        let Some(fifth_ms) = crashes.get(4) else { return 0 };
        self.arrivals_ms.iter().filter(|at_ms| **at_ms > fifth_ms + CONTACT_MS).count()
    }
}

/// Pattern: a part that was sound turns bad, and its requests come in a burst, which looks like a
/// common end of the engines, and go on after a pause at different rates. Guards against trials that
/// crash more than three engines late (BUDGET).
#[test]
fn burst_of_requests_that_crash_engines_is_contained() {
    for seed in 0..SEEDS {
        for (delay_ms, interval_ms) in [(60, 20), (60, 1_000), (60, 5_000), (1_300, 100)] {
            for pause_ms in [300, 1_500, 2_500, 5_000] {
                let mut fleet = TrialFleet::new(seed, BAD, Some(delay_ms));
                for number in 0..BURST_REQUESTS {
                    fleet.schedule_request(BURST_MS + number);
                }
                fleet.schedule_requests(BURST_MS + delay_ms + pause_ms, interval_ms);

                fleet.run();

                let late = fleet.late_arrivals();
                assert!(
                    late <= LATE_ARRIVALS_ALLOWED,
                    "seed {seed}, crashes after {delay_ms} ms, one request in {interval_ms} ms, \
                     pause of {pause_ms} ms: {late} late"
                );
            }
        }
    }
}

/// Pattern: five engines that have just begun the part of a busy route end at one moment, and its
/// sound requests go on. Guards against refusing them until the trial ten seconds later.
#[test]
fn sound_requests_go_on_soon_after_a_common_end() {
    for seed in 0..SEEDS {
        let mut fleet = TrialFleet::new(seed, SOUND, None);
        for number in 0..BURST_REQUESTS {
            let vm = fleet.random.random_range(0..VMS);
            let at_ms = BURST_MS + fleet.random.random_range(0..200_u64);
            fleet.schedule(at_ms, vm, FleetEvent::EngineEnd(engine(number)));
        }
        fleet.schedule_requests(BURST_MS + 200, 100);

        fleet.run();

        let last = fleet.refusals_ms.last().copied().unwrap_or_default();
        assert!(last <= BURST_MS + 200 + RECOVERY_MS, "seed {seed}: refused at {last} ms");
    }
}
