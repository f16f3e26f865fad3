//! Query for a placement.

use std::{collections::BTreeSet, time::Duration};

use dragonflycart_admission::AdmissionClass;
use dragonflycart_core::PromptPart;

use crate::{ServerKey, TokenDemand};

/// Requirements of a placement.
#[derive(Debug, Clone)]
pub struct PlacementQuery<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Engine memory that the request needs; zero for plain services.
    pub demand: TokenDemand,
    /// Target for the time to the response, or to the first event of a stream.
    pub latency_target: Duration,
    /// Target for the longest pause between two events of a stream.
    pub pause_target: Option<Duration>,
    /// ID of the longest prompt prefix that other requests share, if any.
    pub shared_prefix: Option<PromptPart>,
    /// Preferred zone instead of the VM's own.
    pub preferred_zone: Option<&'a str>,
    /// Tokens whose memory must be copied to the server first; zero for a new generation.
    pub moved_tokens: u64,
    /// Seed of a random score component, for cases in which many VMs choose at the same time.
    pub spread_seed: Option<u64>,
    /// Seed of the sample of servers in other zones from which a VM of a large fleet chooses.
    pub sample_seed: u64,
    /// How the request is admitted, which limits the engine memory that it may fill.
    pub admission: AdmissionClass,
    /// Servers that must not be used.
    pub excluded: &'a BTreeSet<ServerKey>,
}
