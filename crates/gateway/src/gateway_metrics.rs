//! Metrics of the gateway.

use std::time::Duration;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// Upper bound of the first bucket of the latency histograms, in seconds.
const SMALLEST_BUCKET_S: f64 = 0.001;
/// Number of buckets. Each bound is twice the previous one, so the last is 65 s.
const BUCKETS: u16 = 17;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    kind: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabels {
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RankLabels {
    rank: u32,
}

/// Upper bound of the first bucket of the ratio of waits to their estimates, and number of buckets.
/// Each bound is twice the previous one, so the last is 16.
const SMALLEST_RATIO: f64 = 1.0 / 16.0;
const RATIO_BUCKETS: u16 = 9;

/// Metrics of the gateway. All label values come from fixed sets, so the number of time series is
/// bounded.
pub struct GatewayMetrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    latency: Histogram,
    first_event: Histogram,
    engine_waits: Histogram,
    wait_ratios: Histogram,
    waiting: Family<RankLabels, Gauge>,
    refusals: Family<ReasonLabels, Counter>,
    moves: Family<ResultLabels, Counter>,
    sources: Family<ResultLabels, Counter>,
    repeats: Family<ResultLabels, Counter>,
    store_calls: Family<ResultLabels, Counter>,
    /// Number of tables read again because the store came back from an older copy.
    pub store_returns: Counter,
    samples: Family<ResultLabels, Counter>,
    duty_calls: Family<ResultLabels, Counter>,
    load_refusals: Family<ReasonLabels, Counter>,
    /// Plain calls that wait for a slot.
    pub waiting_calls: Gauge,
    /// Average delay of the process's timers, in milliseconds.
    pub timer_delay_ms: Gauge,
    /// Number of connections opened to servers.
    pub connections: Counter,
    /// Number of responses given up because there was no memory for them.
    pub responses_without_memory: Counter,
    /// Number of engines found to have ended without notice.
    pub engine_crashes: Counter,
    /// Number of requests refused because a part of their prompt crashes engines.
    pub contained_requests: Counter,
    /// Number of parts of prompts that are contained.
    pub contained_parts: Gauge,
    /// Number of parts of prompts with crashes that are not contained.
    pub suspect_parts: Gauge,
    /// Number of load headers that could not be used.
    pub unusable_load_headers: Counter,
    /// Number of requests sent to servers that are avoided because they are slow.
    pub capacity_retests: Counter,
    /// Number of servers whose speed was measured recently.
    pub measured_servers: Gauge,
    /// Learned speed of the slowest of them, in percent of the median of its service.
    pub slowest_server_percent: Gauge,
    /// Version of the route plan in effect.
    pub plan_version: Gauge,
    /// Milliseconds since the plan was last known to be the newest one; -1 if it never was. Zero if
    /// the deployment does not bound it.
    pub plan_age_ms: Gauge,
    /// Number of servers that accept requests.
    pub servers: Gauge,
    /// Number of running VMs known, including this one.
    pub vms: Gauge,
    /// Number of log lines dropped because standard output was blocked.
    pub log_lines_lost: Gauge,
}

impl GatewayMetrics {
    /// Registers all metrics.
    pub fn new() -> GatewayMetrics {
        let buckets = || exponential_buckets(SMALLEST_BUCKET_S, 2.0, BUCKETS);
        let mut metrics = GatewayMetrics {
            registry: Registry::with_prefix("dragonflycart_gateway"),
            requests: Family::default(),
            latency: Histogram::new(buckets()),
            first_event: Histogram::new(buckets()),
            engine_waits: Histogram::new(buckets()),
            wait_ratios: Histogram::new(exponential_buckets(SMALLEST_RATIO, 2.0, RATIO_BUCKETS)),
            waiting: Family::default(),
            refusals: Family::default(),
            moves: Family::default(),
            sources: Family::default(),
            repeats: Family::default(),
            store_calls: Family::default(),
            store_returns: Counter::default(),
            samples: Family::default(),
            duty_calls: Family::default(),
            load_refusals: Family::default(),
            waiting_calls: Gauge::default(),
            timer_delay_ms: Gauge::default(),
            connections: Counter::default(),
            responses_without_memory: Counter::default(),
            engine_crashes: Counter::default(),
            contained_requests: Counter::default(),
            contained_parts: Gauge::default(),
            suspect_parts: Gauge::default(),
            unusable_load_headers: Counter::default(),
            capacity_retests: Counter::default(),
            measured_servers: Gauge::default(),
            slowest_server_percent: Gauge::default(),
            plan_version: Gauge::default(),
            plan_age_ms: Gauge::default(),
            servers: Gauge::default(),
            vms: Gauge::default(),
            log_lines_lost: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by kind and outcome", self.requests.clone());
        registry.register("latency_seconds", "Time to the end of a response", self.latency.clone());
        registry.register(
            "first_event_seconds",
            "Time to the first event of a stream",
            self.first_event.clone(),
        );
        registry.register(
            "engine_wait_seconds",
            "Time for which a request waited for an engine",
            self.engine_waits.clone(),
        );
        registry.register(
            "engine_wait_ratio",
            "Real wait for an engine divided by the estimate",
            self.wait_ratios.clone(),
        );
        registry.register(
            "engine_waiting",
            "Requests that wait for an engine, by rank",
            self.waiting.clone(),
        );
        registry.register(
            "engine_refusals",
            "Requests refused for want of room on engines, by reason",
            self.refusals.clone(),
        );
        registry.register("moves", "Moves of generations by result", self.moves.clone());
        registry.register(
            "resumption_sources",
            "Engines whose generation was about to go on elsewhere, by what was known of it there",
            self.sources.clone(),
        );
        registry.register(
            "stream_repeats",
            "Streams whose server was lost or failed, by what became of their next run",
            self.repeats.clone(),
        );
        registry.register("store_calls", "Calls to the store by result", self.store_calls.clone());
        registry.register(
            "store_returns",
            "Tables read again because the store came back from an older copy",
            self.store_returns.clone(),
        );
        registry.register(
            "duty_calls",
            "Calls for the duties by kind and result",
            self.duty_calls.clone(),
        );
        registry.register(
            "load_refusals",
            "Requests refused as not run because of load, by reason",
            self.load_refusals.clone(),
        );
        registry.register(
            "waiting_calls",
            "Plain calls that wait for a slot",
            self.waiting_calls.clone(),
        );
        registry.register(
            "timer_delay_milliseconds",
            "Average delay of the timers of the process",
            self.timer_delay_ms.clone(),
        );
        registry.register("connections", "Connections opened to servers", self.connections.clone());
        registry.register(
            "responses_without_memory",
            "Responses given up because there was no memory for them",
            self.responses_without_memory.clone(),
        );
        registry.register(
            "engine_crashes",
            "Engines found to have ended without notice",
            self.engine_crashes.clone(),
        );
        registry.register(
            "contained_requests",
            "Requests refused because a part of their prompt crashes engines",
            self.contained_requests.clone(),
        );
        registry.register(
            "contained_parts",
            "Parts of prompts that are contained",
            self.contained_parts.clone(),
        );
        registry.register(
            "suspect_parts",
            "Parts of prompts that were present at crashes and are not contained",
            self.suspect_parts.clone(),
        );
        registry.register(
            "capacity_samples",
            "Samples of the speed of servers: own, of peers, and of peers that were not used",
            self.samples.clone(),
        );
        registry.register(
            "unusable_load_headers",
            "Load headers of servers that could not be used",
            self.unusable_load_headers.clone(),
        );
        registry.register(
            "capacity_retests",
            "Requests sent to servers that are avoided because they are slow",
            self.capacity_retests.clone(),
        );
        registry.register(
            "measured_servers",
            "Servers whose speed was measured recently",
            self.measured_servers.clone(),
        );
        registry.register(
            "slowest_server_percent",
            "Learned speed of the slowest measured server, in percent of its service's median",
            self.slowest_server_percent.clone(),
        );
        registry.register(
            "plan_version",
            "Version of the plan in force",
            self.plan_version.clone(),
        );
        registry.register(
            "plan_age_milliseconds",
            "Time since the plan was last known to be the newest",
            self.plan_age_ms.clone(),
        );
        registry.register("servers", "Servers that take work", self.servers.clone());
        registry.register("vms", "VMs that are known to run", self.vms.clone());
        registry.register(
            "log_lines_lost",
            "Log lines dropped since their reader stalled",
            self.log_lines_lost.clone(),
        );
    }

    /// Records the end of a request.
    pub fn count_request(&self, kind: &'static str, outcome: &'static str, time: Duration) {
        self.requests.get_or_create(&OutcomeLabels { kind, outcome }).inc();
        self.latency.observe(time.as_secs_f64());
    }

    /// Records the time to the first event of a stream.
    pub fn count_first_event(&self, time: Duration) {
        self.first_event.observe(time.as_secs_f64());
    }

    /// Records how long a request waited for an engine.
    pub fn count_engine_wait(&self, time: Duration) {
        self.engine_waits.observe(time.as_secs_f64());
    }

    /// Records the real wait for an engine divided by the estimate.
    pub fn count_wait_ratio(&self, ratio: f64) {
        self.wait_ratios.observe(ratio);
    }

    /// Adds to the number of requests of a rank that wait for an engine.
    pub fn change_waiting(&self, rank: u8, change: i64) {
        self.waiting.get_or_create(&RankLabels { rank: u32::from(rank) }).inc_by(change);
    }

    /// Counts a request that was refused for want of room on engines.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a move of a generation to another engine.
    pub fn count_move(&self, result: &'static str) {
        self.moves.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts an engine whose generation was about to go on elsewhere, by what was known of it there.
    pub fn count_source(&self, result: &'static str) {
        self.sources.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts a stream that runs again at another server, or could not.
    pub fn count_repeat(&self, result: &'static str) {
        self.repeats.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts samples of the speed of servers.
    pub fn count_capacity_samples(&self, result: &'static str, count: u64) {
        self.samples.get_or_create(&ResultLabels { result }).inc_by(count);
    }

    /// Counts a request that is refused because of load.
    pub fn count_load_refusal(&self, reason: &'static str) {
        self.load_refusals.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, result: &'static str) {
        self.store_calls.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts a call for the duties.
    pub fn count_duty_call(&self, result: &'static str) {
        self.duty_calls.get_or_create(&ResultLabels { result }).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            tracing::warn!("metrics: can't be encoded");
        }
        text
    }
}

impl Default for GatewayMetrics {
    fn default() -> GatewayMetrics {
        GatewayMetrics::new()
    }
}
