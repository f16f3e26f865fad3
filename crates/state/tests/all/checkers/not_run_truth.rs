//! Invariant 6: a "not run" response is always correct.

use super::{CallEvent, CheckResult};

/// Checks that no attempt up to the one that was answered "not run" ran, before or after that.
/// Callers that don't number their attempts get no such response.
pub fn check(trace: &[CallEvent]) -> CheckResult {
    for event in trace {
        let CallEvent::ToldNotRun { key, attempt } = event else {
            continue;
        };
        if *attempt == 0 {
            return Err(format!("key {key} was told not run without a number"));
        }
        for other in trace {
            if let CallEvent::Ran { key: ran_key, attempt: ran, run, .. } = other
                && ran_key == key
                && ran <= attempt
            {
                return Err(format!(
                    "key {key} was told at attempt {attempt} that nothing ran, but attempt {ran} \
                     did as run {run}"
                ));
            }
        }
    }
    Ok(())
}
