//! The other VMs, as far as this one knows.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use dragonflycart_core::MonoTime;

/// Time without a report after which a VM doesn't count as running.
const SILENCE_LIMIT: Duration = Duration::from_millis(3_000);
/// Time after which a silent VM is sent a report again, in case it is back.
const SILENT_INTERVAL: Duration = Duration::from_secs(3);

/// What is known of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PeerState {
    name: String,
    boot: u64,
    sequence: u64,
    heard_at: Option<MonoTime>,
    sent_at: Option<MonoTime>,
}

/// Table of the other VMs by address.
#[derive(Debug, Clone, Default)]
pub struct PeerTable {
    peers: BTreeMap<SocketAddr, PeerState>,
}

impl PeerTable {
    /// Takes the registration of a VM.
    pub fn note_registration(&mut self, name: &str, address: SocketAddr) {
        self.peers.retain(|known, state| state.name != name || *known == address);
        self.peers.entry(address).or_insert_with(|| PeerState {
            name: name.to_owned(),
            boot: 0,
            sequence: 0,
            heard_at: None,
            sent_at: None,
        });
    }

    /// Takes a report. Returns false if it is older than one that was taken before.
    pub fn note_report(
        &mut self,
        name: &str,
        address: SocketAddr,
        boot: u64,
        sequence: u64,
        now: MonoTime,
    ) -> bool {
        self.note_registration(name, address);
        let Some(state) = self.peers.get_mut(&address) else { return false };
        if state.boot == boot && sequence <= state.sequence {
            return false;
        }
        state.name = name.to_owned();
        state.boot = boot;
        state.sequence = sequence;
        state.heard_at = Some(now);
        true
    }

    /// Returns the addresses to which a report is sent at `now`: those of running VMs, and from
    /// time to time those of silent ones.
    pub fn recipients(&mut self, now: MonoTime) -> Vec<SocketAddr> {
        let mut recipients = Vec::new();
        for (address, state) in &mut self.peers {
            let is_due = state.sent_at.is_none_or(|sent| now.since(sent) >= SILENT_INTERVAL);
            if !is_running(state, now) && !is_due {
                continue;
            }
            state.sent_at = Some(now);
            recipients.push(*address);
        }
        recipients
    }

    /// Returns the number of VMs that run, without this one.
    pub fn running_count(&self, now: MonoTime) -> usize {
        self.peers.values().filter(|state| is_running(state, now)).count()
    }

    /// Returns the number of known VMs, without this one.
    pub fn known_count(&self) -> usize {
        self.peers.len()
    }
}

fn is_running(state: &PeerState, now: MonoTime) -> bool {
    state.heard_at.is_some_and(|heard| now.since(heard) <= SILENCE_LIMIT)
}
