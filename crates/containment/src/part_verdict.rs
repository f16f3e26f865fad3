//! Verdict on a prompt.

use crate::ContainedPart;

/// Whether a request may be sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartVerdict {
    /// No part of the prompt is contained.
    Allowed,
    /// A part is contained.
    Contained(ContainedPart),
    /// A part is contained, and it is time to find out whether it still crashes engines, with one
    /// request of each of [`ContainedPart::trial_vms`] VMs.
    TrialDue {
        /// The part.
        part: ContainedPart,
        /// Number of the round of trials. Each round is the turn of other VMs.
        round: u64,
    },
}
