//! Table of the other VMs known to this one.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use dragonflycart_core::{MonoTime, rendezvous_score};

use crate::{PeerEntry, PeerReport, ReportRecipients};

/// Interval of reports without a change in a small fleet.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a report after which a VM no longer counts as running.
const REPORT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time without a report for which a VM counts for the division of limits. It may only be cut off
/// from this one.
const SHARING_MEMORY: Duration = Duration::from_secs(60);
/// Interval at which an unresponsive VM is sent a report, in case it runs again.
const UNRESPONSIVE_INTERVAL: Duration = Duration::from_secs(3);

/// Number of other VMs from which the fleet counts as large. In smaller fleets, each VM reports
/// every change to all others at once; the number of these messages grows with the square of the
/// number of VMs.
pub(crate) const SMALL_FLEET: usize = 64;
/// Number of report intervals without a report after which a VM of a large fleet no longer counts
/// as running.
const TIMEOUT_INTERVALS: f64 = 2.5;
/// Time without a report after which a VM is no longer chosen as the reader of the store.
const READER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after a failed read in which a VM does not read the store for others.
const FAILED_TIME: Duration = Duration::from_secs(4);
/// Time after a lost feed in which the tables are not taken from that VM. Its reports may still
/// arrive, for example through a partition in one direction.
const FEED_FAILED_TIME: Duration = Duration::from_secs(2);

/// State of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PeerState {
    name: String,
    /// Empty until its first report.
    zone: String,
    boot: u64,
    sequence: u64,
    heard_at: Option<MonoTime>,
    sent_at: Option<MonoTime>,
    can_read: bool,
    feed_failed_at: Option<MonoTime>,
    /// Number of VMs that it counts for the division of limits.
    sharing_vms: usize,
}

/// Other VMs by address.
#[derive(Debug, Clone)]
pub struct PeerTable {
    own_name: String,
    own_zone: String,
    peers: BTreeMap<SocketAddr, PeerState>,
    store_failed_at: Option<MonoTime>,
    /// Whether the registrations of all VMs were read.
    has_registrations: bool,
}

impl PeerTable {
    /// Builds an empty table for the VM `own_name` in an availability zone.
    pub fn new(own_name: &str, own_zone: &str) -> PeerTable {
        PeerTable {
            own_name: own_name.to_owned(),
            own_zone: own_zone.to_owned(),
            peers: BTreeMap::new(),
            store_failed_at: None,
            has_registrations: false,
        }
    }

    /// Returns whether the fleet is so large that VMs of different zones exchange fewer reports.
    pub fn is_large(&self) -> bool {
        self.peers.len() >= SMALL_FLEET
    }

    /// Returns the interval of reports without a change. It grows with the fleet, which bounds the
    /// rate of reports that a VM receives.
    pub fn report_interval(&self) -> Duration {
        REPORT_INTERVAL.mul_f64((self.peers.len() as f64 / SMALL_FLEET as f64).max(1.0))
    }

    fn scaled_timeout(&self, least: Duration) -> Duration {
        if !self.is_large() {
            return least;
        }
        least.max(self.report_interval().mul_f64(TIMEOUT_INTERVALS))
    }

    /// Records that a call of this VM to the store failed.
    pub fn note_store_failure(&mut self, now: MonoTime) {
        self.store_failed_at = Some(now);
    }

    /// Records that the store responded to this VM.
    pub fn note_store_success(&mut self) {
        self.store_failed_at = None;
    }

    /// Records that the feed of the VM at `address` was lost or could not be established.
    pub fn note_feed_failure(&mut self, address: SocketAddr, now: MonoTime) {
        if let Some(state) = self.peers.get_mut(&address) {
            state.feed_failed_at = Some(now);
        }
    }

    /// Returns whether this VM can read the store for others.
    pub fn can_read(&self, now: MonoTime) -> bool {
        self.store_failed_at.is_none_or(|failed| now.since(failed) > FAILED_TIME)
    }

    /// Returns the peer that forwards the store's tables to this VM, or `None` if this VM has to
    /// read them itself. The reader is the first VM by name among those that recently sent a report
    /// and can read the store. In a large fleet, the first VM of each zone forwards the tables
    /// within its zone.
    pub fn store_reader(&self, now: MonoTime) -> Option<SocketAddr> {
        let reader = self.first_reader(now, false)?;
        if !self.is_large() {
            return Some(reader);
        }
        Some(self.first_reader(now, true).unwrap_or(reader))
    }

    /// Returns the first VM by name that can read the store, among all VMs or those of this VM's
    /// zone. Returns `None` if that is this VM or there is none.
    fn first_reader(&self, now: MonoTime, is_in_zone: bool) -> Option<SocketAddr> {
        let timeout = self.scaled_timeout(READER_TIMEOUT);
        let mut first: Option<(&str, SocketAddr)> = None;
        for (address, state) in &self.peers {
            let is_heard = state.heard_at.is_some_and(|at| now.since(at) <= timeout);
            let has_failed =
                state.feed_failed_at.is_some_and(|at| now.since(at) <= FEED_FAILED_TIME);
            if !is_heard
                || has_failed
                || !state.can_read
                || (is_in_zone && state.zone != self.own_zone)
            {
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

    /// Adds a registered VM. Replaces an entry with the same name and another address.
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
            feed_failed_at: None,
            sharing_vms: 0,
        });
    }

    /// Adds a VM named by a peer, unless one of this name is already known: the peer's information
    /// may be older.
    pub fn add_if_unknown(&mut self, name: &str, address: SocketAddr) {
        if !self.peers.values().any(|state| state.name == name) {
            self.note_registration(name, address);
        }
    }

    /// Applies a report. Returns false if it is not newer than the last one of that process.
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
        state.sharing_vms = report.sharing_vms as usize;
        true
    }

    /// Returns the addresses to send a report to that is the same for all VMs. In a large fleet, only
    /// one VM of each other zone gets it, which relays it within its zone: the traffic between zones
    /// then grows with the number of VMs and not with its square. Consecutive values of `turn`
    /// select different relays, so that one that has stopped costs a single report.
    pub fn report_recipients(&mut self, turn: u64, now: MonoTime) -> ReportRecipients {
        let mut direct = self.recipients(now);
        if !self.is_large() {
            return ReportRecipients { direct, relays: Vec::new() };
        }
        let mut remote: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        for (address, state) in &self.peers {
            if state.zone != self.own_zone && self.is_running(state, now) {
                remote.entry(&state.zone).or_default().push(*address);
            }
        }
        let mut relays = Vec::new();
        for addresses in remote.values() {
            relays.push(addresses[turn as usize % addresses.len()]);
        }
        let relayed: BTreeSet<SocketAddr> = remote.into_values().flatten().collect();
        direct.retain(|address| !relayed.contains(address));
        ReportRecipients { direct, relays }
    }

    /// Returns the addresses to relay a report of another zone to: those of the running VMs in this
    /// VM's zone.
    pub fn zone_recipients(&self, now: MonoTime) -> Vec<SocketAddr> {
        let near = self.peers.iter().filter(|(_, state)| state.zone == self.own_zone);
        near.filter(|(_, state)| self.is_running(state, now)).map(|(address, _)| *address).collect()
    }

    /// Returns the addresses to send a report to: those of running VMs and, at a longer interval,
    /// those of unresponsive ones.
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

    /// Returns the addresses to report a change to at once: those of all running VMs or, in a large
    /// fleet, only of those in this VM's zone.
    pub fn local_recipients(&mut self, now: MonoTime) -> Vec<SocketAddr> {
        if !self.is_large() {
            return self.recipients(now);
        }
        self.zone_recipients(now)
    }

    /// Returns up to `count` running VMs. Consecutive values of `turn` select different ones.
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

    /// Returns the addresses of the running VMs, excluding this one.
    pub fn running_addresses(&self, now: MonoTime) -> Vec<SocketAddr> {
        let running = self.peers.iter().filter(|(_, state)| self.is_running(state, now));
        running.map(|(address, _)| *address).collect()
    }

    /// Returns whether it is this VM's turn to do something that `vms` VMs of the fleet do. All VMs
    /// that know each other agree.
    pub fn has_turn(&self, subject: &[u8], vms: usize, now: MonoTime) -> bool {
        let score = |name: &str| rendezvous_score(&[subject], name.as_bytes());
        let own = score(&self.own_name);
        let running = self.peers.values().filter(|state| self.is_running(state, now));
        running.filter(|state| score(&state.name) >= own).count() < vms
    }

    /// Returns whether a report comes from a process that has not reported before.
    pub fn is_new_process(&self, report: &PeerReport, address: SocketAddr) -> bool {
        self.peers.get(&address).is_none_or(|state| state.boot != report.boot)
    }

    /// Returns the number of running VMs, excluding this one.
    pub fn running_count(&self, now: MonoTime) -> usize {
        self.peers.values().filter(|state| self.is_running(state, now)).count()
    }

    /// Records that the registrations of all VMs were read and added.
    pub fn note_all_registered(&mut self) {
        self.has_registrations = true;
    }

    /// Returns the number of VMs that may be running, excluding this one, which started `uptime`
    /// ago: those that sent a report in the last minute, and in this VM's first minute also
    /// registered ones from which none has arrived.
    pub fn possible_count(&self, uptime: Duration, now: MonoTime) -> usize {
        let may_run = |state: &&PeerState| match state.heard_at {
            Some(heard) => now.since(heard) <= SHARING_MEMORY,
            None => uptime <= SHARING_MEMORY,
        };
        self.peers.values().filter(may_run).count()
    }

    /// Returns the number of VMs before this one by name, among those that may be running.
    pub fn own_rank(&self, now: MonoTime) -> usize {
        let is_recent = |heard: MonoTime| now.since(heard) <= SHARING_MEMORY;
        let others = self.peers.values().filter(|state| state.heard_at.is_some_and(is_recent));
        others.filter(|state| state.name < self.own_name).count()
    }

    /// Returns the number of VMs among which limits are divided, including this one: those that may
    /// be running, or that a running peer counts. Returns `None` if the fleet is not known yet.
    pub fn sharing_count(&self, uptime: Duration, now: MonoTime) -> Option<usize> {
        let own = self.possible_count(uptime, now) + 1;
        let running = self.peers.values().filter(|state| self.is_running(state, now));
        let told = running.map(|state| state.sharing_vms).max();
        let is_known =
            self.has_registrations || self.peers.values().any(|state| state.heard_at.is_some());
        is_known.then_some(own.max(told.unwrap_or(1)))
    }

    /// Returns the number of known VMs, excluding this one.
    pub fn known_count(&self) -> usize {
        self.peers.len()
    }

    fn is_running(&self, state: &PeerState, now: MonoTime) -> bool {
        let timeout = self.scaled_timeout(REPORT_TIMEOUT);
        state.heard_at.is_some_and(|heard| now.since(heard) <= timeout)
    }
}
