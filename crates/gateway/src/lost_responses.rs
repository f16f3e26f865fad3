//! Responses of a server that were lost.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use dragonflycart_core::MonoTime;

/// Time for which a lost response counts against its server.
const LOSS_MEMORY: Duration = Duration::from_secs(6);
/// Losses that are kept; more make no difference.
const LOSSES_KEPT: usize = 8;

/// Lost responses of one server, as seen by this VM and by its peers. A VM alone sends a server
/// too few requests to notice in time that it goes down again and again.
#[derive(Debug, Clone, Default)]
pub struct LostResponses {
    own: VecDeque<MonoTime>,
    peers: BTreeMap<u64, (MonoTime, u32)>,
}

impl LostResponses {
    /// Takes that this VM lost a response.
    pub fn note_own(&mut self, now: MonoTime) {
        self.own.push_back(now);
        if self.own.len() > LOSSES_KEPT {
            self.own.pop_front();
        }
    }

    /// Takes how many responses a peer lost lately.
    pub fn note_peer(&mut self, peer: u64, count: u32, now: MonoTime) {
        if count == 0 {
            self.peers.remove(&peer);
        } else {
            self.peers.insert(peer, (now, count));
        }
    }

    /// Returns how many responses this VM lost lately.
    pub fn own(&self, now: MonoTime) -> u32 {
        self.own.iter().filter(|at| now.since(**at) <= LOSS_MEMORY).count() as u32
    }

    /// Returns how many responses all VMs lost lately.
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
