//! Move of a service to a new version, as tracked by one VM.
//!
//! The faults of a bad version may show only late, under load, or on a single route. So the new
//! version first gets a small share of the requests, as a canary, until shortly before the time
//! limit. Each VM enforces the share locally, so it holds for the sum over all VMs even if they
//! can't communicate. Then all requests go to the new version, the old version finishes its open
//! requests, and the version move is completed. The VM that reads the store for the others decides,
//! based on the results of all VMs. The store accepts only one final phase.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::MonoTime;

use crate::{
    OldServers, RouteBaselines, StorePosition, UsualResults, VersionMoveEvidence, VersionMovePhase,
    VersionMoveRecord, VersionMoveSpec, VersionRole, versions::SuspicionLevel,
};

/// Fraction of the allowed share that a new version gets as a canary. The rest is reserved for the
/// requests that it gets after the switch, before a fault that shows only under full load is
/// detected.
const CANARY_FRACTION: f64 = 0.5;
/// Fraction of the fixed allowance that is divided among the VMs for the canary.
const CANARY_ALLOWANCE_FRACTION: f64 = 0.2;
/// Fraction of the time limit for which the new version gets all requests before the version move
/// is completed.
const SWITCH_FRACTION: f64 = 0.04;
/// That time is extended by the time in which this many requests arrive, which matters at low
/// request rates.
const SWITCH_REQUESTS: f64 = 30.0;
/// Maximum of that time, as a fraction of the time limit.
const SWITCH_FRACTION_MAX: f64 = 0.25;
/// Minimum of that time.
const SWITCH_MIN: Duration = Duration::from_millis(1_200);
/// Time reserved before the time limit for writing the result.
const WRITE_TIME: Duration = Duration::from_millis(600);
/// Minimum time for which all requests go to the new version before the version move may be
/// completed early.
const SWITCH_SETTLED: Duration = Duration::from_millis(1_000);
/// Fraction of the time between the switch and the time limit after which running requests leave the
/// old version. The results of the first requests that the new version gets are known by then.
const RELEASE_FRACTION: f64 = 0.5;
/// Time without an answer of the store after which a version move whose old servers are gone is taken
/// to be completed.
const STATUS_WAIT: Duration = Duration::from_secs(3);
/// Minimum number of results of the new version to complete a version move.
const MIN_RESULTS: u64 = 5;

/// Limits on the requests that a new version may get before it is known to be good.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimit {
    /// Fraction of the service's requests, over all VMs.
    pub share: f64,
    /// Number of requests in addition to the share, over all VMs.
    pub allowance: f64,
}

/// Version move of one service.
#[derive(Debug, Clone)]
pub struct VersionMove {
    order: VersionMoveSpec,
    order_position: StorePosition,
    known_at: MonoTime,
    began: MonoTime,
    began_at_ms: u64,
    phase: VersionMovePhase,
    switched_at: Option<MonoTime>,
    /// Whether running requests leave the old version.
    releases_old: bool,
    is_confirmed: bool,
    /// Position of the order for which the store was seen to hold a final status.
    recorded_for: Option<StorePosition>,
    has_read_statuses: bool,
    own: VersionMoveEvidence,
    peers: BTreeMap<u64, VersionMoveEvidence>,
    sent: [u64; 2],
    /// Usual results of all VMs before the version move, by route.
    usual: BTreeMap<String, UsualResults>,
    /// Results of the old version since, for routes without usual results.
    baselines: RouteBaselines,
    suspicion: SuspicionLevel,
}

impl VersionMove {
    /// Sets the usual results of this VM before the version move, by route.
    pub fn with_usual(self, usual: BTreeMap<String, UsualResults>) -> VersionMove {
        let own = VersionMoveEvidence::with_usual(usual.clone());
        VersionMove { own, usual, ..self }
    }

    /// Builds a version move that was ordered by the record at `order_position`.
    pub fn new(
        order: VersionMoveSpec,
        order_position: StorePosition,
        now: MonoTime,
        now_ms: u64,
    ) -> VersionMove {
        VersionMove {
            order,
            order_position,
            known_at: now,
            began: now,
            began_at_ms: now_ms,
            phase: VersionMovePhase::Watching,
            switched_at: None,
            releases_old: false,
            is_confirmed: false,
            recorded_for: None,
            has_read_statuses: false,
            own: VersionMoveEvidence::default(),
            peers: BTreeMap::new(),
            sent: [0; 2],
            usual: BTreeMap::new(),
            baselines: RouteBaselines::default(),
            suspicion: SuspicionLevel::default(),
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &VersionMoveSpec {
        &self.order
    }

    /// Returns the position of the order in the operators' table.
    pub fn order_position(&self) -> StorePosition {
        self.order_position
    }

    /// Records that the order was written again at `position`, or is there since the store came back
    /// from an older copy.
    pub fn note_written_again(&mut self, position: StorePosition) {
        self.order_position = position;
    }

    /// Returns the phase.
    pub fn phase(&self) -> VersionMovePhase {
        self.phase
    }

    /// Returns whether the final phase was read from the store.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Returns whether the store holds the final phase for the order at its present position, as far
    /// as this VM knows. A store that comes back from an older copy may have lost it.
    pub fn is_recorded(&self) -> bool {
        self.recorded_for == Some(self.order_position)
    }

    /// Returns the results of this VM.
    pub fn own_evidence(&self) -> &VersionMoveEvidence {
        &self.own
    }

    /// Returns the status to write to the store.
    pub fn status(&self) -> VersionMoveRecord {
        VersionMoveRecord {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            phase: self.phase,
            order: self.order_position,
            began_at_ms: self.began_at_ms,
            suspicion: self.suspicion.highest(),
        }
    }

    /// Returns the time since the order was first seen.
    pub fn elapsed(&self, now: MonoTime) -> Duration {
        now.since(self.began)
    }

    /// Records that another VM has known the order for `elapsed`.
    pub fn note_elapsed(&mut self, elapsed: Duration, now: MonoTime) {
        self.began = self.began.min(now - elapsed);
    }

    /// Returns the role of a server that runs `version`.
    pub fn role_of(&self, version: &str) -> VersionRole {
        if version == self.order.target { VersionRole::New } else { VersionRole::Old }
    }

    /// Returns the role of the server that the next request goes to.
    pub fn next_role(&self, limit: ExposureLimit, vm_count: usize) -> VersionRole {
        match self.phase {
            // A VM that has just started does not know yet whether the version move is already
            // over.
            VersionMovePhase::Watching if !self.has_read_statuses => VersionRole::Old,
            VersionMovePhase::Watching => {
                let [old, new] = self.sent;
                let share = limit.share * CANARY_FRACTION * (old + new + 1) as f64;
                let allowance =
                    limit.allowance * CANARY_ALLOWANCE_FRACTION / vm_count.max(1) as f64;
                if (new + 1) as f64 <= share + allowance {
                    VersionRole::New
                } else {
                    VersionRole::Old
                }
            }
            VersionMovePhase::Switching | VersionMovePhase::Completed => VersionRole::New,
            VersionMovePhase::RolledBack => VersionRole::Old,
        }
    }

    /// Returns whether requests on servers with this role move to the others.
    pub fn is_outgoing(&self, role: VersionRole) -> bool {
        match role {
            VersionRole::Old => match self.phase {
                VersionMovePhase::Switching => self.releases_old,
                phase => phase == VersionMovePhase::Completed,
            },
            VersionRole::New => self.phase == VersionMovePhase::RolledBack,
        }
    }

    /// Returns whether the version move may have ended without this VM's knowledge, because it could
    /// not read the statuses for long.
    pub fn may_have_ended(&self, now: MonoTime) -> bool {
        !self.has_read_statuses && now.since(self.known_at) >= STATUS_WAIT
    }

    /// Records that a request was sent to a server with this role.
    pub fn note_sent(&mut self, role: VersionRole) {
        self.sent[role as usize] += 1;
    }

    /// Records the result of a request. `time` is the time to the response or, if it failed, to the
    /// failure. Returns whether the result is bad.
    pub fn note_result(
        &mut self,
        route: &str,
        role: VersionRole,
        is_failure: bool,
        time: Duration,
    ) -> bool {
        let time_ms = time.as_secs_f64() * 1_000.0;
        let is_bad = is_failure || self.is_slow(route, time);
        self.own.note(route, role, is_bad);
        if role == VersionRole::Old {
            let baseline = self.baselines.route_mut(route);
            baseline.note_result(is_bad);
            if !is_failure {
                baseline.note_time(time_ms);
            }
        }
        is_bad
    }

    /// Records a bad result without a time: of a request that was refused, or that was counted as a
    /// good one before.
    pub fn note_bad(&mut self, route: &str, role: VersionRole) {
        self.own.note(route, role, true);
        if role == VersionRole::Old {
            self.baselines.route_mut(route).note_result(true);
        }
    }

    /// Returns whether a response that takes this long is slow.
    pub fn is_slow(&self, route: &str, time: Duration) -> bool {
        self.usual(route).is_slow_time(time.as_secs_f64() * 1_000.0)
    }

    /// Returns whether a stream whose first events have this average pause is slow.
    pub fn is_slow_pause(&self, route: &str, pause: Duration) -> bool {
        self.usual(route).is_slow_pause(pause.as_secs_f64() * 1_000.0)
    }

    fn usual(&self, route: &str) -> UsualResults {
        let usual = self.usual.get(route).copied().filter(|usual| usual.time_ms > 0.0);
        usual.unwrap_or_else(|| self.baselines.usual(route))
    }

    /// Applies the report of another VM: all its results so far and its phase. Returns whether the
    /// phase changed. A reported completion is ignored, since it takes effect only through the
    /// store.
    pub fn note_peer(
        &mut self,
        boot: u64,
        evidence: VersionMoveEvidence,
        phase: VersionMovePhase,
        now: MonoTime,
    ) -> bool {
        self.peers.insert(boot, evidence);
        if phase == VersionMovePhase::Completed {
            return false;
        }
        self.advance(phase, now)
    }

    /// Records that the statuses were read after the order was first seen.
    pub fn note_statuses_read(&mut self) {
        self.has_read_statuses = true;
    }

    /// Applies a status from the store. Returns whether the phase changed.
    pub fn note_status(&mut self, status: &VersionMoveRecord, now: MonoTime, now_ms: u64) -> bool {
        if status.order != self.order_position || status.target != self.order.target {
            return false;
        }
        let elapsed_ms = now_ms.saturating_sub(status.began_at_ms);
        let elapsed = Duration::from_millis(elapsed_ms).min(self.order.time_limit);
        self.note_elapsed(elapsed, now);
        if !self.has_read_statuses {
            self.suspicion.raise(status.suspicion);
        }
        if !status.phase.is_final() {
            return false;
        }
        self.recorded_for = Some(self.order_position);
        if self.is_confirmed {
            return false;
        }
        self.is_confirmed = true;
        let changed = self.phase != status.phase;
        self.phase = status.phase;
        changed
    }

    /// Rolls the version move back if the results of all VMs show that the new version is bad.
    /// Returns whether it does. Called on every VM, since a VM that can't write the result to the
    /// store can still stop sending requests to the version.
    pub fn roll_back_if_bad(&mut self, now: MonoTime) -> bool {
        self.update_suspicion();
        !self.phase.is_final() && self.is_bad() && self.advance(VersionMovePhase::RolledBack, now)
    }

    fn is_bad(&self) -> bool {
        match self.phase {
            VersionMovePhase::Switching => self.suspicion.is_bad_after_switch(),
            _ => self.suspicion.is_bad(),
        }
    }

    /// Lets running requests leave the old version once the new one has got new requests for long
    /// enough. Returns whether this changed. If they all moved at the switch, a version that turns
    /// bad with it would get them all before its first result is known.
    pub fn release_old(&mut self, now: MonoTime) -> bool {
        if self.phase.is_final() {
            return false;
        }
        let Some(at) = self.switched_at.filter(|_| !self.releases_old) else { return false };
        let left = self.order.time_limit.saturating_sub(self.elapsed(now));
        let since = now.since(at);
        self.releases_old =
            !self.suspicion.is_doubtful() && since >= (since + left).mul_f64(RELEASE_FRACTION);
        self.releases_old
    }

    /// Decides whether the version move enters another phase, and returns whether it does. Called
    /// on the VM that controls version moves.
    pub fn decide(&mut self, old_servers: OldServers, now: MonoTime) -> bool {
        self.update_suspicion();
        let is_due = self.elapsed(now) + WRITE_TIME >= self.order.time_limit;
        let next = match self.phase {
            VersionMovePhase::Completed | VersionMovePhase::RolledBack => return false,
            _ if self.is_bad() => VersionMovePhase::RolledBack,
            // Further results may still decide about a doubtful version until the time limit.
            _ if self.suspicion.is_doubtful() && is_due => VersionMovePhase::RolledBack,
            _ if self.suspicion.is_doubtful() => return false,
            VersionMovePhase::Watching if self.elapsed(now) >= self.switch_at(now) => {
                VersionMovePhase::Switching
            }
            VersionMovePhase::Switching if is_due || self.may_complete_early(old_servers, now) => {
                if self.evidence().total(VersionRole::New) >= MIN_RESULTS {
                    VersionMovePhase::Completed
                } else if old_servers == OldServers::Gone {
                    // No server could take the requests after a rollback.
                    return false;
                } else {
                    VersionMovePhase::RolledBack
                }
            }
            VersionMovePhase::Watching | VersionMovePhase::Switching => return false,
        };
        self.advance(next, now)
    }

    fn advance(&mut self, phase: VersionMovePhase, now: MonoTime) -> bool {
        if self.is_confirmed || phase <= self.phase {
            return false;
        }
        if phase == VersionMovePhase::Switching {
            self.switched_at = Some(now);
        }
        self.phase = phase;
        true
    }

    fn update_suspicion(&mut self) {
        let evidence = self.evidence();
        self.usual = evidence.usual();
        self.suspicion.update(evidence.results(), &self.usual);
    }

    /// Returns the sum of the results of all VMs.
    pub fn evidence(&self) -> VersionMoveEvidence {
        let mut sum = self.own.clone();
        for evidence in self.peers.values() {
            sum.add(evidence);
        }
        sum
    }

    /// Returns the time after the order at which the switch to the new version takes place. It is
    /// so late that the requests that the new version gets before and after the switch stay within
    /// the exposure limit even if it turns out to be bad.
    fn switch_at(&self, now: MonoTime) -> Duration {
        let limit = self.order.time_limit;
        let evidence = self.evidence();
        let results = evidence.total(VersionRole::Old) + evidence.total(VersionRole::New);
        let rate = (results as f64 / self.elapsed(now).as_secs_f64().max(1.0)).max(1.0);
        let time = limit.mul_f64(SWITCH_FRACTION) + Duration::from_secs_f64(SWITCH_REQUESTS / rate);
        let time = time.min(limit.mul_f64(SWITCH_FRACTION_MAX)).max(SWITCH_MIN);
        limit.saturating_sub(time + WRITE_TIME)
    }

    fn may_complete_early(&self, old_servers: OldServers, now: MonoTime) -> bool {
        old_servers != OldServers::Busy
            && self.switched_at.is_some_and(|at| now.since(at) >= SWITCH_SETTLED)
    }
}
