//! State of the fake engine: continuous batching, cold start, loaded versions.

use std::collections::BTreeMap;

use dragonflycart_core::{ModelName, OrderFence, ServerInstance, VersionName};
use dragonflycart_engine::{CacheEvent, EngineOrder, GenerationRequest, LoadReport, OrderOutcome};

use crate::{
    BadEffect, EngineCommand, EngineConfig, EngineStats,
    generation_record::{GenerationPhase, GenerationRecord, NextEvent},
    generation_table::GenerationTable,
    lagged_value::LaggedValue,
    prefix_cache::PrefixCache,
};

/// Tokens of an answer after which a prompt that crashes the engine takes effect.
const CRASH_TOKENS: u64 = 3;

/// Reason why a generation is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartRefusal {
    Leaving,
    NotLoaded,
    AlreadyKnown,
    PrefixMismatch,
    Overloaded,
}

/// State of the fake engine. Time is a parameter, in milliseconds since the start of the fake.
pub(crate) struct EngineCore {
    config: EngineConfig,
    instance: ServerInstance,
    records: GenerationTable,
    next_arrival: u64,
    /// Time at which the cold start began; `None` if the engine started warm.
    cold_since_ms: Option<u64>,
    rules_set_at_ms: u64,
    occupied_tokens: u64,
    leaving: bool,
    stalled: bool,
    loaded: Vec<(ModelName, VersionName)>,
    loading: Vec<(u64, ModelName, VersionName)>,
    highest_fence: OrderFence,
    cache: PrefixCache,
    preemptions: u64,
    reports: LaggedValue<LoadReport>,
    stats: EngineStats,
}

impl EngineCore {
    pub(crate) fn new(config: EngineConfig, instance: ServerInstance) -> EngineCore {
        let empty = empty_report(instance, &config);
        EngineCore {
            instance,
            records: GenerationTable::default(),
            next_arrival: 0,
            cold_since_ms: config.starts_cold.then_some(0),
            rules_set_at_ms: 0,
            occupied_tokens: 0,
            leaving: false,
            stalled: false,
            loaded: config.loaded.clone(),
            loading: Vec::new(),
            highest_fence: OrderFence::default(),
            cache: PrefixCache::new(config.cached_prompts),
            preemptions: 0,
            reports: LaggedValue::new(0, empty),
            stats: EngineStats::default(),
            config,
        }
    }

    /// Drops all volatile state. Load reports are still delayed, so they show the old instance for
    /// a while.
    pub(crate) fn restart(&mut self, instance: ServerInstance, now_ms: u64) {
        self.instance = instance;
        self.records.clear();
        self.cold_since_ms = Some(now_ms);
        self.occupied_tokens = 0;
        self.loaded = self.config.loaded.clone();
        self.loading.clear();
        self.highest_fence = OrderFence::default();
        self.cache = PrefixCache::new(self.config.cached_prompts);
        self.preemptions = 0;
    }

    /// Returns whether the engine has begun to answer a prompt that makes it crash.
    pub(crate) fn has_crashing_prompt(&self) -> bool {
        let Some(text) = &self.config.crashes_on else { return false };
        self.records.open().any(|record| {
            record.computed_tokens() >= CRASH_TOKENS && record.request.prompt.contains(text)
        })
    }

    pub(crate) fn config(&self) -> &EngineConfig {
        &self.config
    }

    pub(crate) fn stats(&self) -> EngineStats {
        self.stats.clone()
    }

    pub(crate) fn apply(&mut self, command: EngineCommand, now_ms: u64) {
        match command {
            EngineCommand::FillMemory { tokens } => self.occupied_tokens = tokens,
            EngineCommand::Publish { lag_ms, drop_cache_event } => {
                self.config.report_lag_ms = lag_ms;
                self.config.drop_cache_event = drop_cache_event;
            }
            EngineCommand::BadVersions { rules } => {
                self.config.bad_versions = rules;
                self.rules_set_at_ms = now_ms;
            }
            EngineCommand::Leaving { leaving } => self.leaving = leaving,
            EngineCommand::Stall { stalled } => self.stalled = stalled,
            EngineCommand::DelayStarts { ms } => self.config.start_delay_ms = ms,
            EngineCommand::Pace { ms } => self.config.pace_ms = ms,
        }
    }

    /// Returns the number of concurrent requests that the engine can handle now.
    pub(crate) fn concurrency_limit(&self, now_ms: u64) -> u32 {
        let Some(cold_since) = self.cold_since_ms else {
            return self.config.max_batch;
        };
        let doublings = now_ms.saturating_sub(cold_since) / self.config.cold_step_ms.max(1);
        let factor = 1_u32.checked_shl(doublings.min(32) as u32).unwrap_or(u32::MAX);
        self.config.cold_limit.saturating_mul(factor).min(self.config.max_batch)
    }

    pub(crate) fn start(
        &mut self,
        request: GenerationRequest,
        now_ms: u64,
    ) -> Result<(), StartRefusal> {
        let admitted = self.admit_request(request, now_ms);
        if admitted.is_err() {
            self.stats.refused += 1;
        }
        admitted
    }

    fn admit_request(
        &mut self,
        request: GenerationRequest,
        now_ms: u64,
    ) -> Result<(), StartRefusal> {
        if self.leaving {
            return Err(StartRefusal::Leaving);
        }
        if !self.serves(&request.model, &request.version) {
            return Err(StartRefusal::NotLoaded);
        }
        if let Some(known) = self.records.get(&request.generation)
            && known.request.epoch >= request.epoch
        {
            return Err(StartRefusal::AlreadyKnown);
        }
        let lengths = (self.config.shortest_output, self.config.longest_output);
        let record = GenerationRecord::new(request, self.next_arrival, lengths);
        if !record.prefix_matches() {
            self.stats.prefix_mismatches += 1;
            return Err(StartRefusal::PrefixMismatch);
        }
        self.check_cold_limit(now_ms)?;
        self.next_arrival += 1;
        let request = &record.request;
        self.stats.accepted.push(format!("{} {}", request.version, request.route));
        self.records.insert(record);
        Ok(())
    }

    fn serves(&self, model: &ModelName, version: &VersionName) -> bool {
        self.config.loaded.is_empty()
            || self.loaded.iter().any(|(name, loaded)| name == model && loaded == version)
    }

    fn check_cold_limit(&mut self, now_ms: u64) -> Result<(), StartRefusal> {
        let concurrency_limit = self.concurrency_limit(now_ms);
        if concurrency_limit >= self.config.max_batch {
            return Ok(());
        }
        let concurrent = self.records.open().filter(|record| record.is_open()).count() as u32 + 1;
        self.stats.cold_high_water = self.stats.cold_high_water.max(concurrent);
        if concurrent <= concurrency_limit {
            return Ok(());
        }
        self.stats.cold_overloads += 1;
        if self.config.fail_when_overloaded { Err(StartRefusal::Overloaded) } else { Ok(()) }
    }

    pub(crate) fn cancel(&mut self, generation: &str, now_ms: u64) -> bool {
        if let Some(record) = self.records.get_open(generation) {
            record.cancel(now_ms);
            self.stats.cancelled += 1;
            return true;
        }
        self.records.get(generation).is_some()
    }

    /// Returns the event at `index`, or `None` for an unknown generation.
    pub(crate) fn event_at(&self, generation: &str, index: u64) -> Option<NextEvent> {
        self.records.get(generation).map(|record| record.event_at(index))
    }

    pub(crate) fn order(
        &mut self,
        order: EngineOrder,
        fence: OrderFence,
        now_ms: u64,
    ) -> OrderOutcome {
        let stale = self.config.check_fence && fence < self.highest_fence;
        let outcome = if stale { OrderOutcome::StaleFence } else { OrderOutcome::Accepted };
        self.stats.orders.push((order.clone(), fence, outcome));
        if stale {
            return outcome;
        }
        if self.config.check_fence {
            self.highest_fence = fence;
        }
        match order {
            EngineOrder::Load { model, version } => {
                self.loading.push((now_ms + self.config.load_ms, model, version));
            }
            EngineOrder::Unload { model, version } => {
                self.loaded.retain(|(name, loaded)| *name != model || *loaded != version);
            }
        }
        self.finish_loads(now_ms);
        outcome
    }

    pub(crate) fn report(&self, now_ms: u64) -> LoadReport {
        self.reports.read(now_ms, self.config.report_lag_ms)
    }

    pub(crate) fn cache_events(&self, after: u64, now_ms: u64) -> Vec<CacheEvent> {
        self.cache.events_after(after, now_ms, self.config.report_lag_ms)
    }

    /// Advances every running generation by one step.
    pub(crate) fn step(&mut self, now_ms: u64) {
        self.finish_loads(now_ms);
        if !self.stalled {
            self.preempt_overflow(now_ms);
            self.fill_batch(now_ms);
            self.decode_batch(now_ms);
        }
        self.records.retire_ended(now_ms, self.config.retain_ms);
        let report = self.current_report(now_ms);
        self.reports.record(now_ms, report, self.config.report_lag_ms);
    }

    fn finish_loads(&mut self, now_ms: u64) {
        let loaded = &mut self.loaded;
        self.loading.retain(|(ready_ms, model, version)| {
            if *ready_ms > now_ms {
                return true;
            }
            let entry = (model.clone(), version.clone());
            if !loaded.contains(&entry) {
                loaded.push(entry);
            }
            false
        });
    }

    pub(crate) fn running(&self) -> u32 {
        self.records.open().filter(|record| record.is_running()).count() as u32
    }

    /// Returns the number of generations that have arrived and not ended.
    pub(crate) fn open_count(&self) -> usize {
        self.records.open().filter(|record| record.is_open()).count()
    }

    fn memory_used(&self) -> u64 {
        let running = self.records.open().filter(|record| record.is_running());
        self.occupied_tokens + running.map(GenerationRecord::memory_tokens).sum::<u64>()
    }

    /// Preempts running generations until the rest fits in memory: those of the lowest priority
    /// first, and among them those with the fewest computed tokens. A preempted generation keeps
    /// its tokens, but its prefill is computed again when it returns to the batch.
    fn preempt_overflow(&mut self, now_ms: u64) {
        while self.memory_used() > self.config.memory_tokens {
            let running = self.records.open_mut().filter(|record| record.is_running());
            let victim =
                running.min_by_key(|record| (record.request.priority, record.computed_tokens()));
            let Some(victim) = victim else { return };
            if victim.memory_tokens() > self.config.memory_tokens {
                victim.fail("the generation does not fit in memory", now_ms);
                continue;
            }
            victim.phase = GenerationPhase::Waiting;
            self.preemptions += 1;
            self.stats.preemptions += 1;
        }
    }

    fn fill_batch(&mut self, now_ms: u64) {
        let mut free_slots = self.config.max_batch.saturating_sub(self.running());
        let mut free_tokens = self.config.memory_tokens.saturating_sub(self.memory_used());
        let mut waiting: Vec<&mut GenerationRecord> = self
            .records
            .open_mut()
            .filter(|record| record.phase == GenerationPhase::Waiting)
            .collect();
        waiting.sort_by_key(|record| (u8::MAX - record.request.priority, record.arrival));
        for record in waiting {
            let needed = record.memory_tokens() + 1;
            if needed > self.config.memory_tokens {
                record.fail("the generation does not fit in memory", now_ms);
                continue;
            }
            if free_slots == 0 || needed > free_tokens {
                break;
            }
            free_slots -= 1;
            free_tokens -= needed;
            let prompt = &record.request.prompt;
            let cached = self.cache.look_up_or_insert(prompt, now_ms, self.config.drop_cache_event);
            let cached_share = record.prompt_tokens() * cached as u64 / prompt.len().max(1) as u64;
            let tokens_left = record.memory_tokens() - cached_share;
            self.stats.recomputed_tokens += record.computed_tokens();
            record.phase = GenerationPhase::Prefill { tokens_left };
        }
    }

    fn decode_batch(&mut self, now_ms: u64) {
        let running = self.running();
        let rule_age_ms = now_ms.saturating_sub(self.rules_set_at_ms);
        for record in self.records.open_mut() {
            match &mut record.phase {
                GenerationPhase::Prefill { tokens_left } => {
                    *tokens_left = tokens_left.saturating_sub(self.config.prefill_tokens);
                    if *tokens_left == 0 {
                        record.phase = GenerationPhase::Decode;
                    }
                    continue;
                }
                GenerationPhase::Decode => {}
                _ => continue,
            }
            let request = &record.request;
            let rules = self.config.bad_versions.iter();
            let rule = rules.clone().find(|rule| rule.applies(request, rule_age_ms, running));
            match rule.map(|rule| rule.effect) {
                Some(BadEffect::Fail) => {
                    record.fail("the version failed", now_ms);
                    continue;
                }
                Some(BadEffect::Slow { factor }) if record.steps_waited + 1 < factor => {
                    record.steps_waited += 1;
                    continue;
                }
                Some(BadEffect::Hang { after_tokens }) if record.token_count() >= after_tokens => {
                    continue;
                }
                _ => {}
            }
            record.steps_waited = 0;
            record.decode_token(now_ms);
            self.stats.tokens += 1;
        }
    }

    fn current_report(&self, now_ms: u64) -> LoadReport {
        let concurrency_limit = self.concurrency_limit(now_ms);
        let mut report = empty_report(self.instance, &self.config);
        let mut by_ordinal: BTreeMap<String, u32> = BTreeMap::new();
        let mut by_version: BTreeMap<(ModelName, VersionName), u32> = BTreeMap::new();
        for record in self.records.open().filter(|record| record.is_open()) {
            if record.is_running() {
                report.running += 1;
            } else {
                report.waiting += 1;
            }
            let version = (record.request.model.clone(), record.request.version.clone());
            *by_version.entry(version).or_default() += 1;
            if let Some(ordinal) = &record.request.ordinal {
                *by_ordinal.entry(ordinal.clone()).or_default() += 1;
            }
        }
        report.cold = concurrency_limit < self.config.max_batch;
        report.concurrency_limit = concurrency_limit;
        report.leaving = self.leaving;
        report.memory_used_tokens = self.memory_used();
        report.preemptions = self.preemptions;
        report.running_by_ordinal = by_ordinal.into_iter().collect();
        for ((model, version), count) in by_version {
            report.running_by_version.push((model, version, count));
        }
        report.loaded = self.loaded.clone();
        report.highest_fence = self.highest_fence;
        report
    }
}

/// Returns a load report without any requests.
fn empty_report(instance: ServerInstance, config: &EngineConfig) -> LoadReport {
    LoadReport {
        instance,
        cold: config.starts_cold,
        concurrency_limit: config.max_batch,
        leaving: false,
        running: 0,
        waiting: 0,
        memory_used_tokens: 0,
        memory_total_tokens: config.memory_tokens,
        preemptions: 0,
        running_by_ordinal: Vec::new(),
        running_by_version: Vec::new(),
        loaded: config.loaded.clone(),
        highest_fence: OrderFence::default(),
    }
}
