//! Invariant 10: an accepted plan never reverts and is the same on all VMs.

use std::collections::BTreeMap;

use super::CheckResult;

/// Plan in effect on one VM at some time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanObservation {
    /// Incarnation of the VM.
    pub vm: u128,
    /// Revision in effect.
    pub revision: u64,
    /// Body in effect.
    pub body: Vec<u8>,
}

/// Checks observations in the order in which they were made. `truth` maps each revision to its
/// body.
pub fn check(trace: &[PlanObservation], truth: &BTreeMap<u64, Vec<u8>>) -> CheckResult {
    let mut highest: BTreeMap<u128, u64> = BTreeMap::new();
    for observation in trace {
        let PlanObservation { vm, revision, body } = observation;
        let before = highest.insert(*vm, *revision).unwrap_or(0);
        if *revision < before {
            return Err(format!("VM {vm} went back from revision {before} to {revision}"));
        }
        if *revision > 0 && truth.get(revision) != Some(body) {
            return Err(format!("VM {vm} has another plan as revision {revision}"));
        }
    }
    Ok(())
}
