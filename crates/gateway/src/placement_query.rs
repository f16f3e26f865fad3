//! Question for a placement.

use std::collections::BTreeSet;

use crate::{ServerKey, TokenDemand};

/// What a placement is asked for.
#[derive(Debug, Clone)]
pub struct PlacementQuery<'a> {
    /// Service that runs the request.
    pub service: &'a str,
    /// Memory that the request needs; zero for plain services.
    pub demand: TokenDemand,
    /// Last prompt part that other requests share, if any.
    pub shared_prefix: Option<u64>,
    /// Zone that is preferred instead of the VM's own.
    pub preferred_zone: Option<&'a str>,
    /// Tokens whose memory must be copied to the server first; zero for a new generation.
    pub moved_tokens: u64,
    /// Seed of a random part of the choice, where many VMs choose at the same moment.
    pub spread_seed: Option<u64>,
    /// Servers that must not be used.
    pub excluded: &'a BTreeSet<ServerKey>,
}
