//! Settings of the scheduler and its placement policy.

use std::{collections::BTreeMap, time::Duration};

use displaydoc::Display;
use dragonflycart_core::{Incarnation, TeamName, VmOrdinal, ZoneName};
use thiserror::Error;

/// Position of this VM in the deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmPosition {
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Ordinal of the VM within its zone.
    pub ordinal: VmOrdinal,
    /// Run of the VM's process.
    pub incarnation: Incarnation,
}

/// The configured placement policy doesn't exist.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[displaydoc("no placement policy is registered under the name {0:?}")]
pub struct UnknownPolicy(pub String);

/// Settings of the scheduler and its placement policy. Deployments with different priorities differ
/// only in these values.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicySettings {
    /// Name of the placement policy.
    pub policy: String,
    /// Number of VM ordinals per availability zone, whether or not a VM runs for each. Cold-start
    /// slots and the concurrency limit are divided among the ordinals, so all VMs must have the
    /// same value.
    pub ordinal_counts: BTreeMap<ZoneName, u16>,
    /// Seed of the random choice between servers of similar load.
    pub random_seed: u64,
    /// Highest share of a server's memory that the forecast peak may reach.
    pub max_memory_share: f64,
    /// Quantile of the remaining output length that memory forecasts use.
    pub length_quantile: f64,
    /// Highest share of a server's concurrency limit that is used.
    pub batch_share: f64,
    /// Number of requests beyond the limit that are sent to a server, so that it doesn't idle
    /// between two load reports.
    pub queue_depth: u32,
    /// Number of slots of a cold server whose report doesn't state a limit for the cold state.
    pub cold_slots: u32,
    /// Age above which load reports are not used for cold-start slots.
    pub report_freshness: Duration,
    /// Time without a load report after which a server gets no new requests.
    pub report_timeout: Duration,
    /// Time between two ticks above which the control thread counts as paused.
    pub pause_limit: Duration,
    /// Time over which a zone that returned to service reaches its concurrency limit.
    pub zone_ramp: Duration,
    /// Number of retries allowed per request, on average.
    pub retry_share: f64,
    /// Number of servers in the retry subset of a team.
    pub retry_subset: usize,
    /// Reduction of the placement score if the whole prompt is a cached prefix.
    pub prefix_bonus: f64,
    /// Increase of the placement score for a server in another zone.
    pub remote_penalty: f64,
    /// Weight of the random term in the placement score. Without it, VMs that see the same reports
    /// would all choose the same server until the next report.
    pub score_jitter: f64,
    /// Maximum number of candidates that are compared for one request.
    pub candidate_limit: usize,
    /// Maximum length of a pool's queue, in requests.
    pub queue_limit: usize,
    /// Maximum time that a request without a deadline waits, and that a retry waits for the retry
    /// budget.
    pub max_queue_wait: Duration,
    /// Weights of the interactive, standard and batch classes.
    pub class_weights: [u32; 3],
    /// Shares of a server's capacity that the interactive, standard and batch classes leave free
    /// for more urgent classes, so that those can be placed without waiting.
    pub class_reserve: [f64; 3],
    /// Weights of teams. Teams that are not listed have a weight of 1.
    pub team_weights: BTreeMap<TeamName, u32>,
    /// Time that an interactive request waits before a batch request is preempted for it. `None`
    /// disables preemption.
    pub preempt_after: Option<Duration>,
    /// Output length that is assumed for a route without statistics, in tokens.
    pub prior_length: u32,
    /// Time per output token that is assumed until it has been measured.
    pub token_time: Duration,
    /// Whether requests that can't finish within their deadline are rejected before they start.
    pub shed_late: bool,
    /// Quantile of the output length that must fit before the deadline. With a low value, only
    /// requests that would very likely be late are rejected.
    pub late_quantile: f64,
}

impl Default for PolicySettings {
    fn default() -> PolicySettings {
        PolicySettings {
            policy: "forecast".to_owned(),
            ordinal_counts: BTreeMap::new(),
            random_seed: 1,
            max_memory_share: 0.9,
            length_quantile: 0.5,
            batch_share: 1.0,
            queue_depth: 2,
            cold_slots: 2,
            report_freshness: Duration::from_secs(1),
            report_timeout: Duration::from_secs(3),
            pause_limit: Duration::from_secs(1),
            zone_ramp: Duration::from_secs(30),
            retry_share: 0.1,
            retry_subset: 4,
            prefix_bonus: 0.1,
            remote_penalty: 0.02,
            score_jitter: 0.3,
            candidate_limit: 16,
            queue_limit: 4_096,
            max_queue_wait: Duration::from_secs(60),
            class_weights: [16, 4, 1],
            class_reserve: [0.0, 0.0, 0.0],
            team_weights: BTreeMap::new(),
            preempt_after: None,
            prior_length: 400,
            token_time: Duration::from_millis(40),
            shed_late: true,
            late_quantile: 0.95,
        }
    }
}

impl PolicySettings {
    /// Returns settings for deployments that give priority to a low inter-token latency without
    /// stalls.
    pub fn latency_first() -> PolicySettings {
        PolicySettings {
            max_memory_share: 1.05,
            class_reserve: [0.0, 0.0, 0.1],
            ..PolicySettings::default()
        }
    }

    /// Returns settings for deployments that give priority to throughput.
    pub fn throughput_first() -> PolicySettings {
        PolicySettings { max_memory_share: 0.98, ..PolicySettings::default() }
    }
}
