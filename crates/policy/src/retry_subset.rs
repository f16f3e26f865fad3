//! Set of servers that the retries of a team may use.

use dragonflycart_core::{RendezvousScore, ServerName, TeamName, rendezvous_score};

use crate::ServerKey;

/// Small fixed set of servers per team and pool. A request that crashes servers reaches only its
/// first server and the servers of this set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetrySubset {
    servers: Vec<ServerKey>,
}

impl RetrySubset {
    /// Selects `size` servers by rendezvous hashing, so that a change of the pool changes the
    /// set as little as possible and all VMs select the same servers.
    pub fn select(
        team: &TeamName,
        pool: &str,
        servers: impl Iterator<Item = (ServerKey, ServerName)>,
        size: usize,
    ) -> RetrySubset {
        let mut scored: Vec<(RendezvousScore, ServerKey)> = Vec::new();
        let subject = [b"retry".as_slice(), team.as_str().as_bytes(), pool.as_bytes()];
        for (key, name) in servers {
            scored.push((rendezvous_score(&subject, name.as_str().as_bytes()), key));
        }
        scored.sort_by(|a, b| b.cmp(a));
        scored.truncate(size);
        RetrySubset { servers: scored.into_iter().map(|(_, key)| key).collect() }
    }

    /// Returns whether the set contains `server`.
    pub fn contains(&self, server: ServerKey) -> bool {
        self.servers.contains(&server)
    }

    /// Returns the servers of the set.
    pub fn servers(&self) -> &[ServerKey] {
        &self.servers
    }
}
