//! Placement policies: the choice of a server among candidates.

use std::fmt;

use crate::{PlacementCandidate, PolicySettings};

/// Chooses a server among candidates. Limits that hold for every policy (cold slots, zones,
/// retries) are applied beforehand, so a policy can't violate them.
pub trait PlacementPolicy: fmt::Debug + Send {
    /// Returns whether candidates need a memory forecast, which takes time to compute.
    fn uses_forecast(&self) -> bool {
        false
    }

    /// Returns the position of the chosen candidate, or `None` if the request must wait. `random`
    /// holds a value in 0..1 per candidate.
    ///
    /// If a policy lets a request wait, it must also let any larger request of the same or a lower
    /// class wait. Such requests are not offered to it in the same pass.
    fn choose(&mut self, candidates: &[PlacementCandidate], random: &[f64]) -> Option<usize>;
}

/// Registration of a policy under the name that the setting `placement.policy` selects.
pub struct PolicyRegistration {
    /// Name of the policy.
    pub name: &'static str,
    /// Builds the policy.
    pub build: fn(&PolicySettings) -> Box<dyn PlacementPolicy>,
}

inventory::collect!(PolicyRegistration);

/// Returns the policy that is registered under `name`.
pub fn find_policy(name: &str) -> Option<&'static PolicyRegistration> {
    inventory::iter::<PolicyRegistration>().find(|registration| registration.name == name)
}

/// Returns the names of all registered policies in alphabetical order.
pub fn policy_names() -> Vec<&'static str> {
    let mut names: Vec<&'static str> =
        inventory::iter::<PolicyRegistration>().map(|registration| registration.name).collect();
    names.sort_unstable();
    names
}

/// Returns the position of the candidate with the lowest score; ties go to the lower random
/// value.
pub(crate) fn lowest_score(
    candidates: &[PlacementCandidate],
    random: &[f64],
    score: impl Fn(&PlacementCandidate) -> f64,
) -> Option<usize> {
    let mut best: Option<(f64, f64, usize)> = None;
    for (position, candidate) in candidates.iter().enumerate() {
        let scored = (score(candidate), random[position], position);
        if best.is_none_or(|found| (scored.0, scored.1) < (found.0, found.1)) {
            best = Some(scored);
        }
    }
    best.map(|(_, _, position)| position)
}
