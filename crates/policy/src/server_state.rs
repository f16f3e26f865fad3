//! This VM's view of one backend server.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::{MonoTime, ServerInstance};

use crate::{
    ColdSignal, LengthEstimator, MemoryForecast, PoolKey, PrefixCacheView, PriorityClass,
    RequestTicket, RouteKey, ServerReport, ServerSpec, TeamKey, ZoneKey,
};

/// A time to first token over this multiple of the moving average is a cold signal.
const SLOW_FIRST_TOKEN: f64 = 4.0;
/// Number of first tokens after which the moving average is used.
const FIRST_TOKENS_KNOWN: u32 = 8;
/// A time to first token up to this is never a cold signal, whatever the average is.
const FIRST_TOKEN_FLOOR: Duration = Duration::from_secs(1);
/// Weight of a new value in the moving average of the time to first token.
const FIRST_TOKEN_WEIGHT: f64 = 0.1;
/// Requests that were sent less than this before a report was taken may be missing from it.
const TRANSIT_TIME: Duration = Duration::from_millis(10);

/// Time after which reports with unchanged content count as frozen while requests run. The memory
/// in use normally changes with every token.
const FROZEN_AFTER: Duration = Duration::from_millis(1_500);

/// Request of this VM that runs on a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnAttempt {
    pub(crate) prompt: u32,
    pub(crate) tokens: u32,
    pub(crate) sent_at: MonoTime,
    pub(crate) first_token: bool,
    pub(crate) team: TeamKey,
    pub(crate) route: RouteKey,
    pub(crate) class: PriorityClass,
}

/// Request of this VM that ended after the last report was taken.
#[derive(Debug, Clone, Copy)]
struct EndedAttempt {
    sent_at: MonoTime,
    ended_at: MonoTime,
    tokens: u32,
}

/// This VM's view of one backend server.
#[derive(Debug)]
pub struct ServerState {
    pub(crate) spec: ServerSpec,
    pub(crate) zone: ZoneKey,
    pub(crate) pools: Vec<PoolKey>,
    pub(crate) report: Option<ServerReport>,
    pub(crate) reported_at: MonoTime,
    pub(crate) attempts: BTreeMap<RequestTicket, OwnAttempt>,
    pub(crate) prefixes: PrefixCacheView,
    pub(crate) removed: bool,
    pub(crate) forecast: MemoryForecast,
    pub(crate) forecast_stale: bool,
    /// Random value from 0 to 1 drawn at the last report, used in `peer_requests_estimate`.
    pub(crate) rounding_draw: f64,
    /// Requests of VMs in other zones according to the last report.
    pub(crate) other_zone_requests: u32,
    ended: Vec<EndedAttempt>,
    /// Own requests that the last report doesn't include.
    sent_since_report: u32,
    /// Ended own requests that the last report includes.
    ended_since_report: u32,
    cold: bool,
    /// Time at which the content of the reports last changed.
    content_changed_at: MonoTime,
    frozen: bool,
    /// Time of the last cold signal.
    signal_at: Option<MonoTime>,
    /// Moving average of the time to first token, in seconds.
    first_token_average: f64,
    /// Number of first tokens in the average.
    first_tokens: u32,
}

impl ServerState {
    /// Creates the state of a server that has not reported yet.
    pub(crate) fn new(spec: ServerSpec, zone: ZoneKey) -> ServerState {
        ServerState {
            spec,
            zone,
            pools: Vec::new(),
            report: None,
            reported_at: MonoTime::default(),
            attempts: BTreeMap::new(),
            prefixes: PrefixCacheView::default(),
            removed: false,
            forecast: MemoryForecast::default(),
            forecast_stale: true,
            rounding_draw: 0.0,
            other_zone_requests: 0,
            ended: Vec::new(),
            sent_since_report: 0,
            ended_since_report: 0,
            cold: true,
            content_changed_at: MonoTime::default(),
            frozen: false,
            signal_at: None,
            first_token_average: 0.0,
            first_tokens: 0,
        }
    }

    /// Applies a report. Returns false, without effect, if it is older than the last one.
    pub(crate) fn apply_report(&mut self, report: ServerReport, now: MonoTime) -> bool {
        if let Some(last) = &self.report {
            if report.taken_at < last.taken_at {
                return false;
            }
            if report.instance != last.instance {
                self.signal_at = Some(report.taken_at);
                self.prefixes.clear();
                self.first_tokens = 0;
            }
        }
        if report.cold {
            self.cold = true;
        } else if self.signal_at.is_none_or(|signal| report.taken_at >= signal) {
            self.cold = false;
        }
        self.check_frozen(&report, now);
        self.ended.retain(|ended| ended.ended_at > report.taken_at);
        self.reported_at = now;
        self.report = Some(report);
        self.forecast_stale = true;
        self.recount_since_report();
        true
    }

    /// Updates whether the reports are frozen.
    fn check_frozen(&mut self, report: &ServerReport, now: MonoTime) {
        let content = |report: &ServerReport| {
            (report.running, report.waiting, report.memory_used_tokens, report.preemptions)
        };
        if self.report.as_ref().is_none_or(|last| content(last) != content(report)) {
            self.content_changed_at = now;
        }
        let own_tokens = self
            .attempts
            .values()
            .any(|attempt| attempt.first_token && attempt.sent_at < self.content_changed_at);
        let active = report.running > 0 || own_tokens;
        self.frozen = active && now.since(self.content_changed_at) > FROZEN_AFTER;
    }

    /// Returns whether the content of the reports stopped changing although requests run.
    pub fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// Applies a cold signal: the limit is that of a cold server until a report that was taken
    /// after `now` arrives.
    pub(crate) fn signal(&mut self, signal: ColdSignal, now: MonoTime) {
        self.cold = true;
        self.signal_at = Some(now);
        if matches!(signal, ColdSignal::InstanceChanged | ColdSignal::ConnectionReset) {
            self.prefixes.clear();
        }
    }

    /// Returns whether the server counts as cold.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Returns the last reported instance.
    pub fn instance(&self) -> ServerInstance {
        self.report.as_ref().map_or(ServerInstance::default(), |report| report.instance)
    }

    /// Returns the last report.
    pub fn report(&self) -> Option<&ServerReport> {
        self.report.as_ref()
    }

    /// Returns the time since the last report arrived.
    pub fn report_age(&self, now: MonoTime) -> Duration {
        now.since(self.reported_at)
    }

    /// Returns the number of running requests of this VM.
    pub fn own_running(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Returns the limit on concurrent requests of all VMs together.
    pub(crate) fn limit(&self, cold_slots: u32) -> u32 {
        let Some(report) = &self.report else {
            return 0;
        };
        if !self.cold {
            return report.concurrency_limit;
        }
        let after_signal = self.signal_at.is_none_or(|signal| report.taken_at >= signal);
        if report.cold && after_signal {
            report.concurrency_limit
        } else {
            cold_slots.min(report.concurrency_limit)
        }
    }

    /// Returns whether the server may get new requests, regardless of its load.
    pub(crate) fn is_usable(&self, now: MonoTime, timeout: Duration) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        !self.removed && !report.leaving && now.since(self.reported_at) <= timeout
    }

    fn is_in_report(&self, sent_at: MonoTime) -> bool {
        self.report.as_ref().is_some_and(|report| sent_at + TRANSIT_TIME <= report.taken_at)
    }

    /// Returns the number of requests that the other VMs are assumed to have added since the last
    /// report: each of them as many as this one. Requests that replaced ended ones don't count,
    /// because the other VMs also see the end of their own requests. The random draw makes the
    /// estimate higher on some VMs than on others, so that about the right number of them use a
    /// small remaining capacity, without communicating.
    ///
    /// `contention` is the share of time in which requests wait for the pool on this VM, and so
    /// presumably on the others. Without it, hundreds of VMs would avoid a server that has ample
    /// capacity.
    pub(crate) fn peer_requests_estimate(&self, vms: u32, contention: f64) -> f64 {
        let added = self.sent_since_report.saturating_sub(self.ended_since_report);
        (f64::from(added) + self.rounding_draw) * f64::from(vms.saturating_sub(1)) * contention
    }

    /// Returns the estimated number of requests on the server. If the reports are frozen, all VMs
    /// are assumed to have as many requests there as this one.
    pub(crate) fn estimated_requests(&self, vms: u32) -> u32 {
        let Some(report) = &self.report else {
            return 0;
        };
        if self.frozen {
            return self.attempts.len() as u32 * vms;
        }
        let requests = report.running + report.waiting + self.sent_since_report;
        requests.saturating_sub(self.ended_since_report)
    }

    /// Recounts the sent and ended requests that the new report doesn't reflect.
    fn recount_since_report(&mut self) {
        let mut sent = 0;
        for attempt in self.attempts.values() {
            sent += u32::from(!self.is_in_report(attempt.sent_at));
        }
        let mut ended = 0;
        for attempt in &self.ended {
            ended += u32::from(self.is_in_report(attempt.sent_at));
        }
        self.sent_since_report = sent;
        self.ended_since_report = ended;
    }

    /// Counts a dispatched request.
    pub(crate) fn add(&mut self, ticket: RequestTicket, attempt: OwnAttempt) {
        self.attempts.insert(ticket, attempt);
        self.sent_since_report += 1;
        self.forecast_stale = true;
    }

    /// Counts the end of a request.
    pub(crate) fn remove(&mut self, ticket: RequestTicket, now: MonoTime) -> Option<OwnAttempt> {
        let attempt = self.attempts.remove(&ticket)?;
        if self.is_in_report(attempt.sent_at) {
            self.ended_since_report += 1;
        } else {
            self.sent_since_report = self.sent_since_report.saturating_sub(1);
        }
        self.ended.push(EndedAttempt {
            sent_at: attempt.sent_at,
            ended_at: now,
            tokens: attempt.prompt + attempt.tokens,
        });
        self.forecast_stale = true;
        Some(attempt)
    }

    /// Applies the progress of a request. Returns true if its first token was so slow that the
    /// server may be cold.
    pub(crate) fn progress(&mut self, ticket: RequestTicket, tokens: u32, now: MonoTime) -> bool {
        let Some(attempt) = self.attempts.get_mut(&ticket) else {
            return false;
        };
        attempt.tokens = attempt.tokens.max(tokens);
        self.forecast_stale = true;
        if attempt.first_token {
            return false;
        }
        attempt.first_token = true;
        let delay = now.since(attempt.sent_at);
        let slow = self.first_tokens >= FIRST_TOKENS_KNOWN
            && delay > FIRST_TOKEN_FLOOR
            && delay.as_secs_f64() > SLOW_FIRST_TOKEN * self.first_token_average;
        self.first_tokens += 1;
        let weight = FIRST_TOKEN_WEIGHT.max(1.0 / f64::from(self.first_tokens));
        self.first_token_average += (delay.as_secs_f64() - self.first_token_average) * weight;
        slow
    }

    /// Rebuilds the memory forecast if anything changed. `others` holds quantiles of the remaining
    /// length of running requests about which nothing else is known.
    pub(crate) fn refresh_forecast(
        &mut self,
        lengths: &LengthEstimator,
        quantile: f64,
        others: &[u32],
        vms: u32,
    ) {
        if !self.forecast_stale {
            return;
        }
        self.forecast_stale = false;
        let mut forecast = std::mem::take(&mut self.forecast);
        forecast.clear();
        let mut own_requests = 0.0;
        let mut own_memory = 0.0;
        for attempt in self.attempts.values() {
            let held = f64::from(attempt.prompt + attempt.tokens);
            let remaining =
                lengths.remaining(attempt.team, attempt.route, attempt.tokens, quantile);
            forecast.add(held, f64::from(remaining), 1.0);
            if self.is_in_report(attempt.sent_at) {
                own_requests += 1.0;
                own_memory += held;
            }
        }
        for attempt in &self.ended {
            if self.is_in_report(attempt.sent_at) {
                own_requests += 1.0;
                own_memory += f64::from(attempt.tokens);
            }
        }
        if self.frozen {
            let own: f64 = self.attempts.values().map(|a| f64::from(a.prompt + a.tokens)).sum();
            let count = self.attempts.len() as f64 * f64::from(vms.saturating_sub(1));
            let mean = own / (self.attempts.len() as f64).max(1.0);
            for remaining in others {
                forecast.add(mean, f64::from(*remaining), count / others.len() as f64);
            }
        } else if let Some(report) = &self.report {
            let running = f64::from(report.running);
            let count = (running + f64::from(report.waiting) - own_requests).max(0.0);
            let memory = (report.memory_used_tokens as f64 - own_memory).max(0.0);
            // Requests that wait on the server hold no memory yet. They are assumed to have the
            // average size.
            let mean = memory / (running - own_requests).max(1.0);
            for remaining in others {
                forecast.add(mean, f64::from(*remaining), count / others.len() as f64);
            }
        }
        forecast.prepare();
        self.forecast = forecast;
    }
}
