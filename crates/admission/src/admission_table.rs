//! What a VM knows for the admission of requests to engines.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::MonoTime;

use crate::{EstimateInputs, FreedRate, TeamUse, WaitEstimate, WaitQueue, WaiterId};

/// Weight of a new sample in the average of the ratio of waits, which thus covers about ten samples.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Largest ratio of a wait to its estimate that counts in the average, and the inverse of the
/// smallest one. A single estimate of almost no wait must not decide the average.
const RATIO_LIMIT: f64 = 4.0;

/// Engine memory and waits of one service.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceFlow {
    freed: FreedRate,
    /// Average logarithm of the ratio of real to estimated waits.
    wait_ratio_ln: f64,
    waits: f64,
}

/// State on which a VM bases the admission of requests to engines.
#[derive(Debug, Clone, Default)]
pub struct AdmissionTable {
    /// Requests that wait at this VM.
    pub queue: WaitQueue,
    /// Recent use of the teams.
    pub team_use: TeamUse,
    flows: BTreeMap<String, ServiceFlow>,
}

impl AdmissionTable {
    /// Records that the end of a generation freed memory of an engine that stays.
    pub fn note_freed(&mut self, service: &str, tokens: u64, now: MonoTime) {
        self.flow(service).freed.note(tokens, now);
    }

    /// Returns whether it is a request's turn to look for room.
    pub fn has_turn(&mut self, id: WaiterId, now: MonoTime) -> bool {
        self.queue.has_turn(id, &self.team_use, now)
    }

    /// Returns the requests of a service that may be able to use memory that has become free.
    pub fn candidates(&mut self, service: &str, now: MonoTime) -> Vec<WaiterId> {
        self.queue.candidates(service, &self.team_use, now)
    }

    /// Returns the inputs of the estimate of a new request's wait. `room_tokens` is the memory that
    /// it and the requests before it could take at once.
    pub fn estimate_inputs(
        &mut self,
        id: WaiterId,
        service: &str,
        own_tokens: u64,
        room_tokens: u64,
        now: MonoTime,
    ) -> EstimateInputs {
        let flow = *self.flow(service);
        EstimateInputs {
            ahead_tokens: self.queue.tokens_ahead(id, now),
            own_tokens,
            room_tokens,
            freed_per_s: flow.freed.per_second(now),
            freed_samples: flow.freed.samples(now),
            wait_ratio: (flow.wait_ratio_ln.exp(), flow.waits),
        }
    }

    /// Compares an estimate with the real wait of a request that got an engine, or with the time after
    /// which it gave up.
    pub fn note_wait(&mut self, service: &str, estimate: WaitEstimate, wait_s: f64) {
        let estimated_s = estimate.uncorrected.as_secs_f64();
        if estimate.uncorrected.is_zero() || estimate.uncorrected == Duration::MAX {
            return;
        }
        let ratio = (wait_s / estimated_s).clamp(1.0 / RATIO_LIMIT, RATIO_LIMIT);
        let flow = self.flow(service);
        let weight = AVERAGE_WEIGHT.max(1.0 / (flow.waits + 1.0));
        flow.wait_ratio_ln += weight * (ratio.ln() - flow.wait_ratio_ln);
        flow.waits += 1.0;
    }

    fn flow(&mut self, service: &str) -> &mut ServiceFlow {
        if !self.flows.contains_key(service) {
            self.flows.insert(service.to_owned(), ServiceFlow::default());
        }
        self.flows.get_mut(service).expect("the flow was inserted above")
    }
}
