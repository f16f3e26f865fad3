//! Invariant 7: a call that is not idempotent runs at most once. Invariant 5: every response comes
//! from the run of its own request.

use std::collections::BTreeMap;

use super::{CallEvent, CheckResult};

/// Checks a trace within one call window.
pub fn check(trace: &[CallEvent]) -> CheckResult {
    let mut runs: BTreeMap<usize, (u8, u64)> = BTreeMap::new();
    for event in trace {
        if let CallEvent::Ran { key, digest, run, .. } = event
            && let Some((_, first)) = runs.insert(*key, (*digest, *run))
        {
            return Err(format!("key {key} ran twice, as run {first} and run {run}"));
        }
    }
    for event in trace {
        if let CallEvent::ToldAnswer { key, digest, run } = event
            && runs.get(key) != Some(&(*digest, *run))
        {
            return Err(format!("key {key} was answered with run {run} of another request"));
        }
    }
    Ok(())
}
