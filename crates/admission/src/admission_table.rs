//! What a VM knows for the admission of requests to engines.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::MonoTime;

use crate::{
    EstimateInputs, FleetDemand, FreedRate, QueuePlace, ServiceDemand, TeamUse, WaitEstimate,
    WaitProspect, WaitQueue, Waiter, WaiterId, promised_returns::PromisedReturns,
};

/// Weight of a new sample in the average of the ratio of waits, which thus covers about ten samples.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Largest ratio of a wait to its estimate that counts in the average, and the inverse of the
/// smallest one. A single estimate of almost no wait must not decide the average.
const RATIO_LIMIT: f64 = 4.0;

/// Time without a request or the end of a generation after which a service is forgotten. It exceeds
/// the usual time limits, so that no generation of the service is left.
const SERVICE_RETENTION: Duration = Duration::from_secs(300);

/// Engine memory and waits of one service.
#[derive(Debug, Clone, Default)]
struct ServiceFlow {
    /// Whether the service has a deferrable route.
    is_managed: bool,
    /// Time of the last request or end of a generation.
    used_at: MonoTime,
    freed: FreedRate,
    promised: PromisedReturns,
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
    /// Demand that the other VMs reported.
    pub fleet_demand: FleetDemand,
    flows: BTreeMap<String, ServiceFlow>,
}

impl AdmissionTable {
    /// Adds a waiting request.
    pub fn enqueue(&mut self, waiter: Waiter, now: MonoTime) -> WaiterId {
        let flow = self.flow(&waiter.service);
        flow.is_managed = waiter.class.is_managed();
        flow.used_at = flow.used_at.max(now);
        self.queue.enqueue(waiter, now)
    }

    /// Records that the end of a generation freed memory of an engine that stays.
    pub fn note_freed(&mut self, service: &str, tokens: u64, now: MonoTime) {
        let flow = self.flow(service);
        flow.freed.note(tokens, now);
        flow.used_at = flow.used_at.max(now);
    }

    /// Forgets all figures that depend on the time, but not the waiting requests. A VM that was
    /// suspended can't tell how old they are.
    pub fn forget_figures(&mut self) {
        self.fleet_demand.clear();
        self.team_use = TeamUse::default();
        for flow in self.flows.values_mut() {
            *flow = ServiceFlow {
                is_managed: flow.is_managed,
                used_at: flow.used_at,
                ..ServiceFlow::default()
            };
        }
    }

    /// Records that a request was refused and told to come back after `time`.
    pub fn note_promise(&mut self, service: &str, tokens: u64, time: Duration, now: MonoTime) {
        self.flow(service).promised.note(tokens, time, now);
    }

    /// Returns whether it is a request's turn to look for room.
    pub fn has_turn(&mut self, id: WaiterId, now: MonoTime) -> bool {
        self.queue.has_turn(id, &self.team_use, now)
    }

    /// Returns the requests of a service that may be able to use memory that has become free.
    pub fn candidates(&mut self, service: &str, now: MonoTime) -> Vec<WaiterId> {
        self.queue.candidates(service, &self.team_use, now)
    }

    /// Returns the tokens of more urgent requests of other VMs to which a request gives way.
    pub fn urgent_share(&mut self, id: WaiterId, service: &str, now: MonoTime) -> u64 {
        let Some((is_late, rank)) = self.queue.order_of(id, now) else { return 0 };
        self.fleet_demand.urgent_share(service, is_late, rank, now)
    }

    /// Returns the inputs of the estimate of a new request's wait. `room_tokens` is the memory that
    /// it and the requests before it could take at once, and `late_in` the time until it is late.
    pub fn estimate_inputs(
        &mut self,
        id: WaiterId,
        waiter: (&str, u64),
        late_in: Duration,
        room_tokens: u64,
        now: MonoTime,
    ) -> EstimateInputs {
        let mut prospect = WaitProspect::default();
        let inputs = self.review_inputs(id, waiter, late_in, &mut prospect, now);
        EstimateInputs { room_tokens, ..inputs }
    }

    /// Returns the inputs of the estimate of how much longer a request waits. `prospect` is what
    /// its earlier estimates were based on; the other arguments are those of
    /// [`AdmissionTable::estimate_inputs`]. `room_tokens` is zero: the caller sets it if it needs
    /// it.
    pub fn review_inputs(
        &mut self,
        id: WaiterId,
        waiter: (&str, u64),
        late_in: Duration,
        prospect: &mut WaitProspect,
        now: MonoTime,
    ) -> EstimateInputs {
        let (service, own_tokens) = waiter;
        let (peers_freed_per_s, peers_samples) = self.fleet_demand.freed(service, now);
        let flow = self.flow(service);
        let mut inputs = EstimateInputs {
            late_in,
            own_tokens,
            freed_per_s: peers_freed_per_s + flow.freed.per_second(now),
            freed_samples: peers_samples + flow.freed.samples(now),
            promised_tokens: flow.promised.tokens(now),
            wait_ratio: (flow.wait_ratio_ln.exp(), flow.waits),
            ..EstimateInputs::default()
        };
        let promised = self.fleet_demand.promised_tokens(service, now);
        inputs.promised_tokens = inputs.promised_tokens.saturating_add(promised);
        let Some(place) = self.queue.place_of(id, now) else { return inputs };
        let QueuePlace { is_late, rank, .. } = place;
        let (ahead, equal) = self.fleet_demand.tokens_ahead(service, is_late, rank, now);
        let older = prospect.older_tokens(is_late, equal, inputs.freed_per_s, now);
        // The teams of the requests that wait at other VMs are not known.
        let share = self.team_use.share_ahead_of(place.team, now);
        let share_of = |tokens: u64| ((share * tokens as f64) as u64).min(tokens);
        let passing =
            if is_late { self.fleet_demand.passing_tokens(service, rank, now) } else { 0 };
        inputs.ahead_tokens = place
            .ahead_tokens
            .saturating_add(share_of(place.equal_tokens))
            .saturating_add(ahead - passing)
            .saturating_add(share_of(older))
            .saturating_add(prospect.passing_tokens(
                place.passing_tokens.saturating_add(passing),
                inputs.freed_per_s,
                late_in,
            ));
        let behind = place.equal_tokens - share_of(place.equal_tokens);
        inputs.late_tokens = place.late_tokens.saturating_add(behind);
        if is_late {
            inputs.late_tokens = inputs.late_tokens.saturating_add(older - share_of(older));
        } else {
            let (ahead_late, equal_late) = self.fleet_demand.tokens_ahead(service, true, rank, now);
            let newer = equal - older;
            let not_late = ahead.saturating_add(share_of(older)).saturating_add(newer);
            let all = ahead_late.saturating_add(equal_late);
            inputs.late_tokens = inputs.late_tokens.saturating_add(all.saturating_sub(not_late));
            inputs.newer_tokens = place.newer_tokens.saturating_add(newer);
        }
        inputs.own_tokens = prospect.missing_tokens(inputs, now);
        inputs
    }

    /// Returns the demand at this VM for each service with a deferrable route, to be reported to the
    /// others. Forgets services that are no longer used.
    pub fn own_demand(&mut self, now: MonoTime) -> BTreeMap<String, ServiceDemand> {
        let mut services = BTreeMap::new();
        let queue = &self.queue;
        self.flows.retain(|service, flow| {
            queue.count(service) > 0 || now.since(flow.used_at) <= SERVICE_RETENTION
        });
        self.team_use.forget(now);
        for (service, flow) in self.flows.iter_mut().filter(|(_, flow)| flow.is_managed) {
            let demand = ServiceDemand {
                ranks: self.queue.demand(service, now),
                freed_per_s: flow.freed.per_second(now),
                freed_samples: flow.freed.samples(now),
                promised_tokens: flow.promised.tokens(now),
            };
            services.insert(service.clone(), demand);
        }
        services
    }

    /// Compares an estimate with the time after which a request was refused. Only a lower bound of
    /// the real wait is known, so it counts only if it exceeds the estimate.
    pub fn note_unserved(&mut self, service: &str, estimate: WaitEstimate, wait_s: f64) {
        if wait_s > estimate.wait.as_secs_f64() {
            self.note_wait(service, estimate, wait_s);
        }
    }

    /// Compares an estimate with the real wait of a request that got an engine.
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
