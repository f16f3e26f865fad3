//! Model of an engine with continuous batching.

use std::collections::VecDeque;

use crate::{EngineEvent, EngineProfile, NewSequence, engine_snapshot::EngineSnapshot};

/// Request inside the engine.
#[derive(Debug, Clone)]
struct EngineSequence {
    id: usize,
    vm: usize,
    priority: u8,
    /// Tokens of the prompt and of the output so far. After a preemption the engine computes all of
    /// them again.
    context: u32,
    /// Output tokens that are left to generate.
    output_left: u32,
    /// Tokens of the context that are left to process before the next output token.
    prefill_left: u32,
    /// Digest and length of the shared prefix.
    prefix: Option<(u64, u32)>,
}

/// Model of an engine with continuous batching, driven step by step on virtual time in
/// milliseconds.
#[derive(Debug)]
pub struct EngineModel {
    profile: EngineProfile,
    running: Vec<EngineSequence>,
    waiting: VecDeque<EngineSequence>,
    /// Tokens held in memory.
    memory_used: u64,
    preemptions: u64,
    instance: u64,
    alive: bool,
    /// Start of the cold start.
    cold_since: Option<f64>,
    /// Requests that arrived over the limit of the cold engine.
    arrivals_over_limit: u32,
    /// Digests in the prefix cache, the least recently used first.
    prefix_cache: VecDeque<u64>,
    /// Cache events that are not published yet: sequence number, digest, and whether the prefix was
    /// inserted (or else evicted).
    cache_events: Vec<(u64, u64, bool)>,
    cache_sequence: u64,
    report_frozen: bool,
    snapshot: EngineSnapshot,
}

impl EngineModel {
    /// Builds a warm, empty engine.
    pub fn new(profile: EngineProfile) -> EngineModel {
        EngineModel {
            profile,
            running: Vec::new(),
            waiting: VecDeque::new(),
            memory_used: 0,
            preemptions: 0,
            instance: 1,
            alive: true,
            cold_since: None,
            arrivals_over_limit: 0,
            prefix_cache: VecDeque::new(),
            cache_events: Vec::new(),
            cache_sequence: 0,
            report_frozen: false,
            snapshot: EngineSnapshot::default(),
        }
    }

    /// Returns whether the process runs.
    pub fn is_alive(&self) -> bool {
        self.alive
    }

    /// Returns the instance number of the process, which rises with each restart.
    pub fn instance(&self) -> u64 {
        self.instance
    }

    /// Returns the number of requests in the batch.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the number of requests in the engine, running and waiting.
    pub fn requests(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Returns the tokens held in memory.
    pub fn memory_used(&self) -> u64 {
        self.memory_used
    }

    /// Returns the preemptions since the start of the process.
    pub fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// Returns the most concurrent requests that the engine can handle at `now`.
    pub fn concurrency_limit(&self, now: f64) -> u32 {
        let Some(since) = self.cold_since else {
            return self.profile.batch_limit;
        };
        let doublings = ((now - since) / self.profile.cold_doubling_time).max(0.0) as u32;
        let limit = u64::from(self.profile.cold_limit) << doublings.min(16);
        limit.min(u64::from(self.profile.batch_limit)) as u32
    }

    /// Returns whether the engine is in cold start at `now`.
    pub fn is_cold(&self, now: f64) -> bool {
        self.cold_since.is_some() && self.concurrency_limit(now) < self.profile.batch_limit
    }

    /// Makes the engine cold, without a restart.
    pub fn turn_cold(&mut self, now: f64) {
        self.cold_since = Some(now);
        self.arrivals_over_limit = 0;
    }

    /// Stops or resumes the updates of the load report.
    pub fn set_report_frozen(&mut self, report_frozen: bool) {
        self.report_frozen = report_frozen;
    }

    /// Ends the process and returns the requests that it loses.
    pub fn fail(&mut self) -> Vec<usize> {
        self.alive = false;
        self.memory_used = 0;
        self.prefix_cache.clear();
        let mut lost: Vec<usize> = self.running.drain(..).map(|sequence| sequence.id).collect();
        lost.extend(self.waiting.drain(..).map(|sequence| sequence.id));
        lost
    }

    /// Starts the next instance of the process, which is cold.
    pub fn restart(&mut self, now: f64) {
        self.alive = true;
        self.instance += 1;
        self.preemptions = 0;
        self.cache_sequence = 0;
        self.turn_cold(now);
    }

    /// Adds a request to the queue of the engine. Returns whether the engine is cold and over its
    /// limit with this request; `must_fail` tells whether that makes the engine fail.
    pub fn accept(&mut self, now: f64, request: NewSequence) -> bool {
        self.waiting.push_back(EngineSequence {
            id: request.id,
            vm: request.vm,
            priority: request.priority,
            context: request.prompt_length + request.delivered,
            output_left: request.output_length.saturating_sub(request.delivered).max(1),
            prefill_left: 0,
            prefix: request.prefix,
        });
        let over_limit = self.is_cold(now) && self.requests() > self.concurrency_limit(now);
        self.arrivals_over_limit += u32::from(over_limit);
        over_limit
    }

    /// Returns whether the engine got more requests over its cold limit than it tolerates.
    pub fn must_fail(&self) -> bool {
        self.arrivals_over_limit > self.profile.cold_tolerance
    }

    /// Removes a request.
    pub fn cancel(&mut self, id: usize) {
        self.waiting.retain(|sequence| sequence.id != id);
        if let Some(position) = self.running.iter().position(|sequence| sequence.id == id) {
            let sequence = self.running.remove(position);
            self.memory_used -= u64::from(sequence.context);
        }
    }

    /// Begins a step: preempts requests while the memory is too full, then admits waiting requests.
    /// Returns the duration of the step, or `None` if there is nothing to do.
    pub fn begin_step(&mut self, now: f64, events: &mut Vec<EngineEvent>) -> Option<f64> {
        let total = self.profile.memory_tokens;
        while self.memory_used + self.decoding() > total && self.running.len() > 1 {
            self.preempt(events);
        }
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let mut budget = self.profile.prefill_chunk;
        for sequence in &mut self.running {
            let part = sequence.prefill_left.min(budget);
            sequence.prefill_left -= part;
            budget -= part;
        }
        let prefilled = self.profile.prefill_chunk - budget;
        let mut duration = self.profile.step_base
            + self.profile.step_request * self.decoding() as f64
            + self.profile.step_prefill * f64::from(prefilled)
            + self.profile.step_memory * self.memory_used as f64 / 1_000.0;
        if self.is_cold(now) {
            duration *= self.profile.cold_slowdown;
        }
        Some(duration)
    }

    /// Ends a step: every request whose prompt is processed gets one token.
    pub fn end_step(&mut self, events: &mut Vec<EngineEvent>) {
        let mut position = 0;
        while position < self.running.len() {
            let sequence = &mut self.running[position];
            if sequence.prefill_left > 0 {
                position += 1;
                continue;
            }
            sequence.context += 1;
            sequence.output_left -= 1;
            self.memory_used += 1;
            events.push(EngineEvent::Token(sequence.id));
            if sequence.output_left > 0 {
                position += 1;
                continue;
            }
            let sequence = self.running.remove(position);
            self.memory_used -= u64::from(sequence.context);
            events.push(EngineEvent::Finished(sequence.id));
        }
    }

    /// Returns the number of requests that get a token at the end of this step.
    fn decoding(&self) -> u64 {
        self.running.iter().filter(|sequence| sequence.prefill_left == 0).count() as u64
    }

    /// Preempts the request of the lowest priority, among those the one with the fewest tokens.
    fn preempt(&mut self, events: &mut Vec<EngineEvent>) {
        let victim = self
            .running
            .iter()
            .enumerate()
            .min_by_key(|(_, sequence)| (sequence.priority, sequence.context))
            .map(|(position, _)| position);
        let Some(position) = victim else {
            return;
        };
        let mut sequence = self.running.remove(position);
        self.memory_used -= u64::from(sequence.context);
        self.preemptions += 1;
        events.push(EngineEvent::Preempted(sequence.id));
        sequence.prefill_left = 0;
        self.waiting.push_front(sequence);
    }

    /// Moves waiting requests into the batch, the highest priority first.
    fn admit(&mut self) {
        let total = self.profile.memory_tokens;
        let usable = (total as f64 * (1.0 - self.profile.watermark)) as u64;
        while self.running.len() < self.profile.batch_limit as usize {
            let highest = self.waiting.iter().map(|sequence| sequence.priority).max();
            let Some(highest) = highest else {
                break;
            };
            let first = self.waiting.iter().position(|sequence| sequence.priority == highest);
            let Some(position) = first else {
                break;
            };
            let needed = u64::from(self.waiting[position].context) + 1;
            if self.memory_used + needed > usable && !self.running.is_empty() {
                break;
            }
            let Some(mut sequence) = self.waiting.remove(position) else {
                break;
            };
            self.memory_used += u64::from(sequence.context);
            sequence.prefill_left = sequence.context - self.lookup_prefix(&sequence);
            self.running.push(sequence);
        }
    }

    /// Looks up the prefix of a request in the prefix cache and makes it the most recently used.
    /// Returns the number of tokens that need not be computed.
    fn lookup_prefix(&mut self, sequence: &EngineSequence) -> u32 {
        let Some((digest, tokens)) = sequence.prefix else {
            return 0;
        };
        let known = self.prefix_cache.iter().position(|entry| *entry == digest);
        if let Some(position) = known {
            self.prefix_cache.remove(position);
        } else {
            self.publish_cache_event(digest, true);
        }
        self.prefix_cache.push_back(digest);
        if self.prefix_cache.len() > self.profile.prefix_cache_size
            && let Some(evicted) = self.prefix_cache.pop_front()
        {
            self.publish_cache_event(evicted, false);
        }
        if known.is_some() { tokens.min(sequence.context - 1) } else { 0 }
    }

    /// Queues a cache event for publication, unless it is one of those that get lost.
    fn publish_cache_event(&mut self, digest: u64, inserted: bool) {
        self.cache_sequence += 1;
        if !self.cache_sequence.is_multiple_of(self.profile.cache_event_loss_interval) {
            self.cache_events.push((self.cache_sequence, digest, inserted));
        }
    }

    /// Returns the cache events since the last call.
    pub(crate) fn take_cache_events(&mut self) -> Vec<(u64, u64, bool)> {
        std::mem::take(&mut self.cache_events)
    }

    /// Updates the snapshot that load reports are made from.
    pub(crate) fn update_snapshot(&mut self, now: f64, vms: usize) {
        if self.report_frozen {
            return;
        }
        let mut by_vm = vec![0; vms];
        for sequence in self.running.iter().chain(&self.waiting) {
            by_vm[sequence.vm] += 1;
        }
        self.snapshot = EngineSnapshot {
            instance: self.instance,
            cold: self.is_cold(now),
            concurrency_limit: self.concurrency_limit(now),
            running: self.running(),
            waiting: self.waiting.len() as u32,
            memory_used: self.memory_used,
            preemptions: self.preemptions,
            by_vm,
        };
    }

    pub(crate) fn snapshot(&self) -> &EngineSnapshot {
        &self.snapshot
    }
}
