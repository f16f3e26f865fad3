//! The other VMs, as far as this one knows.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use dragonflycart_core::MonoTime;

use crate::{PeerEntry, PeerReport};

/// Time between two reports without a change in a small fleet.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a report after which a VM doesn't count as running.
const REPORT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time after which a silent VM is sent a report again, in case it is back.
const UNRESPONSIVE_INTERVAL: Duration = Duration::from_secs(3);

/// VMs up to which each tells all others every change at once. The messages grow with the square
/// of the number of VMs.
const SMALL_FLEET: usize = 64;
/// Intervals between reports without which a VM of a large fleet no longer counts.
const TIMEOUT_INTERVALS: f64 = 2.5;
/// Time without a report after which a VM no longer counts as the reader of the store.
const READER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after a failed read during which a VM does not read the store for others.
const FAILED_TIME: Duration = Duration::from_secs(4);

/// What is known of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PeerState {
    name: String,
    /// Empty until it reported.
    zone: String,
    boot: u64,
    sequence: u64,
    heard_at: Option<MonoTime>,
    sent_at: Option<MonoTime>,
    can_read: bool,
}

/// Table of the other VMs by address.
#[derive(Debug, Clone)]
pub struct PeerTable {
    own_name: String,
    own_zone: String,
    peers: BTreeMap<SocketAddr, PeerState>,
    store_failed_at: Option<MonoTime>,
}

impl PeerTable {
    /// Builds the table of the VM `own_name` in an availability zone.
    pub fn new(own_name: &str, own_zone: &str) -> PeerTable {
        PeerTable {
            own_name: own_name.to_owned(),
            own_zone: own_zone.to_owned(),
            peers: BTreeMap::new(),
            store_failed_at: None,
        }
    }

    /// Returns whether the fleet is so large that VMs of different zones tell each other less.
    pub fn is_large(&self) -> bool {
        self.peers.len() >= SMALL_FLEET
    }

    /// Returns the time between two reports without a change. It grows with the fleet, so that the
    /// reports that a VM gets in a second don't.
    pub fn report_interval(&self) -> Duration {
        REPORT_INTERVAL.mul_f64((self.peers.len() as f64 / SMALL_FLEET as f64).max(1.0))
    }

    fn scaled_timeout(&self, least: Duration) -> Duration {
        if !self.is_large() {
            return least;
        }
        least.max(self.report_interval().mul_f64(TIMEOUT_INTERVALS))
    }

    /// Takes that the store did not answer this VM.
    pub fn note_store_failure(&mut self, now: MonoTime) {
        self.store_failed_at = Some(now);
    }

    /// Takes that the store answered this VM.
    pub fn note_store_success(&mut self) {
        self.store_failed_at = None;
    }

    /// Returns whether this VM may read the store for others.
    pub fn can_read(&self, now: MonoTime) -> bool {
        self.store_failed_at.is_none_or(|failed| now.since(failed) > FAILED_TIME)
    }

    /// Returns the peer that passes the tables of the store on to this VM, or `None` if this VM
    /// reads it for all. The first VM by name among those that were heard of and can read the store
    /// does; in a large fleet, the first of each zone passes them on to the others there.
    pub fn store_reader(&self, now: MonoTime) -> Option<SocketAddr> {
        let reader = self.first_reader(now, false)?;
        if !self.is_large() {
            return Some(reader);
        }
        Some(self.first_reader(now, true).unwrap_or(reader))
    }

    /// Returns the first VM by name that can read the store, of all or of this VM's zone, or `None`
    /// if that is this VM.
    fn first_reader(&self, now: MonoTime, is_in_zone: bool) -> Option<SocketAddr> {
        let timeout = self.scaled_timeout(READER_TIMEOUT);
        let mut first: Option<(&str, SocketAddr)> = None;
        for (address, state) in &self.peers {
            let is_heard = state.heard_at.is_some_and(|at| now.since(at) <= timeout);
            if !is_heard || !state.can_read || (is_in_zone && state.zone != self.own_zone) {
                continue;
            }
            if first.is_none_or(|(name, _)| state.name.as_str() < name) {
                first = Some((&state.name, *address));
            }
        }
        let (name, address) = first?;
        let is_own = self.can_read(now) && self.own_name.as_str() < name;
        (!is_own).then_some(address)
    }

    /// Takes the registration of a VM.
    pub fn note_registration(&mut self, name: &str, address: SocketAddr) {
        self.peers.retain(|known, state| state.name != name || *known == address);
        self.peers.entry(address).or_insert_with(|| PeerState {
            name: name.to_owned(),
            zone: String::new(),
            boot: 0,
            sequence: 0,
            heard_at: None,
            sent_at: None,
            can_read: false,
        });
    }

    /// Takes what a peer says of another VM. It is not believed against what is known, since it
    /// may be old.
    pub fn add_if_unknown(&mut self, name: &str, address: SocketAddr) {
        if !self.peers.values().any(|state| state.name == name) {
            self.note_registration(name, address);
        }
    }

    /// Takes a report. Returns false if it is older than one that was taken before.
    pub fn note_report(&mut self, report: &PeerReport, address: SocketAddr, now: MonoTime) -> bool {
        self.note_registration(&report.name, address);
        let Some(state) = self.peers.get_mut(&address) else { return false };
        if state.boot == report.boot && report.sequence <= state.sequence {
            return false;
        }
        state.zone.clone_from(&report.zone);
        state.boot = report.boot;
        state.sequence = report.sequence;
        state.heard_at = Some(now);
        state.can_read = report.can_read && !report.is_stopping;
        true
    }

    /// Returns the addresses to which a report is sent at `now`: those of running VMs, and from
    /// time to time those of silent ones.
    pub fn recipients(&mut self, now: MonoTime) -> Vec<SocketAddr> {
        let timeout = self.scaled_timeout(REPORT_TIMEOUT);
        let mut recipients = Vec::new();
        for (address, state) in &mut self.peers {
            let is_due = state.sent_at.is_none_or(|sent| now.since(sent) >= UNRESPONSIVE_INTERVAL);
            let is_running = state.heard_at.is_some_and(|heard| now.since(heard) <= timeout);
            if !is_running && !is_due {
                continue;
            }
            state.sent_at = Some(now);
            recipients.push(*address);
        }
        recipients
    }

    /// Returns the addresses to which a change is told at once: all running VMs, in a large fleet
    /// those of this VM's zone.
    pub fn local_recipients(&mut self, now: MonoTime) -> Vec<SocketAddr> {
        if !self.is_large() {
            return self.recipients(now);
        }
        let near = self.peers.iter().filter(|(_, state)| state.zone == self.own_zone);
        near.filter(|(_, state)| self.is_running(state, now)).map(|(address, _)| *address).collect()
    }

    /// Returns some VMs that run, other ones at each call.
    pub fn running_sample(&self, count: usize, turn: u64, now: MonoTime) -> Vec<PeerEntry> {
        let running: Vec<_> =
            self.peers.iter().filter(|(_, state)| self.is_running(state, now)).collect();
        let start = (turn as usize).wrapping_mul(count);
        let mut entries = Vec::new();
        for index in 0..count.min(running.len()) {
            let (address, state) = running[start.wrapping_add(index) % running.len()];
            entries.push(PeerEntry { name: state.name.clone(), address: address.to_string() });
        }
        entries
    }

    /// Returns the number of VMs that run, without this one.
    pub fn running_count(&self, now: MonoTime) -> usize {
        self.peers.values().filter(|state| self.is_running(state, now)).count()
    }

    /// Returns the number of known VMs, without this one.
    pub fn known_count(&self) -> usize {
        self.peers.len()
    }

    fn is_running(&self, state: &PeerState, now: MonoTime) -> bool {
        let timeout = self.scaled_timeout(REPORT_TIMEOUT);
        state.heard_at.is_some_and(|heard| now.since(heard) <= timeout)
    }
}
