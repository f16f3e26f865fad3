//! Parameters of the engine model.

/// Parameters of the engine model. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Fixed part of the step time.
    pub step_base: f64,
    /// Step time per request that gets a token at the end of the step.
    pub step_request: f64,
    /// Step time per prompt token that is processed in the step.
    pub step_prefill: f64,
    /// Step time per 1,000 tokens held in memory.
    pub step_memory: f64,
    /// Most prompt tokens processed in one step.
    pub prefill_chunk: u32,
    /// Most requests in the batch.
    pub batch_limit: u32,
    /// Tokens that fit in memory.
    pub memory_tokens: u64,
    /// Share of the memory that a new request must leave free.
    pub watermark: f64,
    /// Concurrent requests that a cold engine can handle at first.
    pub cold_limit: u32,
    /// Time after which the limit of a cold engine doubles.
    pub cold_doubling_time: f64,
    /// Factor on the step time of a cold engine.
    pub cold_slowdown: f64,
    /// Number of requests over its limit that a cold engine accepts without failing.
    pub cold_tolerance: u32,
    /// Time from a failure to the start of the next instance.
    pub restart_time: f64,
    /// Interval at which the load report is updated.
    pub report_interval: f64,
    /// Number of prefixes that fit in the prefix cache.
    pub prefix_cache_size: usize,
    /// Time from a change of the prefix cache until the VMs get its event.
    pub cache_event_delay: f64,
    /// Every n-th cache event is lost.
    pub cache_event_loss_interval: u64,
}

impl Default for EngineProfile {
    fn default() -> EngineProfile {
        EngineProfile {
            step_base: 18.0,
            step_request: 0.3,
            step_prefill: 0.05,
            step_memory: 0.05,
            prefill_chunk: 512,
            batch_limit: 64,
            memory_tokens: 40_000,
            watermark: 0.01,
            cold_limit: 4,
            cold_doubling_time: 10_000.0,
            cold_slowdown: 2.0,
            cold_tolerance: 4,
            restart_time: 15_000.0,
            report_interval: 200.0,
            prefix_cache_size: 16,
            cache_event_delay: 500.0,
            cache_event_loss_interval: 50,
        }
    }
}
