//! Metrics of the daemon.

use dragonflycart_core::ErrorKind;
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
/// Number of buckets. Each upper bound is twice the one before, so the last is about 65 s.
const BUCKETS: u16 = 17;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ErrorLabels {
    kind: String,
}

/// Metrics of the daemon. Label values never contain text chosen by callers, so the number of time
/// series is bounded.
pub(crate) struct NodeMetrics {
    registry: Registry,
    errors: Family<ErrorLabels, Counter>,
    /// Generations accepted.
    pub(crate) generations: Counter,
    /// Tokens received from engines.
    pub(crate) tokens: Counter,
    /// Calls to plain services accepted.
    pub(crate) calls: Counter,
    /// Reconnections to engines.
    pub(crate) reconnects: Counter,
    /// Requests refused because a part of their prompt crashes engines.
    pub(crate) contained_requests: Counter,
    /// Generations continued on another engine.
    pub(crate) continuations: Counter,
    /// Time from acceptance to the first token, in seconds.
    pub(crate) first_token: Histogram,
    /// Plan revision in effect.
    pub(crate) plan_revision: Gauge,
    /// Generations that have not ended.
    pub(crate) open_streams: Gauge,
    /// Requests waiting for a backend server.
    pub(crate) queued: Gauge,
    /// Peers that respond.
    pub(crate) peers_alive: Gauge,
    /// One while the log service is reachable.
    pub(crate) log_reachable: Gauge,
}

impl NodeMetrics {
    /// Registers all metrics.
    pub(crate) fn new() -> NodeMetrics {
        let buckets = exponential_buckets(SMALLEST_BUCKET_S, 2.0, BUCKETS);
        let mut metrics = NodeMetrics {
            registry: Registry::with_prefix("dragonflycart"),
            errors: Family::default(),
            generations: Counter::default(),
            tokens: Counter::default(),
            calls: Counter::default(),
            reconnects: Counter::default(),
            contained_requests: Counter::default(),
            continuations: Counter::default(),
            first_token: Histogram::new(buckets),
            plan_revision: Gauge::default(),
            open_streams: Gauge::default(),
            queued: Gauge::default(),
            peers_alive: Gauge::default(),
            log_reachable: Gauge::default(),
        };
        metrics.register_counters();
        metrics.register_gauges();
        metrics
    }

    fn register_counters(&mut self) {
        let registry = &mut self.registry;
        registry.register("errors", "Error answers by kind", self.errors.clone());
        registry.register("generations", "Generations accepted", self.generations.clone());
        registry.register("tokens", "Tokens received from engines", self.tokens.clone());
        registry.register("calls", "Calls to plain services accepted", self.calls.clone());
        registry.register(
            "engine_reconnects",
            "Connections to engines that were replaced",
            self.reconnects.clone(),
        );
        registry.register(
            "contained_requests",
            "Requests refused because a part of their prompt crashes engines",
            self.contained_requests.clone(),
        );
        registry.register(
            "continuations",
            "Generations continued on another engine",
            self.continuations.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Time from acceptance to the first token",
            self.first_token.clone(),
        );
    }

    fn register_gauges(&mut self) {
        let registry = &mut self.registry;
        registry.register("plan_revision", "Plan revision in effect", self.plan_revision.clone());
        registry.register("open_streams", "Generations running", self.open_streams.clone());
        registry.register("queued_requests", "Requests waiting", self.queued.clone());
        registry.register("peers_alive", "Peers that answer", self.peers_alive.clone());
        registry.register(
            "log_reachable",
            "One while the log service answers",
            self.log_reachable.clone(),
        );
    }

    /// Counts an error response.
    pub(crate) fn count_error(&self, kind: ErrorKind) {
        self.errors.get_or_create(&ErrorLabels { kind: kind.to_string() }).inc();
    }

    /// Renders all metrics as text.
    pub(crate) fn render(&self) -> String {
        let mut out = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut out, &self.registry);
        out
    }
}
