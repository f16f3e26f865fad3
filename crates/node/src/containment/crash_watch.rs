//! What this VM knows about prompts that crash engines.

use std::sync::{Arc, Mutex, MutexGuard};

use dragonflycart_containment::{
    ContainedPart, CrashLedger, EngineRun, LedgerChange, PartVerdict, SuspectReport,
};
use dragonflycart_core::{
    ErrorKind, Incarnation, PromptPart, ServerInstance, ServerName, ServiceError, rendezvous_score,
};
use dragonflycart_engine::{prefix_digest, prompt_digest};
use log::{info, warn};

use crate::{node_clock::NodeClock, node_metrics::NodeMetrics};

/// Ledger of crashes, shared by the handlers, the generations and the control thread.
pub(crate) struct CrashWatch {
    ledger: Mutex<CrashLedger>,
    /// Running VMs other than this one.
    peers: Mutex<Vec<Incarnation>>,
    own: Incarnation,
    clock: NodeClock,
    metrics: Arc<NodeMetrics>,
}

impl CrashWatch {
    /// Builds the watch of the VM `own`, which knows nothing yet.
    pub(crate) fn new(own: Incarnation, clock: NodeClock, metrics: Arc<NodeMetrics>) -> CrashWatch {
        CrashWatch { ledger: Mutex::default(), peers: Mutex::default(), own, clock, metrics }
    }

    /// Returns the parts of a prompt: its shared prefix, if it is long enough, and the whole.
    pub(crate) fn parts_of(prompt: &str) -> Vec<PromptPart> {
        let digests = prefix_digest(prompt).into_iter().chain([prompt_digest(prompt)]);
        digests.map(PromptPart::new).collect()
    }

    /// Decides whether a request may be sent to an engine. `trial` is the part for whose trial it
    /// was admitted before; the part for whose trial it is admitted now is returned.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::PromptContained`] if a part of the prompt is contained.
    pub(crate) fn admit(
        &self,
        generation: &str,
        parts: &[PromptPart],
        trial: Option<PromptPart>,
    ) -> Result<Option<PromptPart>, ServiceError> {
        let verdict = self.ledger().check(parts, trial, self.clock.now());
        match verdict {
            PartVerdict::Allowed => Ok(trial),
            PartVerdict::Contained(contained) => Err(self.refuse(generation, contained)),
            PartVerdict::TrialDue { part: contained, round } => {
                let part = contained.part;
                let has_turn =
                    contained.trial_vms.is_none_or(|vms| self.has_turn(part, round, vms));
                if !has_turn || !self.ledger().begin_trial(part, round) {
                    return Err(self.refuse(generation, contained));
                }
                info!("prompts: trial; generation={generation} part={part} round={round}");
                Ok(Some(part))
            }
        }
    }

    /// Refuses a new request whose prompt is contained, before it is placed. Trials are decided when
    /// an engine is granted.
    ///
    /// # Errors
    ///
    /// As for [`CrashWatch::admit`].
    pub(crate) fn check(&self, generation: &str, parts: &[PromptPart]) -> Result<(), ServiceError> {
        let verdict = self.ledger().check(parts, None, self.clock.now());
        match verdict {
            PartVerdict::Contained(contained) => Err(self.refuse(generation, contained)),
            PartVerdict::Allowed | PartVerdict::TrialDue { .. } => Ok(()),
        }
    }

    fn refuse(&self, generation: &str, contained: ContainedPart) -> ServiceError {
        let ContainedPart { part, crashes, retry_after, .. } = contained;
        self.ledger().note_refused(part, self.clock.now());
        self.metrics.contained_requests.inc();
        let retry_ms = retry_after.as_millis();
        info!(
            "prompts: request refused; generation={generation} part={part} crashes={crashes} \
             retry_after_ms={retry_ms}"
        );
        let message = format!("part {part} of the prompt has crashed {crashes} backend servers");
        ServiceError::new(ErrorKind::PromptContained, message)
    }

    /// Records that a prompt does not crash its engine.
    pub(crate) fn note_sound(&self, parts: &[PromptPart]) {
        let changes = self.ledger().note_sound(parts, self.clock.now());
        log_changes(&changes);
    }

    /// Records that an engine ended that had just begun to answer a prompt.
    pub(crate) fn note_crash(
        &self,
        server: &ServerName,
        instance: ServerInstance,
        parts: &[PromptPart],
    ) {
        let engine = EngineRun::new(server.as_str(), Some(instance.0));
        let now = self.clock.now();
        let mut ledger = self.ledger();
        let mut changes = ledger.note_break(engine, parts, now);
        changes.extend(ledger.note_engine_end(engine, now));
        drop(ledger);
        log_changes(&changes);
    }

    /// Merges a report of a peer.
    pub(crate) fn merge(&self, report: &SuspectReport) {
        let changes = self.ledger().merge(&report.records(), self.clock.now());
        log_changes(&changes);
    }

    /// Forgets what is too old, and sets which other VMs run.
    pub(crate) fn refresh(&self, peers: Vec<Incarnation>) {
        *self.peers.lock().expect("no holder of the list panics") = peers;
        let changes = self.ledger().expire(self.clock.now());
        log_changes(&changes);
    }

    /// Returns the report for the peers if there is news, or any report if `is_due`.
    pub(crate) fn report(&self, is_due: bool) -> Option<SuspectReport> {
        let mut ledger = self.ledger();
        let has_news = ledger.take_news();
        if ledger.is_empty() || !(has_news || is_due) {
            return None;
        }
        Some(SuspectReport::new(self.own.0 as u64, &ledger.records(self.clock.now())))
    }

    /// Returns whether this VM is one of the `vms` VMs whose turn it is to try a part.
    fn has_turn(&self, part: PromptPart, round: u64, vms: usize) -> bool {
        let peers = self.peers.lock().expect("no holder of the list panics");
        let (part, round) = (part.id().to_be_bytes(), round.to_be_bytes());
        let score = |vm: &Incarnation| rendezvous_score(&[&part, &round], &vm.0.to_be_bytes());
        peers.iter().filter(|peer| score(peer) > score(&self.own)).count() < vms
    }

    fn ledger(&self) -> MutexGuard<'_, CrashLedger> {
        self.ledger.lock().expect("no holder of the ledger panics")
    }
}

fn log_changes(changes: &[LedgerChange]) {
    for change in changes {
        match change {
            LedgerChange::Suspected { part, crashes } => {
                info!("prompts: part suspected; part={part} crashes={crashes}");
            }
            LedgerChange::Contained { part, crashes } => {
                warn!("prompts: part contained; part={part} crashes={crashes}");
            }
            LedgerChange::Cleared { part } => info!("prompts: part cleared; part={part}"),
            LedgerChange::Forgotten { part } => info!("prompts: part forgotten; part={part}"),
        }
    }
}
