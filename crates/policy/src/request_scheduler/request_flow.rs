//! Life cycle of a request: submission, progress, end, failure and retry.

use std::collections::BTreeSet;

use dragonflycart_core::{ErrorKind, MonoTime};

use super::RequestScheduler;
use crate::{
    AttemptFailure, ColdSignal, FairQueue, PlacementDecision, PlacementRequest, PoolKey,
    RequestTicket, RouteKey, ServerKey, TeamKey, TokenProgress,
    admission_control::{AdmissionInputs, AdmissionOutcome},
    request_entry::RequestEntry,
};

/// Number of servers that a request may use in addition to its first one.
const MAX_RETRY_SERVERS: usize = 2;
/// Number of server failures after which a request is not retried, because it may have caused them.
const MAX_SERVER_FAILURES: u32 = 2;
/// Cost of a prompt token relative to an output token. It is low because the tokens of a prompt are
/// processed in parallel.
const PROMPT_COST: f64 = 0.1;
/// Weight of a new value in the moving average of the time per token.
const TOKEN_TIME_WEIGHT: f64 = 0.02;
/// Shortest output, in tokens, that updates the average time per token. Shorter outputs say little
/// about it.
const TOKEN_TIME_LENGTH: u32 = 16;

impl RequestScheduler {
    /// Submits a request. A later call of `tick` returns the decision about it.
    pub fn submit(&mut self, now: MonoTime, request: PlacementRequest) -> RequestTicket {
        let ticket = RequestTicket(self.next_ticket);
        self.next_ticket += 1;
        self.budget.deposit(now);
        let pool = self.placer.servers.pool_key(&request.pool);
        let team = TeamKey(self.placer.teams.intern(&request.team));
        let route = RouteKey(self.routes.intern(&request.route));
        let entry = RequestEntry {
            ticket,
            pool,
            team,
            route,
            class: request.class,
            prompt: request.prompt_tokens,
            max_tokens: request.max_tokens,
            tokens: request.delivered_tokens,
            deadline: request.deadline,
            idempotent: request.idempotent,
            prefix: request.prefix,
            submitted: now,
            remaining: 0,
            late_check_length: 0,
            charged: 0,
            server: None,
            failed_on: Vec::new(),
            failed_at: now,
            may_have_run_on: Vec::new(),
            server_failures: 0,
            retry: false,
        };
        let inputs = self.admission_inputs(&entry, now);
        match self.admission.admit(&inputs) {
            AdmissionOutcome::Reject(kind) => {
                self.outbox.push(PlacementDecision::Reject { ticket, kind });
                return ticket;
            }
            AdmissionOutcome::Displace => self.displace(pool),
            AdmissionOutcome::Wait => {}
        }
        if let Some(weight) = self.placer.settings.team_weights.get(&request.team).copied() {
            self.queue(pool).set_team_weight(team, weight);
        }
        self.enqueue(entry, false, now);
        ticket
    }

    /// Adds a request to the queue of its pool.
    pub(super) fn enqueue(&mut self, mut entry: RequestEntry, front: bool, now: MonoTime) {
        self.estimate(&mut entry);
        self.changed = true;
        let max_wait = self.placer.settings.max_queue_wait;
        let mut queued = entry.queued();
        queued.deadline = Some(entry.deadline.unwrap_or(now + max_wait));
        let queue = self.queue(entry.pool);
        if front {
            queue.push_front(queued);
        } else {
            queue.push(queued);
        }
        self.requests.insert(entry.ticket, entry);
    }

    fn queue(&mut self, pool: PoolKey) -> &mut FairQueue {
        let weights = self.placer.settings.class_weights;
        self.queues.entry(pool).or_insert_with(|| FairQueue::new(weights))
    }

    /// Computes the estimates that are needed to place and charge the request, so that they aren't
    /// computed each time the request is offered.
    fn estimate(&self, entry: &mut RequestEntry) {
        let lengths = &self.placer.lengths;
        let (team, route, tokens) = (entry.team, entry.route, entry.tokens);
        let room = entry.max_tokens.saturating_sub(tokens);
        let quantile = self.placer.settings.length_quantile;
        entry.remaining = lengths.remaining(team, route, tokens, quantile).min(room);
        let length = lengths.remaining(team, route, 0, self.placer.settings.late_quantile);
        entry.late_check_length =
            if lengths.is_known(route) { length.min(entry.max_tokens) } else { 0 };
        let median = lengths.remaining(team, route, tokens, 0.5).min(room);
        entry.charged = request_cost(entry.prompt, median);
    }

    fn admission_inputs(&mut self, entry: &RequestEntry, now: MonoTime) -> AdmissionInputs {
        let servers = &self.placer.servers;
        let members = servers.members(entry.pool);
        let mut fits = false;
        for key in members {
            let memory = servers.get(*key).report.as_ref().map_or(0, |r| r.memory_total_tokens);
            if memory == 0 || u64::from(entry.prompt + entry.tokens) < memory {
                fits = true;
                break;
            }
        }
        let servers = members.len();
        let queue_limit = self.placer.settings.queue_limit;
        let queue = self.queue(entry.pool);
        // The counts per team are used only if the queue is full.
        let full = queue.len() >= queue_limit;
        AdmissionInputs {
            now,
            deadline: entry.deadline,
            servers,
            fits,
            queued: queue.len(),
            team_queued: if full { queue.team_len(entry.team) } else { 0 },
            teams: if full { queue.team_count() } else { 1 },
        }
    }

    /// Rejects the last request of the team with the longest queue.
    fn displace(&mut self, pool: PoolKey) {
        let Some((_, last)) = self.queue(pool).longest_team() else {
            return;
        };
        self.queue(pool).remove(last.ticket);
        self.reject(last.ticket, ErrorKind::TeamLimited);
    }

    /// Applies a batch of token progress.
    pub fn progress(&mut self, now: MonoTime, batch: &[TokenProgress]) {
        let mut touched = BTreeSet::new();
        for progress in batch {
            let Some(entry) = self.requests.get_mut(&progress.ticket) else {
                continue;
            };
            entry.tokens = entry.tokens.max(progress.tokens);
            let Some(server) = entry.server else {
                continue;
            };
            let state = self.placer.servers.get_mut(server);
            if state.progress(progress.ticket, progress.tokens, now) {
                state.signal(ColdSignal::SlowFirstToken, now);
            }
            touched.insert(server);
        }
        for server in touched {
            self.placer.refresh_forecast(server);
        }
    }

    /// Ends a request that finished with `tokens` tokens of output.
    pub fn finished(&mut self, now: MonoTime, ticket: RequestTicket, tokens: u32) {
        let Some(entry) = self.requests.remove(&ticket) else {
            return;
        };
        self.placer.lengths.record(entry.team, entry.route, tokens);
        self.end_attempt(&entry, tokens, now);
    }

    /// Drops a request whose caller disconnected. Returns the server on which it must be cancelled,
    /// if it is running.
    pub fn cancel(&mut self, now: MonoTime, ticket: RequestTicket) -> Option<ServerKey> {
        let entry = self.requests.remove(&ticket)?;
        self.queue(entry.pool).remove(ticket);
        self.end_attempt(&entry, entry.tokens, now);
        entry.server
    }

    /// Ends the current attempt, if any: releases its server and corrects the charge to its team.
    pub(super) fn end_attempt(&mut self, entry: &RequestEntry, tokens: u32, now: MonoTime) {
        self.changed = true;
        let Some(server) = entry.server else {
            return;
        };
        if let Some(deadline) = entry.deadline {
            self.running_deadlines.remove(&(deadline, entry.ticket));
        }
        let attempt = self.placer.servers.get(server).attempts.get(&entry.ticket).copied();
        if let Some(attempt) = attempt
            && tokens >= TOKEN_TIME_LENGTH
        {
            let per_token = now.since(attempt.sent_at).as_secs_f64() / f64::from(tokens);
            self.token_time += (per_token - self.token_time) * TOKEN_TIME_WEIGHT;
        }
        self.placer.release(entry, server, now);
        let actual = request_cost(entry.prompt, tokens);
        self.queue(entry.pool).correct(entry.class, entry.team, entry.charged, actual);
    }

    /// Applies a failed attempt. A later tick retries or rejects the request.
    pub fn failed(&mut self, now: MonoTime, ticket: RequestTicket, failure: AttemptFailure) {
        let Some(mut entry) = self.requests.remove(&ticket) else {
            return;
        };
        let Some(server) = entry.server else {
            self.requests.insert(ticket, entry);
            return;
        };
        self.end_attempt(&entry, entry.tokens, now);
        entry.server = None;
        entry.failed_on.push(server);
        entry.failed_at = now;
        if failure.may_have_run() {
            entry.may_have_run_on.push(server);
        }
        if failure.is_server_failure() {
            entry.server_failures += 1;
            self.placer.servers.get_mut(server).signal(ColdSignal::ConnectionReset, now);
        }
        if let Some(kind) = retry_refusal(&entry, failure) {
            self.outbox.push(PlacementDecision::Reject { ticket, kind });
            return;
        }
        self.requests.insert(ticket, entry);
        self.retries.push_back((now + self.placer.settings.max_queue_wait, ticket));
    }

    /// Requeues failed requests as far as the retry budget allows.
    pub(super) fn release_retries(&mut self, now: MonoTime) {
        self.budget.refill(now);
        while let Some((give_up_at, ticket)) = self.retries.front().copied() {
            let Some(entry) = self.requests.get(&ticket) else {
                self.retries.pop_front();
                continue;
            };
            let expired = entry.deadline.unwrap_or(give_up_at).min(give_up_at) <= now;
            if expired {
                let kind = if entry.tokens > 0 {
                    ErrorKind::Interrupted
                } else {
                    ErrorKind::BackendFailed
                };
                self.retries.pop_front();
                self.reject(ticket, kind);
                continue;
            }
            if !self.budget.withdraw() {
                break;
            }
            self.retries.pop_front();
            if let Some(mut entry) = self.requests.remove(&ticket) {
                entry.retry = true;
                self.retries_started += 1;
                self.enqueue(entry, true, now);
            }
        }
    }
}

/// Returns the error for a request that must not be retried, or `None` if it may be retried.
fn retry_refusal(entry: &RequestEntry, failure: AttemptFailure) -> Option<ErrorKind> {
    if failure.may_have_run() && !entry.idempotent {
        return Some(ErrorKind::OutcomeUnknown);
    }
    if entry.server_failures < MAX_SERVER_FAILURES && entry.failed_on.len() <= MAX_RETRY_SERVERS {
        return None;
    }
    Some(match (entry.tokens, failure.may_have_run()) {
        (0, true) => ErrorKind::BackendFailed,
        (0, false) => ErrorKind::Overloaded,
        _ => ErrorKind::Interrupted,
    })
}

/// Returns the cost of a request for the fair queue, in output tokens.
fn request_cost(prompt: u32, output: u32) -> u32 {
    (f64::from(prompt) * PROMPT_COST) as u32 + output + 1
}
