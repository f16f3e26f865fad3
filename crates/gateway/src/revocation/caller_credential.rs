//! API key of a request in progress.

use std::fmt;

use crate::RoutePlan;

/// API key that a request presented. Its debug output does not show the key.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerCredential {
    key: String,
}

impl CallerCredential {
    /// Stores the key of a request.
    pub fn new(key: &str) -> CallerCredential {
        CallerCredential { key: key.to_owned() }
    }

    /// Returns whether a plan gives the key to the team `team`.
    pub fn is_held_by(&self, plan: &RoutePlan, team: &str) -> bool {
        plan.find_team(&self.key).is_some_and(|holder| holder.name == team)
    }
}

impl fmt::Debug for CallerCredential {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("CallerCredential").finish_non_exhaustive()
    }
}
