//! Settings of the placement.

use std::{collections::BTreeMap, time::Duration};

use displaydoc::Display;
use dragonflycart_core::{Incarnation, TeamName, VmOrdinal, ZoneName};
use thiserror::Error;

/// Position of this VM in the deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmPosition {
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Seat of the VM within its zone.
    pub ordinal: VmOrdinal,
    /// Run of the VM's process.
    pub incarnation: Incarnation,
}

/// The configured placement policy doesn't exist.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[displaydoc("no placement policy is registered under the name {0:?}")]
pub struct UnknownPolicy(pub String);

/// Settings of the placement. The priorities of a deployment are values of these fields; the
/// decision code is the same for all deployments.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicySettings {
    /// Name of the placement policy.
    pub policy: String,
    /// Seats per availability zone, filled or not. Cold-start slots and the carry limit are
    /// divided among them, so all VMs must have the same value.
    pub ordinal_counts: BTreeMap<ZoneName, u16>,
    /// Seed of the random choice between servers of similar load.
    pub random_seed: u64,
    /// Highest forecast share of a server's memory.
    pub max_memory_share: f64,
    /// Quantile of the remaining length that forecasts use.
    pub length_quantile: f64,
    /// Highest share of the requests that a server can handle at once.
    pub batch_share: f64,
    /// Requests beyond the limit that are sent to a server, so that it doesn't idle between two
    /// load reports.
    pub queue_depth: u32,
    /// Slots of a cold server while its report doesn't state a limit.
    pub cold_slots: u32,
    /// Load reports older than this are not used for cold-start slots.
    pub report_freshness: Duration,
    /// A server without a report for this long gets no new work.
    pub report_timeout: Duration,
    /// Gap between two ticks from which on the control thread counts as paused.
    pub pause_limit: Duration,
    /// Time over which a zone that returned to service reaches its carry limit.
    pub zone_ramp: Duration,
    /// Share of the requests that may be retried.
    pub retry_share: f64,
    /// Servers in the retry subset of a team.
    pub retry_subset: usize,
    /// Largest reduction of the placement score for a cached prefix.
    pub prefix_bonus: f64,
    /// Increase of the placement score for a server in another zone.
    pub remote_penalty: f64,
    /// Weight of a random term in the placement score. VMs with the same reports would otherwise
    /// all choose the same server until the next report.
    pub score_jitter: f64,
    /// Candidates that one placement compares.
    pub candidate_limit: usize,
    /// Longest queue of a pool, in requests.
    pub queue_limit: usize,
    /// Longest wait of a request without a deadline, and of a retry for its budget.
    pub queue_patience: Duration,
    /// Weights of the interactive, standard and batch class.
    pub class_weights: [u32; 3],
    /// Shares of a server's capacity that the interactive, standard and batch class leave free for
    /// more urgent ones, so that those find room without a wait.
    pub class_reserve: [f64; 3],
    /// Weights of teams; the weight of a team that is not listed is 1.
    pub team_weights: BTreeMap<TeamName, u32>,
    /// Wait of an interactive request after which a deferred request is preempted for it.
    pub preempt_after: Option<Duration>,
    /// Output length assumed for a route without statistics, in tokens.
    pub prior_length: u32,
    /// Time per output token assumed until it is measured.
    pub token_time: Duration,
    /// Whether requests that can't finish within their deadline are rejected before they start.
    pub shed_late: bool,
    /// Quantile of the output length that must fit before the deadline. With a low value only
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
            queue_patience: Duration::from_secs(60),
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
    /// Returns settings for deployments in which stalls and inter-token latency matter most.
    pub fn latency_first() -> PolicySettings {
        PolicySettings {
            max_memory_share: 1.05,
            class_reserve: [0.0, 0.0, 0.1],
            ..PolicySettings::default()
        }
    }

    /// Returns settings for deployments in which finished work matters most.
    pub fn throughput_first() -> PolicySettings {
        PolicySettings { max_memory_share: 0.98, ..PolicySettings::default() }
    }
}
