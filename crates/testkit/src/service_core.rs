//! State of the fake plain service.

use std::collections::BTreeMap;

use dragonflycart_core::{OrderFence, ServerInstance};
use dragonflycart_engine::LoadReport;
use serde_json::json;

use crate::{ExecutedCall, ServiceCommand, ServiceConfig, ServiceStats, lagged_value::LaggedValue};

/// State of the fake plain service. Time is a parameter, in milliseconds since its start.
pub(crate) struct ServiceCore {
    config: ServiceConfig,
    instance: ServerInstance,
    cold_since_ms: Option<u64>,
    running: u32,
    running_by_ordinal: BTreeMap<String, u32>,
    refusal: Option<u16>,
    leaving: bool,
    outcomes: BTreeMap<String, String>,
    reports: LaggedValue<LoadReport>,
    stats: ServiceStats,
}

impl ServiceCore {
    pub(crate) fn new(config: ServiceConfig, instance: ServerInstance) -> ServiceCore {
        let mut core = ServiceCore {
            instance,
            cold_since_ms: config.starts_cold.then_some(0),
            running: 0,
            running_by_ordinal: BTreeMap::new(),
            refusal: None,
            leaving: false,
            outcomes: BTreeMap::new(),
            reports: LaggedValue::new(0, idle_report(instance, &config)),
            stats: ServiceStats::default(),
            config,
        };
        core.publish(0);
        core
    }

    /// Begins a cold start. Outcomes are kept, as a real service keeps them in persistent storage.
    pub(crate) fn restart(&mut self, instance: ServerInstance, now_ms: u64) {
        self.instance = instance;
        self.cold_since_ms = Some(now_ms);
        self.publish(now_ms);
    }

    pub(crate) fn config(&self) -> &ServiceConfig {
        &self.config
    }

    pub(crate) fn running(&self) -> u32 {
        self.running
    }

    pub(crate) fn stats(&self) -> ServiceStats {
        self.stats.clone()
    }

    pub(crate) fn apply(&mut self, command: ServiceCommand, now_ms: u64) {
        match command {
            ServiceCommand::Delay { ms } => self.config.delay_ms = ms,
            ServiceCommand::Refuse { status } => self.refusal = status,
            ServiceCommand::Leaving { leaving } => self.leaving = leaving,
        }
        self.publish(now_ms);
    }

    fn concurrency_limit(&self, now_ms: u64) -> u32 {
        match self.cold_since_ms {
            Some(since_ms) if since_ms + self.config.cold_ms > now_ms => self.config.cold_limit,
            _ => self.config.max_concurrent,
        }
    }

    /// Admits a call and counts it as running.
    ///
    /// # Errors
    ///
    /// Returns the HTTP status with which the call is refused.
    pub(crate) fn begin(&mut self, ordinal: Option<&str>, now_ms: u64) -> Result<(), u16> {
        let refusal = if self.leaving { Some(503) } else { self.refusal };
        if let Some(status) = refusal {
            self.stats.refused += 1;
            return Err(status);
        }
        self.running += 1;
        if let Some(ordinal) = ordinal {
            *self.running_by_ordinal.entry(ordinal.to_owned()).or_default() += 1;
        }
        let concurrency_limit = self.concurrency_limit(now_ms);
        if concurrency_limit < self.config.max_concurrent {
            self.stats.cold_high_water = self.stats.cold_high_water.max(self.running);
            self.stats.cold_overloads += u64::from(self.running > concurrency_limit);
        }
        self.publish(now_ms);
        Ok(())
    }

    /// Executes a call that [`Self::begin`] admitted and returns the response body.
    pub(crate) fn execute(
        &mut self,
        call: ExecutedCall,
        ordinal: Option<&str>,
        now_ms: u64,
    ) -> String {
        self.running = self.running.saturating_sub(1);
        if let Some(count) = ordinal.and_then(|ordinal| self.running_by_ordinal.get_mut(ordinal)) {
            *count = count.saturating_sub(1);
        }
        self.publish(now_ms);
        if self.config.deduplicates
            && let Some(outcome) = call.key.as_ref().and_then(|key| self.outcomes.get(key))
        {
            return outcome.clone();
        }
        let sequence = self.stats.executed.len() + 1;
        let response_body = json!({
            "sequence": sequence, "operation": call.operation, "key": call.key, "echo": call.body,
        });
        let response_body = response_body.to_string();
        if let Some(key) = &call.key {
            self.outcomes.entry(key.clone()).or_insert_with(|| response_body.clone());
        }
        self.stats.executed.push(call);
        response_body
    }

    /// Returns the response body of the first executed call with `key`.
    pub(crate) fn outcome(&self, key: &str) -> Option<String> {
        self.outcomes.get(key).cloned()
    }

    pub(crate) fn report(&self, now_ms: u64) -> LoadReport {
        let mut report = self.reports.read(now_ms, self.config.report_lag_ms);
        if report.instance == self.instance {
            report.concurrency_limit = self.concurrency_limit(now_ms);
            report.cold = report.concurrency_limit < self.config.max_concurrent;
        }
        report
    }

    fn publish(&mut self, now_ms: u64) {
        let mut report = idle_report(self.instance, &self.config);
        report.concurrency_limit = self.concurrency_limit(now_ms);
        report.cold = report.concurrency_limit < self.config.max_concurrent;
        report.leaving = self.leaving;
        report.running = self.running;
        for (ordinal, count) in &self.running_by_ordinal {
            if *count > 0 {
                report.running_by_ordinal.push((ordinal.clone(), *count));
            }
        }
        self.reports.record(now_ms, report, self.config.report_lag_ms);
    }
}

fn idle_report(instance: ServerInstance, config: &ServiceConfig) -> LoadReport {
    LoadReport {
        instance,
        cold: config.starts_cold,
        concurrency_limit: config.max_concurrent,
        leaving: false,
        running: 0,
        waiting: 0,
        memory_used_tokens: 0,
        memory_total_tokens: 0,
        preemptions: 0,
        running_by_ordinal: Vec::new(),
        running_by_version: Vec::new(),
        loaded: Vec::new(),
        highest_fence: OrderFence::default(),
    }
}
