//! Requests that wait at the VMs of the fleet, and the engine memory that becomes free there.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::MonoTime;

/// Maximum age of a report that counts. Waiting requests change within a second.
const REPORT_AGE_LIMIT: Duration = Duration::from_secs(1);
/// Number of report intervals for which a report counts, so that a single lost one changes nothing.
const REPORT_INTERVALS: u32 = 2;

/// Requests of one rank that wait for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RankDemand {
    /// Number of requests.
    pub waiting: u32,
    /// Engine memory that they need, in tokens.
    pub tokens: u64,
    /// The part of it for requests that can still meet their latency target.
    pub timely_tokens: u64,
}

/// Demand for one service at one VM.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServiceDemand {
    /// Waiting requests by rank.
    pub ranks: BTreeMap<u8, RankDemand>,
    /// Tokens of engine memory that become free per second as generations of the VM end.
    pub freed_per_s: f64,
    /// Number of recent samples on which the rate is based.
    pub freed_samples: f64,
    /// Tokens of refused requests that were told to come back later.
    pub promised_tokens: u64,
}

impl ServiceDemand {
    /// Returns the tokens of the requests that go before one of this lateness and rank. `is_equal`
    /// is whether those of the same lateness and rank count.
    fn tokens_before(&self, is_late: bool, rank: u8, is_equal: bool) -> u64 {
        let mut tokens = 0;
        for (other, demand) in &self.ranks {
            let is_before = *other < rank || (is_equal && *other == rank);
            if is_late || is_before {
                tokens = u64::saturating_add(tokens, demand.timely_tokens);
            }
            if is_late && is_before {
                tokens = tokens.saturating_add(demand.tokens.saturating_sub(demand.timely_tokens));
            }
        }
        tokens
    }

    fn has_waiters_from(&self, rank: u8) -> bool {
        self.ranks.range(rank..).any(|(_, demand)| demand.waiting > 0)
    }
}

#[derive(Debug, Clone, PartialEq)]
struct PeerDemand {
    heard_at: MonoTime,
    services: BTreeMap<String, ServiceDemand>,
}

/// Demand that the other VMs reported. A report replaces the one before, and counts only while it is
/// fresh, so that a VM that is cut off, has ended or is frozen delays nobody.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetDemand {
    peers: BTreeMap<u64, PeerDemand>,
    age_limit: Duration,
    /// Whether no report has arrived since the last suspension of this VM.
    is_resuming: bool,
    /// Time before which reports may have waited in a buffer while this VM was suspended.
    counts_from: MonoTime,
}

impl FleetDemand {
    /// Applies a report of the VM with this ID. `interval` is the time between reports.
    pub fn note_report(
        &mut self,
        peer: u64,
        services: BTreeMap<String, ServiceDemand>,
        interval: Duration,
        now: MonoTime,
    ) {
        if std::mem::take(&mut self.is_resuming) {
            self.counts_from = now + interval.min(REPORT_AGE_LIMIT);
        }
        if now < self.counts_from {
            return;
        }
        self.age_limit = interval.saturating_mul(REPORT_INTERVALS).min(REPORT_AGE_LIMIT);
        self.peers.insert(peer, PeerDemand { heard_at: now, services });
        self.peers.retain(|_, demand| now.since(demand.heard_at) <= REPORT_AGE_LIMIT);
    }

    /// Forgets all reports after a suspension of this VM. Those that arrive within one report
    /// interval of the first one after it don't count either: they may have been sent at any time
    /// during the suspension.
    pub fn clear(&mut self) {
        self.peers.clear();
        self.is_resuming = true;
    }

    /// Returns the tokens of the requests elsewhere that go before one of this lateness and rank, and
    /// of those of the same lateness and rank.
    pub fn tokens_ahead(
        &self,
        service: &str,
        is_late: bool,
        rank: u8,
        now: MonoTime,
    ) -> (u64, u64) {
        let (mut ahead, mut equal) = (0_u64, 0_u64);
        for demand in self.fresh(service, now) {
            let before = demand.tokens_before(is_late, rank, false);
            ahead = ahead.saturating_add(before);
            equal = equal.saturating_add(demand.tokens_before(is_late, rank, true) - before);
        }
        (ahead, equal)
    }

    /// Returns the tokens of the requests elsewhere that are not more urgent than this rank and can
    /// still be on time. Until they are late, they go before a late request of this rank.
    pub fn passing_tokens(&self, service: &str, rank: u8, now: MonoTime) -> u64 {
        let mut tokens = 0_u64;
        for demand in self.fresh(service, now) {
            let urgent = demand.tokens_before(false, rank, false);
            tokens = tokens.saturating_add(demand.tokens_before(false, u8::MAX, true) - urgent);
        }
        tokens
    }

    /// Returns the tokens of the more urgent requests elsewhere to which this VM gives way with a
    /// request of this lateness and rank. They are divided among the VMs that have such a request or
    /// a less urgent one, so that not all of these give way to the same requests.
    pub fn urgent_share(&self, service: &str, is_late: bool, rank: u8, now: MonoTime) -> u64 {
        let (mut tokens, mut vms) = (0_u64, 1);
        for demand in self.fresh(service, now) {
            tokens = tokens.saturating_add(demand.tokens_before(is_late, rank, false));
            vms += u64::from(demand.has_waiters_from(rank));
        }
        tokens / vms
    }

    /// Returns the tokens of requests that the other VMs refused and told to come back later.
    pub fn promised_tokens(&self, service: &str, now: MonoTime) -> u64 {
        let promised = self.fresh(service, now).map(|demand| demand.promised_tokens);
        promised.fold(0, u64::saturating_add)
    }

    /// Returns the tokens that become free per second at the other VMs, and the number of recent
    /// samples.
    pub fn freed(&self, service: &str, now: MonoTime) -> (f64, f64) {
        let mut freed = (0.0, 0.0);
        for demand in self.fresh(service, now) {
            freed.0 += demand.freed_per_s;
            freed.1 += demand.freed_samples;
        }
        freed
    }

    fn fresh(&self, service: &str, now: MonoTime) -> impl Iterator<Item = &ServiceDemand> {
        let is_fresh = move |demand: &&PeerDemand| now.since(demand.heard_at) <= self.age_limit;
        self.peers.values().filter(is_fresh).filter_map(move |demand| demand.services.get(service))
    }
}
