//! Number of a server's responses that were lost.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use dragonflycart_core::MonoTime;

/// Time for which a lost response counts against its server.
const LOSS_MEMORY: Duration = Duration::from_secs(6);
/// Maximum number of own losses kept; more make no difference to the score.
const LOSSES_KEPT: usize = 8;

/// Recently lost responses of one server, as counted by this VM and by its peers. A single VM sends
/// a server too few requests to detect in time that it is flapping.
#[derive(Debug, Clone, Default)]
pub struct LostResponses {
    own: VecDeque<MonoTime>,
    peers: BTreeMap<u64, (MonoTime, u32)>,
}

impl LostResponses {
    /// Records that a response to this VM was lost.
    pub fn note_own(&mut self, now: MonoTime) {
        self.own.push_back(now);
        if self.own.len() > LOSSES_KEPT {
            self.own.pop_front();
        }
    }

    /// Records how many responses to a peer were recently lost.
    pub fn note_peer(&mut self, peer: u64, count: u32, now: MonoTime) {
        if count == 0 {
            self.peers.remove(&peer);
        } else {
            self.peers.insert(peer, (now, count));
        }
    }

    /// Returns how many responses to this VM were recently lost.
    pub fn own(&self, now: MonoTime) -> u32 {
        self.own.iter().filter(|at| now.since(**at) <= LOSS_MEMORY).count() as u32
    }

    /// Returns how many responses to all VMs together were recently lost.
    pub fn total(&self, now: MonoTime) -> u32 {
        let mut total = self.own(now);
        for (heard_at, count) in self.peers.values() {
            if now.since(*heard_at) <= LOSS_MEMORY {
                total += count;
            }
        }
        total
    }
}
