//! Model of VMs that admit requests to common engines and exchange reports.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_admission::{
    AdmissionTable, EstimateInputs, GiveWay, ServiceDemand, WaitEstimate, WaitProspect, Waiter,
    WaiterId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{ENGINES, at, long, short};

/// Step of the model, in milliseconds.
const STEP_MS: u64 = 10;
/// Interval at which a request that waits looks for room, in milliseconds.
const TRY_MS: u64 = 20;
/// Interval of reports, in milliseconds.
const REPORT_MS: u64 = 300;
/// Memory of an engine, in tokens.
const ENGINE_TOKENS: u64 = 27_000;
/// Memory of an engine that urgent requests and deferrable ones may fill.
const URGENT_LIMIT: u64 = 26_190;
const DEFERRABLE_LIMIT: u64 = 22_000;
/// Maximum time for which room that the first request of a VM could use may lie idle: the time of
/// giving way, and a look for room before and after.
const IDLE_LIMIT_MS: u64 = 100;

/// Request that arrives at a VM.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) at_ms: u64,
    pub(crate) vm: usize,
    pub(crate) is_long: bool,
    pub(crate) team: String,
    pub(crate) tokens: u64,
    pub(crate) run_ms: u64,
    /// Whether it was refused before, and comes after the time that it was told.
    pub(crate) is_retry: bool,
}

/// Trouble of one VM in a time span, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Trouble {
    pub(crate) vm: usize,
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    pub(crate) kind: TroubleKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TroubleKind {
    /// It does nothing, and gets its reports afterwards.
    Frozen,
    /// Its reports get lost, and so do those to it.
    CutOff,
    /// Its process ends at the beginning, and a new one starts at the end.
    Restarted,
}

/// Request that was admitted or gave up.
#[derive(Debug, Clone)]
pub(crate) struct Ended {
    pub(crate) arrival: Arrival,
    pub(crate) waited_ms: u64,
    pub(crate) is_admitted: bool,
    /// Estimate with which it was refused on arrival.
    pub(crate) refused_with: Option<Duration>,
    /// Estimate with which it was refused while it waited.
    pub(crate) reviewed_with: Option<Duration>,
    /// Estimate on its arrival.
    pub(crate) expected: WaitEstimate,
}

#[derive(Debug)]
struct ModelWaiter {
    vm: usize,
    id: WaiterId,
    arrival: Arrival,
    expected: WaitEstimate,
    prospect: WaitProspect,
    give_way: GiveWay,
    /// Time since which it could have used idle room.
    idle_since: Option<u64>,
}

#[derive(Debug, Clone)]
struct Mail {
    due_ms: u64,
    to: usize,
    peer: u64,
    sequence: u64,
    demand: BTreeMap<String, ServiceDemand>,
    teams: BTreeMap<String, u64>,
}

/// Share of reports, in percent, that are lost or doubled, and their largest delay.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Network {
    pub(crate) lost: u32,
    pub(crate) doubled: u32,
    pub(crate) delay_ms: u64,
}

/// Fleet of VMs with common engines.
pub(crate) struct FleetModel {
    tables: Vec<AdmissionTable>,
    boots: Vec<u64>,
    sequences: Vec<u64>,
    /// Newest report of each process that each VM applied.
    heard: Vec<BTreeMap<u64, u64>>,
    engines: Vec<u64>,
    running: Vec<(u64, usize, usize, u64)>,
    waiters: Vec<ModelWaiter>,
    mail: Vec<Mail>,
    troubles: Vec<Trouble>,
    network: Network,
    refuses: bool,
    reviews: bool,
    /// Refused requests that will be sent again after the time that they were told.
    retries: Vec<Arrival>,
    rng: ChaCha8Rng,
    now_ms: u64,
    /// Requests in the order in which they were admitted or gave up.
    pub(crate) ended: Vec<Ended>,
    /// Longest time for which room lay idle although the first request of a VM could use it.
    pub(crate) longest_idle_ms: u64,
}

impl FleetModel {
    pub(crate) fn new(vms: usize, engines: usize, network: Network, seed: u64) -> FleetModel {
        FleetModel {
            tables: vec![AdmissionTable::default(); vms],
            boots: (1..=vms as u64).collect(),
            sequences: vec![0; vms],
            heard: vec![BTreeMap::new(); vms],
            engines: vec![0; engines],
            running: Vec::new(),
            waiters: Vec::new(),
            mail: Vec::new(),
            troubles: Vec::new(),
            network,
            refuses: false,
            reviews: false,
            retries: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            ended: Vec::new(),
            longest_idle_ms: 0,
        }
    }

    pub(crate) fn with_troubles(mut self, troubles: &[Trouble]) -> FleetModel {
        self.troubles = troubles.to_vec();
        self
    }

    /// Lets the VMs refuse requests on arrival whose wait would be too long.
    pub(crate) fn with_refusals(mut self) -> FleetModel {
        self.refuses = true;
        self
    }

    /// Lets the VMs refuse requests whose wait would be too long, on arrival and while they wait.
    pub(crate) fn with_reviews(self) -> FleetModel {
        FleetModel { reviews: true, ..self.with_refusals() }
    }

    /// Runs the model until all requests ended.
    pub(crate) fn run(mut self, mut arrivals: Vec<Arrival>) -> FleetModel {
        arrivals.sort_by_key(|arrival| std::cmp::Reverse(arrival.at_ms));
        while !(arrivals.is_empty() && self.waiters.is_empty() && self.retries.is_empty()) {
            self.now_ms += STEP_MS;
            self.apply_troubles();
            self.deliver();
            self.end_generations();
            while arrivals.last().is_some_and(|arrival| arrival.at_ms <= self.now_ms) {
                self.enqueue(arrivals.pop().unwrap());
            }
            let now_ms = self.now_ms;
            let (due, later): (Vec<_>, Vec<_>) =
                self.retries.drain(..).partition(|retry| retry.at_ms <= now_ms);
            self.retries = later;
            for retry in due {
                self.enqueue(retry);
            }
            // No VM is always the first to look for room.
            let first = self.rng.random_range(0..self.tables.len());
            for index in 0..self.tables.len() {
                let vm = (first + index) % self.tables.len();
                let is_turn = (self.now_ms / STEP_MS + vm as u64).is_multiple_of(TRY_MS / STEP_MS);
                if is_turn && !self.is_troubled(vm, TroubleKind::Frozen) {
                    self.admit(vm);
                    self.review(vm);
                }
            }
            self.note_idle();
            self.expire();
            self.report();
        }
        self
    }

    pub(crate) fn is_idle_bounded(&self) -> bool {
        self.longest_idle_ms <= IDLE_LIMIT_MS
    }

    /// Returns the times that admitted requests waited, and the number of those that gave up.
    pub(crate) fn waits(&self, select: impl Fn(&Arrival) -> bool) -> (Vec<u64>, usize) {
        let selected: Vec<&Ended> =
            self.ended.iter().filter(|ended| select(&ended.arrival)).collect();
        let mut waits: Vec<u64> =
            selected.iter().filter(|ended| ended.is_admitted).map(|e| e.waited_ms).collect();
        waits.sort_unstable();
        let refused = selected.len() - waits.len();
        (waits, refused)
    }

    fn is_troubled(&self, vm: usize, kind: TroubleKind) -> bool {
        let now = self.now_ms;
        self.troubles.iter().any(|trouble| {
            trouble.vm == vm
                && trouble.kind == kind
                && (trouble.from_ms..trouble.to_ms).contains(&now)
        })
    }

    fn is_gone(&self, vm: usize) -> bool {
        self.is_troubled(vm, TroubleKind::Restarted)
    }

    fn apply_troubles(&mut self) {
        for trouble in self.troubles.clone() {
            let vm = trouble.vm;
            if trouble.kind == TroubleKind::Restarted && self.now_ms == trouble.from_ms {
                self.tables[vm] = AdmissionTable::default();
                self.boots[vm] += 1_000;
                self.sequences[vm] = 0;
                self.heard[vm].clear();
                self.waiters.retain(|waiter| waiter.vm != vm);
            }
            if trouble.kind == TroubleKind::Frozen && self.now_ms == trouble.to_ms {
                self.tables[vm].forget_figures();
            }
        }
    }

    fn enqueue(&mut self, arrival: Arrival) {
        let vm = arrival.vm;
        if self.is_gone(vm) {
            return;
        }
        let now = at(arrival.at_ms);
        let waiter =
            if arrival.is_long { long(&arrival.team, now) } else { short(&arrival.team, now) };
        let waiter = Waiter { tokens: arrival.tokens, ..waiter };
        let id = self.tables[vm].enqueue(waiter, at(self.now_ms));
        let give_way = GiveWay::default();
        let mut prospect = WaitProspect::default();
        let expected = self.estimate(vm, id, &arrival, &mut prospect);
        let is_refused = self.refuses && expected.exceeds(self.time_left(&arrival));
        let idle_since = None;
        let waiter = ModelWaiter { vm, id, arrival, expected, prospect, give_way, idle_since };
        self.waiters.push(waiter);
        if is_refused {
            self.end(self.waiters.len() - 1, false);
            self.ended.last_mut().unwrap().refused_with = Some(expected.wait);
            self.send_again(vm, expected);
        }
    }

    /// Sends the last request that ended again after its `Retry-After` time, if that was its first
    /// attempt.
    fn send_again(&mut self, vm: usize, expected: WaitEstimate) {
        let ended = self.ended.last().unwrap();
        if ended.arrival.is_retry {
            return;
        }
        let time = expected.retry_after;
        let at_ms = self.now_ms + time.as_millis() as u64;
        let arrival = Arrival { at_ms, is_retry: true, ..ended.arrival.clone() };
        self.tables[vm].note_promise(ENGINES, arrival.tokens, time, at(self.now_ms));
        self.retries.push(arrival);
    }

    fn time_left(&self, arrival: &Arrival) -> Duration {
        let maximum_ms = if arrival.is_long { 15_000 } else { 5_600 };
        Duration::from_millis((arrival.at_ms + maximum_ms).saturating_sub(self.now_ms))
    }

    fn estimate(
        &mut self,
        vm: usize,
        id: WaiterId,
        arrival: &Arrival,
        prospect: &mut WaitProspect,
    ) -> WaitEstimate {
        let room = self.room(arrival);
        let late_ms = arrival.at_ms + if arrival.is_long { 4_000 } else { 1_500 };
        let late_in = Duration::from_millis(late_ms.saturating_sub(self.now_ms));
        let waiter = (ENGINES, arrival.tokens);
        let now = at(self.now_ms);
        prospect.note_estimate(self.tables[vm].queue.count(ENGINES), now);
        let inputs = self.tables[vm].review_inputs(id, waiter, late_in, prospect, now);
        WaitEstimate::from_inputs(EstimateInputs { room_tokens: room, ..inputs })
    }

    /// Repeats the estimates that are due at a VM, and refuses requests by them.
    fn review(&mut self, vm: usize) {
        let mut index = 0;
        while index < self.waiters.len() {
            let waiter = &self.waiters[index];
            let left = self.time_left(&waiter.arrival);
            let is_due = waiter.prospect.is_due(left, at(self.now_ms));
            if !self.reviews || waiter.vm != vm || !is_due {
                index += 1;
                continue;
            }
            let (id, arrival) = (waiter.id, waiter.arrival.clone());
            let mut prospect = waiter.prospect.clone();
            let expected = self.estimate(vm, id, &arrival, &mut prospect);
            self.waiters[index].prospect = prospect;
            if !expected.exceeds(left) {
                index += 1;
                continue;
            }
            let waiter = &self.waiters[index];
            let wait_s = (self.now_ms - waiter.arrival.at_ms) as f64 / 1_000.0;
            self.tables[vm].note_unserved(ENGINES, waiter.expected, wait_s);
            self.end(index, false);
            self.ended.last_mut().unwrap().reviewed_with = Some(expected.wait);
            self.send_again(vm, expected);
        }
    }

    /// Returns the emptiest engine on which a request fits.
    fn engine_for(&self, arrival: &Arrival) -> Option<usize> {
        let limit = if arrival.is_long { DEFERRABLE_LIMIT } else { URGENT_LIMIT };
        let (engine, used) = self.engines.iter().enumerate().min_by_key(|(_, used)| **used)?;
        (used + arrival.tokens <= limit).then_some(engine)
    }

    fn room(&self, arrival: &Arrival) -> u64 {
        let limit = if arrival.is_long { DEFERRABLE_LIMIT } else { URGENT_LIMIT };
        let rooms = self.engines.iter().map(|used| limit.saturating_sub(*used) / arrival.tokens);
        rooms.sum::<u64>() * arrival.tokens
    }

    fn admit(&mut self, vm: usize) {
        let now = at(self.now_ms);
        let mut index = 0;
        while index < self.waiters.len() {
            let waiter = &self.waiters[index];
            if waiter.vm != vm || !self.tables[vm].has_turn(waiter.id, now) {
                index += 1;
                continue;
            }
            let (id, arrival) = (waiter.id, waiter.arrival.clone());
            let share = self.tables[vm].urgent_share(id, ENGINES, now);
            let room = self.room(&arrival);
            let give_way = &mut self.waiters[index].give_way;
            let gives_way = share > 0 && give_way.gives_way(arrival.tokens, share, room, now);
            let engine = self.engine_for(&arrival).filter(|_| !gives_way);
            let Some(engine) = engine else {
                self.tables[vm].queue.note_no_room(id);
                index += 1;
                continue;
            };
            self.engines[engine] += arrival.tokens;
            assert!(self.engines[engine] <= ENGINE_TOKENS, "more admitted than there is room");
            self.running.push((self.now_ms + arrival.run_ms, engine, vm, arrival.tokens));
            self.tables[vm].team_use.charge(&arrival.team, arrival.tokens, now);
            let waiter = &self.waiters[index];
            let wait_s = (self.now_ms - waiter.arrival.at_ms) as f64 / 1_000.0;
            self.tables[vm].note_wait(ENGINES, waiter.expected, wait_s);
            self.end(index, true);
            index = 0;
        }
    }

    fn end(&mut self, index: usize, is_admitted: bool) {
        let waiter = self.waiters.remove(index);
        self.tables[waiter.vm].queue.remove(waiter.id);
        let waited_ms = self.now_ms - waiter.arrival.at_ms;
        let arrival = waiter.arrival;
        self.ended.push(Ended {
            arrival,
            waited_ms,
            is_admitted,
            refused_with: None,
            reviewed_with: None,
            expected: waiter.expected,
        });
    }

    fn end_generations(&mut self) {
        let now_ms = self.now_ms;
        let (ended, running): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|(end_ms, ..)| *end_ms <= now_ms);
        self.running = running;
        for (_, engine, vm, tokens) in ended {
            self.engines[engine] -= tokens;
            self.tables[vm].note_freed(ENGINES, tokens, at(now_ms));
        }
    }

    fn note_idle(&mut self) {
        let now = at(self.now_ms);
        for index in 0..self.waiters.len() {
            let waiter = &self.waiters[index];
            let is_working = !self.is_troubled(waiter.vm, TroubleKind::Frozen);
            let has_room = self.engine_for(&waiter.arrival).is_some();
            let (vm, id) = (waiter.vm, waiter.id);
            let is_first = self.tables[vm].candidates(ENGINES, now).contains(&id);
            let since = &mut self.waiters[index].idle_since;
            if !(is_working && has_room && is_first) {
                *since = None;
                continue;
            }
            let idle_ms = self.now_ms - *since.get_or_insert(self.now_ms);
            self.longest_idle_ms = self.longest_idle_ms.max(idle_ms);
        }
    }

    fn expire(&mut self) {
        let mut index = 0;
        while index < self.waiters.len() {
            let arrival = &self.waiters[index].arrival;
            let maximum_ms = if arrival.is_long { 15_000 } else { 5_600 };
            if self.now_ms - arrival.at_ms >= maximum_ms {
                self.end(index, false);
            } else {
                index += 1;
            }
        }
    }

    fn report(&mut self) {
        for vm in 0..self.tables.len() {
            let is_due = (self.now_ms + vm as u64 * 40).is_multiple_of(REPORT_MS);
            if !is_due || self.is_gone(vm) || self.is_troubled(vm, TroubleKind::Frozen) {
                continue;
            }
            self.sequences[vm] += 1;
            let now = at(self.now_ms);
            let demand = self.tables[vm].own_demand(now);
            let teams = self.tables[vm].team_use.largest(8, now);
            let teams: BTreeMap<String, u64> =
                teams.into_iter().map(|(team, tokens)| (team.to_owned(), tokens)).collect();
            for to in (0..self.tables.len()).filter(|to| *to != vm) {
                let is_cut = [vm, to].iter().any(|vm| self.is_troubled(*vm, TroubleKind::CutOff));
                let copies =
                    if self.rng.random_range(0..100) < self.network.doubled { 2 } else { 1 };
                for _ in 0..copies {
                    let delay_ms = self.rng.random_range(0..=self.network.delay_ms);
                    if is_cut || self.rng.random_range(0..100) < self.network.lost {
                        continue;
                    }
                    self.mail.push(Mail {
                        due_ms: self.now_ms + delay_ms,
                        to,
                        peer: self.boots[vm],
                        sequence: self.sequences[vm],
                        demand: demand.clone(),
                        teams: teams.clone(),
                    });
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = at(self.now_ms);
        for mail in std::mem::take(&mut self.mail) {
            let is_held =
                mail.due_ms > self.now_ms || self.is_troubled(mail.to, TroubleKind::Frozen);
            if is_held {
                self.mail.push(mail);
                continue;
            }
            // The table of peers drops what is not newer than the last report.
            let newest = self.heard[mail.to].entry(mail.peer).or_default();
            if self.troubles.iter().any(|trouble| {
                trouble.vm == mail.to
                    && trouble.kind == TroubleKind::Restarted
                    && (trouble.from_ms..trouble.to_ms).contains(&self.now_ms)
            }) || mail.sequence <= *newest
            {
                continue;
            }
            *newest = mail.sequence;
            let table = &mut self.tables[mail.to];
            let interval = Duration::from_millis(REPORT_MS);
            table.fleet_demand.note_report(mail.peer, mail.demand, interval, now);
            table.team_use.note_report(mail.peer, &mail.teams, now);
        }
    }
}
